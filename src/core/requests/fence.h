/// @file
/// Lets an egress prove that a request did not run and never will.
///
/// Each stream of an ingress carries a sequence number, which acts as a fencing
/// token. A fence arrives on a newer stream and rejects all older ones, so that
/// a request still in transit there can no longer run. A request that is not
/// recorded, and cannot have been evicted, then did not run.
#ifndef MV_CORE_REQUESTS_FENCE_H
#define MV_CORE_REQUESTS_FENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"
#include "core/requests/outcome.h"

#define FENCE_ENTRY_COUNT 16384

/// An ingress that sends requests.
struct fence_origin {
	char name[MEMBER_NAME_BYTES];
	uint64_t incarnation;
	uint64_t min_sequence; ///< Streams below are rejected.
};

/// A request that arrived, identified by a hash.
struct fence_entry {
	uint64_t key; ///< 0: unused.
	int64_t arrival_us;
	bool ran;
	uint32_t next; ///< Next in the bucket: position + 1; 0: end.
};

struct fence {
	struct fence_origin *origins; ///< Sorted by name.
	uint32_t origin_count;
	uint32_t origin_capacity;
	/// Ring in order of arrival.
	struct fence_entry entries[FENCE_ENTRY_COUNT];
	uint32_t buckets[FENCE_ENTRY_COUNT];
	uint32_t next_entry;
	int64_t newest_evicted_us; ///< Arrival of the newest evicted entry.
};

void fence_init(struct fence *fence, int64_t now_us);

void fence_free(struct fence *fence);

/// Admits a stream by the identity and sequence in its first message.
///
/// @return false if the stream must be closed
bool fence_admit_stream(struct fence *fence, const char *origin,
    uint64_t incarnation, uint64_t sequence);

/// Returns the hash that identifies a request; never 0.
uint64_t fence_key(const char *origin, uint64_t incarnation, uint64_t id);

/// Records a request that arrived on an admitted stream.
void fence_record_arrival(struct fence *fence, uint64_t key, int64_t now_us);

/// Records that a request is about to be sent to the backend server.
void fence_mark_run(struct fence *fence, uint64_t key);

/// Rejects older streams from now on and returns the outcome of a request.
///
/// @param sequence  sequence number of the stream of the fence
/// @param age_us    time since the request was sent
/// @return OUTCOME_NOT_RUN or OUTCOME_UNKNOWN
enum outcome fence_query(struct fence *fence, const char *origin,
    uint64_t incarnation, uint64_t sequence, uint64_t id, int64_t age_us,
    int64_t now_us);

#endif
