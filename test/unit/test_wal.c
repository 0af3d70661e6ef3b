// Write-ahead log: torn writes, corruption and full disks.
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_disk.h"
#include "io/disk/wal.h"
#include "io/disk/wal_record.h"
#include "unit/support.h"

#define ENTRIES 20

static void
append_entry(struct wal *wal, uint64_t index, uint64_t term)
{
	char data[32];
	struct replica_entry e = {.index = index,
	    .term = term,
	    .kind = REPLICA_ENTRY_DATA,
	    .data = data,
	    .size_bytes = sizeof(data)};
	struct error err;

	memset(data, (int)index, sizeof(data));
	assert_int_equal(
	    wal->storage.ops->append(&wal->storage, &e, 1, &err), 0);
}

static void
write_log(struct fake_disk *disk, struct wal *wal)
{
	struct replica_stored_state stored;
	struct error err;
	uint64_t i;

	fake_disk_init(disk);
	assert_int_equal(wal_load(wal, &disk->disk, &stored, &err), 0);
	wal->max_segment_bytes = 400;
	wal->storage.ops->save_vote(&wal->storage, 3, 2, &err);
	for (i = 1; i <= ENTRIES; i++) {
		append_entry(wal, i, 3);
		assert_int_equal(
		    wal->storage.ops->sync(&wal->storage, &err), 0);
	}
}

static void
free_stored(struct replica_stored_state *stored)
{
	uint32_t i;

	for (i = 0; i < stored->entry_count; i++)
		free(stored->entries[i].data);
	free(stored->entries);
	free(stored->snapshot.data);
}

/// Loads the log; returns the number of entries, or -1 if it is rejected.
static int
load_entry_count(struct fake_disk *disk, struct error *err)
{
	struct replica_stored_state stored;
	struct wal wal;
	int count = -1;

	if (wal_load(&wal, &disk->disk, &stored, err) == 0)
		count = (int)stored.entry_count;
	free_stored(&stored);
	wal_free(&wal);
	return count;
}

static struct fake_file *
last_segment(struct fake_disk *disk)
{
	struct fake_file *last = NULL;
	uint32_t i;

	for (i = 0; i < disk->file_count; i++)
		if (last == NULL || strcmp(disk->files[i].name, last->name) > 0)
			last = &disk->files[i];
	return last;
}

static void
test_reload(void **state)
{
	struct replica_stored_state stored;
	struct fake_disk disk;
	struct wal wal;
	struct error err;

	(void)state;
	write_log(&disk, &wal);
	wal_free(&wal);
	assert_true(disk.file_count > 2);
	assert_int_equal(wal_load(&wal, &disk.disk, &stored, &err), 0);
	assert_int_equal(stored.term, 3);
	assert_int_equal(stored.vote, 2);
	assert_int_equal(stored.entry_count, ENTRIES);
	assert_int_equal(stored.entries[4].index, 5);
	assert_int_equal(stored.entries[4].data[0], 5);
	free_stored(&stored);
	wal_free(&wal);
	fake_disk_free(&disk);
}

/// A last segment truncated at any byte keeps the complete records before it.
static void
test_torn_tail(void **state)
{
	struct fake_disk disk;
	struct wal wal;
	struct error err;
	int previous = ENTRIES;
	size_t size;

	(void)state;
	write_log(&disk, &wal);
	wal_free(&wal);
	for (size = last_segment(&disk)->size_bytes; size > 0; size--) {
		int count;

		last_segment(&disk)->size_bytes = size;
		count = load_entry_count(&disk, &err);
		assert_in_range(count, 0, previous);
		assert_true(previous - count <= 1);
		previous = count;
	}
	assert_true(previous < ENTRIES);
	fake_disk_free(&disk);
}

/// Power loss during a write of several records may lose any part of them, the
/// first as well as the last. None of them was synced, so the tail is
/// truncated, and synced records stay.
static void
test_torn_batch(void **state)
{
	struct fake_disk disk;
	struct wal wal;
	struct error err;
	size_t synced_bytes;
	size_t i;

	(void)state;
	write_log(&disk, &wal);
	wal.max_segment_bytes = 100000;
	synced_bytes = last_segment(&disk)->size_bytes;
	for (i = 1; i <= 3; i++)
		append_entry(&wal, ENTRIES + i, 3);
	disk.sync_fails = true;
	assert_int_equal(wal.storage.ops->sync(&wal.storage, &err), -1);
	disk.sync_fails = false;
	wal_free(&wal);
	for (i = synced_bytes; i + 8 <= last_segment(&disk)->size_bytes;
	     i += 8) {
		struct fake_file *file = last_segment(&disk);
		size_t size = file->size_bytes;
		char *saved = malloc(size);

		memcpy(saved, file->bytes, size);
		memset(file->bytes + i, 0, 8);
		assert_in_range(
		    load_entry_count(&disk, &err), ENTRIES, ENTRIES + 3);
		memcpy(file->bytes, saved, size);
		file->size_bytes = size;
		free(saved);
	}
	assert_int_equal(load_entry_count(&disk, &err), ENTRIES + 3);
	fake_disk_free(&disk);
}

