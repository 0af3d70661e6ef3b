/// @file
/// Since which version each line of a rule file stands.
#ifndef MV_CORE_RULES_RULE_SINCE_H
#define MV_CORE_RULES_RULE_SINCE_H

#include <stdint.h>

#include "core/rules/rules.h"

/// What is known of the lines of a file.
struct rule_since {
	/// For each line, from 1: version since which it has stood there
	/// unchanged. versions[0] is not used.
	const uint64_t *versions;
	uint32_t line_count;
};

/// Number of lines of a file, the part after the last line end included.
uint32_t rule_since_count_lines(const struct rule_file *file);

/// Finds the versions of a file's lines.
///
/// @param old         file before it; NULL if it is the first one
/// @param old_since   what is known of that one's lines
/// @param line_count  receives the number of lines
/// @return as in struct rule_since; release it with free()
uint64_t *rule_since_create(const struct rule_file *new,
    const struct rule_file *old, const struct rule_since *old_since,
    uint32_t *line_count);

#endif
