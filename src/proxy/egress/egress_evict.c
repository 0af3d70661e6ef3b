// Requests of the egress that give way when memory is full.
#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/egress/egress_request.h"

#define RETRY_US (1 * US_PER_S)

COUNTER_DEFINE(count_refused, "egress_refused_memory",
    "Requests refused before they ran, since memory was full");
COUNTER_DEFINE(count_aborted, "egress_aborted_memory",
    "Calls ended whose bodies had stopped, since memory was full");

static struct egress_request *
find_marked(const struct egress *egress)
{
	struct egress_request *r = egress->first;

	while (r != NULL && !r->evict_marked)
		r = r->next;
	return r;
}

/// The slot that one frees may end others, so each search starts anew.
void
egress_refuse_evicted(void *arg)
{
	struct egress *egress = arg;
	struct egress_request *r;

	egress->evict_deferred = false;
	while ((r = find_marked(egress)) != NULL) {
		r->evict_marked = false;
		if (!egress_memory_can_give_way(r)) {
			memory_holder_unmark_leaving(&r->holder);
		} else if (r->state == REQUEST_RUNNING) {
			counter_add(&count_aborted, 1);
			egress_mark_abort(r);
		} else {
			counter_add(&count_refused, 1);
			egress_end_not_run(
			    r, 503, RETRY_US, "this VM's memory is full");
		}
	}
	egress->on_slot_free(egress);
}
