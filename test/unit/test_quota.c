// The law of quotas in a small model of proxies and accountants: messages are lost,
// late and repeated, proxies restart, accountants change, limits are lowered.
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "core/workspace/quota_share.h"
#include "unit/support.h"

#define TICK_US	     10000
#define MAX_PROXIES  80
#define MAX_TICKS    2000
#define MAX_MESSAGES 4096
#define WAIT_TICKS   50 ///< A request waits for a token for so long.
#define WORKSPACE    "w"

static const struct quota_bounds bounds = {5000000, 100, 20};

struct proxy {
	struct quota_share share;
	uint32_t waits[WAIT_TICKS]; ///< Requests that wait, by age in ticks.
	uint64_t process;
	int64_t clock_ahead_us; ///< Of the accountant that answered last.
};

/// A message on its way, to the accountant or back.
struct in_flight {
	bool answer;
	int64_t due_us;
	uint32_t proxy;
	uint64_t process;
	uint32_t sequence;
	struct quota_ask ask;
	struct quota_grant grant;
	int64_t clock_us;
	int64_t clock_ahead_us; ///< Tells the accountants apart.
};

struct world {
	struct random random;
	int64_t now_us;
	struct quota_ledger ledger; ///< Of the accountant of this time.
	int64_t
	    clock_ahead_us; ///< Clock of the accountant beside the proxies'.
	int64_t begun_us;
	int64_t silent_until_us; ///< No accountant leads until then.
	struct proxy proxies[MAX_PROXIES];
	uint32_t proxy_count;
	struct in_flight messages[MAX_MESSAGES];
	uint32_t message_count;
	uint32_t passed[MAX_TICKS];
	uint32_t tick;
	uint32_t asked_for; ///< Requests that arrived.
	uint32_t full;	    ///< Refused at the limit.
	uint32_t timed_out;
	uint32_t asks;
	uint32_t loss_pct;
	int64_t delay_us; ///< Longest way.
};

static struct rules *
make_rules(uint64_t version, double rate, double burst)
{
	static struct rules_errors errors;
	char text[256];
	struct rules *rules;

	snprintf(text, sizeof(text),
	    "version %u # o\n"
	    "workspace " WORKSPACE " keys=k rate=%.3f burst=%.3f # o\n",
	    (unsigned)version, rate, burst);
	rules = rules_parse(text, strlen(text), &errors);
	assert_non_null(rules);
	return rules;
}

static bool
happens(struct world *w, uint32_t pct)
{
	return random_below(&w->random, 100) < pct;
}

static void
post(struct world *w, const struct in_flight *m)
{
	uint32_t copies = happens(w, w->loss_pct / 4) ? 2 : 1;

	for (; copies > 0 && w->message_count < MAX_MESSAGES; copies--) {
		struct in_flight *to = &w->messages[w->message_count];

		if (happens(w, w->loss_pct))
			continue;
		*to = *m;
		to->due_us =
		    w->now_us + random_time_us(&w->random, w->delay_us);
		w->message_count++;
	}
}

static void
pass(struct world *w)
{
	w->passed[w->tick]++;
}

static void
arrive(struct world *w, struct proxy *p, uint64_t workspace)
{
	int64_t retry_us;

	w->asked_for++;
	switch (quota_share_take(
	    &p->share, workspace, false, w->now_us, &retry_us)) {
	case QUOTA_PASS:
		pass(w);
		break;
	case QUOTA_FULL:
		w->full++;
		break;
	case QUOTA_WAIT:
		p->waits[0]++;
		break;
	}
}

static void
resume(struct world *w, struct proxy *p, uint64_t workspace)
{
	int64_t retry_us;
	int age;

	for (age = WAIT_TICKS - 1; age >= 0; age--)
		while (p->waits[age] > 0) {
			enum quota_verdict v = quota_share_take(
			    &p->share, workspace, true, w->now_us, &retry_us);

			if (v == QUOTA_WAIT)
				return;
			p->waits[age]--;
			quota_share_stop_waiting(&p->share, workspace);
			if (v == QUOTA_PASS)
				pass(w);
			else
				w->full++;
		}
}

