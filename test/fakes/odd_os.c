// Library to preload: a wall clock that is off, and a disk that is full or stalled.
//
// Files that may come and go at any time set the faults, PREFIX given by ODD_OS:
//
//   PREFIX.clock     holds seconds that are added to the wall clock
//   PREFIX.full      a write to a file in a folder *.data takes half of its bytes, and
//                    fails at the last one
//   PREFIX.stalled   syncs wait until it is gone
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define POLL_US 5000

static const char *
make_path(const char *fault, char *path, size_t path_bytes)
{
	const char *prefix = getenv("ODD_OS");

	snprintf(
	    path, path_bytes, "%s.%s", prefix == NULL ? "" : prefix, fault);
	return path;
}

static bool
has_fault(const char *fault)
{
	char path[512];

	return access(make_path(fault, path, sizeof(path)), F_OK) == 0;
}

/// Returns the seconds that the wall clock is ahead, or 0 while the file is replaced.
static long
read_clock_s(void)
{
	char path[512];
	char text[32] = "";
	int fd =
	    open(make_path("clock", path, sizeof(path)), O_RDONLY | O_CLOEXEC);

	if (fd < 0)
		return 0;
	if (read(fd, text, sizeof(text) - 1) < 0)
		text[0] = '\0';
	close(fd);
	return strtol(text, NULL, 10);
}

static bool
is_data_file(int fd)
{
	char link[32];
	char path[512] = "";

	snprintf(link, sizeof(link), "/proc/self/fd/%d", fd);
	return readlink(link, path, sizeof(path) - 1) > 0 &&
	    strstr(path, ".data/") != NULL;
}

int
clock_gettime(clockid_t clock_id, struct timespec *tp)
{
	static int (*real)(clockid_t, struct timespec *);
	int rc;

	if (real == NULL)
		*(void **)&real = dlsym(RTLD_NEXT, "clock_gettime");
	rc = real(clock_id, tp);
	if (rc == 0 && clock_id == CLOCK_REALTIME)
		tp->tv_sec += read_clock_s();
	return rc;
}

ssize_t
write(int fd, const void *buf, size_t n)
{
	static ssize_t (*real)(int, const void *, size_t);

	if (real == NULL)
		*(void **)&real = dlsym(RTLD_NEXT, "write");
	if (!is_data_file(fd) || !has_fault("full"))
		return real(fd, buf, n);
	if (n > 1)
		return real(fd, buf, n / 2);
	errno = ENOSPC;
	return -1;
}

static void
wait_while_stalled(void)
{
	while (has_fault("stalled"))
		usleep(POLL_US);
}

int
fsync(int fd)
{
	static int (*real)(int);

	if (real == NULL)
		*(void **)&real = dlsym(RTLD_NEXT, "fsync");
	wait_while_stalled();
	return real(fd);
}

int
fdatasync(int fildes)
{
	static int (*real)(int);

	if (real == NULL)
		*(void **)&real = dlsym(RTLD_NEXT, "fdatasync");
	wait_while_stalled();
	return real(fildes);
}
