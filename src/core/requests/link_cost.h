/// @file
/// The way of an answer from an endpoint: whether the link of its VM is full, and
/// what the bytes cost on the way. Answers the load of long answers while some
/// links are full.
#ifndef MV_CORE_REQUESTS_LINK_COST_H
#define MV_CORE_REQUESTS_LINK_COST_H

#include <stdbool.h>
#include <stdint.h>

/// The link of an endpoint, as seen from this ingress. Zero it before the first
/// use.
struct link_cost {
	int64_t full_until_deadline_us; ///< It refused for lack of room.
	int64_t refused_bytes; ///< Length of the answer that it refused.
	int64_t round_trip_us; ///< To the endpoint and back; 0: not known.
};

/// Records the time that a short answer spent on the way, both ways. Samples that
/// waited for something count little.
void link_cost_record_round_trip(struct link_cost *link, int64_t sample_us);

/// Marks the link as full until a time, for long answers of about the length of the
/// one that it refused, or more.
void link_cost_set_full(
    struct link_cost *link, int64_t refused_bytes, int64_t until_deadline_us);

/// Time until which the link is full for an answer; 0 if it is not.
int64_t link_cost_full_until_us(
    const struct link_cost *link, int64_t answer_bytes, int64_t now_us);

/// Cost of the bytes of an answer on paid links, in permille of the worth of the
/// request, beyond the first kilobyte.
///
/// @param kilobyte_permille  cost of a kilobyte
/// @param max_permille       bound, so that no answer is late for distance alone
int64_t link_cost_volume_permille(
    int64_t answer_bytes, int64_t kilobyte_permille, int64_t max_permille);

#endif
