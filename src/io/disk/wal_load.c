// Write-ahead log: loads segments and snapshots.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/disk/wal.h"
#include "io/disk/wal_record.h"

struct loader {
	struct wal *wal;
	struct replica_stored_state *stored;
	uint32_t entry_capacity;
	struct error *err;
};

static void
drop_entries_from(struct loader *l, uint64_t index)
{
	struct replica_stored_state *s = l->stored;

	while (
	    s->entry_count > 0 && s->entries[s->entry_count - 1].index >= index)
		free(s->entries[--s->entry_count].data);
}

static void
drop_entries_to(struct loader *l, uint64_t index)
{
	struct replica_stored_state *s = l->stored;
	uint32_t dropped = 0;

	while (dropped < s->entry_count && s->entries[dropped].index <= index)
		free(s->entries[dropped++].data);
	if (dropped == 0)
		return;
	s->entry_count -= dropped;
	memmove(s->entries, s->entries + dropped,
	    s->entry_count * sizeof(*s->entries));
}

static int
load_entry(struct loader *l, const struct wal_record *record)
{
	struct replica_stored_state *s = l->stored;
	struct wal_entry_head head;
	struct replica_entry *e;

	if (record->payload_bytes < sizeof(head))
		return -1;
	memcpy(&head, record->payload, sizeof(head));
	if (head.index <= s->snapshot.index)
		return 0;
	drop_entries_from(l, head.index);
	if (s->entry_count == l->entry_capacity) {
		l->entry_capacity =
		    l->entry_capacity ? l->entry_capacity * 2 : 64;
		s->entries = realloc(
		    s->entries, l->entry_capacity * sizeof(*s->entries));
		assert(s->entries != NULL);
	}
	e = &s->entries[s->entry_count++];
	e->index = head.index;
	e->term = head.term;
	e->kind = (enum replica_entry_kind)head.kind;
	e->size_bytes = record->payload_bytes - (uint32_t)sizeof(head);
	e->data = malloc(e->size_bytes + 1);
	assert(e->data != NULL);
	memcpy(e->data, record->payload + sizeof(head), e->size_bytes);
	e->data[e->size_bytes] = '\0';
	if (head.index > l->wal->segments[l->wal->segment_count - 1].last_index)
		l->wal->segments[l->wal->segment_count - 1].last_index =
		    head.index;
	return 0;
}

static int
load_record(struct loader *l, const struct wal_record *record)
{
	struct wal_vote vote;
	uint64_t index;

	switch (record->kind) {
	case WAL_VOTE:
		if (record->payload_bytes != sizeof(vote))
			return -1;
		memcpy(&vote, record->payload, sizeof(vote));
		l->wal->term = l->stored->term = vote.term;
		l->wal->vote = l->stored->vote = vote.vote;
		return 0;
	case WAL_ENTRY:
		return load_entry(l, record);
	case WAL_TRUNCATE:
	case WAL_COMPACTED:
		if (record->payload_bytes != sizeof(index))
			return -1;
		memcpy(&index, record->payload, sizeof(index));
		if (record->kind == WAL_TRUNCATE)
			drop_entries_from(l, index);
		else
			drop_entries_to(l, index);
		return 0;
	default:
		return -1;
	}
}

/// Returns whether an invalid record was synced: a valid later record says so.
/// Records after the last sync may be torn anywhere, the first as well as the
/// last.
static bool
was_synced(const char *bytes, size_t size_bytes, uint64_t sequence)
{
	struct wal_record record;
	size_t offset;

	for (offset = 1; offset + WAL_HEADER_BYTES <= size_bytes; offset++) {
		uint32_t magic;

		memcpy(&magic, bytes + offset, sizeof(magic));
		if (magic == WAL_MAGIC &&
		    wal_record_decode(
			bytes + offset, size_bytes - offset, &record) == 0 &&
		    record.first_unsynced > sequence)
			return true;
	}
	return false;
}

static int
report_corruption(struct loader *l, const char *name, size_t offset)
{
	return error_set(l->err, ERR_CORRUPT, "load log", name,
	    "damaged at byte %zu; replace this replica by one with an empty "
	    "data folder",
	    offset);
}

