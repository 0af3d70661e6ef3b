/// @file
/// Version that introduced each line of a rule file.
#ifndef MV_CORE_RULES_RULE_SINCE_H
#define MV_CORE_RULES_RULE_SINCE_H

#include <stdint.h>

#include "core/rules/rules.h"

/// Versions that introduced the lines of a file.
struct rule_since {
	/// For each line, from 1: the version since which it is unchanged.
	/// versions[0] is not used.
	const uint64_t *versions;
	uint32_t line_count;
};

/// Counts the lines of a file. The text after the last newline counts as a
/// line, also if it is empty.
uint32_t rule_since_count_lines(const struct rule_file *file);

/// Finds the version that introduced each line of a file.
///
/// @param old         previous file; NULL if there is none
/// @param old_since   versions of the lines of the previous file
/// @param line_count  receives the number of lines
/// @return versions as in struct rule_since; release them with free()
uint64_t *rule_since_create(const struct rule_file *new,
    const struct rule_file *old, const struct rule_since *old_since,
    uint32_t *line_count);

#endif
