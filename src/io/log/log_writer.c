// Ring of log lines between the threads of a process and its standard output.
#include <apr_general.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <errno.h>
#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include "io/clock.h"
#include "io/log/log_writer.h"

/// About a second of lines at the default limit of two threads.
#define RING_BYTES (256u * 1024)

/// Lines are gathered for this long: ten writes a second cost next to nothing.
#define GATHER_US (100 * US_PER_MS)

/// Longest wait at the end for a reader that is behind.
#define STOP_WAIT_US (300 * US_PER_MS)

static struct {
	apr_pool_t *pool;
	apr_thread_mutex_t *mutex;
	apr_thread_cond_t *filled;
	apr_thread_cond_t *emptied;
	apr_thread_t *thread;
	int fd;
	bool stopping;
	uint64_t dropped; ///< Lines left out and not yet told.
	size_t head;	  ///< Next byte to write out.
	size_t used_bytes;
	char ring[RING_BYTES];
} writer;

/// Writes a part of the ring out, and waits for the reader if it must.
static void
write_out(const char *bytes, size_t size_bytes)
{
	struct pollfd writable = {.fd = writer.fd, .events = POLLOUT};
	ssize_t n;

	while (size_bytes > 0) {
		n = write(writer.fd, bytes, size_bytes);
		if (n < 0 && errno == EAGAIN)
			poll(&writable, 1, -1);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		// Nobody reads any more: there is nowhere to tell it.
		if (n <= 0)
			return;
		bytes += n;
		size_bytes -= (size_t)n;
	}
}

static void *APR_THREAD_FUNC
run(apr_thread_t *thread, void *arg)
{
	size_t size_bytes;

	(void)thread;
	(void)arg;
	apr_thread_mutex_lock(writer.mutex);
	for (;;) {
		while (writer.used_bytes == 0 && !writer.stopping)
			apr_thread_cond_wait(writer.filled, writer.mutex);
		if (writer.used_bytes == 0)
			break;
		if (!writer.stopping)
			apr_thread_cond_timedwait(
			    writer.filled, writer.mutex, GATHER_US);
		size_bytes = writer.used_bytes;
		if (size_bytes > RING_BYTES - writer.head)
			size_bytes = RING_BYTES - writer.head;
		// The part that is written out is not overwritten meanwhile.
		apr_thread_mutex_unlock(writer.mutex);
		write_out(writer.ring + writer.head, size_bytes);
		apr_thread_mutex_lock(writer.mutex);
		writer.head = (writer.head + size_bytes) % RING_BYTES;
		writer.used_bytes -= size_bytes;
	}
	apr_thread_cond_signal(writer.emptied);
	apr_thread_mutex_unlock(writer.mutex);
	return NULL;
}

int
log_writer_start(int fd, struct error *err)
{
	apr_status_t rc = apr_initialize();

	writer.fd = fd;
	if (rc == APR_SUCCESS)
		rc = apr_pool_create(&writer.pool, NULL);
	if (rc == APR_SUCCESS)
		rc = apr_thread_mutex_create(
		    &writer.mutex, APR_THREAD_MUTEX_DEFAULT, writer.pool);
	if (rc == APR_SUCCESS)
		rc = apr_thread_cond_create(&writer.filled, writer.pool);
	if (rc == APR_SUCCESS)
		rc = apr_thread_cond_create(&writer.emptied, writer.pool);
	if (rc == APR_SUCCESS)
		rc = apr_thread_create(
		    &writer.thread, NULL, run, NULL, writer.pool);
	if (rc != APR_SUCCESS) {
		writer.thread = NULL;
		return error_set(err, ERR_IO, "start log writer", "",
		    "APR status %d", (int)rc);
	}
	return 0;
}

/// Copies into the ring, which has room.
static void
copy_in(const char *bytes, size_t size_bytes)
{
	size_t at = (writer.head + writer.used_bytes) % RING_BYTES;
	size_t first = RING_BYTES - at;

	if (first > size_bytes)
		first = size_bytes;
	memcpy(writer.ring + at, bytes, first);
	memcpy(writer.ring, bytes + first, size_bytes - first);
	writer.used_bytes += size_bytes;
}

uint64_t
log_writer_put(const char *lines, size_t size_bytes, uint32_t count)
{
	uint64_t left_out = 0;

	if (writer.thread == NULL) {
		write_out(lines, size_bytes);
		return 0;
	}
	apr_thread_mutex_lock(writer.mutex);
	if (size_bytes <= RING_BYTES - writer.used_bytes) {
		if (writer.used_bytes == 0)
			apr_thread_cond_signal(writer.filled);
		copy_in(lines, size_bytes);
		left_out = writer.dropped;
		writer.dropped = 0;
	} else
		writer.dropped += count;
	apr_thread_mutex_unlock(writer.mutex);
	return left_out;
}

void
log_writer_stop(void)
{
	int64_t deadline_us = clock_now_us() + STOP_WAIT_US;
	int64_t left_us;
	apr_status_t rc;
	bool drained;

	if (writer.thread == NULL)
		return;
	apr_thread_mutex_lock(writer.mutex);
	writer.stopping = true;
	apr_thread_cond_signal(writer.filled);
	while (writer.used_bytes > 0) {
		left_us = deadline_us - clock_now_us();
		if (left_us <= 0 ||
		    apr_thread_cond_timedwait(
			writer.emptied, writer.mutex, left_us) != APR_SUCCESS)
			break;
	}
	drained = writer.used_bytes == 0;
	apr_thread_mutex_unlock(writer.mutex);
	// A reader that is still behind is not waited for any longer.
	if (drained)
		apr_thread_join(&rc, writer.thread);
}
