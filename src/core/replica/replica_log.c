// In-memory log of a replica.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/replica/replica.h"

uint64_t
replica_last_index(const struct replica *r)
{
	return r->first_index + r->entry_count - 1;
}

struct replica_entry *
replica_log_get(const struct replica *r, uint64_t index)
{
	if (index < r->first_index || index > replica_last_index(r))
		return NULL;
	return &r->entries[index - r->first_index];
}

uint64_t
replica_log_term(const struct replica *r, uint64_t index)
{
	const struct replica_entry *e = replica_log_get(r, index);

	if (e != NULL)
		return e->term;
	return index == r->snapshot.index ? r->snapshot.term : 0;
}

void
replica_record_failure(struct replica *r, const struct error *err)
{
	if (r->failure.code == ERR_NONE)
		r->failure = *err;
}

static char *
copy_data(const char *data, uint32_t size_bytes)
{
	char *copy = malloc(size_bytes + 1);

	assert(copy != NULL);
	if (size_bytes > 0)
		memcpy(copy, data, size_bytes);
	copy[size_bytes] = '\0';
	return copy;
}

void
replica_log_append(struct replica *r, const struct replica_entry *entry)
{
	struct replica_entry *e;
	struct error err;

	assert(entry->index == replica_last_index(r) + 1);
	if (r->entry_count == r->entry_capacity) {
		r->entry_capacity =
		    r->entry_capacity ? r->entry_capacity * 2 : 64;
		r->entries = realloc(
		    r->entries, r->entry_capacity * sizeof(*r->entries));
		assert(r->entries != NULL);
	}
	e = &r->entries[r->entry_count++];
	*e = *entry;
	e->data = copy_data(entry->data, entry->size_bytes);
	r->uncommitted_bytes += e->size_bytes + REPLICA_ENTRY_OVERHEAD_BYTES;
	r->dirty = true;
	if (r->storage->ops->append(r->storage, e, 1, &err) != 0)
		replica_record_failure(r, &err);
}

void
replica_log_truncate(struct replica *r, uint64_t from_index)
{
	struct error err;

	assert(from_index > r->commit);
	while (r->entry_count > 0 && replica_last_index(r) >= from_index) {
		struct replica_entry *e = &r->entries[--r->entry_count];

		r->uncommitted_bytes -=
		    e->size_bytes + REPLICA_ENTRY_OVERHEAD_BYTES;
		free(e->data);
	}
	if (r->synced_index >= from_index)
		r->synced_index = from_index - 1;
	r->dirty = true;
	if (r->storage->ops->truncate(r->storage, from_index, &err) != 0)
		replica_record_failure(r, &err);
	if (r->config_index >= from_index)
		replica_find_config(r);
}

void
replica_log_drop_prefix(struct replica *r, uint64_t index)
{
	uint32_t drop = 0;
	uint32_t i;

	if (index < r->first_index)
		return;
	drop = (uint32_t)(index - r->first_index + 1);
	if (drop > r->entry_count)
		drop = r->entry_count;
	for (i = 0; i < drop; i++)
		free(r->entries[i].data);
	memmove(r->entries, r->entries + drop,
	    (r->entry_count - drop) * sizeof(*r->entries));
	r->entry_count -= drop;
	r->first_index = index + 1;
}

struct replica_config
replica_config_at(
    const struct replica *r, uint64_t index, uint64_t *config_index)
{
	struct replica_config config;
	struct error err;

	for (; index >= r->first_index; index--) {
		const struct replica_entry *e = replica_log_get(r, index);

		if (e == NULL || e->kind != REPLICA_ENTRY_CONFIG ||
		    replica_config_decode(
			e->data, e->size_bytes, &config, &err) != 0)
			continue;
		*config_index = index;
		return config;
	}
	*config_index = r->snapshot.index;
	return r->snapshot.config;
}

void
replica_find_config(struct replica *r)
{
	r->config =
	    replica_config_at(r, replica_last_index(r), &r->config_index);
}
