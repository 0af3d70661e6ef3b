/// @file
/// Text of a rule file and the contents of its version rule. The other rules
/// are parsed by core/rules/rules.h.
#ifndef MV_CORE_RULES_RULE_FILE_H
#define MV_CORE_RULES_RULE_FILE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RULE_FILE_OWNER_BYTES 96

/// One version of the rule file. Immutable; reference-counted.
struct rule_file {
	atomic_uint refs;
	uint64_t version;
	uint64_t hash; ///< XXH3 of text.
	bool has_base;
	uint64_t base; ///< Version that this one is based on, if has_base.
	char owner[RULE_FILE_OWNER_BYTES]; ///< Comment of the version line.
	size_t text_bytes;
	char text[]; ///< Ends in NUL.
};

/// Copies a text and hashes it; the caller sets the other members.
///
/// @return the file with one reference
struct rule_file *rule_file_create(const char *text, size_t text_bytes);

/// Parses only the version rule of a file that was validated before.
///
/// @return the file with one reference, or NULL if it has no valid version
struct rule_file *rule_file_open(const char *text, size_t text_bytes);

struct rule_file *rule_file_ref(struct rule_file *file);

/// Drops a reference and frees the file with the last one; NULL does nothing.
void rule_file_unref(struct rule_file *file);

uint64_t rule_file_hash(const char *text, size_t text_bytes);

#endif
