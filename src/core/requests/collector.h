/// @file
/// Order in which an egress asks for the bodies of requests, and which of them
/// it can take at all: its link is the measure.
#ifndef MV_CORE_REQUESTS_COLLECTOR_H
#define MV_CORE_REQUESTS_COLLECTOR_H

#include <stdbool.h>
#include <stdint.h>

/// What is known of the bodies under way.
struct collector {
	int64_t at_us;	    ///< Up to when busy_us is counted.
	double busy_us;	    ///< Time with a body asked for, faded.
	double got_bytes;   ///< Received in that time, faded.
	int64_t left_bytes; ///< Of all bodies taken and not yet here.
	uint32_t asked;	    ///< Bodies asked for now.
};

/// Tells whether a body can be here soon enough.
///
/// @param within_us  longest time that it may take
/// @param wait_us    receives the time that it is expected to take
bool collector_can_take(struct collector *c, int64_t size_bytes,
    int64_t within_us, int64_t now_us, int64_t *wait_us);

/// Counts a body that is to be collected.
void collector_add(struct collector *c, int64_t size_bytes);

/// Counts that a body is asked for from now on.
void collector_begin(struct collector *c, int64_t now_us);

/// Counts a part that came in.
void collector_part(struct collector *c, int64_t size_bytes, int64_t now_us);

/// Ends a body: it is here, or is not wanted any more.
///
/// @param left_bytes  what did not come
/// @param asked       whether it had been asked for
void collector_end(
    struct collector *c, int64_t left_bytes, bool asked, int64_t now_us);

#endif
