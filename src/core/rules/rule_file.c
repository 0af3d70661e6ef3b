// Reference-counted texts of rule files, and signatures of recent versions.
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

void
rule_signatures_add(
    struct rule_signatures *signatures, const struct rule_file *file)
{
	struct rule_signature *new;

	if (signatures->count == RULE_SIGNATURES_MAX) {
		free(signatures->items[0].signature);
		signatures->count--;
		memmove(signatures->items, signatures->items + 1,
		    signatures->count * sizeof(signatures->items[0]));
	}
	new = &signatures->items[signatures->count++];
	new->version = file->version;
	new->hash = file->hash;
	new->signature = delta_signature_make(file->text, file->text_bytes);
}

const struct delta_signature *
rule_signatures_find(
    const struct rule_signatures *signatures, uint64_t version, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < signatures->count; i++)
		if (signatures->items[i].version == version &&
		    signatures->items[i].hash == hash)
			return signatures->items[i].signature;
	return NULL;
}

void
rule_signatures_free(struct rule_signatures *signatures)
{
	while (signatures->count > 0)
		free(signatures->items[--signatures->count].signature);
}
