// Load, pace and limit of the backend server, for the ingresses.
#include "io/clock.h"
#include "proxy/egress/egress_request.h"

/// Change of the pace that ingresses are told of, and the least time between
/// two such reports.
#define PACE_CHANGE_PERMILLE 400
#define PACE_INTERVAL_US     (50 * US_PER_MS)

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
egress_get_limit(
    const struct egress *egress, uint32_t *limit_milli, int64_t *wait_us)
{
	*limit_milli = egress->terms.terms.limit_milli;
	*wait_us =
	    admission_backlog_us(&egress->admission, loop_now_us(egress->loop));
}

/// Fills in the terms of the server, unless it has never stated any.
static void
fill_terms(struct egress *egress, struct message_response *response)
{
	const struct server_terms *terms = &egress->terms.terms;

	if (terms->limit_milli == 0 && !terms->leaving &&
	    egress->terms.limit_stated_us == 0)
		return;
	response->server = terms->server;
	response->limit_milli = terms->limit_milli;
	response->leaving = terms->leaving;
	response->limit_wait_us =
	    admission_backlog_us(&egress->admission, loop_now_us(egress->loop));
}

void
egress_fill_load(struct egress *egress, struct message_response *response)
{
	response->service_us =
	    admission_service_us(&egress->admission, loop_now_us(egress->loop));
	response->queued = egress->admission.queued;
	response->running = egress->admission.running;
	fill_terms(egress, response);
}
