// Event loop on an APR pollset.
#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <apr_thread_mutex.h>
#include <assert.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/loop.h"

#define POLL_BATCH	      256
#define MAX_WAIT_US	      (1 * US_PER_S)
#define MAX_HOOK_PASSES	      16
#define LOG_FLUSH_INTERVAL_US (20 * US_PER_MS)

/// Bytes of bulk work in an iteration: a few reads, about a millisecond if they are
/// in the smallest of chunks.
#define BULK_BYTES (128 * 1024)

/// Callers notice a delay of this length.
#define LOGGED_DELAY_US (250 * US_PER_MS)

COUNTER_DEFINE(
    count_delays, "loop_delays", "Times that events waited for 250 ms or more");

/// Poll state of a file descriptor number. Freed only with the loop, so that
/// pointers in poll results stay valid.
struct fd_slot {
	apr_pollfd_t pollfd;
	apr_socket_t *socket;
	struct loop_watch *watch;
};

struct call {
	void (*fn)(void *arg);
	void *arg;
};

struct call_list {
	struct call *items;
	uint32_t count;
	uint32_t capacity;
};

struct loop {
	const char *name;
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	apr_thread_mutex_t *mutex; ///< Guards posted.
	struct call_list posted;
	struct call_list deferred;
	struct fd_slot **slots;
	uint32_t slot_count;
	struct loop_timer **heap;
	uint32_t heap_count;
	uint32_t heap_capacity;
	struct loop_hook *hooks;
	struct loop_job *first_job;
	struct loop_job *last_job;
	int64_t bulk_left_bytes;
	bool hooks_woken;
	int64_t now_us;
	int64_t woken_us; ///< Time of the last return from a poll.
	int64_t log_flush_deadline_us;
	atomic_bool stopping;
};

static void
call_list_push(struct call_list *list, void (*fn)(void *), void *arg)
{
	if (list->count == list->capacity) {
		list->capacity = list->capacity ? list->capacity * 2 : 16;
		list->items =
		    realloc(list->items, list->capacity * sizeof(*list->items));
		assert(list->items != NULL);
	}
	list->items[list->count].fn = fn;
	list->items[list->count++].arg = arg;
}

struct loop *
loop_create(const char *name, struct error *err)
{
	struct loop *loop = calloc(1, sizeof(*loop));
	apr_status_t rc;

	assert(loop != NULL);
	loop->name = name;
	rc = apr_pool_create(&loop->pool, NULL);
	if (rc != APR_SUCCESS)
		goto fail;
	rc = apr_pollset_create_ex(&loop->pollset, POLL_BATCH, loop->pool,
	    APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY, APR_POLLSET_EPOLL);
	if (rc != APR_SUCCESS)
		goto fail;
	rc = apr_thread_mutex_create(
	    &loop->mutex, APR_THREAD_MUTEX_DEFAULT, loop->pool);
	if (rc != APR_SUCCESS)
		goto fail;
	loop->now_us = clock_now_us();
	return loop;
fail:
	error_set(err, ERR_IO, "create loop", "", "APR status %d", (int)rc);
	if (loop->pool != NULL)
		apr_pool_destroy(loop->pool);
	free(loop);
	return NULL;
}

int64_t
loop_now_us(const struct loop *loop)
{
	return loop->now_us;
}

static struct fd_slot *
slot_get(struct loop *loop, int fd)
{
	uint32_t want = (uint32_t)fd + 1;
	struct fd_slot *slot;

	assert(fd >= 0);
	if (want > loop->slot_count) {
		loop->slots = realloc(loop->slots, want * sizeof(*loop->slots));
		assert(loop->slots != NULL);
		memset(loop->slots + loop->slot_count, 0,
		    (want - loop->slot_count) * sizeof(*loop->slots));
		loop->slot_count = want;
	}
	slot = loop->slots[fd];
	if (slot == NULL) {
		slot = loop->slots[fd] = calloc(1, sizeof(*slot));
		assert(slot != NULL);
		apr_os_sock_put(&slot->socket, &fd, loop->pool);
		slot->pollfd.desc_type = APR_POLL_SOCKET;
		slot->pollfd.desc.s = slot->socket;
		slot->pollfd.client_data = slot;
	}
	return slot;
}

