/// @file
/// Events of a model in the order of its virtual clock.
#ifndef MV_BENCH_MODEL_EVENTS_H
#define MV_BENCH_MODEL_EVENTS_H

#include <apr_pools.h>
#include <apr_skiplist.h>
#include <stdint.h>

struct events {
	apr_skiplist *list;
	int64_t now_us;
	uint64_t sequence; ///< Keeps events of one moment in order.
};

void events_init(struct events *events, apr_pool_t *pool);

void events_add(
    struct events *events, int64_t at_us, void (*fn)(void *arg), void *arg);

/// Runs all events, and those that they add, until there is none.
void events_run(struct events *events);

#endif
