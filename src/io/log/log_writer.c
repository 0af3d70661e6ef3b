// Writer thread of the logger, fed through a ring buffer.
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
#include "io/log/counters.h"
#include "io/log/log_writer.h"

/// Holds about one second of lines from two threads at the default rate limit.
#define RING_BYTES (256u * 1024)

/// Lines are batched for this long: ten writes a second cost next to nothing.
#define BATCH_DELAY_US (100 * US_PER_MS)

/// Maximum wait at shutdown for a slow reader.
#define STOP_TIMEOUT_US (300 * US_PER_MS)

COUNTER_DEFINE(count_dropped, "log_lines_dropped",
    "Log lines dropped since the reader of the log was too slow");

static struct {
	apr_pool_t *pool;
	apr_thread_mutex_t *mutex;
	apr_thread_cond_t *not_empty;
	apr_thread_cond_t *empty;
	apr_thread_t *thread;
	int fd;
	bool stopping;
	uint64_t dropped; ///< Dropped lines not yet reported.
	size_t head;	  ///< Position of the next byte to write.
	size_t used_bytes;
	char ring[RING_BYTES];
} writer;

/// Writes all bytes, and blocks while the reader is slow.
static void
write_all(const char *bytes, size_t size_bytes)
{
	struct pollfd writable = {.fd = writer.fd, .events = POLLOUT};
	ssize_t n;

	while (size_bytes > 0) {
		n = write(writer.fd, bytes, size_bytes);
		if (n < 0 && errno == EAGAIN)
			poll(&writable, 1, -1);
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		// The output failed, for instance because its reader is gone:
		// the failure cannot be logged anywhere.
		if (n <= 0)
			return;
		bytes += n;
		size_bytes -= (size_t)n;
	}
}

static void *APR_THREAD_FUNC
run_writer(apr_thread_t *thread, void *arg)
{
	size_t size_bytes;

	(void)thread;
	(void)arg;
	apr_thread_mutex_lock(writer.mutex);
	for (;;) {
		while (writer.used_bytes == 0 && !writer.stopping)
			apr_thread_cond_wait(writer.not_empty, writer.mutex);
		if (writer.used_bytes == 0)
			break;
		if (!writer.stopping)
			apr_thread_cond_timedwait(
			    writer.not_empty, writer.mutex, BATCH_DELAY_US);
		size_bytes = writer.used_bytes;
		if (size_bytes > RING_BYTES - writer.head)
			size_bytes = RING_BYTES - writer.head;
		// These bytes count as used until they are written, so that
		// no other thread overwrites them.
		apr_thread_mutex_unlock(writer.mutex);
		write_all(writer.ring + writer.head, size_bytes);
		apr_thread_mutex_lock(writer.mutex);
		writer.head = (writer.head + size_bytes) % RING_BYTES;
		writer.used_bytes -= size_bytes;
	}
	apr_thread_cond_signal(writer.empty);
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
		rc = apr_thread_cond_create(&writer.not_empty, writer.pool);
	if (rc == APR_SUCCESS)
		rc = apr_thread_cond_create(&writer.empty, writer.pool);
	if (rc == APR_SUCCESS)
		rc = apr_thread_create(
		    &writer.thread, NULL, run_writer, NULL, writer.pool);
	if (rc != APR_SUCCESS) {
		writer.thread = NULL;
		return error_set(err, ERR_IO, "start log writer", "",
		    "APR status %d", (int)rc);
	}
	return 0;
}

/// Copies into the ring, which must have room.
static void
copy_to_ring(const char *bytes, size_t size_bytes)
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
	uint64_t reported = 0;

	if (writer.thread == NULL) {
		write_all(lines, size_bytes);
		return 0;
	}
	apr_thread_mutex_lock(writer.mutex);
	if (size_bytes <= RING_BYTES - writer.used_bytes) {
		if (writer.used_bytes == 0)
			apr_thread_cond_signal(writer.not_empty);
		copy_to_ring(lines, size_bytes);
		reported = writer.dropped;
		writer.dropped = 0;
	} else
		writer.dropped += count;
	counter_add(&count_dropped, (int64_t)count);
	apr_thread_mutex_unlock(writer.mutex);
	return reported;
}

void
log_writer_stop(void)
{
	int64_t deadline_us = clock_now_us() + STOP_TIMEOUT_US;
	int64_t remaining_us;
	apr_status_t rc;
	bool drained;

	if (writer.thread == NULL)
		return;
	apr_thread_mutex_lock(writer.mutex);
	writer.stopping = true;
	apr_thread_cond_signal(writer.not_empty);
	while (writer.used_bytes > 0) {
		remaining_us = deadline_us - clock_now_us();
		if (remaining_us <= 0 ||
		    apr_thread_cond_timedwait(writer.empty, writer.mutex,
			remaining_us) != APR_SUCCESS)
			break;
	}
	drained = writer.used_bytes == 0;
	apr_thread_mutex_unlock(writer.mutex);
	// Skips the join if the thread may still block in a write.
	if (drained)
		apr_thread_join(&rc, writer.thread);
}
