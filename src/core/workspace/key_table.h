/// @file
/// Lookup of the workspace that holds a caller's key. Built once for each version
/// of the rules, and immutable from then on.
///
/// A lookup takes the same time whatever the number of keys: one keyed hash of
/// the caller's text, so that no caller can choose keys that collide, and a
/// comparison whose time does not depend on where the keys differ.
#ifndef MV_CORE_WORKSPACE_KEY_TABLE_H
#define MV_CORE_WORKSPACE_KEY_TABLE_H

#include <stddef.h>
#include <stdint.h>

/// No workspace holds the key.
#define KEY_TABLE_NONE UINT32_MAX

struct key_table;

/// Sets the seed of the hashes of all tables that are created later. Call it
/// before the first one is, with a number that nobody outside can guess.
void key_table_set_seed(uint64_t seed);

/// Creates an empty table.
///
/// @param max_keys  number of keys that it can hold
struct key_table *key_table_create(uint32_t max_keys);

/// Adds a key unless it is there.
///
/// @param key        must outlive the table; need not end with NUL
/// @param workspace  index of the workspace that holds it
/// @return KEY_TABLE_NONE if it was added, else the workspace that held it
uint32_t key_table_add(struct key_table *table, const char *key,
    size_t key_bytes, uint32_t workspace);

/// Finds the workspace that holds a key.
///
/// @return its index, or KEY_TABLE_NONE
uint32_t key_table_find(
    const struct key_table *table, const char *key, size_t key_bytes);

/// Releases a table; NULL does nothing.
void key_table_free(struct key_table *table);

#endif