void
loop_watch_set(
    struct loop *loop, struct loop_watch *watch, int fd, uint32_t events)
{
	struct fd_slot *slot = slot_get(loop, fd);

	if (watch->events == events && watch->fd == fd && events != 0)
		return;
	if (watch->events != 0) {
		assert(watch->fd == fd && slot->watch == watch);
		apr_pollset_remove(loop->pollset, &slot->pollfd);
		slot->watch = NULL;
	}
	watch->fd = fd;
	watch->events = events;
	if (events == 0)
		return;
	slot->watch = watch;
	slot->pollfd.reqevents = 0;
	if (events & LOOP_READ)
		slot->pollfd.reqevents |= APR_POLLIN;
	if (events & LOOP_WRITE)
		slot->pollfd.reqevents |= APR_POLLOUT;
	if (apr_pollset_add(loop->pollset, &slot->pollfd) != APR_SUCCESS)
		log_write(LOG_ERROR, "loop",
		    "Cannot watch descriptor %d; its events are lost.", fd);
}

static bool
heap_before(const struct loop *loop, uint32_t a, uint32_t b)
{
	return loop->heap[a]->deadline_us < loop->heap[b]->deadline_us;
}

static void
heap_swap(struct loop *loop, uint32_t a, uint32_t b)
{
	struct loop_timer *t = loop->heap[a];

	loop->heap[a] = loop->heap[b];
	loop->heap[b] = t;
	loop->heap[a]->heap_index = a + 1;
	loop->heap[b]->heap_index = b + 1;
}

