// Plan and judge of roll-outs on a table of good and bad versions: a service of
// 400 requests a second on two routes, 24 old and 24 new servers, 15 s of time.
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "core/random.h"
#include "core/rollout/rollout_judge.h"
#include "core/rollout/rollout_plan.h"
#include "unit/support.h"

#define SEEDS	       1000
#define SERVERS	       24
#define ROUTES	       2
#define STEP_MS	       250 /* between counts */
#define WITHIN_MS      15000
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50
#define COLD_MS	       3000
#define READY_MS       1500 /* until the new servers take work */

/// A version, and the conditions in which it is brought in.
struct kind {
	const char *name;
	bool bad;
	int64_t per_s; ///< Requests of the service.
	// Of the new version.
	double fails; ///< Share of its answers.
	double slow;  ///< Share that takes slow_times as long.
	double slow_times;
	bool one_route;	 ///< Only on the first route.
	int64_t from_ms; ///< Since its first request.
	bool under_load; ///< Only while it has three tenths of all requests.
	// Of both versions.
	double base_fails;
	double spread;	 ///< Of the logarithm of the run times.
	double tail;	 ///< Share that takes 7 times as long.
	double noisy;	 ///< Share of the servers that fail 4 in 10.
	bool uneven;	 ///< Servers are 0.7 to 1.6 times as fast.
	bool burst;	 ///< Both fail a third of their answers for 3 s.
	uint32_t broken; ///< New servers that fail all answers.
};

static const struct kind kinds[] = {
    {"fails 3 in 10", true, 400, .fails = 0.3, .spread = 0.5},
    {"fails 5 in 10", true, 400, .fails = 0.5, .spread = 0.5},
    {"5 in 10 are slow", true, 400, .slow = 0.5, .slow_times = 8,
	.spread = 0.5},
    {"fails 3 in 10 on one route", true, 400, .fails = 0.32, .one_route = true,
	.spread = 0.5},
    {"fails 5 in 10 under load", true, 400, .fails = 0.5, .under_load = true,
	.spread = 0.5},
    {"slow under load", true, 400, .slow = 0.5, .slow_times = 8,
	.under_load = true, .spread = 0.5},
    {"fails 5 in 10 from 4 s on", true, 400, .fails = 0.5, .from_ms = 4000,
	.spread = 0.5},
    {"fails 5 in 10, noisy neighbours", true, 400, .fails = 0.5, .spread = 0.5,
	.base_fails = 0.01, .noisy = 0.15},
    {"good", false, 400, .spread = 0.5},
    {"good, few requests", false, 30, .spread = 0.5},
    {"good, some answers fail", false, 400, .spread = 0.5, .base_fails = 0.05},
    {"good, heavy tail", false, 400, .spread = 0.8, .tail = 0.03},
    {"good, uneven servers", false, 400, .spread = 0.8, .tail = 0.03,
	.uneven = true},
    {"good, noisy neighbours", false, 400, .spread = 0.5, .noisy = 0.15},
    {"good, 4 servers are broken", false, 400, .spread = 0.5, .broken = 4},
    {"good, a burst", false, 400, .spread = 0.5, .burst = true},
};

struct result {
	bool rolled_back;
	bool completed;
	uint64_t got;	///< Requests that the new version got.
	uint64_t total; ///< Of the service until the deadline.
};

struct play {
	const struct kind *kind;
	struct random random;
	struct rollout_judge judge;
	struct rollout_plan_state plan;
	int64_t now_ms;
	struct result result;
};

static double
draw(struct random *random)
{
	return (double)(random_next(random) >> 11) / (double)(1ULL << 53);
}

static double
draw_normal(struct random *random)
{
	double u = draw(random);

	return sqrt(-2 * log(u > 0 ? u : 1e-300)) *
	    cos(2 * M_PI * draw(random));
}

/// Tells whether the new version shows its fault in a request.
static bool
shows_fault(const struct play *p, uint32_t route)
{
	const struct kind *k = p->kind;

	return k->bad && (!k->one_route || route == 0) &&
	    p->now_ms - p->plan.begun_ms >= k->from_ms &&
	    (!k->under_load || p->plan.share_permille >= 300);
}

