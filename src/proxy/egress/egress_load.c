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

static struct work_left_item
describe_work(const struct egress_request *r, int64_t usual_us)
{
	return (struct work_left_item){.route = r->message->route,
	    .expected_us =
		r->item.service_us > 0 ? r->item.service_us : usual_us,
	    .start_us = r->item.running ? r->item.start_us : 0};
}

int64_t
egress_get_work_left_us(struct egress *egress)
{
	int64_t now_us = loop_now_us(egress->loop);
	int64_t usual_us = admission_service_us(&egress->admission, now_us);
	const struct egress_request *r;
	int64_t sum_us = 0;

	for (r = egress->first; r != NULL; r = r->next) {
		struct work_left_item item = describe_work(r, usual_us);

		if (!r->item.running && !r->item.queued)
			continue;
		sum_us +=
		    work_left_of_item_us(&egress->work_left, &item, now_us);
	}
	return sum_us;
}

void
egress_record_cost(struct egress_request *r, int64_t now_us)
{
	struct work_left_item item = describe_work(r, 0);

	if (r->item.running)
		work_left_record(&r->egress->work_left, &item, now_us);
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
	response->work_left_us = egress_get_work_left_us(egress);
	fill_terms(egress, response);
}