static void
heap_sift_up(struct loop *loop, uint32_t i)
{
	while (i > 0 && heap_before(loop, i, (i - 1) / 2)) {
		heap_swap(loop, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void
heap_sift_down(struct loop *loop, uint32_t i)
{
	for (;;) {
		uint32_t least = i;
		uint32_t child = 2 * i + 1;

		if (child < loop->heap_count && heap_before(loop, child, least))
			least = child;
		child++;
		if (child < loop->heap_count && heap_before(loop, child, least))
			least = child;
		if (least == i)
			return;
		heap_swap(loop, i, least);
		i = least;
	}
}

void
loop_timer_set(struct loop *loop, struct loop_timer *timer, int64_t deadline_us)
{
	uint32_t i;

	timer->deadline_us = deadline_us;
	if (timer->heap_index == 0) {
		if (loop->heap_count == loop->heap_capacity) {
			loop->heap_capacity =
			    loop->heap_capacity ? loop->heap_capacity * 2 : 64;
			loop->heap = realloc(loop->heap,
			    loop->heap_capacity * sizeof(*loop->heap));
			assert(loop->heap != NULL);
		}
		loop->heap[loop->heap_count++] = timer;
		timer->heap_index = loop->heap_count;
	}
	i = timer->heap_index - 1;
	heap_sift_up(loop, i);
	heap_sift_down(loop, timer->heap_index - 1);
}

void
loop_timer_clear(struct loop *loop, struct loop_timer *timer)
{
	uint32_t i;

	if (timer->heap_index == 0)
		return;
	i = timer->heap_index - 1;
	timer->heap_index = 0;
	loop->heap_count--;
	if (i == loop->heap_count)
		return;
	loop->heap[i] = loop->heap[loop->heap_count];
	loop->heap[i]->heap_index = i + 1;
	heap_sift_up(loop, i);
	heap_sift_down(loop, loop->heap[i]->heap_index - 1);
}

void
loop_hook_add(struct loop *loop, struct loop_hook *hook)
{
	hook->next = loop->hooks;
	loop->hooks = hook;
}

void
loop_hook_remove(struct loop *loop, struct loop_hook *hook)
{
	struct loop_hook **at = &loop->hooks;

	while (*at != NULL && *at != hook)
		at = &(*at)->next;
	if (*at != NULL)
		*at = hook->next;
}

void
loop_post(struct loop *loop, void (*fn)(void *arg), void *arg)
{
	bool first;

	apr_thread_mutex_lock(loop->mutex);
	first = loop->posted.count == 0;
	call_list_push(&loop->posted, fn, arg);
	apr_thread_mutex_unlock(loop->mutex);
	if (first)
		apr_pollset_wakeup(loop->pollset);
}

void
loop_defer(struct loop *loop, void (*fn)(void *arg), void *arg)
{
	call_list_push(&loop->deferred, fn, arg);
}

static void
call_nothing(void *arg)
{
	(void)arg;
}

void
loop_cancel_deferred(struct loop *loop, const void *arg)
{
	uint32_t i;

	// The list may be running: its entries stay where they are.
	for (i = 0; i < loop->deferred.count; i++)
		if (loop->deferred.items[i].arg == arg)
			loop->deferred.items[i].fn = call_nothing;
}

void
loop_stop(struct loop *loop)
{
	atomic_store(&loop->stopping, true);
	apr_pollset_wakeup(loop->pollset);
}

static void
run_posted(struct loop *loop)
{
	struct call_list list;
	uint32_t i;

	apr_thread_mutex_lock(loop->mutex);
	list = loop->posted;
	memset(&loop->posted, 0, sizeof(loop->posted));
	apr_thread_mutex_unlock(loop->mutex);
	for (i = 0; i < list.count; i++)
		list.items[i].fn(list.items[i].arg);
	free(list.items);
}

static void
run_timers(struct loop *loop)
{
	while (loop->heap_count > 0 &&
	    loop->heap[0]->deadline_us <= loop->now_us) {
		struct loop_timer *timer = loop->heap[0];

		loop_timer_clear(loop, timer);
		timer->fn(timer->arg);
	}
}

/// Runs deferred calls, including those deferred meanwhile.
static void
run_deferred(struct loop *loop)
{
	uint32_t i;

	for (i = 0; i < loop->deferred.count; i++) {
		struct call call = loop->deferred.items[i];

		call.fn(call.arg);
	}
	loop->deferred.count = 0;
}

void
loop_wake_hooks(struct loop *loop)
{
	loop->hooks_woken = true;
}

static int64_t
run_hooks_once(struct loop *loop)
{
	int64_t deadline_us = DEADLINE_NEVER_US;
	struct loop_hook *hook;

	for (hook = loop->hooks; hook != NULL; hook = hook->next) {
		int64_t d = hook->fn(hook->arg);

		if (d < deadline_us)
			deadline_us = d;
	}
	return deadline_us;
}

/// Runs all hooks until none requests another pass. Returns 0, to poll without
/// waiting, if passes are still requested after MAX_HOOK_PASSES.
static int64_t
run_hooks(struct loop *loop)
{
	int64_t deadline_us = 0;
	int passes;

	for (passes = 0; passes < MAX_HOOK_PASSES; passes++) {
		loop->hooks_woken = false;
		deadline_us = run_hooks_once(loop);
		run_deferred(loop);
		if (!loop->hooks_woken)
			return deadline_us;
	}
	return 0;
}

bool
loop_take_bulk(struct loop *loop, uint32_t cost_bytes)
{
	if (loop->first_job != NULL || loop->bulk_left_bytes <= 0)
		return false;
	loop_charge_bulk(loop, cost_bytes);
	return true;
}

void
loop_charge_bulk(struct loop *loop, uint32_t cost_bytes)
{
	loop->bulk_left_bytes -= cost_bytes;
}

void
loop_queue_bulk(struct loop *loop, struct loop_job *job)
{
	if (job->queued)
		return;
	job->queued = true;
	job->next = NULL;
	job->prev = loop->last_job;
	if (job->prev != NULL)
		job->prev->next = job;
	else
		loop->first_job = job;
	loop->last_job = job;
}

void
loop_cancel_bulk(struct loop *loop, struct loop_job *job)
{
	if (!job->queued)
		return;
	job->queued = false;
	if (job->prev != NULL)
		job->prev->next = job->next;
	else
		loop->first_job = job->next;
	if (job->next != NULL)
		job->next->prev = job->prev;
	else
		loop->last_job = job->prev;
}

/// Starts the bulk work of an iteration with the jobs that have waited longest.
static void
run_bulk(struct loop *loop)
{
	loop->bulk_left_bytes = BULK_BYTES;
	while (loop->first_job != NULL && loop->bulk_left_bytes > 0) {
		struct loop_job *job = loop->first_job;

		loop_cancel_bulk(loop, job);
		job->fn(job->arg);
	}
}

static void
flush_log(struct loop *loop)
{
	if (loop->now_us < loop->log_flush_deadline_us)
		return;
	log_flush();
	loop->log_flush_deadline_us = loop->now_us + LOG_FLUSH_INTERVAL_US;
}

/// Time until the hooks' deadline or the next timer, whichever is earlier.
static int64_t
wait_time_us(const struct loop *loop, int64_t deadline_us)
{
	int64_t left_us;

	if (loop->first_job != NULL)
		return 0;
	if (loop->heap_count > 0 && loop->heap[0]->deadline_us < deadline_us)
		deadline_us = loop->heap[0]->deadline_us;
	left_us = deadline_us - loop->now_us;
	if (left_us <= 0)
		return 0;
	if (left_us > MAX_WAIT_US)
		return MAX_WAIT_US;
	// The pollset supports only whole milliseconds.
	return (left_us + US_PER_MS - 1) / US_PER_MS * US_PER_MS;
}

static void
dispatch(const apr_pollfd_t *ready)
{
	struct fd_slot *slot = ready->client_data;
	struct loop_watch *watch = slot->watch;
	uint32_t events = 0;

	if (watch == NULL)
		return;
	if (ready->rtnevents & APR_POLLIN)
		events |= LOOP_READ;
	if (ready->rtnevents & APR_POLLOUT)
		events |= LOOP_WRITE;
	if (ready->rtnevents & (APR_POLLERR | APR_POLLHUP | APR_POLLNVAL))
		events |= LOOP_ERROR;
	watch->fn(watch->arg, events);
}

/// Logs that events had to wait: callbacks took long, or a poll returned long
/// after its time, since the thread did not get the processor.
static void
check_delay(const struct loop *loop, int64_t busy_us, int64_t overslept_us)
{
	struct log_line line;

	if (busy_us < LOGGED_DELAY_US && overslept_us < LOGGED_DELAY_US)
		return;
	counter_add(&count_delays, 1);
	log_begin(&line, LOG_INFO, "loop", "The event loop was delayed.");
	log_text(&line, "loop", loop->name);
	log_ms(&line, "busy_ms", busy_us);
	log_ms(&line, "overslept_ms", overslept_us);
	log_end(&line);
}

/// Polls for at most wait_us. Flushes the log before a wait that is longer than
/// the flush interval.
static void
poll_once(struct loop *loop, int64_t wait_us)
{
	const apr_pollfd_t *ready;
	apr_int32_t count = 0;
	apr_int32_t i;
	int64_t polled_us;

	if (wait_us > LOG_FLUSH_INTERVAL_US)
		log_flush();
	polled_us = clock_now_us();
	if (apr_pollset_poll(loop->pollset, wait_us, &count, &ready) !=
	    APR_SUCCESS)
		count = 0;
	loop->now_us = clock_now_us();
	check_delay(loop, polled_us - loop->woken_us,
	    loop->now_us - polled_us - wait_us);
	loop->woken_us = loop->now_us;
	for (i = 0; i < count; i++)
		dispatch(&ready[i]);
}

void
loop_run(struct loop *loop)
{
	loop->woken_us = clock_now_us();
	while (!atomic_load(&loop->stopping)) {
		int64_t deadline_us;

		loop->now_us = clock_now_us();
		run_posted(loop);
		run_timers(loop);
		run_bulk(loop);
		run_deferred(loop);
		deadline_us = run_hooks(loop);
		flush_log(loop);
		poll_once(loop, wait_time_us(loop, deadline_us));
	}
	run_deferred(loop);
	log_flush();
	atomic_store(&loop->stopping, false);
}

void
loop_destroy(struct loop *loop)
{
	uint32_t i;

	if (loop == NULL)
		return;
	run_deferred(loop);
	for (i = 0; i < loop->slot_count; i++)
		free(loop->slots[i]);
	free(loop->slots);
	free(loop->heap);
	free(loop->posted.items);
	free(loop->deferred.items);
	apr_pool_destroy(loop->pool);
	free(loop);
}
