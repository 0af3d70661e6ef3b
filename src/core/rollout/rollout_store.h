/// @file
/// State machine of the source for roll-outs: orders, and the steps of their
/// leader. Its entries lie in the same log as those of rule files.
///
/// A step names the revision that it builds on, so that one of an earlier leader
/// changes nothing. A version that was rolled back never runs again.
#ifndef MV_CORE_ROLLOUT_ROLLOUT_STORE_H
#define MV_CORE_ROLLOUT_ROLLOUT_STORE_H

#include "core/error.h"
#include "core/rollout/rollout_table.h"

#define ROLLOUT_WHY_BYTES 128

/// Bounds of the time for a roll-out.
#define ROLLOUT_MIN_WITHIN_MS 1000
#define ROLLOUT_MAX_WITHIN_MS (24 * 3600 * 1000)

/// Order of an operator.
struct rollout_order {
	char service[MEMBER_NAME_BYTES];
	char version[MEMBER_VERSION_BYTES];
	int64_t within_ms;
};

/// Change of a roll-out by the leading source.
struct rollout_step {
	char service[MEMBER_NAME_BYTES];
	char version[MEMBER_VERSION_BYTES];
	uint64_t from_revision;
	enum rollout_state state;
	uint32_t share_permille;
	int64_t used_ms; ///< Time since the order.
	char why[ROLLOUT_WHY_BYTES];
};

/// What only the sources know of a roll-out.
struct rollout_progress {
	int64_t within_ms;
	int64_t used_ms;  ///< Time since the order, at its last change.
	int64_t begun_ms; ///< At the first share above 0; -1: none yet.
	char why[ROLLOUT_WHY_BYTES]; ///< Of its last change.
};

struct rollout_store {
	struct rollout_table table;
	/// Of the records with the same index.
	struct rollout_progress progress[ROLLOUT_MAX_RECORDS];
	uint64_t revision; ///< Of the last change.
};

enum rollout_verdict {
	ROLLOUT_ACCEPTED,
	ROLLOUT_DUPLICATE,   ///< The same order was accepted before.
	ROLLOUT_IN_PROGRESS, ///< Another roll-out of the service runs.
	ROLLOUT_REJECTED,    ///< The version was rolled back.
	ROLLOUT_FULL,	     ///< Too many roll-outs run.
	ROLLOUT_OUTDATED,    ///< A step on top of another revision.
};

/// Tells whether a log entry is one of roll-outs.
bool rollout_store_owns(const char *entry, uint32_t size_bytes);

/// Returns the verdict that an order would get now.
enum rollout_verdict rollout_store_check(
    const struct rollout_store *store, const struct rollout_order *order);

/// Encodes an entry. Release it with free().
char *rollout_store_encode_order(
    const struct rollout_order *order, uint32_t *size_bytes);
char *rollout_store_encode_step(
    const struct rollout_step *step, uint32_t *size_bytes);

/// Applies a log entry.
///
/// @return an enum rollout_verdict, or -1 with err set
int rollout_store_apply(struct rollout_store *store, const char *entry,
    uint32_t size_bytes, struct error *err);

/// Encodes the state; empty without roll-outs. Release it with free().
char *rollout_store_snapshot(
    const struct rollout_store *store, uint32_t *size_bytes);

/// Restores the state from the head of a snapshot. One without roll-outs has
/// no such head.
///
/// @param used_bytes  receives the length of the head
/// @return 0, or -1 with err set and the state unchanged
int rollout_store_restore(struct rollout_store *store, const char *snapshot,
    uint32_t size_bytes, uint32_t *used_bytes, struct error *err);

/// Returns the progress of a record of the store's table.
const struct rollout_progress *rollout_store_progress(
    const struct rollout_store *store, const struct rollout *record);

/// Checks a name or version of an order: printable ASCII without blanks.
bool rollout_word_is_valid(const char *word, size_t max_bytes);

#endif
