// Retries and returns of callers under load, on a virtual clock.
#include <string.h>

#include "core/random.h"
#include "core/requests/retry.h"
#include "core/requests/retry_after.h"
#include "unit/support.h"

#define MS	  1000
#define SECOND_US 1000000LL
#define CALLERS	  1000
#define SLICE_US  (40 * MS)

/// Callers refused at the same moment come back spread over the time in which
/// they can still be served in time, and none too late for it.
static void
test_returns_are_spread(void **state)
{
	struct retry_after_request q = {.target_left_us = 400 * MS,
	    .deadline_left_us = 1500 * MS,
	    .service_us = 100 * MS};
	uint32_t slices[10] = {0};
	struct random random = {3, 0};
	uint32_t i;

	(void)state;
	for (i = 0; i < CALLERS; i++) {
		int64_t back_us = retry_after_draw_us(&random, &q);

		assert_true(back_us > 0);
		assert_true(back_us <= 300 * MS);
		slices[back_us / SLICE_US]++;
	}
	// Seven slices of 40 ms: none gets twice its part.
	for (i = 0; i < 10; i++)
		assert_true(slices[i] <= 2 * CALLERS / 7);
}

/// A caller that cannot be in time any more still comes back well before its
/// deadline; one without any time left does not come back at once either.
static void
test_late_returns(void **state)
{
	struct retry_after_request q = {.target_left_us = -50 * MS,
	    .deadline_left_us = 1000 * MS,
	    .service_us = 100 * MS};
	struct random random = {4, 0};
	uint32_t i;

	(void)state;
	for (i = 0; i < CALLERS; i++)
		assert_true(retry_after_draw_us(&random, &q) <= 400 * MS);
	q.deadline_left_us = -1;
	assert_true(retry_after_draw_us(&random, &q) > 0);
}

/// Arrivals at one service.
struct arrivals {
	struct retry_budget budget;
	uint32_t requests;
	uint32_t repeats;
};

static bool
retry(struct arrivals *a, uint32_t arrivals)
{
	struct retry_request q = {.outcome = OUTCOME_NOT_RUN,
	    .repeatable = true,
	    .body_kept = true,
	    .attempts = arrivals,
	    .arrivals = arrivals,
	    .deadline_us = SECOND_US};

	if (!retry_decide(&a->budget, &q, 0))
		return false;
	a->repeats++;
	return true;
}

static void
arrive(struct arrivals *a, bool parent_repeats)
{
	a->requests++;
	retry_budget_earn(&a->budget);
	if (!parent_repeats)
		return;
	a->repeats++;
	retry_budget_charge(&a->budget);
}

/// Servers of two services turn away half of all arrivals, and each run at the
/// first makes a call to the second. The calls of repeated runs and the retries
/// of the second service stay within the budget together.
static void
test_calls_of_repeats_count(void **state)
{
	struct arrivals first = {.requests = 0};
	struct arrivals second = {.requests = 0};
	struct random random = {8, 0};
	uint32_t i;

	(void)state;
	retry_budget_init(&first.budget);
	retry_budget_init(&second.budget);
	for (i = 0; i < 20000; i++) {
		uint32_t tries = 1;

		arrive(&first, false);
		while (random_below(&random, 2) == 0 && retry(&first, tries))
			tries++;
		arrive(&second, tries > 1);
		tries = 1;
		while (random_below(&random, 2) == 0 && retry(&second, tries))
			tries++;
	}
	assert_true(first.repeats <= first.requests / 5 + 20);
	assert_true(second.repeats <= second.requests / 5 + 20);
	assert_true(second.repeats >= second.requests * 19 / 100);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_returns_are_spread),
	    cmocka_unit_test(test_late_returns),
	    cmocka_unit_test(test_calls_of_repeats_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