static void
deliver(struct world *w, const struct in_flight *m)
{
	struct proxy *p = &w->proxies[m->proxy];
	struct in_flight answer = *m;
	int64_t sent_us;

	if (!m->answer) {
		if (w->now_us < w->silent_until_us)
			return;
		answer.answer = true;
		answer.grant =
		    quota_ledger_grant(&w->ledger, &m->ask, w->now_us);
		answer.clock_us = w->now_us + w->clock_ahead_us;
		answer.clock_ahead_us = w->clock_ahead_us;
		post(w, &answer);
		return;
	}
	if (m->process != p->process)
		return;
	if (m->clock_ahead_us != p->clock_ahead_us)
		quota_share_forget_clock(&p->share);
	p->clock_ahead_us = m->clock_ahead_us;
	sent_us = quota_share_receive_answer(
	    &p->share, m->sequence, m->clock_us, w->now_us);
	if (sent_us < 0)
		return;
	quota_share_add_grant(
	    &p->share, m->ask.workspace, &m->grant, sent_us, w->now_us);
	resume(w, p, m->ask.workspace);
}

static void
deliver_due(struct world *w)
{
	uint32_t i = 0;

	while (i < w->message_count) {
		struct in_flight m = w->messages[i];

		if (m.due_us > w->now_us) {
			i++;
			continue;
		}
		w->messages[i] = w->messages[--w->message_count];
		deliver(w, &m);
	}
}

static void
step_proxy(struct world *w, uint32_t at, double demand_per_s)
{
	struct proxy *p = &w->proxies[at];
	struct in_flight m = {.proxy = at, .process = p->process};
	uint64_t workspace = quota_workspace_hash(WORKSPACE);
	double expected = demand_per_s / w->proxy_count * TICK_US / 1000000;

	for (; expected > 0; expected--)
		if (expected >= 1 ||
		    random_below(&w->random, 1000000) < expected * 1000000)
			arrive(w, p, workspace);
	quota_share_expire_asks(&p->share, w->now_us);
	if (quota_share_compose_ask(
		&p->share, &m.ask, 1, w->now_us, &m.sequence) > 0) {
		w->asks++;
		post(w, &m);
	}
	for (; p->waits[WAIT_TICKS - 1] > 0; p->waits[WAIT_TICKS - 1]--) {
		quota_share_stop_waiting(&p->share, workspace);
		w->timed_out++;
	}
	memmove(
	    &p->waits[1], &p->waits[0], sizeof(p->waits[0]) * (WAIT_TICKS - 1));
	p->waits[0] = 0;
}

/// Another accountant takes over, which knows nothing of what was granted.
static void
change_accountant(struct world *w, const struct rules *rules, int64_t gap_us)
{
	bool reserve =
	    w->now_us - w->begun_us >= quota_reserve_period_us(&bounds);

	quota_ledger_free(&w->ledger);
	quota_ledger_init(&w->ledger, &bounds);
	quota_ledger_set_limits(&w->ledger, rules, w->now_us);
	quota_ledger_begin(&w->ledger, reserve, w->now_us + gap_us);
	w->begun_us = w->silent_until_us = w->now_us + gap_us;
	w->clock_ahead_us = random_time_us(&w->random, 1000000000);
}

static void
restart_proxy(struct proxy *p, const struct rules *rules, uint64_t process)
{
	quota_share_free(&p->share);
	memset(p, 0, sizeof(*p));
	p->process = process;
	quota_share_set_limits(&p->share, rules);
}

static struct world *
world_create(uint64_t seed, uint32_t proxies, const struct rules *rules)
{
	struct world *w = calloc(1, sizeof(*w));
	uint32_t i;

	assert_non_null(w);
	w->random.seed = seed;
	w->now_us = 100000000;
	w->proxy_count = proxies;
	w->delay_us = 50000;
	for (i = 0; i < proxies; i++)
		restart_proxy(&w->proxies[i], rules, i + 1);
	w->begun_us = w->now_us;
	quota_ledger_init(&w->ledger, &bounds);
	quota_ledger_set_limits(&w->ledger, rules, w->now_us);
	return w;
}

static void
world_free(struct world *w)
{
	uint32_t i;

	for (i = 0; i < w->proxy_count; i++)
		quota_share_free(&w->proxies[i].share);
	quota_ledger_free(&w->ledger);
	free(w);
}

