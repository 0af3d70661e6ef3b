// Balancer, retry policy and fence on a virtual clock.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/balancer.h"
#include "core/requests/fence.h"
#include "core/requests/retry.h"
#include "unit/support.h"

#define SECOND_US 1000000LL

static struct member
make_member(const char *name, enum backend_state state)
{
	struct member m = {
	    .incarnation = 1, .backend = state, .slots = 10, .peer_port = 1};

	snprintf(m.name, sizeof(m.name), "%s", name);
	strcpy(m.service, "s");
	return m;
}

/// Adds six endpoints: a, b in the data centre; c, d in the region; e, f far.
static void
add_endpoints(struct balancer *b, int64_t now_us)
{
	static const char *const endpoint_names[] = {
	    "a", "b", "c", "d", "e", "f"};
	size_t i;

	balancer_begin_view(b);
	for (i = 0; i < 6; i++) {
		struct member m = make_member(endpoint_names[i], BACKEND_READY);

		balancer_add(b, &m, (enum distance)(i / 2), now_us);
	}
	balancer_end_view(b, 0);
}

static struct balancer_choice
choose(struct balancer *b, uint32_t worth, int64_t now_us)
{
	struct balancer_request q = {.worth = worth};

	return balancer_choose(b, &q, now_us);
}

static uint32_t
count_chosen(
    struct balancer *b, const char *names, uint32_t tries, int64_t now_us)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < tries; i++) {
		struct balancer_choice c = choose(b, 1, now_us);

		assert_non_null(c.endpoint);
		count += strchr(names, c.endpoint->name[0]) != NULL;
		balancer_finish(b, c.endpoint, now_us, false, now_us);
	}
	return count;
}

static void
test_spill_to_distant_endpoints(void **state)
{
	struct balancer b;
	uint32_t i;

	(void)state;
	balancer_init(&b, "s", 1, 0);
	add_endpoints(&b, SECOND_US);
	assert_int_equal(count_chosen(&b, "ab", 200, SECOND_US), 200);
	// Without responses the load grows until others cost less.
	for (i = 0; i < 60; i++)
		choose(&b, 1, SECOND_US);
	assert_true(balancer_find(&b, "a")->outstanding >= 10);
	assert_true(balancer_find(&b, "c")->outstanding > 0);
	assert_true(balancer_find(&b, "a")->outstanding >
	    balancer_find(&b, "e")->outstanding);
	balancer_free(&b);
}

/// The load that an endpoint reports counts, also load from other proxies.
static void
test_reported_load(void **state)
{
	struct balancer b;

	(void)state;
	balancer_init(&b, "s", 1, 0);
	add_endpoints(&b, SECOND_US);
	balancer_report(balancer_find(&b, "a"),
	    &(struct balancer_report){.running = 10, .queued = 20}, SECOND_US);
	assert_int_equal(count_chosen(&b, "b", 200, SECOND_US), 200);
	balancer_free(&b);
}

static void
test_backend_states(void **state)
{
	struct member cold = make_member("a", BACKEND_COLD);
	struct member draining = make_member("b", BACKEND_DRAINING);
	struct balancer b;

	(void)state;
	balancer_init(&b, "s", 1, 0);
	add_endpoints(&b, SECOND_US);
	balancer_begin_view(&b);
	balancer_add(&b, &cold, DISTANCE_DC, SECOND_US);
	balancer_add(&b, &draining, DISTANCE_DC, SECOND_US);
	balancer_end_view(&b, SECOND_US);
	assert_int_equal(count_chosen(&b, "a", 50, SECOND_US), 50);
	balancer_free(&b);
}

/// A backend server that restarted gets few requests at first.
static void
test_slow_start(void **state)
{
	struct member returning = make_member("a", BACKEND_READY);
	struct balancer b;
	uint32_t early;
	uint32_t late;

	(void)state;
	balancer_init(&b, "s", 1, 10 * SECOND_US);
	add_endpoints(&b, SECOND_US);
	returning.incarnation = 2;
	balancer_begin_view(&b);
	balancer_add(&b, &returning, DISTANCE_DC, 20 * SECOND_US);
	returning = make_member("b", BACKEND_READY);
	balancer_add(&b, &returning, DISTANCE_DC, 20 * SECOND_US);
	balancer_end_view(&b, SECOND_US);
	for (early = 0; early < 11; early++)
		choose(&b, 1, 20 * SECOND_US);
	early = balancer_find(&b, "a")->outstanding;
	for (late = 0; late < 11; late++)
		choose(&b, 1, 40 * SECOND_US);
	late = balancer_find(&b, "a")->outstanding - early;
	assert_in_range(early, 0, 2);
	assert_in_range(late, 5, 11);
	balancer_free(&b);
}

