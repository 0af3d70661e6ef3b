/// @file
/// Event loop of one thread: descriptors, timers, posted calls.
#ifndef MV_IO_LOOP_H
#define MV_IO_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"

struct loop;

#define LOOP_READ  1u
#define LOOP_WRITE 2u
#define LOOP_ERROR 4u

/// Interest in a descriptor. Zero it before the first use.
struct loop_watch {
	void (*fn)(void *arg, uint32_t events);
	void *arg;
	int fd;
	uint32_t events; ///< What is watched now; 0 for nothing.
};

/// A call at a deadline. Zero it before the first use.
struct loop_timer {
	void (*fn)(void *arg);
	void *arg;
	int64_t deadline_us;
	uint32_t heap_index; ///< Position + 1; 0 while not set.
};

/// A call before each wait. Returns the deadline at which to call again.
struct loop_hook {
	int64_t (*fn)(void *arg);
	void *arg;
	struct loop_hook *next;
};

/// @return the loop, or NULL with err set
struct loop *loop_create(struct error *err);

void loop_destroy(struct loop *loop);

/// Runs until loop_stop.
void loop_run(struct loop *loop);

/// Ends loop_run after the current round. Any thread may call it.
void loop_stop(struct loop *loop);

/// Watches a descriptor for some events; 0 stops watching it.
///
/// Callbacks may be called when nothing is ready: descriptors must not block.
void loop_watch_set(
    struct loop *loop, struct loop_watch *watch, int fd, uint32_t events);

/// Sets or moves a timer.
void loop_timer_set(
    struct loop *loop, struct loop_timer *timer, int64_t deadline_us);

void loop_timer_clear(struct loop *loop, struct loop_timer *timer);

void loop_hook_add(struct loop *loop, struct loop_hook *hook);

/// Has all hooks called once more before the loop waits. For work that one
/// hook makes for another.
void loop_wake_hooks(struct loop *loop);

/// Removes a hook; not to be called from a hook.
void loop_hook_remove(struct loop *loop, struct loop_hook *hook);

/// Calls a function in the loop's thread. Any thread may post.
void loop_post(struct loop *loop, void (*fn)(void *arg), void *arg);

/// Calls a function at the end of the current round. Loop's thread only.
void loop_defer(struct loop *loop, void (*fn)(void *arg), void *arg);

/// Time at the start of the current round.
int64_t loop_now_us(const struct loop *loop);

#endif
