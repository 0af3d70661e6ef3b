// Limits that backend servers state: admission on a virtual clock, the terms that
// proxies keep, and a play of a whole mesh.
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "core/requests/admission.h"
#include "core/requests/server_terms.h"
#include "io/dialect.h"
#include "model/model.h"
#include "unit/support.h"

#define MS_US 1000LL
#define S_US  1000000LL

#define SPAN_US	   (4 * S_US)
#define MAX_STARTS 4096

static const struct rule_rank ranks[] = {
    {.name = "high", .worth = 10, .keep_pct = 10, .target_us = 1000 * MS_US},
    {.name = "low", .worth = 1, .keep_pct = 5, .target_us = 1000 * MS_US},
};

struct play {
	struct admission admission;
	struct random random;
	int64_t starts_us[MAX_STARTS];
	uint32_t start_count;
	uint32_t offered;
	uint32_t refused;
};

static void
play_init(struct play *p, uint64_t seed)
{
	memset(p, 0, sizeof(*p));
	p->random.seed = seed;
	admission_init(
	    &p->admission, &admission_reserved_shares, 1000, 1 << 20);
	admission_configure(&p->admission, 18, ranks, 2);
}

/// Ends items whose time in the slot is over, and starts queued ones.
static void
play_step(struct play *p, struct admission_item *items, uint32_t count,
    int64_t service_us, int64_t now_us)
{
	enum admission_verdict verdict;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (items[i].running &&
		    now_us >= items[i].start_us + service_us)
			admission_finish(&p->admission, &items[i], now_us);
	while (admission_next(&p->admission, now_us, &verdict) != NULL) {
		if (verdict == ADMISSION_RUN)
			p->starts_us[p->start_count++] = now_us;
		else
			p->refused++;
	}
}

/// Offers a request a millisecond, with a probability in permille.
static void
play_load(struct play *p, uint32_t permille, int64_t from_us, int64_t until_us)
{
	static struct admission_item items[40000];
	int64_t now_us;
	int64_t retry_us;
	uint32_t count = 0;

	memset(items, 0, sizeof(items));
	for (now_us = from_us; now_us < until_us; now_us += MS_US) {
		play_step(p, items, count, 160 * MS_US, now_us);
		if (random_below(&p->random, 1000) >= permille)
			continue;
		items[count].rank = random_below(&p->random, 2);
		items[count].deadline_us = now_us + 1200 * MS_US;
		items[count].target_deadline_us = now_us + 500 * MS_US;
		p->offered++;
		switch (admission_offer(
		    &p->admission, &items[count], now_us, &retry_us)) {
		case ADMISSION_RUN:
			p->starts_us[p->start_count++] = now_us;
			break;
		case ADMISSION_REFUSED:
			p->refused++;
			break;
		case ADMISSION_QUEUED:
			break;
		}
		count++;
	}
	// The items go out of scope: nothing of them stays queued.
	while (p->admission.queued > 0) {
		enum admission_verdict verdict;

		now_us += 100 * MS_US;
		admission_next(&p->admission, now_us, &verdict);
	}
}

static uint32_t
most_in_span(const struct play *p, int64_t from_us)
{
	uint32_t most = 0;
	uint32_t old = 0;
	uint32_t i;

	for (i = 0; i < p->start_count; i++) {
		while (p->starts_us[old] < from_us ||
		    p->starts_us[old] <= p->starts_us[i] - SPAN_US)
			old++;
		if (i + 1 - old > most && p->starts_us[i] >= from_us)
			most = i + 1 - old;
	}
	return most;
}

/// LIMIT: a server that named a limit got far more. In no 4 s more than one and a
/// half times the limit and 5, whatever the load; and the limit is used.
static void
test_limit_exceeded(void **state)
{
	static const double limits[] = {0.3, 1, 9.8, 13.2, 47.8, 90};
	static struct play p;
	size_t i;
	uint64_t seed;

	(void)state;
	for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++)
		for (seed = 1; seed <= 5; seed++) {
			double allowed = limits[i] * 4;

			play_init(&p, seed);
			admission_set_limit(
			    &p.admission, (uint32_t)(limits[i] * 1000), S_US);
			play_load(&p, 100, S_US, 21 * S_US);
			assert_in_range(most_in_span(&p, S_US), 0,
			    (uint32_t)(1.5 * allowed + 5));
			assert_true(p.start_count >= 0.9 * limits[i] * 20);
		}
}

/// LIMIT: a queue that was sized before the limit was named. Those that can no
/// longer run in time are refused at once, and none waits until its deadline.
static void
test_limit_named_with_a_full_queue(void **state)
{
	static struct play p;
	static struct admission_item items[60];
	int64_t retry_us;
	int64_t now_us = S_US;
	uint32_t i;

	(void)state;
	memset(items, 0, sizeof(items));
	play_init(&p, 1);
	play_load(&p, 100, now_us, now_us + 5 * S_US);
	now_us += 10 * S_US;
	p.start_count = p.refused = 0;
	for (i = 0; i < 60; i++) {
		items[i].deadline_us = now_us + 1200 * MS_US;
		items[i].target_deadline_us = now_us + 500 * MS_US;
		admission_offer(&p.admission, &items[i], now_us, &retry_us);
	}
	assert_in_range(p.admission.queued, 5, 42);
	admission_set_limit(&p.admission, 10000, now_us);
	play_step(&p, items, 60, 160 * MS_US, now_us);
	// 170 ms of wait at most, at ten a second.
	assert_in_range(p.admission.queued, 1, 3);
}

/// A limit that ends has no further effect.
static void
test_limit_ends(void **state)
{
	static struct play p;

	(void)state;
	play_init(&p, 1);
	admission_set_limit(&p.admission, 5000, S_US);
	admission_set_limit(&p.admission, 0, 2 * S_US);
	play_load(&p, 80, 2 * S_US, 12 * S_US);
	assert_int_equal(p.refused, 0);
}

