/// @file
/// Limit on a rate, by the time from which the next unit is due (generic cell
/// rate algorithm). A unit has a cost: the time in which the rate allows one.
#ifndef MV_CORE_RATE_LIMIT_H
#define MV_CORE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/// Zero it for a limit that allows the full burst.
struct rate_limit {
	int64_t due_deadline_us; ///< All earlier units are paid for by then.
};

/// Returns the time until another unit is allowed; 0: now.
///
/// @param burst_us  cost of the units that may go ahead of their time
static inline int64_t
rate_limit_wait_us(
    const struct rate_limit *limit, int64_t burst_us, int64_t now_us)
{
	int64_t wait_us = limit->due_deadline_us - burst_us - now_us;

	return wait_us > 0 ? wait_us : 0;
}

static inline void
rate_limit_charge(struct rate_limit *limit, int64_t cost_us, int64_t now_us)
{
	if (limit->due_deadline_us < now_us)
		limit->due_deadline_us = now_us;
	limit->due_deadline_us += cost_us;
}

#endif
