/// @file
/// State machine of the source: which rule file is accepted.
///
/// A file that names its base is accepted if the base is the accepted version
/// when its log entry is applied; one without, if its version is the accepted
/// one plus 1. So of two files that race exactly one wins. Log entries hold the
/// lines that differ from the accepted file, not the whole file.
#ifndef MV_CORE_RULES_RULE_STORE_H
#define MV_CORE_RULES_RULE_STORE_H

#include <stdint.h>

#include "core/error.h"
#include "core/rules/rules.h"

enum rule_store_verdict {
	RULE_STORE_ACCEPTED,
	RULE_STORE_ALREADY,  ///< The very same file is accepted.
	RULE_STORE_CONFLICT, ///< Another file won this version.
	RULE_STORE_OLD,	     ///< The version is below the accepted one.
	RULE_STORE_GAP,	     ///< The version skips others.
	/// The very same file, which names its base, was accepted before the
	/// accepted one.
	RULE_STORE_SUPERSEDED,
};

/// Files remembered besides the accepted one. A caller resends a file within
/// minutes; at a change each 0.1 s these last longer than that.
#define RULE_STORE_HISTORY 4096

/// Identity of a file.
struct rule_store_id {
	uint64_t version;
	uint64_t hash;
};

struct rule_store {
	struct rule_file *current; ///< NULL before the first file.
	struct rule_files files;   ///< The accepted one and those before it.
	int64_t accepted_us;	   ///< Wall clock of the leader.
	/// For each line of the file, from 1: version since which it has
	/// stood there unchanged. since[0] is not used.
	uint64_t *since;
	uint32_t line_count;
	/// Files accepted so far, oldest first; the last is the accepted one.
	struct rule_store_id *history;
	uint32_t history_count;
};

void rule_store_free(struct rule_store *store);

/// Tells what would become of a file now.
enum rule_store_verdict rule_store_check(
    const struct rule_store *store, const struct rule_file *file);

/// Builds the log entry of a file: its difference from the accepted file.
/// Release it with free().
char *rule_store_encode(const struct rule_store *store,
    const struct rule_file *file, int64_t accepted_us, uint32_t *size_bytes);

/// Applies a log entry.
///
/// @return the verdict, or -1 with err set if the entry is not valid
int rule_store_apply(struct rule_store *store, const char *entry,
    uint32_t size_bytes, struct error *err);

/// Builds a snapshot. Release it with free().
char *rule_store_snapshot(const struct rule_store *store, uint32_t *size_bytes);

/// Replaces the state by that of a snapshot.
///
/// @return 0, or -1 with err set; the state is then unchanged
int rule_store_restore(struct rule_store *store, const char *snapshot,
    uint32_t size_bytes, struct error *err);

#endif
