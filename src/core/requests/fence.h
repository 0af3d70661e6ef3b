/// @file
/// Lets an egress prove that a request did not run and never will.
///
/// Each stream of an ingress carries a sequence number. A fence arrives on a
/// newer stream; it shuts out every older one, so that a request still on its
/// way there can no longer run. What is not among the requests seen, and can
/// not have been evicted, then did not run.
#ifndef MV_CORE_REQUESTS_FENCE_H
#define MV_CORE_REQUESTS_FENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"
#include "core/requests/outcome.h"

#define FENCE_SEEN_COUNT 16384

/// An ingress as an origin of requests.
struct fence_origin {
	char name[MEMBER_NAME_BYTES];
	uint64_t incarnation;
	uint64_t min_sequence; ///< Streams below are shut out.
};

/// A request that arrived, by the hash of its identity.
struct fence_entry {
	uint64_t key; ///< 0: free.
	int64_t arrival_us;
	bool ran;
	uint32_t next; ///< Chain of the bucket, position + 1.
};

struct fence {
	struct fence_origin *origins; ///< Sorted by name.
	uint32_t origin_count;
	uint32_t origin_capacity;
	struct fence_entry entries[FENCE_SEEN_COUNT]; ///< Ring by arrival.
	uint32_t buckets[FENCE_SEEN_COUNT];
	uint32_t next_entry;
	int64_t evicted_us; ///< Arrival of the newest entry evicted.
};

void fence_init(struct fence *fence, int64_t now_us);

void fence_free(struct fence *fence);

/// Admits a stream by what its first message says.
///
/// @return false if the stream must be closed
bool fence_admit_stream(struct fence *fence, const char *origin,
    uint64_t incarnation, uint64_t sequence);

/// Identity of a request.
uint64_t fence_key(const char *origin, uint64_t incarnation, uint64_t id);

/// Notes a request that arrived on an admitted stream.
void fence_arrive(struct fence *fence, uint64_t key, int64_t now_us);

/// Notes that a request is about to be sent to the backend server.
void fence_ran(struct fence *fence, uint64_t key);

/// Shuts older streams out and tells what became of a request.
///
/// @param sequence  of the stream that the question came on
/// @param age_us    time since the request was sent
/// @return OUTCOME_NOT_RUN or OUTCOME_UNKNOWN
enum outcome fence_ask(struct fence *fence, const char *origin,
    uint64_t incarnation, uint64_t sequence, uint64_t id, int64_t age_us,
    int64_t now_us);

#endif
