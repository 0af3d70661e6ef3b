/// @file
/// How much the time of requests in a slot differs from what was expected.
///
/// Answers the load of requests that look alike and cost servers very different
/// amounts of work: a mean does not tell how long one that has run for some time
/// will still run. Times are recorded relative to the expectation at their start,
/// so that servers of any speed add to one distribution.
#ifndef MV_CORE_REQUESTS_WORK_COST_H
#define MV_CORE_REQUESTS_WORK_COST_H

#include <stdint.h>

/// Buckets of a logarithmic scale, four to each doubling, from an eighth of the
/// expected time to 64 times it.
#define WORK_COST_BUCKETS 38

/// Decayed distribution of the relative times of one route. Zero it before the
/// first use.
struct work_cost {
	float
	    counts[WORK_COST_BUCKETS]; ///< In units of the weight at epoch_us.
	double total;		       ///< Of all counts.
	int64_t epoch_us;
};

/// Records the time of a request in its slot.
///
/// @param expected_us  what was expected of it; 0: not known, no sample
void work_cost_record(struct work_cost *cost, int64_t time_us,
    int64_t expected_us, int64_t now_us);

/// Returns how long a request is expected to run on.
///
/// @param expected_us  expected at its start
/// @param elapsed_us   time that it has run
int64_t work_cost_remainder_us(const struct work_cost *cost,
    int64_t expected_us, int64_t elapsed_us, int64_t now_us);

#endif
