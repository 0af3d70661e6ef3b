/// @file
/// Files under one data folder, behind a vtable so that tests can fail them.
#ifndef MV_IO_DISK_DISK_H
#define MV_IO_DISK_DISK_H

#include <stddef.h>

#include "core/error.h"

struct disk;

struct disk_ops {
	/// Adds bytes to the end of a file, creating it if needed.
	int (*append)(struct disk *disk, const char *name, const char *bytes,
	    size_t size_bytes, struct error *err);
	/// Makes a file's contents, and its name in the folder, durable.
	int (*sync)(struct disk *disk, const char *name, struct error *err);
	/// Replaces a file as a whole and makes that durable.
	int (*replace)(struct disk *disk, const char *name, const char *bytes,
	    size_t size_bytes, struct error *err);
	/// Reads a whole file; *bytes is NULL if there is none. Release it
	/// with free().
	int (*read)(struct disk *disk, const char *name, char **bytes,
	    size_t *size_bytes, struct error *err);
	/// Cuts a file and makes that durable.
	int (*truncate)(struct disk *disk, const char *name, size_t size_bytes,
	    struct error *err);
	/// Removes a file; it may come back after a crash.
	int (*remove)(struct disk *disk, const char *name, struct error *err);
	/// Visits the names of all files.
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
