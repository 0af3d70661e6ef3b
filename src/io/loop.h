/// @file
/// Single-threaded event loop: file descriptors, timers and posted calls.
#ifndef MV_IO_LOOP_H
#define MV_IO_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"

struct loop;

#define LOOP_READ  1u
#define LOOP_WRITE 2u
#define LOOP_ERROR 4u

/// Watches a file descriptor. Zero it before the first use.
struct loop_watch {
	void (*fn)(void *arg, uint32_t events);
	void *arg;
	int fd;
	uint32_t events; ///< Watched events; 0 while not watched.
};

/// Calls a function at a deadline. Zero it before the first use.
struct loop_timer {
	void (*fn)(void *arg);
	void *arg;
	int64_t deadline_us;
	uint32_t heap_index; ///< Index in the heap + 1; 0 while not set.
};

/// Work that takes turns with others of its kind: reading what peers send in bulk.
/// Zero it before the first use.
struct loop_job {
	void (*fn)(void *arg);
	void *arg;
	struct loop_job *next;
	struct loop_job *prev;
	bool queued;
};

/// Calls a function before each poll. The function returns the deadline by
/// which to call it again.
struct loop_hook {
	int64_t (*fn)(void *arg);
	void *arg;
	struct loop_hook *next;
};

/// @param name  for the log; must outlive the loop
/// @return the loop, or NULL with err set
struct loop *loop_create(const char *name, struct error *err);

void loop_destroy(struct loop *loop);

/// Runs the loop until loop_stop. It may be run again.
void loop_run(struct loop *loop);

/// Makes loop_run return after the current iteration. Thread-safe.
void loop_stop(struct loop *loop);

/// Sets the watched events of a descriptor; 0 stops watching it.
///
/// Descriptors must be non-blocking: callbacks may run when nothing is ready.
void loop_watch_set(
    struct loop *loop, struct loop_watch *watch, int fd, uint32_t events);

/// Sets or moves a timer.
void loop_timer_set(
    struct loop *loop, struct loop_timer *timer, int64_t deadline_us);

void loop_timer_clear(struct loop *loop, struct loop_timer *timer);

void loop_hook_add(struct loop *loop, struct loop_hook *hook);

/// Requests another pass over all hooks before the next poll, for when one hook
/// makes work for another.
void loop_wake_hooks(struct loop *loop);

/// Removes a hook. Must not be called from a hook.
void loop_hook_remove(struct loop *loop, struct loop_hook *hook);

/// Queues a function to run in the loop's thread. Thread-safe.
void loop_post(struct loop *loop, void (*fn)(void *arg), void *arg);

/// Queues a function to run after the current callback, before the next poll.
/// Must be called from the loop's thread.
void loop_defer(struct loop *loop, void (*fn)(void *arg), void *arg);

/// Drops the deferred calls with an argument, which is about to be freed. Must be
/// called from the loop's thread, or once the loop has ended.
void loop_cancel_deferred(struct loop *loop, const void *arg);

/// Takes a share of what bulk work may cost in this iteration, so that it does not
/// delay other events. The last share may exceed what is left.
///
/// @return false if nothing is left, or others wait: queue a job
bool loop_take_bulk(struct loop *loop, uint32_t cost_bytes);

/// Queues a job for the next iteration in which a share is left; in order. Does
/// nothing if it is queued. The job takes its share with loop_charge_bulk.
void loop_queue_bulk(struct loop *loop, struct loop_job *job);

/// Takes a share from within a job.
void loop_charge_bulk(struct loop *loop, uint32_t cost_bytes);

void loop_cancel_bulk(struct loop *loop, struct loop_job *job);

/// Cached monotonic time, updated at the start of each iteration and after each
/// poll.
int64_t loop_now_us(const struct loop *loop);

#endif