/// With one byte flipped anywhere, records after the corrupt one are never lost
/// silently. In the last record corruption looks like a torn write.
static void
test_damaged_byte(void **state)
{
	struct fake_disk disk;
	struct wal wal;
	struct error err;
	uint32_t rejected = 0;
	uint32_t f;

	(void)state;
	write_log(&disk, &wal);
	wal_free(&wal);
	for (f = 0; f < disk.file_count; f++) {
		struct fake_file *file = &disk.files[f];
		size_t size = file->size_bytes;
		char *saved = malloc(size);
		size_t i;

		memcpy(saved, file->bytes, size);
		for (i = 0; i < size; i++) {
			int count;

			file->bytes[i] ^= 0x40;
			count = load_entry_count(&disk, &err);
			rejected += count < 0;
			if (count >= 0)
				assert_in_range(count, ENTRIES - 1, ENTRIES);
			else
				assert_int_equal(err.code, ERR_CORRUPT);
			memcpy(file->bytes, saved, size);
			file->size_bytes = size;
		}
		free(saved);
	}
	assert_true(rejected > 0);
	fake_disk_free(&disk);
}

/// A corrupt snapshot is rejected and not loaded in part.
static void
test_damaged_snapshot(void **state)
{
	struct replica_snapshot s = {
	    .index = 10, .term = 3, .data = "state", .size_bytes = 5};
	struct replica_stored_state stored;
	struct fake_disk disk;
	struct wal wal;
	struct error err;
	struct fake_file *file;
	size_t i;

	(void)state;
	s.config.voter_count = 1;
	s.config.voters[0].id = 1;
	strcpy(s.config.voters[0].address, "-");
	write_log(&disk, &wal);
	assert_int_equal(
	    wal.storage.ops->save_snapshot(&wal.storage, &s, &err), 0);
	wal_free(&wal);
	assert_int_equal(wal_load(&wal, &disk.disk, &stored, &err), 0);
	assert_int_equal(stored.snapshot.index, 10);
	assert_memory_equal(stored.snapshot.data, "state", 5);
	assert_int_equal(stored.entry_count, ENTRIES - 10);
	free_stored(&stored);
	wal_free(&wal);
	file = fake_disk_find_file(&disk, "snapshot");
	for (i = 0; i < file->size_bytes; i++) {
		file->bytes[i] ^= 1;
		assert_int_equal(load_entry_count(&disk, &err), -1);
		file->bytes[i] ^= 1;
	}
	fake_disk_free(&disk);
}

static void
test_full_disk(void **state)
{
	struct fake_disk disk;
	struct wal wal;
	struct error err;

	(void)state;
	write_log(&disk, &wal);
	disk.full = true;
	append_entry(&wal, ENTRIES + 1, 3);
	assert_int_equal(wal.storage.ops->sync(&wal.storage, &err), -1);
	assert_string_equal(err.step, "append");
	assert_string_equal(err.text, "No space left on device");
	disk.full = false;
	wal_free(&wal);
	assert_int_equal(load_entry_count(&disk, &err), ENTRIES);
	fake_disk_free(&disk);
}

static void
test_identity(void **state)
{
	struct wal_identity identity = {77, 3};
	struct wal_identity got;
	struct fake_disk disk;
	struct error err;

	(void)state;
	fake_disk_init(&disk);
	assert_int_equal(wal_read_identity(&disk.disk, &got, &err), 0);
	assert_int_equal(got.replica, 0);
	assert_int_equal(wal_write_identity(&disk.disk, &identity, &err), 0);
	assert_int_equal(wal_read_identity(&disk.disk, &got, &err), 0);
	assert_int_equal(got.cluster, 77);
	assert_int_equal(got.replica, 3);
	fake_disk_free(&disk);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_reload),
	    cmocka_unit_test(test_torn_tail),
	    cmocka_unit_test(test_torn_batch),
	    cmocka_unit_test(test_damaged_byte),
	    cmocka_unit_test(test_damaged_snapshot),
	    cmocka_unit_test(test_full_disk),
	    cmocka_unit_test(test_identity),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