static void
step(struct world *w, double demand_per_s)
{
	uint32_t i;

	deliver_due(w);
	for (i = 0; i < w->proxy_count; i++)
		step_proxy(w, i, demand_per_s);
	w->now_us += TICK_US;
	w->tick++;
}

/// Returns the most requests that passed in any window.
static uint32_t
worst_window(const struct world *w, uint32_t from_tick)
{
	uint32_t window = (uint32_t)(bounds.window_us / TICK_US);
	uint32_t worst = 0;
	uint32_t sum = 0;
	uint32_t t;

	for (t = from_tick; t < w->tick; t++) {
		sum += w->passed[t];
		if (t >= from_tick + window)
			sum -= w->passed[t - window];
		if (sum > worst)
			worst = sum;
	}
	return worst;
}

/// One random history. Returns the worst window relative to the law.
static double
play_history(uint64_t seed)
{
	struct random random = {.seed = seed * 2 + 1};
	double rate = pow(10, random_below(&random, 2500) / 1000.0);
	double burst = rate * random_below(&random, 3);
	struct rules *rules = make_rules(1, rate, burst);
	uint32_t ticks = 700 + random_below(&random, 500);
	uint32_t lower_at = random_below(&random, 3) == 0
	    ? 100 + random_below(&random, 300)
	    : 0;
	uint32_t bound_from = 0;
	uint32_t period = 20 + random_below(&random, 300);
	double flood = 1 + random_below(&random, 12);
	struct world *w = world_create(seed,
	    random_below(&random, 10) == 0 ? MAX_PROXIES
					   : 2 + random_below(&random, 9),
	    rules);
	double worst;
	uint32_t t;

	w->loss_pct = random_below(&random, 2) * random_below(&random, 4) * 10;
	w->delay_us = 2000 << random_below(&random, 9);
	for (t = 0; t < ticks; t++) {
		if (lower_at != 0 && t == lower_at) {
			rules_unref(rules);
			rate /= 4;
			burst /= 4;
			rules = make_rules(2, rate, burst);
			quota_ledger_set_limits(&w->ledger, rules, w->now_us);
			// Tokens granted before have ended by then.
			bound_from = t + (uint32_t)(bounds.window_us / TICK_US);
		}
		if (random_below(&random, 250) == 0)
			change_accountant(
			    w, rules, random_time_us(&random, 1500000));
		if (random_below(&random, 100) == 0)
			restart_proxy(
			    &w->proxies[random_below(&random, w->proxy_count)],
			    rules, 1000 + t);
		// Silence, then a flood, is the worst for a bucket.
		step(w, t / period % 3 == 0 ? 0 : rate * flood);
	}
	worst = worst_window(w, bound_from) /
	    quota_window_limit(
		&bounds, (uint64_t)(rate * 1000), (uint64_t)(burst * 1000));
	rules_unref(rules);
	world_free(w);
	return worst;
}

static void
test_law(void **state)
{
	uint64_t seeds = test_seed_count(10000);
	uint64_t first = test_first_seed();
	double worst = 0;
	double sum = 0;
	uint64_t i;

	(void)state;
	for (i = 0; i < seeds; i++) {
		double ratio = play_history(first + i);

		sum += ratio;
		if (ratio > worst)
			worst = ratio;
		if (ratio > 1)
			fail_msg("seed %u: %.3f of the law",
			    (unsigned)(first + i), ratio);
	}
	print_message("worst window: %.3f of the law; mean of the worst "
		      "windows: %.3f\n",
	    worst, sum / (double)seeds);
}

/// At its usual use, a workspace of any size is never refused.
static void
test_nothing_refused_below_limit(void **state)
{
	static const double rates[] = {1, 3, 10, 40, 200, 600};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		struct rules *rules = make_rules(1, rates[i], rates[i]);
		struct world *w = world_create(i + 1, 79, rules);
		uint32_t t;

		// The bucket of a new accountant fills before the load begins.
		for (t = 0; t < 200; t++)
			step(w, 0);
		for (t = 0; t < 1500; t++)
			step(w, rates[i] / 1.6);
		print_message("rate %.0f: %u requests, %u refused, %u timed "
			      "out, %u asks\n",
		    rates[i], w->asked_for, w->full, w->timed_out, w->asks);
		assert_int_equal(w->full, 0);
		assert_int_equal(w->timed_out, 0);
		rules_unref(rules);
		world_free(w);
	}
}

