/// @file
/// State machine of the source: decides which rule file is accepted.
///
/// A file with a base is accepted if the base is the accepted version when its
/// log entry is applied; a file without a base, if its version is the accepted
/// one plus 1. So exactly one of two concurrent files is accepted. Log entries
/// hold the lines that differ from the accepted file, not the whole file.
#ifndef MV_CORE_RULES_RULE_STORE_H
#define MV_CORE_RULES_RULE_STORE_H

#include <stdint.h>

#include "core/error.h"
#include "core/rules/rules.h"

enum rule_store_verdict {
	RULE_STORE_ACCEPTED,
	RULE_STORE_DUPLICATE, ///< The same file is the accepted one.
	RULE_STORE_CONFLICT,  ///< Another file was accepted instead.
	RULE_STORE_OLD,	      ///< The version is below the accepted one.
	RULE_STORE_GAP,	      ///< The version or the base skips others.
	/// The same file, which has a base, was accepted before the accepted
	/// one.
	RULE_STORE_SUPERSEDED,
};

/// Number of accepted files whose identity is kept. A caller resends a file
/// within minutes; at a change every 0.1 s the history lasts longer than that.
#define RULE_STORE_HISTORY 4096

/// Identity of a file.
struct rule_store_id {
	uint64_t version;
	uint64_t hash;
};

struct rule_store {
	struct rule_file *current; ///< NULL before the first file.
	int64_t accepted_us; ///< Acceptance time, wall clock of the leader.
	/// For each line of the file, from 1: the version since which it is
	/// unchanged. since[0] is not used.
	uint64_t *since;
	uint32_t line_count;
	/// Last accepted files, oldest first; the last is the current one.
	struct rule_store_id *history;
	uint32_t history_count;
};

void rule_store_free(struct rule_store *store);

/// Returns the verdict that a file would get now.
enum rule_store_verdict rule_store_check(
    const struct rule_store *store, const struct rule_file *file);

/// Encodes the log entry of a file: its delta from the accepted file. Release
/// it with free().
char *rule_store_encode(const struct rule_store *store,
    const struct rule_file *file, int64_t accepted_us, uint32_t *size_bytes);

/// Applies a log entry.
///
/// @return the verdict, or -1 with err set if the entry is not valid
int rule_store_apply(struct rule_store *store, const char *entry,
    uint32_t size_bytes, struct error *err);

/// Encodes a snapshot; empty before the first file. Release it with free().
char *rule_store_snapshot(const struct rule_store *store, uint32_t *size_bytes);

/// Replaces the state with that of a snapshot.
///
/// @return 0, or -1 with err set and the state unchanged
int rule_store_restore(struct rule_store *store, const char *snapshot,
    uint32_t size_bytes, struct error *err);

#endif