static double
draw_run_ms(struct play *p, uint32_t server, bool faulty)
{
	static const double speeds[] = {0.7, 1.0, 1.6};
	const struct kind *k = p->kind;
	double run_ms = 150 * exp(k->spread * draw_normal(&p->random));

	if (k->uneven)
		run_ms /= speeds[server % 3];
	if (draw(&p->random) < k->tail)
		run_ms *= 7;
	if (faulty && draw(&p->random) < k->slow)
		run_ms *= k->slow_times;
	return run_ms;
}

static void
answer(struct play *p, uint32_t server, bool is_new, uint32_t route,
    struct rollout_counts *counts)
{
	const struct kind *k = p->kind;
	bool faulty = is_new && shows_fault(p, route);
	bool cold = is_new && p->now_ms < READY_MS + COLD_MS;
	double fails = k->base_fails;

	if (k->burst && p->now_ms >= 6000 && p->now_ms < 9000)
		fails = 0.33;
	if ((double)server < k->noisy * SERVERS)
		fails = 0.4;
	if (is_new && server < k->broken)
		fails = 1;
	if (faulty && k->fails > fails)
		fails = k->fails;
	rollout_counts_add(counts, route + 1, draw(&p->random) < fails,
	    cold ? 0 : (int64_t)(draw_run_ms(p, server, faulty) * 1000));
}

/// Plays the requests of one step and passes on the counts.
static void
step(struct play *p)
{
	static struct rollout_counts counts[2][SERVERS];
	int64_t requests = p->kind->per_s * STEP_MS / 1000;
	int64_t i;
	uint32_t k;

	memset(counts, 0, sizeof(counts));
	p->result.total += (uint64_t)requests;
	for (i = 0; i < requests; i++) {
		bool is_new =
		    random_below(&p->random, 1000) < p->plan.share_permille;
		uint32_t server = random_below(&p->random, SERVERS);

		p->result.got += is_new;
		p->plan.answers += is_new;
		p->plan.all_answers++;
		answer(p, server, is_new, random_below(&p->random, ROUTES),
		    &counts[is_new][server]);
	}
	for (k = 0; k < 2 * SERVERS; k++)
		rollout_judge_add(&p->judge, k + 1, k >= SERVERS,
		    &counts[k / SERVERS][k % SERVERS], p->now_ms * 1000);
}

static void
decide(struct play *p)
{
	struct rollout_plan_decision d;
	struct rollout_finding finding;

	p->plan.used_ms = p->now_ms;
	p->plan.new_slots = p->now_ms >= READY_MS ? SERVERS : 0;
	if (rollout_judge_is_bad(&p->judge, &finding)) {
		p->result.rolled_back = true;
		return;
	}
	p->plan.doubted = rollout_judge_doubts(&p->judge);
	d = rollout_plan_decide(&p->plan);
	if (d.action == ROLLOUT_PLAN_STAGE) {
		if (p->plan.begun_ms < 0)
			p->plan.begun_ms = p->now_ms;
		p->plan.share_permille = d.share_permille;
		p->plan.stage_ms = 0;
	}
	p->result.completed = d.action == ROLLOUT_PLAN_COMPLETE;
}

static struct result
play(const struct kind *kind, uint64_t seed)
{
	struct play p = {.kind = kind, .random = {.seed = seed}};

	p.plan.begun_ms = -1;
	p.plan.leading_ms = WITHIN_MS;
	p.plan.within_ms = WITHIN_MS;
	p.plan.exposure_permille = (uint32_t)(EXPOSURE_SHARE * 1000);
	p.plan.old_slots = SERVERS;
	rollout_judge_init(&p.judge);
	p.judge.known_servers = SERVERS;
	for (; p.now_ms < WITHIN_MS && !p.result.rolled_back &&
	     !p.result.completed;
	     p.now_ms += STEP_MS) {
		step(&p);
		p.plan.stage_ms += STEP_MS;
		decide(&p);
	}
	p.result.total = (uint64_t)(kind->per_s * WITHIN_MS / 1000);
	rollout_judge_free(&p.judge);
	return p.result;
}

