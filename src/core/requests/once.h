/// @file
/// At-most-once execution: state of the idempotency keys, replicated by the
/// ledger.
///
/// A key is claimed before its request may run, and stores the answer
/// afterwards. The leader checks a claim before it appends it to the log;
/// replicas apply each entry without checking it again. So the state at any
/// time follows from the log of the last retention period, and older entries
/// can be dropped. Time is taken from the entries alone, so that all replicas
/// agree on which keys have expired.
#ifndef MV_CORE_REQUESTS_ONCE_H
#define MV_CORE_REQUESTS_ONCE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"

/// Verdict of the ledger on the claim of a key.
enum once_verdict {
	ONCE_GRANTED,	  ///< Claimed: the request may run.
	ONCE_IN_PROGRESS, ///< Claimed by another attempt, no answer yet.
	ONCE_DONE,	  ///< Ran; the answer is recorded.
	ONCE_MISMATCH,	  ///< The key belongs to another request.
	ONCE_UNAVAILABLE, ///< No quorum: nothing was claimed for this attempt.
	ONCE_FREE,	  ///< The key is not claimed.
	ONCE_UNKNOWN,	  ///< Claimed, and no answer arrived in time.
	ONCE_VOID,	  ///< This claim was released before it arrived.
};

enum once_op_kind {
	ONCE_CLAIM,
	ONCE_RECORD,
	ONCE_RELEASE,
};

/// A byte string that the struct does not own.
struct once_bytes {
	const char *data;
	uint32_t size_bytes;
};

/// A state change, as written to the log.
struct once_op {
	enum once_op_kind kind;
	uint64_t claim;
	uint64_t body_hash;
	int64_t wall_us; ///< Wall clock of the leader.
	struct once_bytes scope;
	struct once_bytes key;
	struct once_bytes answer; ///< Opaque; only with ONCE_RECORD.
};

/// A key that is claimed or done, or the tombstone of a released claim.
struct once_key {
	struct once_key *chain; ///< Next in the bucket.
	struct once_key *newer; ///< Next in order of expiry.
	uint64_t hash;
	uint64_t claim;
	uint64_t body_hash;
	int64_t expiry_us;
	bool done;
	bool released; ///< Tombstone: rejects a claim that arrives later.
	bool unlinked; ///< Not in a bucket; freed when it expires.
	char *answer;
	uint32_t answer_bytes;
	uint32_t full_key_bytes;
	char full_key[]; ///< Scope, NUL, key; or NUL, claim id if released.
};

struct once {
	int64_t retention_us;
	int64_t clock_us; ///< Highest wall_us of all applied entries.
	struct once_key **buckets;
	uint32_t bucket_count;
	uint32_t count;
	struct once_key *oldest;
	struct once_key *newest;
	uint64_t memory_bytes;
};

void once_init(struct once *once, int64_t retention_us);

void once_free(struct once *once);

/// Drops all keys; keeps the clock.
void once_clear(struct once *once);

/// Encodes an operation for the log. The caller frees the result.
char *once_op_encode(const struct once_op *op, uint32_t *size_bytes);

/// Decodes an operation; its byte strings point into data.
///
/// @return 0, or -1 with err set
int once_op_decode(const char *data, uint32_t size_bytes, struct once_op *op,
    struct error *err);

/// Checks a claim against the state, without changing it.
///
/// @param answer  the recorded answer with ONCE_DONE; valid until the next
///                change
/// @return ONCE_FREE if the claim may be appended to the log
enum once_verdict once_check_claim(const struct once *once,
    const struct once_op *op, struct once_bytes *answer);

/// Applies an operation of the log. A claim is always granted: the leader
/// checked it before.
void once_apply(struct once *once, const struct once_op *op);

/// Returns the hash of the scope and key of an operation.
uint64_t once_op_hash(const struct once_op *op);

#endif
