// Write-ahead log: writes segments and snapshots.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/disk/wal.h"
#include "io/disk/wal_record.h"

#define WAL_SNAPSHOT_NAME "snapshot"
#define IDENTITY_NAME	  "identity"
#define IDENTITY_FORMAT	  "cluster %" PRIu64 " replica %" PRIu64 "\n"

static struct wal *
wal_of(struct replica_storage *storage)
{
	return (struct wal *)storage;
}

static struct wal_segment *
current_segment(struct wal *wal)
{
	return &wal->segments[wal->segment_count - 1];
}

/// Writes buffered records to the segment, without syncing them.
static int
write_buffer(struct wal *wal, struct error *err)
{
	char name[WAL_NAME_BYTES];
	int rc;

	if (wal->buffer.size == 0)
		return 0;
	wal_segment_name(current_segment(wal)->number, name);
	rc = wal->disk->ops->append(
	    wal->disk, name, wal->buffer.data, wal->buffer.size, err);
	wal->segment_bytes += wal->buffer.size;
	msgpack_sbuffer_clear(&wal->buffer);
	return rc;
}

static int
sync_segment(struct wal *wal, struct error *err)
{
	char name[WAL_NAME_BYTES];

	if (write_buffer(wal, err) != 0)
		return -1;
	wal_segment_name(current_segment(wal)->number, name);
	if (wal->disk->ops->sync(wal->disk, name, err) != 0)
		return -1;
	wal->first_unsynced = wal->next_sequence;
	return 0;
}

static void
append_record(struct wal *wal, enum wal_record_kind kind, const void *head,
    uint32_t head_bytes, const char *body, size_t body_bytes)
{
	wal_record_encode(&wal->buffer, wal->next_sequence++,
	    wal->first_unsynced, kind, head, head_bytes, body, body_bytes);
}

static void
append_vote(struct wal *wal)
{
	struct wal_vote vote = {wal->term, wal->vote};

	append_record(wal, WAL_VOTE, &vote, sizeof(vote), NULL, 0);
}

/// Syncs the segment and starts the next one. That begins with a vote record,
/// so that it can be loaded without earlier segments.
static int
start_segment(struct wal *wal, struct error *err)
{
	uint64_t number = current_segment(wal)->number + 1;

	if (sync_segment(wal, err) != 0)
		return -1;
	wal_add_segment(wal, number);
	wal->segment_bytes = 0;
	append_vote(wal);
	return 0;
}

static int
wal_save_vote(struct replica_storage *storage, uint64_t term, uint64_t vote,
    struct error *err)
{
	struct wal *wal = wal_of(storage);

	(void)err;
	wal->term = term;
	wal->vote = vote;
	append_vote(wal);
	return 0;
}

static int
wal_append(struct replica_storage *storage, const struct replica_entry *entries,
    uint32_t count, struct error *err)
{
	struct wal *wal = wal_of(storage);
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct replica_entry *e = &entries[i];
		struct wal_entry_head head = {e->index, e->term, e->kind, 0};

		if (wal->segment_bytes + wal->buffer.size >
			wal->max_segment_bytes &&
		    start_segment(wal, err) != 0)
			return -1;
		append_record(wal, WAL_ENTRY, &head, sizeof(head), e->data,
		    e->size_bytes);
		if (e->index > current_segment(wal)->last_index)
			current_segment(wal)->last_index = e->index;
	}
	return 0;
}

static int
wal_truncate(
    struct replica_storage *storage, uint64_t from_index, struct error *err)
{
	struct wal *wal = wal_of(storage);

	(void)err;
	append_record(
	    wal, WAL_TRUNCATE, &from_index, sizeof(from_index), NULL, 0);
	return 0;
}

/// Removes the oldest segments without entries after an index. A crash may undo
/// a removal, which is harmless: the loader ignores the entries.
static int
remove_old_segments(struct wal *wal, uint64_t index, struct error *err)
{
	char name[WAL_NAME_BYTES];
	uint32_t drop = 0;

	while (drop + 1 < wal->segment_count &&
	    wal->segments[drop].last_index <= index) {
		wal_segment_name(wal->segments[drop].number, name);
		if (wal->disk->ops->remove(wal->disk, name, err) != 0)
			return -1;
		drop++;
	}
	wal->segment_count -= drop;
	memmove(wal->segments, wal->segments + drop,
	    wal->segment_count * sizeof(*wal->segments));
	return 0;
}

