/// @file
/// At most once: state of the idempotency keys, replicated by the ledger.
///
/// A key is claimed before its request may run, and keeps the answer after
/// it. The leader judges a claim before it enters the log; an entry is then
/// applied whatever came before. So the state at any time follows from the
/// log of the last retention period, and older entries can be dropped. Time
/// comes from the entries alone, so that all replicas agree on what has
/// expired.
#ifndef MV_CORE_REQUESTS_ONCE_H
#define MV_CORE_REQUESTS_ONCE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"

/// What the ledger says of a key.
enum once_verdict {
	ONCE_GRANTED,	  ///< Claimed: run the request.
	ONCE_IN_PROGRESS, ///< Claimed by another attempt, no answer yet.
	ONCE_DONE,	  ///< Ran; the answer is recorded.
	ONCE_MISMATCH,	  ///< The key belongs to another request.
	ONCE_UNAVAILABLE, ///< No quorum: nothing was claimed for this attempt.
	ONCE_FREED,	  ///< Nobody holds the key.
	ONCE_UNKNOWN,	  ///< Claimed, and no answer came in time.
	ONCE_VOID,	  ///< This very claim was released before it came.
};

enum once_op_kind {
	ONCE_CLAIM,
	ONCE_RECORD,
	ONCE_RELEASE,
};

/// A borrowed run of bytes.
struct once_bytes {
	const char *data;
	uint32_t size_bytes;
};

/// One change of the state, as it stands in the log.
struct once_op {
	enum once_op_kind kind;
	uint64_t claim;
	uint64_t body_hash;
	int64_t wall_us; ///< Wall clock of the leader.
	struct once_bytes scope;
	struct once_bytes key;
	struct once_bytes answer; ///< Opaque; with ONCE_RECORD.
};

/// A key that is claimed or done, or the mark of a released claim.
struct once_key {
	struct once_key *chain; ///< In the bucket.
	struct once_key *newer; ///< By expiry.
	uint64_t hash;
	uint64_t claim;
	uint64_t body_hash;
	int64_t expiry_us;
	bool done;
	bool released; ///< A claim that may still arrive and must not hold.
	bool removed;  ///< Out of its bucket; freed when it expires.
	char *answer;
	uint32_t answer_bytes;
	uint32_t name_bytes;
	char name[]; ///< Scope, NUL, key; or the claim id if released.
};

struct once {
	int64_t retention_us;
	int64_t clock_us; ///< Highest time seen in an entry.
	struct once_key **buckets;
	uint32_t bucket_count;
	uint32_t count;
	struct once_key *oldest;
	struct once_key *newest;
	uint64_t memory_bytes;
};

void once_init(struct once *once, int64_t retention_us);

void once_free(struct once *once);

/// Drops all keys; the clock goes on.
void once_clear(struct once *once);

/// Encodes an operation for the log. Release it with free().
char *once_op_encode(const struct once_op *op, uint32_t *size_bytes);

/// Decodes an operation; its bytes point into the entry.
///
/// @return 0, or -1 with err set
int once_op_decode(const char *data, uint32_t size_bytes, struct once_op *op,
    struct error *err);

/// Judges a claim by the state, without making it.
///
/// @param answer  the recorded answer with ONCE_DONE; valid until the next
///                change
/// @return ONCE_FREED if it may be made
enum once_verdict once_judge(const struct once *once, const struct once_op *op,
    struct once_bytes *answer);

/// Applies an operation of the log. A claim is always granted: the leader
/// judged it before.
void once_apply(struct once *once, const struct once_op *op);

/// Hash of the key of an operation.
uint64_t once_op_hash(const struct once_op *op);

#endif
