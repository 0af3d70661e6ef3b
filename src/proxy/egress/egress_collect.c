// Collects request bodies before their requests get a slot.
//
// Many ingresses send to one egress, whose link may be narrow. They send bodies
// only as the egress grants credit, a few at a time and each in small parts, so
// that requests without a body are not delayed behind them.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/egress/egress_request.h"

/// Bodies transferred at a time. One fills a link; another covers the time that
/// granting credit takes.
#define MAX_ACTIVE_COLLECTIONS 3

/// Credit granted at a time for one body: 25 ms on a link of 5 Mbit/s, and more
/// than arrives within a round trip between regions on a fast link.
#define PART_BYTES (16u * 1024)

/// Share of the time until the target that the transfer of a body may take. The
/// rate is an estimate, and other traffic shares the link.
#define TARGET_SHARE_PCT 60

/// Minimum time after which a caller may retry a request with a body.
#define MIN_RETRY_US (100 * US_PER_MS)

/// Parts of one body with credit outstanding.
#define PARTS_IN_FLIGHT 2

COUNTER_DEFINE(count_collected, "egress_bodies_collected",
    "Bodies collected before their requests got a slot");

static void
grant_upload_credit(struct egress_request *r, uint32_t size_bytes)
{
	uint32_t left_bytes =
	    (uint32_t)r->message->total_bytes - r->upload_credit_bytes;

	if (size_bytes > left_bytes)
		size_bytes = left_bytes;
	if (size_bytes == 0 || r->sink == NULL)
		return;
	r->upload_credit_bytes += size_bytes;
	r->sink->ops->window(r->sink, r->message->id, size_bytes);
}

void
egress_collect_bodies(struct egress *egress)
{
	while (egress->collector.requested < MAX_ACTIVE_COLLECTIONS) {
		struct egress_request *best = NULL;
		struct egress_request *r;

		for (r = egress->first; r != NULL; r = r->next)
			if (r->state == REQUEST_COLLECTING &&
			    r->upload_credit_bytes == 0 &&
			    (best == NULL ||
				r->item.target_deadline_us <
				    best->item.target_deadline_us))
				best = r;
		if (best == NULL)
			return;
		collector_begin(&egress->collector, loop_now_us(egress->loop));
		grant_upload_credit(best, PARTS_IN_FLIGHT * PART_BYTES);
	}
}

bool
egress_can_collect(struct egress *egress, const struct message_request *m,
    int64_t service_us, int64_t *retry_us)
{
	int64_t wait_us;

	// A body that misses its target delays others that would meet theirs.
	if (collector_can_accept(&egress->collector, m->total_bytes,
		(m->target_left_us - service_us) * TARGET_SHARE_PCT / 100,
		loop_now_us(egress->loop), &wait_us))
		return true;
	*retry_us = wait_us - m->target_left_us / 2;
	if (*retry_us < MIN_RETRY_US)
		*retry_us = MIN_RETRY_US;
	return false;
}

void
egress_collect_begin(struct egress_request *r)
{
	r->state = REQUEST_COLLECTING;
	collector_add(&r->egress->collector, r->message->total_bytes);
	egress_collect_bodies(r->egress);
}

void
egress_collect_end(struct egress_request *r)
{
	collector_end(&r->egress->collector,
	    r->message->total_bytes - (int64_t)r->upload_bytes,
	    r->upload_credit_bytes > 0, loop_now_us(r->egress->loop));
}

bool
egress_receive_body_part(
    struct egress_request *r, const struct message_body *body)
{
	struct egress *egress = r->egress;

	collector_receive_part(&egress->collector, body->data.size_bytes,
	    loop_now_us(egress->loop));
	if (r->upload_bytes < (size_t)r->message->total_bytes) {
		grant_upload_credit(r, body->data.size_bytes);
		return false;
	}
	egress_collect_end(r);
	r->collected = true;
	counter_add(&count_collected, 1);
	return true;
}