static int
wal_save_snapshot(struct replica_storage *storage,
    const struct replica_snapshot *snapshot, struct error *err)
{
	struct wal *wal = wal_of(storage);
	char config[REPLICA_CONFIG_TEXT_BYTES];
	struct wal_snapshot_head head = {
	    snapshot->index, snapshot->term, 0, snapshot->size_bytes};
	msgpack_sbuffer payload;
	msgpack_sbuffer out;
	int rc;

	head.config_bytes =
	    (uint32_t)replica_config_encode(&snapshot->config, config);
	assert(head.config_bytes > 0);
	msgpack_sbuffer_init(&payload);
	msgpack_sbuffer_init(&out);
	msgpack_sbuffer_write(&payload, config, head.config_bytes);
	if (snapshot->size_bytes > 0)
		msgpack_sbuffer_write(
		    &payload, snapshot->data, snapshot->size_bytes);
	wal_record_encode(&out, 0, 0, WAL_SNAPSHOT, &head, sizeof(head),
	    payload.data, payload.size);
	rc = wal->disk->ops->replace(
	    wal->disk, WAL_SNAPSHOT_NAME, out.data, out.size, err);
	msgpack_sbuffer_destroy(&payload);
	msgpack_sbuffer_destroy(&out);
	if (rc != 0 || start_segment(wal, err) != 0)
		return -1;
	// Makes the loader drop the entries that the snapshot covers, also
	// those of segments whose removal a crash undid.
	append_record(wal, WAL_COMPACTED, &snapshot->index,
	    sizeof(snapshot->index), NULL, 0);
	if (sync_segment(wal, err) != 0)
		return -1;
	return remove_old_segments(wal, snapshot->index, err);
}

static int
wal_sync(struct replica_storage *storage, struct error *err)
{
	return sync_segment(wal_of(storage), err);
}

static const struct replica_storage_ops wal_ops = {
    .save_vote = wal_save_vote,
    .append = wal_append,
    .truncate = wal_truncate,
    .save_snapshot = wal_save_snapshot,
    .sync = wal_sync,
};

static void
wal_init(struct wal *wal, struct disk *disk)
{
	memset(wal, 0, sizeof(*wal));
	wal->storage.ops = &wal_ops;
	wal->disk = disk;
	wal->next_sequence = 1;
	wal->max_segment_bytes = WAL_SEGMENT_BYTES;
	msgpack_sbuffer_init(&wal->buffer);
}

int
wal_load(struct wal *wal, struct disk *disk,
    struct replica_stored_state *stored, struct error *err)
{
	wal_init(wal, disk);
	return wal_load_files(wal, stored, err);
}

void
wal_free(struct wal *wal)
{
	free(wal->segments);
	msgpack_sbuffer_destroy(&wal->buffer);
}

int
wal_read_identity(
    struct disk *disk, struct wal_identity *identity, struct error *err)
{
	char *text;
	size_t text_bytes;
	int rc = 0;

	memset(identity, 0, sizeof(*identity));
	if (disk->ops->read(disk, IDENTITY_NAME, &text, &text_bytes, err) != 0)
		return -1;
	if (text == NULL)
		return 0;
	text[text_bytes] = '\0';
	if (sscanf(text, "cluster %" SCNu64 " replica %" SCNu64,
		&identity->cluster, &identity->replica) != 2)
		rc = error_set(err, ERR_CORRUPT, "read identity", IDENTITY_NAME,
		    "the file does not hold a cluster and a replica id");
	free(text);
	return rc;
}

int
wal_write_identity(
    struct disk *disk, const struct wal_identity *identity, struct error *err)
{
	char text[80];
	int n = snprintf(text, sizeof(text), IDENTITY_FORMAT, identity->cluster,
	    identity->replica);

	return disk->ops->replace(disk, IDENTITY_NAME, text, (size_t)n, err);
}