/// A flood of ten times the usual gets its limit, and few asks are made for it.
static void
test_flood_gets_its_limit(void **state)
{
	static const double rates[] = {3, 40, 200, 600};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		struct rules *rules = make_rules(1, rates[i], rates[i]);
		struct world *w = world_create(i + 1, 79, rules);
		uint32_t passed = 0;
		uint32_t t;

		for (t = 0; t < 1500; t++)
			step(w, rates[i] * 10 / 1.6);
		for (t = 500; t < 1500; t++)
			passed += w->passed[t];
		print_message("rate %.0f: %u of %u passed, %u asks, worst "
			      "window %u of %.0f\n",
		    rates[i], passed, (unsigned)(rates[i] * 10), w->asks,
		    worst_window(w, 0),
		    quota_window_limit(&bounds, (uint64_t)(rates[i] * 1000),
			(uint64_t)(rates[i] * 1000)));
		assert_true(passed >= rates[i] * 10 * 0.9);
		assert_true(worst_window(w, 0) <=
		    quota_window_limit(&bounds, (uint64_t)(rates[i] * 1000),
			(uint64_t)(rates[i] * 1000)));
		rules_unref(rules);
		world_free(w);
	}
}

/// Without limited workspaces nothing is kept and nothing is asked.
static void
test_no_limits(void **state)
{
	struct quota_share share = {0};
	struct rules *rules = make_rules(1, 0, 5);
	struct quota_ask ask;
	uint32_t sequence;
	int64_t retry_us;

	(void)state;
	quota_share_set_limits(&share, rules);
	assert_int_equal(share.entry_count, 0);
	assert_int_equal(
	    quota_share_take(
		&share, quota_workspace_hash(WORKSPACE), false, 1, &retry_us),
	    QUOTA_PASS);
	assert_true(quota_share_ask_deadline_us(&share) == INT64_MAX);
	assert_int_equal(
	    quota_share_compose_ask(&share, &ask, 1, 1000000000, &sequence), 0);
	quota_share_free(&share);
	rules_unref(rules);
}

/// A token may be spent during its life, which begins when it was asked for, and
/// an answer counts once.
static void
test_tokens_end(void **state)
{
	struct rules *rules = make_rules(1, 10, 10);
	uint64_t workspace = quota_workspace_hash(WORKSPACE);
	struct quota_grant grant = {3, 3, 300000, 0};
	struct quota_share share = {0};
	int64_t now_us = 100000000;
	struct quota_ask ask;
	uint32_t sequence;
	int64_t retry_us;
	int64_t sent_us;

	(void)state;
	quota_share_set_limits(&share, rules);
	assert_int_equal(
	    quota_share_take(&share, workspace, false, now_us, &retry_us),
	    QUOTA_WAIT);
	assert_int_equal(
	    quota_share_compose_ask(&share, &ask, 1, now_us, &sequence), 1);
	assert_int_equal(ask.wanted, 1);
	sent_us =
	    quota_share_receive_answer(&share, sequence, 7, now_us + 200000);
	assert_true(sent_us == now_us);
	quota_share_add_grant(
	    &share, workspace, &grant, sent_us, now_us + 200000);
	assert_int_equal(
	    quota_share_receive_answer(&share, sequence, 7, now_us + 200000),
	    -1);
	assert_int_equal(quota_share_take(&share, workspace, true,
			     now_us + 299000, &retry_us),
	    QUOTA_PASS);
	quota_share_stop_waiting(&share, workspace);
	assert_int_equal(quota_share_take(&share, workspace, false,
			     now_us + 300000, &retry_us),
	    QUOTA_WAIT);
	// A grant that comes after its life has no tokens.
	quota_share_add_grant(
	    &share, workspace, &grant, sent_us, now_us + 300000);
	assert_int_equal(quota_share_take(&share, workspace, true,
			     now_us + 300000, &retry_us),
	    QUOTA_WAIT);
	// Whatever an answer states, it holds for seconds.
	grant.life_us = grant.wait_us = INT64_MAX / 4;
	quota_share_add_grant(
	    &share, workspace, &grant, sent_us, now_us + 300000);
	assert_int_equal(quota_share_take(&share, workspace, true,
			     now_us + 60000000, &retry_us),
	    QUOTA_WAIT);
	quota_share_free(&share);
	rules_unref(rules);
}

