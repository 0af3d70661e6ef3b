/// @file
/// At most once: state of the idempotency keys, replicated by the ledger.
#ifndef MV_CORE_ONCE_H
#define MV_CORE_ONCE_H

/// What the ledger says of a key.
enum once_verdict {
	ONCE_GRANTED,	  ///< Claimed: run the request.
	ONCE_IN_PROGRESS, ///< Claimed by another attempt, no answer yet.
	ONCE_DONE,	  ///< Ran; the answer is recorded.
	ONCE_MISMATCH,	  ///< The key belongs to another request.
	ONCE_UNAVAILABLE, ///< No quorum: nothing was claimed for this attempt.
	ONCE_FREED,	  ///< The claim of the other attempt was released.
	ONCE_UNKNOWN,	  ///< Claimed, and no answer came in time.
};

#endif
