// Data folder on a local file system.
#include <apr_file_io.h>
#include <apr_general.h>
#include <apr_strings.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "io/disk/disk.h"

#define LOCK_NAME "lock"

/// Keeps at most one file open for appending.
struct real_disk {
	struct disk disk;
	apr_pool_t *pool;
	apr_pool_t *file_pool;
	char *folder;
	int folder_fd;
	apr_file_t *lock;
	apr_file_t *file;
	char *file_name;
	int folder_sync_pending; ///< The next sync also syncs the folder.
};

static struct real_disk *
real_of(struct disk *disk)
{
	return (struct real_disk *)disk;
}

static int
set_apr_error(
    struct error *err, const char *step, const char *name, apr_status_t rc)
{
	char text[120];

	apr_strerror(rc, text, sizeof(text));
	return error_set(err, ERR_IO, step, name, "%s", text);
}

static const char *
make_path(const struct real_disk *d, const char *name, apr_pool_t *pool)
{
	return apr_pstrcat(pool, d->folder, "/", name, NULL);
}

static int
sync_folder(struct real_disk *d, struct error *err)
{
	if (fsync(d->folder_fd) != 0)
		return set_apr_error(err, "sync folder", d->folder, errno);
	return 0;
}

static void
close_file(struct real_disk *d)
{
	if (d->file == NULL)
		return;
	apr_file_close(d->file);
	apr_pool_clear(d->file_pool);
	d->file = NULL;
	d->file_name = NULL;
}

static int
open_file(struct real_disk *d, const char *name, struct error *err)
{
	const char *path;
	apr_status_t rc;
	apr_finfo_t info;

	if (d->file != NULL && strcmp(d->file_name, name) == 0)
		return 0;
	close_file(d);
	path = make_path(d, name, d->file_pool);
	d->folder_sync_pending |=
	    apr_stat(&info, path, APR_FINFO_TYPE, d->file_pool) != APR_SUCCESS;
	rc = apr_file_open(&d->file, path,
	    APR_FOPEN_WRITE | APR_FOPEN_CREATE | APR_FOPEN_APPEND |
		APR_FOPEN_BINARY,
	    APR_FPROT_UREAD | APR_FPROT_UWRITE | APR_FPROT_GREAD, d->file_pool);
	if (rc != APR_SUCCESS) {
		d->file = NULL;
		return set_apr_error(err, "open", name, rc);
	}
	d->file_name = apr_pstrdup(d->file_pool, name);
	return 0;
}

static int
real_append(struct disk *disk, const char *name, const char *bytes,
    size_t size_bytes, struct error *err)
{
	struct real_disk *d = real_of(disk);
	apr_status_t rc;

	if (open_file(d, name, err) != 0)
		return -1;
	rc = apr_file_write_full(d->file, bytes, size_bytes, NULL);
	return rc == APR_SUCCESS ? 0 : set_apr_error(err, "append", name, rc);
}

static int
real_sync(struct disk *disk, const char *name, struct error *err)
{
	struct real_disk *d = real_of(disk);
	apr_status_t rc;

	if (open_file(d, name, err) != 0)
		return -1;
	rc = apr_file_datasync(d->file);
	if (rc != APR_SUCCESS)
		return set_apr_error(err, "sync", name, rc);
	if (!d->folder_sync_pending)
		return 0;
	d->folder_sync_pending = 0;
	return sync_folder(d, err);
}

static int
write_file(const char *path, const char *name, const char *bytes,
    size_t size_bytes, apr_pool_t *pool, struct error *err)
{
	apr_file_t *f;
	apr_status_t rc = apr_file_open(&f, path,
	    APR_FOPEN_WRITE | APR_FOPEN_CREATE | APR_FOPEN_TRUNCATE |
		APR_FOPEN_BINARY,
	    APR_FPROT_UREAD | APR_FPROT_UWRITE | APR_FPROT_GREAD, pool);

	if (rc != APR_SUCCESS)
		return set_apr_error(err, "open", name, rc);
	rc = apr_file_write_full(f, bytes, size_bytes, NULL);
	if (rc == APR_SUCCESS)
		rc = apr_file_sync(f);
	apr_file_close(f);
	return rc == APR_SUCCESS ? 0 : set_apr_error(err, "write", name, rc);
}

static int
real_replace(struct disk *disk, const char *name, const char *bytes,
    size_t size_bytes, struct error *err)
{
	struct real_disk *d = real_of(disk);
	apr_pool_t *pool;
	const char *temporary;
	apr_status_t rc;
	int result = -1;

	apr_pool_create(&pool, d->pool);
	temporary = apr_pstrcat(pool, make_path(d, name, pool), ".new", NULL);
	if (write_file(temporary, name, bytes, size_bytes, pool, err) != 0)
		goto out;
	rc = apr_file_rename(temporary, make_path(d, name, pool), pool);
	if (rc != APR_SUCCESS) {
		set_apr_error(err, "rename", name, rc);
		goto out;
	}
	result = sync_folder(d, err);
out:
	apr_pool_destroy(pool);
	return result;
}