static void
fail_requests(
    struct balancer *b, const char *name, uint32_t times, int64_t now_us)
{
	struct endpoint *e = balancer_find(b, name);

	while (times-- > 0) {
		e->outstanding++;
		flow_enter(&e->response_time, now_us);
		balancer_finish(b, e, now_us, true, now_us);
	}
}

/// At most half of a service is ejected, however many endpoints fail, and an
/// ejected endpoint is used again later.
static void
test_ejection_is_bounded(void **state)
{
	static const char *const endpoint_names[] = {
	    "a", "b", "c", "d", "e", "f"};
	struct balancer b;
	uint32_t ejected = 0;
	size_t i;

	(void)state;
	balancer_init(&b, "s", 1, 0);
	add_endpoints(&b, SECOND_US);
	for (i = 0; i < 6; i++)
		fail_requests(&b, endpoint_names[i], 20, SECOND_US);
	for (i = 0; i < 6; i++)
		ejected += balancer_find(&b, endpoint_names[i])
			       ->ejected_until_deadline_us > SECOND_US;
	assert_int_equal(ejected, 3);
	assert_int_equal(count_chosen(&b, "ab", 50, SECOND_US), 0);
	assert_int_equal(count_chosen(&b, "ab", 50, 100 * SECOND_US), 50);
	balancer_free(&b);
}

/// Marks each endpoint of add_endpoints() as one that refused a request.
///
/// @param until_deadline_us  when the first may be asked again
/// @param step_us            how much later each next one may
static void
set_all_busy(struct balancer *b, const struct balancer_request *refused,
    int64_t until_deadline_us, int64_t step_us)
{
	static const char *const endpoint_names[] = {
	    "a", "b", "c", "d", "e", "f"};
	size_t i;

	for (i = 0; i < 6; i++)
		balancer_set_busy(balancer_find(b, endpoint_names[i]), refused,
		    until_deadline_us + step_us * (int64_t)i);
}

/// An endpoint that refused a request for lack of time to wait still gets
/// requests of the same rank that can wait longer, and calls of work in
/// progress, which go ahead of others there.
static void
test_busy_spares_the_patient(void **state)
{
	struct balancer_request q = {.worth = 5, .target_left_us = 300000};
	struct balancer b;

	(void)state;
	balancer_init(&b, "s", 1, 0);
	add_endpoints(&b, SECOND_US);
	set_all_busy(&b, &q, 2 * SECOND_US, 0);
	assert_null(balancer_choose(&b, &q, SECOND_US).endpoint);
	q.target_left_us = 305000;
	assert_null(balancer_choose(&b, &q, SECOND_US).endpoint);
	q.target_left_us = 100000;
	assert_null(balancer_choose(&b, &q, SECOND_US).endpoint);
	q.target_left_us = 1500000;
	assert_non_null(balancer_choose(&b, &q, SECOND_US).endpoint);
	q.target_left_us = 100000;
	q.begun = true;
	assert_non_null(balancer_choose(&b, &q, SECOND_US).endpoint);
	balancer_free(&b);
}

/// An endpoint that is busy for one rank is still used for others, which have
/// their own share there. If all are busy, the choice says until when.
static void
test_busy_by_worth(void **state)
{
	struct balancer_request refused = {.worth = 5};
	struct balancer_choice c;
	struct balancer b;

	(void)state;
	balancer_init(&b, "s", 1, 0);
	add_endpoints(&b, SECOND_US);
	set_all_busy(&b, &refused, SECOND_US + 1000, 1000);
	c = choose(&b, 5, SECOND_US);
	assert_null(c.endpoint);
	assert_int_equal(c.busy_until_deadline_us, SECOND_US + 1000);
	c = choose(&b, 6, SECOND_US);
	assert_non_null(c.endpoint);
	c = choose(&b, 4, SECOND_US);
	assert_non_null(c.endpoint);
	c = choose(&b, 5, SECOND_US + 1001);
	assert_string_equal(c.endpoint->name, "a");
	balancer_free(&b);
}

static void
test_retry_safety(void **state)
{
	struct retry_request q = {.outcome = OUTCOME_UNKNOWN,
	    .body_kept = true,
	    .attempts = 1,
	    .deadline_us = 100};
	struct retry_budget budget;

	(void)state;
	retry_budget_init(&budget);
	assert_false(retry_decide(&budget, &q, 1));
	q.repeatable = true;
	assert_true(retry_decide(&budget, &q, 1));
	q.body_kept = false;
	assert_false(retry_decide(&budget, &q, 1));
	q.body_kept = true;
	q.repeatable = false;
	q.outcome = OUTCOME_NOT_RUN;
	assert_true(retry_decide(&budget, &q, 1));
	assert_false(retry_decide(&budget, &q, 100));
	q.attempts = 3;
	assert_false(retry_decide(&budget, &q, 1));
	q.outcome = OUTCOME_ANSWERED;
	q.attempts = 1;
	assert_false(retry_decide(&budget, &q, 1));
}

