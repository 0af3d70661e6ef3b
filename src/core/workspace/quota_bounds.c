// The law of quotas, and the buckets that keep it.
#include "core/workspace/quota_bounds.h"

#define MILLI	     1000.0
#define PERMILLE     1000.0
#define MICROS_PER_S 1e6

/// Life of tokens: long enough to spend them after a round trip between regions,
/// short enough that those of a proxy that fell silent do not matter for long.
#define LIFE_MIN_S 0.25
#define LIFE_MAX_S 3.0

/// Part of the allowance above the limit that is used for the life of tokens; the
/// rest deepens the bucket.
#define LIFE_PART 0.8

/// Part of the bucket that only an accountant that takes over may use.
#define RESERVE_PART 0.25

/// Clocks of different VMs may run at slightly different rates.
#define CLOCK_MARGIN 0.98

double
quota_window_limit(const struct quota_bounds *bounds, uint64_t rate_milli,
    uint64_t burst_milli)
{
	double rate = (double)rate_milli / MILLI;
	double limit = rate * (double)bounds->window_us / MICROS_PER_S +
	    (double)burst_milli / MILLI;

	return limit * (1 + bounds->overage_permille / PERMILLE) +
	    bounds->slack;
}

int64_t
quota_reserve_period_us(const struct quota_bounds *bounds)
{
	return bounds->window_us + (int64_t)(LIFE_MAX_S * MICROS_PER_S);
}

struct quota_plan
quota_plan_make(const struct quota_bounds *bounds, uint64_t rate_milli,
    uint64_t burst_milli)
{
	struct quota_plan plan = {.rate_per_s = (double)rate_milli / MILLI};
	double window_s = (double)bounds->window_us / MICROS_PER_S;
	double most =
	    CLOCK_MARGIN * quota_window_limit(bounds, rate_milli, burst_milli);
	double above =
	    most - plan.rate_per_s * window_s - (double)burst_milli / MILLI;
	double life_s = LIFE_PART * above / plan.rate_per_s;

	if (life_s < LIFE_MIN_S)
		life_s = LIFE_MIN_S;
	if (life_s > LIFE_MAX_S)
		life_s = LIFE_MAX_S;
	plan.life_us = (int64_t)(life_s * MICROS_PER_S);
	plan.depth = most - plan.rate_per_s * (window_s + life_s);
	if (plan.depth < 1) {
		// So strict a law leaves no room for a life: the bucket fills
		// more slowly.
		plan.depth = 1;
		plan.rate_per_s = (most - 1) / (window_s + life_s);
	}
	plan.reserve = plan.depth * RESERVE_PART;
	if (plan.depth - plan.reserve < 1)
		plan.reserve = plan.depth - 1;
	plan.depth -= plan.reserve;
	return plan;
}
