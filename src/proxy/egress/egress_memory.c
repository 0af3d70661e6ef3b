// Memory that ingresses make the egress hold, and requests that give way when it is full.
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/egress/egress_request.h"

#define RETRY_US (1 * US_PER_S)

COUNTER_DEFINE(count_refused, "egress_refused_memory",
    "Requests refused before they ran, since memory was full");
COUNTER_DEFINE(count_aborted, "egress_aborted_memory",
    "Calls ended whose bodies had stopped, since memory was full");

/// A request that waits can be refused, and a call whose body is not complete cannot
/// have been understood. Any other one is at work.
static bool
can_give_way(const struct egress_request *r)
{
	switch (r->state) {
	case REQUEST_COLLECTING:
	case REQUEST_QUEUED:
		return true;
	case REQUEST_RUNNING:
		return r->message->more && !r->collected && !r->upload_last;
	default:
		return false;
	}
}

static struct egress_request *
find_marked(const struct egress *egress)
{
	struct egress_request *r = egress->first;

	while (r != NULL && !r->evict_marked)
		r = r->next;
	return r;
}

/// Refuses the marked requests. The slot that one frees may end others, so each
/// search starts anew.
static void
refuse_marked(void *arg)
{
	struct egress *egress = arg;
	struct egress_request *r;

	egress->evict_deferred = false;
	while ((r = find_marked(egress)) != NULL) {
		r->evict_marked = false;
		if (!can_give_way(r)) {
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

static void
evict(struct memory_holder *holder)
{
	struct egress_request *r = (struct egress_request *)((char *)holder -
	    offsetof(struct egress_request, holder));
	struct egress *egress = r->egress;

	r->evict_marked = true;
	if (egress->evict_deferred)
		return;
	egress->evict_deferred = true;
	loop_defer(egress->loop, refuse_marked, egress);
}

static const struct memory_holder_ops holder_ops = {.evict = evict};

/// Ingresses stand for their callers.
static uint32_t
peer_of(const struct egress_sink *sink)
{
	return sink == NULL
	    ? 0
	    : (uint32_t)fence_key(sink->origin, sink->origin_incarnation, 0);
}

void
egress_memory_update(struct egress_request *r)
{
	bool waits = !r->message->more || r->upload_last;

	r->holder.ops = can_give_way(r) ? &holder_ops : NULL;
	memory_holder_set(&r->holder,
	    (int64_t)(sizeof(*r) + r->message->body.size_bytes +
		r->upload_held_bytes + r->body_held_bytes));
	if (waits != r->holder.waits)
		memory_holder_set_waits(
		    &r->holder, waits, loop_now_us(r->egress->loop));
}

void
egress_memory_add(struct egress_request *r)
{
	memory_account_add(r->egress->account, &r->holder, peer_of(r->sink),
	    loop_now_us(r->egress->loop));
	egress_memory_update(r);
}