/// Retries stay a fifth of the requests, however many fail.
static void
test_retry_budget(void **state)
{
	struct retry_request q = {.outcome = OUTCOME_NOT_RUN,
	    .body_kept = true,
	    .attempts = 1,
	    .deadline_us = 100};
	struct retry_budget budget;
	uint32_t retries = 0;
	uint32_t i;

	(void)state;
	retry_budget_init(&budget);
	for (i = 0; i < 10000; i++) {
		retry_budget_earn(&budget);
		retries += retry_decide(&budget, &q, 1);
	}
	assert_in_range(retries, 1900, 2100);
}

static void
test_fence(void **state)
{
	struct fence *f = malloc(sizeof(*f));
	int64_t t = 100 * SECOND_US;

	(void)state;
	fence_init(f, SECOND_US);
	assert_true(fence_admit_stream(f, "i", 7, 1));
	fence_record_arrival(f, fence_key("i", 7, 1), t);
	fence_record_arrival(f, fence_key("i", 7, 2), t);
	fence_mark_run(f, fence_key("i", 7, 2));
	assert_true(fence_admit_stream(f, "i", 7, 2));
	// Arrived but did not run; ran; did not arrive.
	assert_int_equal(
	    fence_query(f, "i", 7, 2, 1, SECOND_US, t), OUTCOME_NOT_RUN);
	assert_int_equal(
	    fence_query(f, "i", 7, 2, 2, SECOND_US, t), OUTCOME_UNKNOWN);
	assert_int_equal(
	    fence_query(f, "i", 7, 2, 3, SECOND_US, t), OUTCOME_NOT_RUN);
	// The earlier stream is rejected from now on, also if its first message
	// arrives late.
	assert_false(fence_admit_stream(f, "i", 7, 1));
	assert_true(fence_admit_stream(f, "i", 7, 2));
	// An earlier process of the ingress is rejected, a later one is not.
	assert_false(fence_admit_stream(f, "i", 6, 9));
	assert_true(fence_admit_stream(f, "i", 8, 1));
	assert_int_equal(
	    fence_query(f, "i", 7, 3, 1, SECOND_US, t), OUTCOME_UNKNOWN);
	fence_free(f);
	free(f);
}

/// A request that may have been evicted, or was sent before this process
/// started, is not reported as not run.
static void
test_fence_after_eviction(void **state)
{
	struct fence *f = malloc(sizeof(*f));
	int64_t t = 100 * SECOND_US;
	uint64_t id;

	(void)state;
	fence_init(f, t);
	fence_admit_stream(f, "i", 7, 1);
	assert_int_equal(
	    fence_query(f, "i", 7, 1, 1, SECOND_US, t), OUTCOME_UNKNOWN);
	t += 10 * SECOND_US;
	fence_record_arrival(f, fence_key("i", 7, 1), t);
	fence_mark_run(f, fence_key("i", 7, 1));
	for (id = 2; id <= FENCE_ENTRY_COUNT + 1; id++)
		fence_record_arrival(f, fence_key("i", 7, id), t + 1);
	assert_int_equal(
	    fence_query(f, "i", 7, 1, 1, 2 * SECOND_US, t + 2 * SECOND_US),
	    OUTCOME_UNKNOWN);
	assert_int_equal(fence_query(f, "i", 7, 1, FENCE_ENTRY_COUNT + 1,
			     2 * SECOND_US, t + 2 * SECOND_US),
	    OUTCOME_NOT_RUN);
	assert_int_equal(
	    fence_query(f, "i", 7, 1, 99999, SECOND_US, t + 10 * SECOND_US),
	    OUTCOME_NOT_RUN);
	fence_free(f);
	free(f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_spill_to_distant_endpoints),
	    cmocka_unit_test(test_reported_load),
	    cmocka_unit_test(test_backend_states),
	    cmocka_unit_test(test_slow_start),
	    cmocka_unit_test(test_ejection_is_bounded),
	    cmocka_unit_test(test_busy_by_worth),
	    cmocka_unit_test(test_busy_spares_the_patient),
	    cmocka_unit_test(test_retry_safety),
	    cmocka_unit_test(test_retry_budget),
	    cmocka_unit_test(test_fence),
	    cmocka_unit_test(test_fence_after_eviction),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
