/// @file
/// How long a caller has waited before its request arrived. A caller that was
/// refused and comes back states a nearer deadline than usual, although its
/// latency target counts from its first attempt.
#ifndef MV_CORE_REQUESTS_CALLER_AGE_H
#define MV_CORE_REQUESTS_CALLER_AGE_H

#include <stdint.h>

/// Deadlines that the callers of a route state. Zero it before the first use.
struct caller_age {
	double usual_us; ///< Median of the time until the stated deadline.
	uint32_t samples;
};

/// Records the time until the deadline that a caller states.
void caller_age_record(struct caller_age *age, int64_t deadline_left_us);

/// Returns for how long a caller that states a deadline has waited already; 0 if
/// it may be a first attempt.
int64_t caller_age_estimate(
    const struct caller_age *age, int64_t deadline_left_us);

#endif
