// Bodies that are collected before their requests get a slot.
//
// Many ingresses send to one egress, whose link may be narrow. Bodies come only
// as it asks for them, a few at a time and each in small parts, so that requests
// without a body are not held up behind them.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/counters.h"
#include "proxy/egress_request.h"

/// Bodies asked for at a time: one fills a link, another covers the time that a
/// part is asked for.
#define MAX_COLLECTING 3

/// Asked for at a time of one body: 25 ms of a link of 5 Mbit/s, and more than
/// comes in a round trip between regions on a fast one.
#define PART_BYTES (16u * 1024)

/// Parts asked for ahead.
#define PARTS_AHEAD 2

COUNTER_DEFINE(count_collected, "egress_bodies_collected",
    "Bodies collected before their requests got a slot");

static void
ask(struct egress_request *r, uint32_t size_bytes)
{
	uint32_t left_bytes =
	    (uint32_t)r->message->total_bytes - r->upload_asked_bytes;

	if (size_bytes > left_bytes)
		size_bytes = left_bytes;
	if (size_bytes == 0 || r->sink == NULL)
		return;
	r->upload_asked_bytes += size_bytes;
	r->sink->ops->window(r->sink, r->message->id, size_bytes);
}

void
egress_collect_bodies(struct egress *egress)
{
	while (egress->collecting < MAX_COLLECTING) {
		struct egress_request *best = NULL;
		struct egress_request *r;

		for (r = egress->first; r != NULL; r = r->next)
			if (r->state == REQUEST_COLLECTING &&
			    r->upload_asked_bytes == 0 &&
			    (best == NULL ||
				r->item.target_deadline_us <
				    best->item.target_deadline_us))
				best = r;
		if (best == NULL)
			return;
		egress->collecting++;
		ask(best, PARTS_AHEAD * PART_BYTES);
	}
}

void
egress_collect_part(struct egress_request *r, const struct message_body *body)
{
	struct egress *egress = r->egress;

	if (r->upload_bytes < (size_t)r->message->total_bytes) {
		ask(r, body->data.size_bytes);
		return;
	}
	r->collected = true;
	egress->collecting--;
	counter_add(&count_collected, 1);
	egress_admit(r);
	egress_collect_bodies(egress);
}