/// Every bad version is rolled back within its exposure; no good one is, and each
/// is complete in time.
static void
test_kinds(void **state)
{
	uint32_t wrong_total = 0;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		const struct kind *k = &kinds[i];
		uint32_t wrong = 0;
		uint32_t over = 0;
		uint64_t most = 0;
		uint64_t sum = 0;
		uint64_t seed;

		for (seed = 1; seed <= SEEDS; seed++) {
			struct result r = play(k, seed);

			wrong += k->bad ? !r.rolled_back : !r.completed;
			over += k->bad &&
			    (double)r.got > EXPOSURE_SHARE * (double)r.total +
				    EXPOSURE_SLACK;
			sum += r.got;
			if (r.got > most)
				most = r.got;
		}
		print_message("%-34s %s: wrong %u, over the exposure %u of "
			      "%d; got %.0f, most %u\n",
		    k->name, k->bad ? "bad " : "good", wrong, over, SEEDS,
		    (double)sum / SEEDS, (unsigned)most);
		wrong_total += wrong + over;
	}
	assert_int_equal(wrong_total, 0);
}

/// The share never falls, and all requests have moved in time, also when the
/// servers come late.
static void
test_plan_in_time(void **state)
{
	struct rollout_plan_state s = {.within_ms = 20000,
	    .begun_ms = -1,
	    .exposure_permille = 100,
	    .old_slots = 10,
	    .leading_ms = 20000,
	    .answers = 1000};
	int64_t done_ms = 0;

	(void)state;
	for (; s.used_ms < s.within_ms && done_ms == 0; s.used_ms += 100) {
		struct rollout_plan_decision d;

		s.new_slots = s.used_ms >= 6000 ? 10 : 0;
		s.old_running = s.used_ms < 18000 ? 5 : 0;
		d = rollout_plan_decide(&s);
		s.stage_ms += 100;
		if (d.action == ROLLOUT_PLAN_COMPLETE)
			done_ms = s.used_ms;
		if (d.action != ROLLOUT_PLAN_STAGE)
			continue;
		assert_true(d.share_permille > s.share_permille);
		if (s.begun_ms < 0)
			s.begun_ms = s.used_ms;
		s.share_permille = d.share_permille;
		s.stage_ms = 0;
	}
	assert_int_equal(s.begun_ms, 6000);
	assert_in_range(done_ms, 18000, 18900);
}

/// Without servers, counts or room the share stays.
static void
test_plan_waits(void **state)
{
	struct rollout_plan_state good = {.used_ms = 9000,
	    .begun_ms = 1000,
	    .within_ms = 16000,
	    .stage_ms = 6000,
	    .share_permille = 40,
	    .exposure_permille = 100,
	    .new_slots = 10,
	    .old_slots = 10,
	    .answers = 100};
	struct rollout_plan_state s = good;

	(void)state;
	assert_int_equal(rollout_plan_decide(&s).action, ROLLOUT_PLAN_STAGE);
	assert_int_equal(rollout_plan_decide(&s).share_permille, 100);
	s.silent_ms = 4000;
	assert_int_equal(rollout_plan_decide(&s).action, ROLLOUT_PLAN_WAIT);
	s = good;
	s.new_slots = 0;
	assert_int_equal(rollout_plan_decide(&s).action, ROLLOUT_PLAN_WAIT);
	s = good;
	s.share_permille = 600;
	s.used_ms = 13000;
	s.new_slots = 3;
	assert_int_equal(rollout_plan_decide(&s).action, ROLLOUT_PLAN_WAIT);
	s = good;
	s.share_permille = 100;
	s.used_ms = 11000;
	s.stage_ms = 2500;
	assert_int_equal(rollout_plan_decide(&s).share_permille, 300);
	s.doubted = true;
	assert_int_equal(rollout_plan_decide(&s).action, ROLLOUT_PLAN_WAIT);
	s.stage_ms = 3500;
	assert_int_equal(rollout_plan_decide(&s).share_permille, 300);
	s = good;
	s.stage_ms = 200;
	assert_int_equal(rollout_plan_decide(&s).action, ROLLOUT_PLAN_WAIT);
	// A new leader does not know yet what runs at old servers.
	s = good;
	s.share_permille = 1000;
	s.leading_ms = 500;
	assert_int_equal(rollout_plan_decide(&s).action, ROLLOUT_PLAN_WAIT);
	s.leading_ms = 2000;
	assert_int_equal(rollout_plan_decide(&s).action, ROLLOUT_PLAN_COMPLETE);
	s.old_running = 1;
	assert_int_equal(rollout_plan_decide(&s).action, ROLLOUT_PLAN_WAIT);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_kinds),
	    cmocka_unit_test(test_plan_in_time),
	    cmocka_unit_test(test_plan_waits),
	};

	return cmocka_run_group_tests_name("rollout_judge", tests, NULL, NULL);
}