/// A link that was slow for a while does not keep a proxy from asking again: an
/// answer that is lost then delays a request, and no more.
static void
test_lost_answer_after_slow_ones(void **state)
{
	struct rules *rules = make_rules(1, 10, 10);
	uint64_t workspace = quota_workspace_hash(WORKSPACE);
	struct quota_grant none = {1, 0, 300000, 1000};
	struct quota_share share = {0};
	int64_t now_us = 100000000;
	struct quota_ask ask;
	uint32_t sequence;
	int64_t retry_us;
	uint32_t i;

	(void)state;
	quota_share_set_limits(&share, rules);
	for (i = 0; i < 50; i++) {
		quota_share_take(&share, workspace, false, now_us, &retry_us);
		now_us += 100000;
		assert_int_equal(
		    quota_share_compose_ask(&share, &ask, 1, now_us, &sequence),
		    1);
		now_us += 3000000;
		quota_share_receive_answer(&share, sequence, 7, now_us);
		quota_share_add_grant(&share, workspace, &none, now_us, now_us);
		quota_share_stop_waiting(&share, workspace);
		now_us += 100000;
	}
	assert_int_equal(
	    quota_share_take(&share, workspace, false, now_us, &retry_us),
	    QUOTA_WAIT);
	assert_int_equal(
	    quota_share_compose_ask(&share, &ask, 1, now_us, &sequence), 1);
	now_us += 300000;
	assert_true(quota_share_expire_asks(&share, now_us));
	assert_int_equal(
	    quota_share_compose_ask(&share, &ask, 1, now_us, &sequence), 1);
	assert_int_equal(ask.wanted, 1);
	quota_share_free(&share);
	rules_unref(rules);
}

/// However long nothing was asked for, no more than the depth is there; and an
/// accountant that takes over has its reserve only.
static void
test_bucket_is_bounded(void **state)
{
	struct rules *rules = make_rules(1, 10, 10);
	struct quota_ledger ledger;
	struct quota_ask ask = {quota_workspace_hash(WORKSPACE), 1000, 1000, 0};
	struct quota_plan plan = quota_plan_make(&bounds, 10000, 10000);

	(void)state;
	quota_ledger_init(&ledger, &bounds);
	quota_ledger_set_limits(&ledger, rules, 0);
	assert_int_equal(quota_ledger_grant(&ledger, &ask, 3600000000).tokens,
	    (uint32_t)plan.depth);
	assert_int_equal(
	    quota_ledger_grant(&ledger, &ask, 3600000000).tokens, 0);
	quota_ledger_begin(&ledger, true, 3700000000);
	assert_int_equal(quota_ledger_grant(&ledger, &ask, 3700000000).tokens,
	    (uint32_t)plan.reserve);
	quota_ledger_begin(&ledger, false, 3800000000);
	assert_int_equal(
	    quota_ledger_grant(&ledger, &ask, 3800000000).tokens, 0);
	// Depth, reserve and the tokens of a window and a life.
	assert_true(plan.depth + plan.reserve +
		plan.rate_per_s * (double)(bounds.window_us + plan.life_us) /
		    1000000 <=
	    quota_window_limit(&bounds, 10000, 10000));
	quota_ledger_free(&ledger);
	rules_unref(rules);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_no_limits),
	    cmocka_unit_test(test_tokens_end),
	    cmocka_unit_test(test_lost_answer_after_slow_ones),
	    cmocka_unit_test(test_bucket_is_bounded),
	    cmocka_unit_test(test_nothing_refused_below_limit),
	    cmocka_unit_test(test_flood_gets_its_limit),
	    cmocka_unit_test(test_law),
	};

	return cmocka_run_group_tests_name("quota", tests, NULL, NULL);
}
