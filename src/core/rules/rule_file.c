// Reference-counted texts of rule files.
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/rules/rule_file.h"

uint64_t
rule_file_hash(const char *text, size_t text_bytes)
{
	return XXH3_64bits(text, text_bytes);
}

struct rule_file *
rule_file_create(const char *text, size_t text_bytes)
{
	struct rule_file *file = calloc(1, sizeof(*file) + text_bytes + 1);

	assert(file != NULL);
	atomic_init(&file->refs, 1);
	memcpy(file->text, text, text_bytes);
	file->text_bytes = text_bytes;
	file->hash = rule_file_hash(text, text_bytes);
	return file;
}

struct rule_file *
rule_file_ref(struct rule_file *file)
{
	atomic_fetch_add(&file->refs, 1);
	return file;
}

void
rule_file_unref(struct rule_file *file)
{
	if (file == NULL)
		return;
	assert(atomic_load(&file->refs) > 0);
	if (atomic_fetch_sub(&file->refs, 1) == 1)
		free(file);
}
