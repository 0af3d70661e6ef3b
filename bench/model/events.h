/// @file
/// Event queue of a simulation, in the order of its virtual clock.
#ifndef MV_BENCH_MODEL_EVENTS_H
#define MV_BENCH_MODEL_EVENTS_H

#include <apr_pools.h>
#include <apr_skiplist.h>
#include <stdint.h>

struct events {
	apr_skiplist *list;
	int64_t now_us;
	uint64_t sequence; ///< Keeps events of the same time in order.
};

void events_init(struct events *events, apr_pool_t *pool);

/// Schedules a callback. A time in the past counts as now.
void events_add(
    struct events *events, int64_t at_us, void (*fn)(void *arg), void *arg);

/// Runs events, and those that they add, until none is left.
void events_run(struct events *events);

#endif
