/// @file
/// Tells which request bodies an egress can receive in time, by the measured
/// rate of its link.
#ifndef MV_CORE_REQUESTS_COLLECTOR_H
#define MV_CORE_REQUESTS_COLLECTOR_H

#include <stdbool.h>
#include <stdint.h>

/// Receive rate and the bodies in transfer.
struct collector {
	int64_t updated_us;    ///< Time of the last decay.
	double transfer_us;    ///< Time with a requested body, decayed.
	double received_bytes; ///< Received in that time, decayed.
	int64_t pending_bytes; ///< Accepted and not yet received.
	uint32_t requested;    ///< Bodies requested now.
};

/// Tells whether a body can be received in time.
///
/// @param within_us  longest time allowed
/// @param wait_us    receives the expected time; 0 if the rate is not known or
///                   no body is pending
bool collector_can_accept(struct collector *c, int64_t size_bytes,
    int64_t within_us, int64_t now_us, int64_t *wait_us);

/// Counts an accepted body as pending.
void collector_add(struct collector *c, int64_t size_bytes);

/// Counts a body as requested from now on.
void collector_begin(struct collector *c, int64_t now_us);

/// Counts a received part of a body.
void collector_receive_part(
    struct collector *c, int64_t size_bytes, int64_t now_us);

/// Ends a body that is received or cancelled.
///
/// @param missing_bytes  part that was not received
/// @param was_requested  collector_begin was called for it
void collector_end(struct collector *c, int64_t missing_bytes,
    bool was_requested, int64_t now_us);

#endif
