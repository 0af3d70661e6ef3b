// What requests cost, what servers still have to do, and what the balancer makes
// of it, on a virtual clock.
#include <stdio.h>
#include <string.h>

#include "core/requests/balancer.h"
#include "core/requests/work_left.h"
#include "unit/support.h"

#define MS_US 1000LL
#define S_US  1000000LL

/// Load: 97 in 100 requests take 80 ms, the others seven times as long.
static void
learn_heavy_tail(struct work_cost *cost, int64_t now_us)
{
	int i;

	for (i = 0; i < 200; i++)
		work_cost_record(cost, i % 100 < 97 ? 80 * MS_US : 560 * MS_US,
		    94 * MS_US, now_us);
}

static void
test_heavy_tail(void **state)
{
	struct work_cost cost = {0};
	struct work_cost none = {0};

	(void)state;
	learn_heavy_tail(&cost, S_US);
	// One that has run for three times the mean is of the long kind.
	assert_in_range(work_cost_remainder_us(&cost, 94 * MS_US, 0, S_US),
	    75 * MS_US, 110 * MS_US);
	assert_in_range(
	    work_cost_remainder_us(&cost, 94 * MS_US, 282 * MS_US, S_US),
	    200 * MS_US, 320 * MS_US);
	// Without samples, the end is as likely at any time.
	assert_int_equal(
	    work_cost_remainder_us(&none, 94 * MS_US, 282 * MS_US, S_US),
	    94 * MS_US);
}

static void
test_samples_decay(void **state)
{
	struct work_cost cost = {0};
	int64_t later_us = 3600 * S_US;
	int i;

	(void)state;
	learn_heavy_tail(&cost, S_US);
	for (i = 0; i < 200; i++)
		work_cost_record(&cost, 188 * MS_US, 94 * MS_US, later_us);
	// The long kind is forgotten.
	assert_in_range(work_cost_remainder_us(&cost, 94 * MS_US, 0, later_us),
	    160 * MS_US, 200 * MS_US);
	assert_in_range(
	    work_cost_remainder_us(&cost, 94 * MS_US, 282 * MS_US, later_us),
	    80 * MS_US, 110 * MS_US);
}

/// A request that goes on far beyond all that is known, and one of a route that was
/// not used for days, still have a remainder that a report can carry.
static void
test_remainder_is_finite(void **state)
{
	struct work_cost cost = {0};
	int64_t days_us = 3 * 24 * 3600 * S_US;

	(void)state;
	learn_heavy_tail(&cost, S_US);
	assert_in_range(work_cost_remainder_us(&cost, 200, 3 * S_US, S_US),
	    S_US, 10 * S_US);
	assert_int_equal(
	    work_cost_remainder_us(&cost, 94 * MS_US, 0, days_us), 94 * MS_US);
	work_cost_record(&cost, 80 * MS_US, 94 * MS_US, days_us);
	assert_in_range(work_cost_remainder_us(&cost, 94 * MS_US, 0, days_us),
	    80 * MS_US, 100 * MS_US);
}

/// Adds a slow server "a" in the data centre and a quick one "b" in the next.
static void
add_unequal(struct balancer *b)
{
	struct member m = {
	    .incarnation = 1, .backend = BACKEND_READY, .slots = 12};

	balancer_init(b, "s", 1, 0);
	balancer_begin_view(b);
	strcpy(m.service, "s");
	strcpy(m.name, "a");
	balancer_add(b, &m, DISTANCE_DC, 0);
	strcpy(m.name, "b");
	balancer_add(b, &m, DISTANCE_REGION, 0);
	balancer_end_view(b, 0);
}

static void
report(struct balancer *b, const char *name, int64_t service_us,
    uint32_t running, uint32_t queued, int64_t work_left_us, int64_t now_us)
{
	struct balancer_report r = {.running = running,
	    .queued = queued,
	    .service_us = service_us,
	    .work_left_us = work_left_us};

	balancer_report(balancer_find(b, name), &r, now_us);
}

static char
choose(struct balancer *b, int64_t now_us)
{
	struct balancer_request q = {.worth = 1,
	    .target_left_us = 800 * MS_US,
	    .deadline_left_us = 3 * S_US};
	struct balancer_choice c = balancer_choose(b, &q, now_us);

	balancer_finish(b, c.endpoint, now_us, false, now_us);
	return c.endpoint->name[0];
}

/// Load: one server is always slow and another was slow for a while. Ten seconds
/// after their last reports the second one gets requests again and the first one
/// does not.
static void
test_slow_server_is_remembered(void **state)
{
	struct server_speed always = {0};
	struct server_speed lately = {0};
	int64_t now_us;

	(void)state;
	for (now_us = S_US; now_us <= 30 * S_US; now_us += S_US / 2) {
		server_speed_report(&always, 400 * MS_US, now_us);
		server_speed_report(
		    &lately, (now_us > 29 * S_US ? 400 : 150) * MS_US, now_us);
	}
	now_us = 40 * S_US;
	assert_true(
	    server_speed_expect_us(&always, 200 * MS_US, now_us) > 340 * MS_US);
	assert_true(
	    server_speed_expect_us(&lately, 200 * MS_US, now_us) < 230 * MS_US);
	// It is tried again some day.
	assert_true(server_speed_expect_us(&always, 200 * MS_US,
			now_us + 300 * S_US) < 210 * MS_US);
}

/// Load: the queues of two servers are of the same length, and the nearer one's
/// holds requests of four times the usual cost.
static void
test_wait_follows_work(void **state)
{
	struct work_left work = {0};
	struct work_left_item usual = {.route = 1, .expected_us = 100 * MS_US};
	struct work_left_item heavy = {.route = 2, .expected_us = 400 * MS_US};
	struct work_left_item runs = {
	    .route = 2, .expected_us = 400 * MS_US, .start_us = S_US};
	struct balancer b;
	int64_t heavy_us = work_left_of_item_us(&work, &runs, S_US) * 12 +
	    work_left_of_item_us(&work, &heavy, S_US) * 24;
	int64_t usual_us = work_left_of_item_us(&work, &usual, S_US) * 36;

	(void)state;
	assert_int_equal(heavy_us, 4 * usual_us);
	add_unequal(&b);
	report(&b, "a", 150 * MS_US, 12, 24, heavy_us, S_US);
	report(&b, "b", 150 * MS_US, 12, 24, usual_us, S_US);
	assert_int_equal(choose(&b, S_US), 'b');
	// What was reported long ago has been done since.
	report(&b, "a", 150 * MS_US, 12, 24, heavy_us, S_US);
	report(&b, "b", 150 * MS_US, 12, 24, usual_us, S_US);
	assert_int_equal(choose(&b, 8 * S_US), 'a');
	balancer_free(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_heavy_tail),
	    cmocka_unit_test(test_samples_decay),
	    cmocka_unit_test(test_remainder_is_finite),
	    cmocka_unit_test(test_slow_server_is_remembered),
	    cmocka_unit_test(test_wait_follows_work),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
