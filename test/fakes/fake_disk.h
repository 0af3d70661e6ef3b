/// @file
/// Disk in memory that forgets what was not synced, and fails on demand.
#ifndef MV_TEST_FAKES_FAKE_DISK_H
#define MV_TEST_FAKES_FAKE_DISK_H

#include <stdbool.h>
#include <stdint.h>

#include "io/disk/disk.h"

#define FAKE_DISK_FILES 64

struct fake_file {
	char name[32];
	char *bytes;
	size_t size_bytes;
	size_t synced_bytes; ///< Survives a crash.
	bool name_synced;
};

struct fake_disk {
	struct disk disk;
	struct fake_file files[FAKE_DISK_FILES];
	uint32_t file_count;
	bool full; ///< Appends and replacements fail.
	bool sync_fails;
	uint64_t syncs;
	/// A sync that says it worked although it did not: off in all tests
	/// but those that show that the tests notice.
	bool sync_lies;
};

void fake_disk_init(struct fake_disk *disk);

void fake_disk_free(struct fake_disk *disk);

/// Loses what was not synced, but for a torn part of it.
///
/// @param keep  chooses how much of the unsynced bytes stays
void fake_disk_crash(struct fake_disk *disk, uint64_t keep);

struct fake_file *fake_disk_find(struct fake_disk *disk, const char *name);

#endif
