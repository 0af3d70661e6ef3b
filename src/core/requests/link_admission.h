/// @file
/// Admission by bytes. Answers the load of more answers than the link of a VM
/// carries in time, although its backend server has free slots: running such a
/// request would only delay the answers of others.
#ifndef MV_CORE_REQUESTS_LINK_ADMISSION_H
#define MV_CORE_REQUESTS_LINK_ADMISSION_H

#include "core/requests/link_schedule.h"

/// Answers up to this size pass ahead of bodies, and are never refused for lack
/// of room on the link.
#define LINK_SHORT_BYTES 8192

/// Most bytes of bodies that may wait for the link, in memory.
#define LINK_MAX_QUEUED_BYTES (16LL * 1024 * 1024)

/// A request whose answer is expected to be long.
struct link_request {
	int64_t answer_bytes; ///< Usual size of its answer; -1: not known.
	int64_t service_us;   ///< Until the server has answered, usually.
	uint32_t worth;
	bool begun;
	int64_t target_deadline_us; ///< 0: not known.
	int64_t deadline_us;
	int64_t receiver_end_us; ///< As in struct link_flow.
};

/// Decides whether the answer of a request can be carried by its target, or else
/// before its caller leaves; and with all others before this proxy ends, if it has to
/// stop now.
///
/// @param wait_us  receives the time after which there is room, if not
bool link_admission_accepts(struct link_schedule *s,
    const struct link_request *q, int64_t now_us, int64_t *wait_us);

#endif
