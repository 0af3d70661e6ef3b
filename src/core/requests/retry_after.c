// Spreads the return of refused callers.
#include "core/requests/retry_after.h"

/// Shortest time until a return. Load reports take about as long to arrive.
#define RETRY_AFTER_MIN_US 20000

/// A caller that cannot be served in time any more returns within this part of
/// the time until its deadline.
#define LATE_DIVISOR 4

int64_t
retry_after_draw_us(
    struct random *random, const struct retry_after_request *request)
{
	int64_t latest_us = request->target_left_us - request->service_us;

	if (latest_us <= RETRY_AFTER_MIN_US)
		latest_us = (request->deadline_left_us - request->service_us) /
		    LATE_DIVISOR;
	if (latest_us <= RETRY_AFTER_MIN_US)
		return RETRY_AFTER_MIN_US;
	return RETRY_AFTER_MIN_US +
	    random_time_us(random, latest_us - RETRY_AFTER_MIN_US);
}
