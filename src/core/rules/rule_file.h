/// @file
/// Text of a rule file, and what its first rule says. Reading the rules
/// themselves is core/rules.h.
#ifndef MV_CORE_RULES_RULE_FILE_H
#define MV_CORE_RULES_RULE_FILE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/rules/delta.h"

#define RULE_FILE_OWNER_BYTES 96

/// Versions from which a difference can be made: a proxy that changes have
/// passed by for ten seconds, at one each 0.2 s, needs no whole file.
#define RULE_FILES_KEPT 64

/// One version of the rule file. Immutable; reference-counted.
struct rule_file {
	atomic_uint refs;
	uint64_t version;
	uint64_t hash; ///< XXH3 of text.
	bool has_base;
	uint64_t base; ///< Version that this one builds on, if has_base.
	char owner[RULE_FILE_OWNER_BYTES]; ///< Comment of the version line.
	size_t text_bytes;
	char text[]; ///< Ends in NUL.
};

/// What is kept of a version to make differences from it.
struct rule_outline {
	uint64_t version;
	uint64_t hash;
	struct delta_outline *outline;
};

/// The newest versions, oldest first.
struct rule_files {
	struct rule_outline items[RULE_FILES_KEPT];
	uint32_t count;
};

/// Copies a text; the rest is filled in by the caller.
///
/// @return the file with one reference
struct rule_file *rule_file_create(const char *text, size_t text_bytes);

/// Reads the head of a file whose rules were checked before.
///
/// @return the file with one reference, or NULL if it has no version
struct rule_file *rule_file_open(const char *text, size_t text_bytes);

struct rule_file *rule_file_ref(struct rule_file *file);

/// Drops a reference and frees the file with the last one; NULL does nothing.
void rule_file_unref(struct rule_file *file);

uint64_t rule_file_hash(const char *text, size_t text_bytes);

/// Adds a version, and drops the oldest if there is no room.
void rule_files_add(struct rule_files *files, const struct rule_file *file);

/// Finds a version; NULL if it is not kept.
const struct delta_outline *rule_files_find(
    const struct rule_files *files, uint64_t version, uint64_t hash);

void rule_files_free(struct rule_files *files);

#endif
