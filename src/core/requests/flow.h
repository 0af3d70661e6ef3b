/// @file
/// Mean time that work takes, told soon after it has changed.
///
/// By Little's law the time that work has spent inside, over the number that
/// came out, is the mean time of one. Work that is still inside counts too, so
/// that a server that stalls is seen before any of its work ends. Old time
/// fades out, and a mean of the long run stands in where there is little of it.
#ifndef MV_CORE_REQUESTS_FLOW_H
#define MV_CORE_REQUESTS_FLOW_H

#include <stdint.h>

struct flow {
	int64_t at_us;	 ///< Up to when busy_us is counted.
	double busy_us;	 ///< Time spent inside, faded.
	double ended;	 ///< Work that came out, faded.
	uint32_t inside; ///< Work inside now.
	double mean_us;	 ///< Of the long run; 0 until work has come out.
};

/// Work goes in.
void flow_enter(struct flow *flow, int64_t now_us);

/// Work comes out after a time inside.
void flow_leave(struct flow *flow, int64_t inside_us, int64_t now_us);

/// Work is taken out without having been done: its time does not count.
void flow_cancel(struct flow *flow, int64_t now_us);

/// Mean time inside; 0 if nothing is known.
int64_t flow_mean_us(struct flow *flow, int64_t now_us);

/// The same, with an expected time in place of the mean of the long run.
int64_t flow_mean_expecting_us(
    struct flow *flow, int64_t expected_us, int64_t now_us);

#endif
