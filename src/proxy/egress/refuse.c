// Responses that the egress produces itself: refusals and unknown outcomes.
#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/egress/egress_log.h"

/// Change of the pace that ingresses are told of, and the least time between
/// two such reports.
#define PACE_CHANGE_PERMILLE 400
#define PACE_INTERVAL_US     (50 * US_PER_MS)

COUNTER_DEFINE(count_refused, "egress_requests_refused", "Refused, not run");
COUNTER_DEFINE(count_failed, "egress_requests_failed", "Outcome unknown");

int64_t
egress_get_service_us(struct egress *egress)
{
	return admission_service_us(
	    &egress->admission, loop_now_us(egress->loop));
}

void
egress_set_pace_listener(
    struct egress *egress, void (*fn)(void *arg), void *arg)
{
	egress->on_pace_changed = fn;
	egress->pace_arg = arg;
}

void
egress_announce_pace(struct egress *egress, int64_t now_us)
{
	int64_t permille = pace_ratio_permille(&egress->admission.pace, now_us);
	int64_t change_permille = permille - egress->announced_pace_permille;

	if (egress->on_pace_changed == NULL ||
	    now_us < egress->announce_pace_deadline_us ||
	    (change_permille < PACE_CHANGE_PERMILLE &&
		-change_permille < PACE_CHANGE_PERMILLE))
		return;
	egress->announced_pace_permille = permille;
	egress->announce_pace_deadline_us = now_us + PACE_INTERVAL_US;
	egress->on_pace_changed(egress->pace_arg);
}

void
egress_fill_load(struct egress *egress, struct message_response *response)
{
	response->service_us =
	    admission_service_us(&egress->admission, loop_now_us(egress->loop));
	response->queued = egress->admission.queued;
	response->running = egress->admission.running;
}

void
egress_send_error(struct egress *egress, struct egress_sink *sink, uint64_t id,
    uint32_t status, enum outcome outcome, int64_t retry_us,
    bool reached_backend, const char *why)
{
	struct message_response response = {.id = id,
	    .status = status,
	    .outcome = outcome,
	    .retry_left_us = retry_us};

	egress_fill_load(egress, &response);
	response.reached_backend = reached_backend;
	response.body = bytes_from_string(why);
	counter_add(
	    outcome_is_not_run(outcome) ? &count_refused : &count_failed, 1);
	if (sink != NULL)
		sink->ops->respond(sink, id, &response);
}

enum outcome
egress_not_run_outcome(const struct message_request *m, bool claimed)
{
	return m->key.size_bytes > 0 && !claimed ? OUTCOME_REFUSED
						 : OUTCOME_NOT_RUN;
}

void
egress_end_not_run(struct egress_request *r, uint32_t status, int64_t retry_us,
    const char *why)
{
	struct egress_sink *sink = r->sink;
	struct egress *egress = r->egress;
	uint64_t id = r->message->id;
	bool reached_backend = r->reached_backend;
	enum outcome outcome =
	    egress_not_run_outcome(r->message, r->key_was_free);

	egress_log_refused(egress, r->message,
	    sink == NULL ? NULL : sink->origin, status, outcome, retry_us, why);
	if (r->claim != NULL)
		once_claim_release(r->claim);
	if (r->item.queued)
		admission_cancel(&egress->admission, &r->item);
	if (r->item.running)
		admission_abandon(
		    &egress->admission, &r->item, loop_now_us(egress->loop));
	egress_request_free(r);
	egress_send_error(
	    egress, sink, id, status, outcome, retry_us, reached_backend, why);
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
