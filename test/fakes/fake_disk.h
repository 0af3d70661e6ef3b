/// @file
/// In-memory disk that loses unsynced data in a crash and fails on demand.
#ifndef MV_TEST_FAKES_FAKE_DISK_H
#define MV_TEST_FAKES_FAKE_DISK_H

#include <stdbool.h>
#include <stdint.h>

#include "io/disk/disk.h"

#define FAKE_DISK_MAX_FILES 64

/// A file of the disk.
struct fake_file {
	char name[32];
	char *bytes;
	size_t size_bytes;
	size_t synced_bytes; ///< Survives a crash.
	bool name_synced;    ///< Without it a crash removes the file.
};

/// The disk and the failures that it injects.
struct fake_disk {
	struct disk disk;
	struct fake_file files[FAKE_DISK_MAX_FILES];
	uint32_t file_count;
	bool full;	 ///< Appends and replacements fail.
	bool sync_fails; ///< Syncs fail.
	uint64_t syncs;	 ///< Syncs that reported success.
	/// Syncs report success without effect. Only set by tests that check
	/// that the other tests would detect it.
	bool sync_ignored;
};

/// Initialises an empty disk without failures.
void fake_disk_init(struct fake_disk *disk);

/// Frees all files.
void fake_disk_free(struct fake_disk *disk);

/// Simulates a crash: drops unsynced bytes except for a torn part of them, and
/// clears `full` and `sync_fails`.
///
/// @param keep  selects how many of the unsynced bytes of a file survive
void fake_disk_crash(struct fake_disk *disk, uint64_t keep);

/// Returns a file by its name; NULL if there is none.
struct fake_file *fake_disk_find_file(struct fake_disk *disk, const char *name);

#endif
