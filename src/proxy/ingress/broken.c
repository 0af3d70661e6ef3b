// Attempts whose stream broke: fences, and what is told after them.
#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/ingress/ingress_request.h"

COUNTER_DEFINE(count_fences, "ingress_fences", "Fences asked for");

/// Asks on a new stream what became of a request that may have run.
static void
ask_fence(struct ingress_request *r)
{
	struct message_fence fence = {
	    .id = r->id, .egress_incarnation = r->endpoint->incarnation};

	fence.age_us = loop_now_us(r->ingress->loop) - r->sent_us;
	r->state = ATTEMPT_FENCED;
	counter_add(&count_fences, 1);
	if (link_send(r->link, MESSAGE_FENCE, &fence) == 0)
		return;
	ingress_attempt_end(r, true);
	ingress_retry_or_conclude(r, 502, OUTCOME_UNKNOWN, 0,
	    "the connection broke while it may have run");
}

static void
handle_broken(struct ingress_request *r)
{
	// What was under way there counts as seen by a backend server.
	r->arrivals++;
	switch (r->state) {
	case ATTEMPT_NONE:
		break;
	case ATTEMPT_STREAMING:
		ingress_attempt_end(r, true);
		if (r->exchange != NULL)
			http_exchange_respond_end(r->exchange, false);
		ingress_request_free(r);
		break;
	case ATTEMPT_SENT:
		if (!r->repeatable && r->exchange != NULL) {
			ask_fence(r);
			break;
		}
		ingress_attempt_end(r, true);
		ingress_retry_or_conclude(r, 502, OUTCOME_UNKNOWN, 0,
		    "the connection broke while it may have run");
		break;
	case ATTEMPT_FENCED:
		ingress_attempt_end(r, true);
		ingress_retry_or_conclude(r, 502, OUTCOME_UNKNOWN, 0,
		    "the connection broke while it may have run");
		break;
	}
}

/// The stream of a request never came to be: the request is still here.
static void
handle_unopened(struct ingress_request *r)
{
	ingress_attempt_end(r, true);
	ingress_retry_or_conclude(r, 503, ingress_not_run_outcome(r),
	    UNREACHED_RETRY_US, "the egress cannot be reached");
}

static struct ingress_request *
find_broken(const struct ingress *ingress)
{
	struct ingress_request *r = ingress->all;

	while (r != NULL && !r->broken)
		r = r->all_next;
	return r;
}

/// Handling one request can end others: marks all first, then looks anew
/// after each.
void
ingress_on_broken(void *owner, struct link *link, bool opened)
{
	struct ingress *ingress = owner;
	struct ingress_request *r;

	for (r = ingress->all; r != NULL; r = r->all_next)
		r->broken = r->link == link && r->state != ATTEMPT_NONE;
	while ((r = find_broken(ingress)) != NULL) {
		r->broken = false;
		// The fence of a request that went out on an earlier stream
		// tells nothing of it.
		if (opened || r->state != ATTEMPT_SENT)
			handle_broken(r);
		else
			handle_unopened(r);
	}
}
