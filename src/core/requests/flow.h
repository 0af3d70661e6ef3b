/// @file
/// Mean time that a request spends in a system, quick to follow a change.
///
/// By Little's law it is the total time spent in the system over the number of
/// completions. Requests in progress count too, so that a stalled server shows
/// before any of its requests completes. Old samples decay, and a long-term
/// mean serves as a prior where there are few.
#ifndef MV_CORE_REQUESTS_FLOW_H
#define MV_CORE_REQUESTS_FLOW_H

#include <stdint.h>

struct flow {
	int64_t updated_us;   ///< Time of the last decay.
	double occupancy_us;  ///< Total time in the system, decayed.
	double completions;   ///< Completed requests, decayed.
	uint32_t in_progress; ///< Requests in progress.
	double long_mean_us;  ///< Long-term mean; 0 before a completion.
};

/// Counts a request that starts.
void flow_enter(struct flow *flow, int64_t now_us);

/// Counts a request that completed after a time in the system.
void flow_leave(struct flow *flow, int64_t duration_us, int64_t now_us);

/// Removes a request that did not complete: changes neither the completions nor
/// the long-term mean.
void flow_cancel(struct flow *flow, int64_t now_us);

/// Returns the mean time in the system; 0 if it is not known.
int64_t flow_mean_us(struct flow *flow, int64_t now_us);

/// The same, with a given prior instead of the long-term mean.
int64_t flow_mean_with_prior_us(
    struct flow *flow, int64_t prior_us, int64_t now_us);

#endif
