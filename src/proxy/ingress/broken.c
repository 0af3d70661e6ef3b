// Attempts whose stream was lost: fences, retries and responses.
#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/ingress/ingress_log.h"

COUNTER_DEFINE(count_fences, "ingress_fences", "Fences asked for");
COUNTER_DEFINE(count_cut_stream, "ingress_cut_by_stream",
    "Answers cut since the stream to the egress was lost");

/// Asks on a new stream for the outcome of a request that may have run.
static void
send_fence(struct ingress_request *r)
{
	struct message_fence fence = {.id = r->attempt_id,
	    .egress_incarnation = r->endpoint->incarnation};

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
handle_lost_stream(struct ingress_request *r)
{
	// A request in flight counts as received by a backend server.
	r->arrivals++;
	switch (r->state) {
	case ATTEMPT_NONE:
		break;
	case ATTEMPT_STREAMING:
		if (r->exchange != NULL) {
			counter_add(&count_cut_stream, 1);
			ingress_log_answer_end(r, "the stream was lost");
		}
		ingress_attempt_end(r, true);
		if (r->exchange != NULL)
			http_exchange_respond_end(r->exchange, false);
		ingress_request_free(r);
		break;
	case ATTEMPT_SENT:
		if (!r->repeatable && r->exchange != NULL) {
			send_fence(r);
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

/// The connection was never established, so the request was not sent.
static void
handle_failed_connect(struct ingress_request *r)
{
	ingress_attempt_end(r, true);
	ingress_retry_or_conclude(r, 503, ingress_not_run_outcome(r),
	    UNREACHABLE_RETRY_US, "the egress cannot be reached");
}

static struct ingress_request *
find_stream_lost(const struct ingress *ingress)
{
	struct ingress_request *r = ingress->all;

	while (r != NULL && !r->stream_lost)
		r = r->all_next;
	return r;
}

/// Handling one request can free others: marks all first, then searches the
/// list from its start after each.
void
ingress_on_stream_lost(void *owner, struct link *link, bool opened)
{
	struct ingress *ingress = owner;
	struct ingress_request *r;

	for (r = ingress->all; r != NULL; r = r->all_next)
		r->stream_lost = r->link == link && r->state != ATTEMPT_NONE;
	while ((r = find_stream_lost(ingress)) != NULL) {
		r->stream_lost = false;
		// A fence that could not be sent proves nothing: its request
		// went out on an earlier stream.
		if (opened || r->state != ATTEMPT_SENT)
			handle_lost_stream(r);
		else
			handle_failed_connect(r);
	}
}
