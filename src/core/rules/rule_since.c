// Finds the version that introduced each line of a rule file.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/rule_since.h"

uint32_t
rule_since_count_lines(const struct rule_file *file)
{
	uint32_t count = 0;
	size_t i;

	for (i = 0; i < file->text_bytes; i++)
		count += file->text[i] == '\n';
	return count + 1;
}

/// Returns the start of each line, and the end of the text.
static const char **
find_lines(const struct rule_file *file, uint32_t count)
{
	const char **lines = calloc(count + 1, sizeof(*lines));
	const char *at = file->text;
	uint32_t i;

	assert(lines != NULL);
	for (i = 0; i < count; i++) {
		const char *eol = strchr(at, '\n');

		lines[i] = at;
		at = eol == NULL ? file->text + file->text_bytes : eol + 1;
	}
	lines[count] = at;
	return lines;
}

/// Finds the version that introduced a line of the old file; 0 if it has no
/// such line. Lines mostly keep their order, so the search continues after the
/// last match.
static uint64_t
find_line_version(const struct rule_since *old, const char **lines,
    const char *line, size_t line_bytes, uint32_t *from)
{
	uint32_t i;

	for (i = 0; i < old->line_count; i++) {
		uint32_t at = (*from + i) % old->line_count;

		if ((size_t)(lines[at + 1] - lines[at]) != line_bytes ||
		    memcmp(lines[at], line, line_bytes) != 0)
			continue;
		*from = at + 1;
		return old->versions[at + 1];
	}
	return 0;
}

uint64_t *
rule_since_create(const struct rule_file *new, const struct rule_file *old,
    const struct rule_since *old_since, uint32_t *line_count)
{
	uint32_t count = rule_since_count_lines(new);
	const char **lines = find_lines(new, count);
	const char **old_lines =
	    old == NULL ? NULL : find_lines(old, old_since->line_count);
	uint64_t *versions = calloc(count + 1, sizeof(*versions));
	uint32_t from = 0;
	uint32_t i;

	assert(versions != NULL);
	for (i = 0; i < count; i++) {
		size_t n = (size_t)(lines[i + 1] - lines[i]);

		if (old != NULL)
			versions[i + 1] = find_line_version(
			    old_since, old_lines, lines[i], n, &from);
		if (versions[i + 1] == 0)
			versions[i + 1] = new->version;
	}
	free(old_lines);
	free(lines);
	*line_count = count;
	return versions;
}
