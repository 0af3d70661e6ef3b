// Hash table of the keys of workspaces, with open addressing.
#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <xxhash.h>

#include "core/workspace/key_table.h"

struct slot {
	const char *key; ///< NULL: free.
	uint32_t key_bytes;
	uint32_t workspace;
};

struct key_table {
	uint64_t seed;
	uint32_t mask;
	struct slot slots[];
};

static uint64_t process_seed;

void
key_table_set_seed(uint64_t seed)
{
	process_seed = seed;
}

struct key_table *
key_table_create(uint32_t max_keys)
{
	struct key_table *table;
	uint32_t size = 16;

	while (size / 2 < max_keys)
		size *= 2;
	table = calloc(1, sizeof(*table) + size * sizeof(table->slots[0]));
	assert(table != NULL);
	table->seed = process_seed;
	table->mask = size - 1;
	return table;
}

/// Compares without regard to where the first difference is.
static bool
keys_equal(const char *a, const char *b, size_t key_bytes)
{
	unsigned char difference = 0;
	size_t i;

	for (i = 0; i < key_bytes; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	return difference == 0;
}

/// Returns the slot of a key, or the free one where it belongs.
static uint32_t
find_slot(const struct key_table *table, const char *key, size_t key_bytes)
{
	uint32_t at =
	    (uint32_t)XXH3_64bits_withSeed(key, key_bytes, table->seed) &
	    table->mask;

	while (table->slots[at].key != NULL &&
	    (table->slots[at].key_bytes != key_bytes ||
		!keys_equal(table->slots[at].key, key, key_bytes)))
		at = (at + 1) & table->mask;
	return at;
}

uint32_t
key_table_add(struct key_table *table, const char *key, size_t key_bytes,
    uint32_t workspace)
{
	struct slot *slot = &table->slots[find_slot(table, key, key_bytes)];

	if (slot->key != NULL)
		return slot->workspace;
	slot->key = key;
	slot->key_bytes = (uint32_t)key_bytes;
	slot->workspace = workspace;
	return KEY_TABLE_NONE;
}

uint32_t
key_table_find(const struct key_table *table, const char *key, size_t key_bytes)
{
	const struct slot *slot;

	if (table == NULL || key_bytes == 0)
		return KEY_TABLE_NONE;
	slot = &table->slots[find_slot(table, key, key_bytes)];
	return slot->key == NULL ? KEY_TABLE_NONE : slot->workspace;
}

void
key_table_free(struct key_table *table)
{
	free(table);
}
