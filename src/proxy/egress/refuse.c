// Responses that the egress produces itself: refusals and unknown outcomes.
#include "io/log/counters.h"
#include "proxy/egress/egress_log.h"

COUNTER_DEFINE(count_refused, "egress_requests_refused", "Refused, not run");
COUNTER_DEFINE(count_failed, "egress_requests_failed", "Outcome unknown");

/// Sends a response that the egress produces itself. Its id, status, outcome and
/// retry time are set.
static void
send_own(struct egress *egress, struct egress_sink *sink,
    struct message_response *response, const char *why)
{
	egress_fill_load(egress, response);
	response->body = bytes_from_string(why);
	counter_add(outcome_is_not_run((enum outcome)response->outcome)
		? &count_refused
		: &count_failed,
	    1);
	if (sink != NULL)
		sink->ops->respond(sink, response->id, response);
}

void
egress_send_error(struct egress *egress, struct egress_sink *sink, uint64_t id,
    uint32_t status, enum outcome outcome, int64_t retry_us,
    bool reached_backend, const char *why)
{
	struct message_response response = {.id = id,
	    .status = status,
	    .outcome = outcome,
	    .retry_left_us = retry_us,
	    .reached_backend = reached_backend};

	send_own(egress, sink, &response, why);
}

enum outcome
egress_not_run_outcome(const struct message_request *m, bool claimed)
{
	return m->key.size_bytes > 0 && !claimed ? OUTCOME_REFUSED
						 : OUTCOME_NOT_RUN;
}

/// Ends a request that did not run.
///
/// @param response  its status and retry time are set
static void
end_not_run(struct egress_request *r, struct message_response *response,
    const char *why)
{
	struct egress_sink *sink = r->sink;
	struct egress *egress = r->egress;

	response->id = r->message->id;
	response->reached_backend = r->reached_backend;
	response->outcome = egress_not_run_outcome(r->message, r->key_was_free);
	egress_log_refused(egress, r->message,
	    sink == NULL ? NULL : sink->origin, response->status,
	    (enum outcome)response->outcome, response->retry_left_us, why);
	if (r->claim != NULL)
		once_claim_release(r->claim);
	if (r->item.queued)
		admission_cancel(&egress->admission, &r->item);
	if (r->item.running)
		admission_abandon(
		    &egress->admission, &r->item, loop_now_us(egress->loop));
	egress_request_free(r);
	send_own(egress, sink, response, why);
}

void
egress_end_not_run(struct egress_request *r, uint32_t status, int64_t retry_us,
    const char *why)
{
	struct message_response response = {
	    .status = status, .retry_left_us = retry_us};

	end_not_run(r, &response, why);
}

void
egress_end_link_full(struct egress_request *r, int64_t retry_us)
{
	struct message_response response = {
	    .status = 503, .retry_left_us = retry_us, .link_full = 1};

	end_not_run(r, &response, "its answer cannot be carried in time");
}

void
egress_send_unknown(struct egress_request *r, uint32_t status, const char *why)
{
	if (r->claim != NULL)
		once_claim_abandon(r->claim);
	egress_log_refused(r->egress, r->message,
	    r->sink == NULL ? NULL : r->sink->origin, status, OUTCOME_UNKNOWN,
	    0, why);
	egress_send_error(r->egress, r->sink, r->message->id, status,
	    OUTCOME_UNKNOWN, 0, r->reached_backend, why);
}

void
egress_refuse_waiting(struct egress *egress, const char *why)
{
	struct egress_request *r = egress->first;

	while (r != NULL) {
		struct egress_request *next = r->next;

		if (r->state == REQUEST_COLLECTING ||
		    (r->state == REQUEST_QUEUED && r->item.queued))
			egress_end_not_run(r, 503, 0, why);
		r = next;
	}
}