static int
read_open_file(apr_file_t *f, const char *name, char **bytes,
    size_t *size_bytes, struct error *err)
{
	apr_finfo_t info;
	apr_status_t rc = apr_file_info_get(&info, APR_FINFO_SIZE, f);

	if (rc != APR_SUCCESS)
		return set_apr_error(err, "read", name, rc);
	*size_bytes = (size_t)info.size;
	*bytes = malloc(*size_bytes + 1);
	assert(*bytes != NULL);
	if (*size_bytes == 0)
		return 0;
	rc = apr_file_read_full(f, *bytes, *size_bytes, NULL);
	if (rc == APR_SUCCESS)
		return 0;
	free(*bytes);
	*bytes = NULL;
	return set_apr_error(err, "read", name, rc);
}

static int
real_read(struct disk *disk, const char *name, char **bytes, size_t *size_bytes,
    struct error *err)
{
	struct real_disk *d = real_of(disk);
	apr_pool_t *pool;
	apr_file_t *f;
	apr_status_t rc;
	int result = 0;

	*bytes = NULL;
	*size_bytes = 0;
	apr_pool_create(&pool, d->pool);
	rc = apr_file_open(&f, make_path(d, name, pool),
	    APR_FOPEN_READ | APR_FOPEN_BINARY, 0, pool);
	if (rc == APR_SUCCESS)
		result = read_open_file(f, name, bytes, size_bytes, err);
	else if (!APR_STATUS_IS_ENOENT(rc))
		result = set_apr_error(err, "open", name, rc);
	apr_pool_destroy(pool);
	return result;
}

static int
real_truncate(
    struct disk *disk, const char *name, size_t size_bytes, struct error *err)
{
	struct real_disk *d = real_of(disk);
	apr_status_t rc;

	if (open_file(d, name, err) != 0)
		return -1;
	rc = apr_file_trunc(d->file, (apr_off_t)size_bytes);
	if (rc == APR_SUCCESS)
		rc = apr_file_sync(d->file);
	return rc == APR_SUCCESS ? 0 : set_apr_error(err, "truncate", name, rc);
}

static int
real_remove(struct disk *disk, const char *name, struct error *err)
{
	struct real_disk *d = real_of(disk);
	apr_pool_t *pool;
	apr_status_t rc;

	if (d->file != NULL && strcmp(d->file_name, name) == 0)
		close_file(d);
	apr_pool_create(&pool, d->pool);
	rc = apr_file_remove(make_path(d, name, pool), pool);
	apr_pool_destroy(pool);
	if (rc == APR_SUCCESS || APR_STATUS_IS_ENOENT(rc))
		return 0;
	return set_apr_error(err, "remove", name, rc);
}

static int
real_list(struct disk *disk, void (*fn)(void *arg, const char *name), void *arg,
    struct error *err)
{
	struct real_disk *d = real_of(disk);
	apr_pool_t *pool;
	apr_dir_t *dir;
	apr_finfo_t info;
	apr_status_t rc;

	apr_pool_create(&pool, d->pool);
	rc = apr_dir_open(&dir, d->folder, pool);
	if (rc != APR_SUCCESS) {
		apr_pool_destroy(pool);
		return set_apr_error(err, "list", d->folder, rc);
	}
	while (apr_dir_read(&info, APR_FINFO_NAME | APR_FINFO_TYPE, dir) ==
	    APR_SUCCESS)
		if (info.filetype == APR_REG &&
		    strcmp(info.name, LOCK_NAME) != 0)
			fn(arg, info.name);
	apr_dir_close(dir);
	apr_pool_destroy(pool);
	return 0;
}

static const struct disk_ops real_ops = {
    .append = real_append,
    .sync = real_sync,
    .replace = real_replace,
    .read = real_read,
    .truncate = real_truncate,
    .remove = real_remove,
    .list = real_list,
};

/// Takes an exclusive lock, so that no second process uses the folder.
static int
lock_folder(struct real_disk *d, struct error *err)
{
	apr_status_t rc =
	    apr_file_open(&d->lock, make_path(d, LOCK_NAME, d->pool),
		APR_FOPEN_WRITE | APR_FOPEN_CREATE,
		APR_FPROT_UREAD | APR_FPROT_UWRITE, d->pool);

	if (rc == APR_SUCCESS)
		rc = apr_file_lock(
		    d->lock, APR_FLOCK_EXCLUSIVE | APR_FLOCK_NONBLOCK);
	if (rc != APR_SUCCESS)
		return error_set(err, ERR_IO, "lock folder", d->folder,
		    "another process uses it");
	return 0;
}

struct disk *
disk_open(const char *folder, struct error *err)
{
	struct real_disk *d = calloc(1, sizeof(*d));
	apr_status_t rc;

	assert(d != NULL);
	d->disk.ops = &real_ops;
	d->folder_fd = -1;
	apr_pool_create(&d->pool, NULL);
	apr_pool_create(&d->file_pool, d->pool);
	d->folder = apr_pstrdup(d->pool, folder);
	rc = apr_dir_make_recursive(folder, APR_FPROT_OS_DEFAULT, d->pool);
	if (rc != APR_SUCCESS) {
		set_apr_error(err, "create folder", folder, rc);
		goto fail;
	}
	d->folder_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (d->folder_fd < 0) {
		set_apr_error(err, "open folder", folder, errno);
		goto fail;
	}
	if (lock_folder(d, err) != 0)
		goto fail;
	return &d->disk;
fail:
	disk_close(&d->disk);
	return NULL;
}

void
disk_close(struct disk *disk)
{
	struct real_disk *d = real_of(disk);

	if (d == NULL)
		return;
	if (d->folder_fd >= 0)
		close(d->folder_fd);
	apr_pool_destroy(d->pool);
	free(d);
}