static int
load_segment(struct loader *l, uint64_t number, bool last)
{
	struct wal *wal = l->wal;
	struct wal_record record;
	char name[WAL_NAME_BYTES];
	char *bytes;
	size_t size_bytes;
	size_t offset = 0;
	int rc = -1;

	wal_segment_name(number, name);
	if (wal->disk->ops->read(
		wal->disk, name, &bytes, &size_bytes, l->err) != 0)
		return -1;
	wal_add_segment(wal, number);
	while (offset < size_bytes) {
		if (wal_record_decode(
			bytes + offset, size_bytes - offset, &record) != 0)
			break;
		// Sequence numbers continue across segments.
		if (wal->next_sequence != 1 &&
		    record.sequence != wal->next_sequence)
			break;
		if (load_record(l, &record) != 0)
			break;
		wal->next_sequence = record.sequence + 1;
		offset += record.total_bytes;
	}
	wal->segment_bytes = offset;
	if (offset < size_bytes) {
		if (!last ||
		    was_synced(bytes + offset, size_bytes - offset,
			wal->next_sequence)) {
			report_corruption(l, name, offset);
			goto out;
		}
		wal->truncated_bytes += size_bytes - offset;
		if (wal->disk->ops->truncate(wal->disk, name, offset, l->err) !=
		    0)
			goto out;
	}
	rc = 0;
out:
	free(bytes);
	return rc;
}

static int
load_snapshot(struct loader *l)
{
	struct replica_snapshot *s = &l->stored->snapshot;
	struct wal_snapshot_head head;
	struct wal_record record;
	char *bytes;
	size_t size_bytes;
	int rc = -1;

	if (l->wal->disk->ops->read(l->wal->disk, WAL_SNAPSHOT_NAME, &bytes,
		&size_bytes, l->err) != 0)
		return -1;
	if (bytes == NULL)
		return 0;
	if (wal_record_decode(bytes, size_bytes, &record) != 0 ||
	    record.total_bytes != size_bytes || record.kind != WAL_SNAPSHOT ||
	    record.payload_bytes < sizeof(head)) {
		report_corruption(l, WAL_SNAPSHOT_NAME, 0);
		goto out;
	}
	memcpy(&head, record.payload, sizeof(head));
	if (sizeof(head) + (uint64_t)head.config_bytes + head.data_bytes !=
		record.payload_bytes ||
	    replica_config_decode(record.payload + sizeof(head),
		head.config_bytes, &s->config, l->err) != 0) {
		report_corruption(l, WAL_SNAPSHOT_NAME, WAL_HEADER_BYTES);
		goto out;
	}
	s->index = head.index;
	s->term = head.term;
	s->size_bytes = head.data_bytes;
	s->data = malloc(head.data_bytes + 1);
	assert(s->data != NULL);
	memcpy(s->data, record.payload + sizeof(head) + head.config_bytes,
	    head.data_bytes);
	rc = 0;
out:
	free(bytes);
	return rc;
}

struct number_list {
	uint64_t *items;
	uint32_t count;
};

static void
collect_number(void *arg, const char *name)
{
	struct number_list *list = arg;
	uint64_t number;
	char canonical[WAL_NAME_BYTES];

	if (sscanf(name, "log-%" SCNu64, &number) != 1)
		return;
	wal_segment_name(number, canonical);
	if (strcmp(canonical, name) != 0)
		return;
	list->items =
	    realloc(list->items, (list->count + 1) * sizeof(*list->items));
	assert(list->items != NULL);
	list->items[list->count++] = number;
}

static int
compare_numbers(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/// Returns the position of the first segment after the last gap. Segments
/// before a gap were removed, and a crash undid the removal. If a needed
/// segment is missing, replica_init detects the missing entries.
static uint32_t
find_contiguous_start(const struct number_list *numbers)
{
	uint32_t i = numbers->count;

	if (i == 0)
		return 0;
	for (i--; i > 0; i--)
		if (numbers->items[i - 1] + 1 != numbers->items[i])
			break;
	return i;
}

/// Syncs the last segment: records that a killed process wrote without a sync
/// count as stored from now on.
static int
sync_loaded(struct wal *wal, struct error *err)
{
	char name[WAL_NAME_BYTES];

	wal_segment_name(wal->segments[wal->segment_count - 1].number, name);
	if (wal->disk->ops->sync(wal->disk, name, err) != 0)
		return -1;
	wal->first_unsynced = wal->next_sequence;
	return 0;
}

int
wal_load_files(
    struct wal *wal, struct replica_stored_state *stored, struct error *err)
{
	struct disk *disk = wal->disk;
	struct loader l = {.wal = wal, .stored = stored, .err = err};
	struct number_list numbers = {NULL, 0};
	uint32_t i;
	int rc = -1;

	memset(stored, 0, sizeof(*stored));
	if (load_snapshot(&l) != 0)
		goto out;
	if (disk->ops->list(disk, collect_number, &numbers, err) != 0)
		goto out;
	if (numbers.count > 0)
		qsort(numbers.items, numbers.count, sizeof(numbers.items[0]),
		    compare_numbers);
	for (i = find_contiguous_start(&numbers); i < numbers.count; i++)
		if (load_segment(
			&l, numbers.items[i], i + 1 == numbers.count) != 0)
			goto out;
	if (wal->segment_count == 0)
		wal_add_segment(wal, 1);
	else if (sync_loaded(wal, err) != 0)
		goto out;
	rc = 0;
out:
	free(numbers.items);
	return rc;
}
