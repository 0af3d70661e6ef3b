// In-memory disk with crash and failure injection.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_disk.h"

static struct fake_disk *
get_fake_disk(struct disk *disk)
{
	return (struct fake_disk *)disk;
}

struct fake_file *
fake_disk_find_file(struct fake_disk *d, const char *name)
{
	uint32_t i;

	for (i = 0; i < d->file_count; i++)
		if (strcmp(d->files[i].name, name) == 0)
			return &d->files[i];
	return NULL;
}

static struct fake_file *
find_or_add_file(struct fake_disk *d, const char *name)
{
	struct fake_file *f = fake_disk_find_file(d, name);

	if (f != NULL)
		return f;
	assert(d->file_count < FAKE_DISK_MAX_FILES);
	f = &d->files[d->file_count++];
	memset(f, 0, sizeof(*f));
	strcpy(f->name, name);
	return f;
}

static void
remove_file(struct fake_disk *d, struct fake_file *f)
{
	free(f->bytes);
	*f = d->files[--d->file_count];
}

static int
fake_append(struct disk *disk, const char *name, const char *bytes,
    size_t size_bytes, struct error *err)
{
	struct fake_disk *d = get_fake_disk(disk);
	struct fake_file *f;

	if (d->full)
		return error_set(
		    err, ERR_IO, "append", name, "No space left on device");
	f = find_or_add_file(d, name);
	f->bytes = realloc(f->bytes, f->size_bytes + size_bytes + 1);
	assert(f->bytes != NULL);
	memcpy(f->bytes + f->size_bytes, bytes, size_bytes);
	f->size_bytes += size_bytes;
	return 0;
}

static int
fake_sync(struct disk *disk, const char *name, struct error *err)
{
	struct fake_disk *d = get_fake_disk(disk);
	struct fake_file *f;

	if (d->sync_fails)
		return error_set(
		    err, ERR_IO, "sync", name, "Input/output error");
	d->syncs++;
	if (d->sync_ignored)
		return 0;
	f = find_or_add_file(d, name);
	f->synced_bytes = f->size_bytes;
	f->name_synced = true;
	return 0;
}

static int
fake_replace(struct disk *disk, const char *name, const char *bytes,
    size_t size_bytes, struct error *err)
{
	struct fake_disk *d = get_fake_disk(disk);
	struct fake_file *f;

	if (d->full)
		return error_set(
		    err, ERR_IO, "write", name, "No space left on device");
	f = find_or_add_file(d, name);
	f->bytes = realloc(f->bytes, size_bytes + 1);
	assert(f->bytes != NULL);
	memcpy(f->bytes, bytes, size_bytes);
	f->size_bytes = f->synced_bytes = size_bytes;
	f->name_synced = true;
	return 0;
}

static int
fake_read(struct disk *disk, const char *name, char **bytes, size_t *size_bytes,
    struct error *err)
{
	struct fake_file *f = fake_disk_find_file(get_fake_disk(disk), name);

	(void)err;
	*bytes = NULL;
	*size_bytes = 0;
	if (f == NULL)
		return 0;
	*bytes = malloc(f->size_bytes + 1);
	assert(*bytes != NULL);
	if (f->size_bytes > 0)
		memcpy(*bytes, f->bytes, f->size_bytes);
	*size_bytes = f->size_bytes;
	return 0;
}

static int
fake_truncate(
    struct disk *disk, const char *name, size_t size_bytes, struct error *err)
{
	struct fake_file *f = find_or_add_file(get_fake_disk(disk), name);

	(void)err;
	f->size_bytes = size_bytes;
	if (f->synced_bytes > size_bytes)
		f->synced_bytes = size_bytes;
	return 0;
}

static int
fake_remove(struct disk *disk, const char *name, struct error *err)
{
	struct fake_disk *d = get_fake_disk(disk);
	struct fake_file *f = fake_disk_find_file(d, name);

	(void)err;
	if (f != NULL)
		remove_file(d, f);
	return 0;
}

static int
fake_list(struct disk *disk, void (*fn)(void *arg, const char *name), void *arg,
    struct error *err)
{
	struct fake_disk *d = get_fake_disk(disk);
	uint32_t i;

	(void)err;
	for (i = 0; i < d->file_count; i++)
		fn(arg, d->files[i].name);
	return 0;
}

static const struct disk_ops fake_ops = {
    .append = fake_append,
    .sync = fake_sync,
    .replace = fake_replace,
    .read = fake_read,
    .truncate = fake_truncate,
    .remove = fake_remove,
    .list = fake_list,
};

void
fake_disk_init(struct fake_disk *disk)
{
	memset(disk, 0, sizeof(*disk));
	disk->disk.ops = &fake_ops;
}

void
fake_disk_free(struct fake_disk *disk)
{
	while (disk->file_count > 0)
		remove_file(disk, &disk->files[0]);
}

void
fake_disk_crash(struct fake_disk *disk, uint64_t keep)
{
	uint32_t i;

	for (i = disk->file_count; i-- > 0;) {
		struct fake_file *f = &disk->files[i];
		size_t unsynced = f->size_bytes - f->synced_bytes;

		if (!f->name_synced) {
			remove_file(disk, f);
			continue;
		}
		f->size_bytes = f->synced_bytes;
		if (unsynced > 0)
			f->size_bytes += keep % (unsynced + 1);
		f->synced_bytes = f->size_bytes;
	}
	disk->full = disk->sync_fails = false;
}
