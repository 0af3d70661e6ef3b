// Memory that ingresses make the egress hold.
#include <string.h>

#include "proxy/egress/egress_request.h"

bool
egress_memory_can_give_way(const struct egress_request *r)
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
	loop_defer(egress->loop, egress->on_evicted, egress);
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

	r->holder.ops = egress_memory_can_give_way(r) ? &holder_ops : NULL;
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
