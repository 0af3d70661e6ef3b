/// @file
/// Files under one data folder, behind a vtable so that tests can inject
/// failures.
#ifndef MV_IO_DISK_DISK_H
#define MV_IO_DISK_DISK_H

#include <stddef.h>

#include "core/error.h"

struct disk;

struct disk_ops {
	/// Appends bytes to a file, creating it if needed.
	int (*append)(struct disk *disk, const char *name, const char *bytes,
	    size_t size_bytes, struct error *err);
	/// Makes a file's contents and its folder entry durable.
	int (*sync)(struct disk *disk, const char *name, struct error *err);
	/// Replaces a whole file atomically and durably.
	int (*replace)(struct disk *disk, const char *name, const char *bytes,
	    size_t size_bytes, struct error *err);
	/// Reads a whole file; *bytes is NULL if there is none, and is
	/// released with free().
	int (*read)(struct disk *disk, const char *name, char **bytes,
	    size_t *size_bytes, struct error *err);
	/// Truncates a file to size_bytes, durably.
	int (*truncate)(struct disk *disk, const char *name, size_t size_bytes,
	    struct error *err);
	/// Removes a file. A crash may undo the removal, which is not synced.
	int (*remove)(struct disk *disk, const char *name, struct error *err);
	/// Calls fn with the name of each file.
	int (*list)(struct disk *disk, void (*fn)(void *arg, const char *name),
	    void *arg, struct error *err);
};

struct disk {
	const struct disk_ops *ops;
};

/// Opens a data folder, creating it if needed, and locks it.
///
/// @return the disk, or NULL with err set
struct disk *disk_open(const char *folder, struct error *err);

void disk_close(struct disk *disk);

#endif
