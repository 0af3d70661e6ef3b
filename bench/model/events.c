// Event queue of a simulation.
#include <assert.h>
#include <stdlib.h>

#include "model/events.h"

struct event {
	int64_t at_us;
	uint64_t sequence;
	void (*fn)(void *arg);
	void *arg;
};

static int
compare_events(void *a, void *b)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

void
events_init(struct events *events, apr_pool_t *pool)
{
	events->now_us = 0;
	events->sequence = 0;
	apr_skiplist_init(&events->list, pool);
	apr_skiplist_set_compare(events->list, compare_events, compare_events);
}

void
events_add(
    struct events *events, int64_t at_us, void (*fn)(void *arg), void *arg)
{
	struct event *event = malloc(sizeof(*event));

	assert(event != NULL);
	event->at_us = at_us < events->now_us ? events->now_us : at_us;
	event->sequence = events->sequence++;
	event->fn = fn;
	event->arg = arg;
	apr_skiplist_insert(events->list, event);
}

void
events_run(struct events *events)
{
	struct event *event;

	while ((event = apr_skiplist_pop(events->list, NULL)) != NULL) {
		events->now_us = event->at_us;
		event->fn(event->arg);
		free(event);
	}
}