/// LIMIT: responses that overtake each other, and proxies that start.
static void
test_limit_forgotten(void **state)
{
	struct server_terms_state s = {0};
	struct server_terms copy = {.server = 7, .limit_milli = 13200};
	struct server_terms other = {.server = 8, .limit_milli = 1};

	(void)state;
	assert_true(server_terms_set_server(&s, 7));
	// A proxy that has just started is told, of its own server only.
	assert_false(server_terms_learn(&s, &other));
	assert_true(server_terms_learn(&s, &copy));
	assert_int_equal(s.terms.limit_milli, 13200);
	// Then its server's own responses count.
	assert_true(server_terms_state_response(&s, 20000, false, 100, 200));
	assert_false(server_terms_learn(&s, &copy));
	assert_int_equal(s.terms.limit_milli, 20000);
	// A response without a limit whose request was sent before.
	assert_false(server_terms_state_response(&s, 0, false, 150, 210));
	assert_true(server_terms_state_response(&s, 0, false, 201, 220));
	assert_int_equal(s.terms.limit_milli, 0);
	// A server that leaves never stays.
	copy.leaving = true;
	assert_true(server_terms_learn(&s, &copy));
	assert_false(server_terms_state_response(&s, 0, false, 300, 310));
	assert_true(s.terms.leaving);
	assert_false(server_terms_set_server(&s, 7));
	assert_true(server_terms_set_server(&s, 9));
	assert_false(s.terms.leaving);
	// A server whose start time is not known is not identified.
	assert_int_equal(server_terms_hash("a", 0), 0);
	assert_int_not_equal(
	    server_terms_hash("a", 1), server_terms_hash("a", 2));
}

/// DRAIN: the proxy next to a server that leaves is absent for some time. What the
/// server stated is kept meanwhile, and no request is sent there.
static void
test_drain_terms_outlive_an_absence(void **state)
{
	struct server_terms leaving = {.server = 7, .leaving = true};
	struct member member = {.backend = BACKEND_READY, .slots = 4};
	struct balancer_request q = {.worth = 1};
	struct balancer b;

	(void)state;
	strcpy(member.name, "a");
	balancer_init(&b, "s", 1, 0);
	balancer_begin_view(&b);
	balancer_add(&b, &member, DISTANCE_DC, S_US);
	balancer_end_view(&b, S_US);
	balancer_keep_terms(balancer_find(&b, "a"), &leaving, S_US);
	balancer_begin_view(&b);
	balancer_end_view(&b, 2 * S_US);
	assert_null(balancer_choose(&b, &q, 2 * S_US).endpoint);
	member.incarnation = 2;
	balancer_begin_view(&b);
	balancer_add(&b, &member, DISTANCE_DC, 30 * S_US);
	balancer_end_view(&b, 30 * S_US);
	assert_true(balancer_find(&b, "a")->terms.leaving);
	balancer_begin_view(&b);
	balancer_end_view(&b, 62 * S_US);
	assert_null(balancer_find(&b, "a"));
	balancer_free(&b);
}

/// LIMIT: four of six servers name limits. No limit is exceeded. The other two
/// have room for the rest, so that no caller needs to be refused.
static void
test_limit_in_a_mesh(void **state)
{
	static struct mix mix;
	struct model_result product;
	struct model_result blind;
	struct error err;
	uint64_t seed;
	uint32_t i;

	(void)state;
	if (mix_load("../../bench/model/mixes/capped-desk.json", &mix, &err) !=
	    0)
		fail_msg("%s: %s", err.step, err.text);
	for (seed = 1; seed <= 3; seed++) {
		model_run(&mix, &model_product, seed, &product);
		assert_true(product.limit_share > 0.8);
		assert_true(product.limit_share <= 1.5);
		assert_true(product.refused < 0.001);
		for (i = 0; i < model_policy_count; i++) {
			if (strcmp(model_policies[i].name,
				"rank, best of two") != 0)
				continue;
			model_run(&mix, &model_policies[i], seed, &blind);
			assert_true(blind.limit_share <= 1.5);
			assert_true(product.worth > blind.worth);
			assert_true(product.refused < blind.refused);
		}
	}
}

static int
read_limit(const char *text, uint32_t *limit_milli)
{
	struct error err;

	return dialect_read_limit(text, strlen(text), limit_milli, &err);
}

static void
test_limits_as_text(void **state)
{
	static const char *const bad[] = {"", ".", "-1", "+3", "1e3", "nan",
	    "inf", "0x10", "1,5", " 2", "2 ", "3.4.5", "1000001",
	    "99999999999999999999999999"};
	uint32_t limit_milli;
	size_t i;

	(void)state;
	assert_int_equal(read_limit("13.2", &limit_milli), 0);
	assert_int_equal(limit_milli, 13200);
	assert_int_equal(read_limit("47", &limit_milli), 0);
	assert_int_equal(limit_milli, 47000);
	assert_int_equal(read_limit("0.5", &limit_milli), 0);
	assert_int_equal(limit_milli, 500);
	// A server that takes nothing states a limit all the same.
	assert_int_equal(read_limit("0", &limit_milli), 0);
	assert_int_equal(limit_milli, 1);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(read_limit(bad[i], &limit_milli), -1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_limit_exceeded),
	    cmocka_unit_test(test_limit_named_with_a_full_queue),
	    cmocka_unit_test(test_limit_ends),
	    cmocka_unit_test(test_limit_forgotten),
	    cmocka_unit_test(test_drain_terms_outlive_an_absence),
	    cmocka_unit_test(test_limit_in_a_mesh),
	    cmocka_unit_test(test_limits_as_text),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
