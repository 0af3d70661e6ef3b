// Life cycle and limits of the egress, and events from ingresses.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/outcome.h"
#include "io/clock.h"
#include "io/held.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/egress/egress_log.h"
#include "proxy/headers.h"

#define SWEEP_INTERVAL_US (20 * US_PER_MS)

/// Refuses requests whose bodies did not arrive by their deadline.
static void
refuse_uncollected(struct egress *egress)
{
	int64_t now_us = loop_now_us(egress->loop);
	struct egress_request *r = egress->first;

	while (r != NULL) {
		struct egress_request *next = r->next;

		if (r->state == REQUEST_COLLECTING &&
		    r->item.deadline_us <= now_us)
			egress_end_not_run(
			    r, 503, 0, "its body did not come in time");
		r = next;
	}
	egress_collect_bodies(egress);
}

static void
on_sweep(void *arg)
{
	struct egress *egress = arg;

	refuse_uncollected(egress);
	egress_run_queued(egress);
	loop_timer_set(egress->loop, &egress->sweep_timer,
	    loop_now_us(egress->loop) + SWEEP_INTERVAL_US);
}

static void
on_start_allowed(void *arg)
{
	egress_run_queued(arg);
}

void
egress_request_receive_body(
    struct egress_request *r, const struct message_body *body)
{
	struct egress *egress = r->egress;
	size_t n = body->data.size_bytes;

	if (!r->message->more || r->upload_last)
		return;
	if (n > 0) {
		r->upload = realloc(r->upload, r->upload_bytes + n);
		assert(r->upload != NULL);
		memcpy(r->upload + r->upload_bytes, body->data.data, n);
		r->upload_bytes += n;
		held_update(
		    HELD_UPLOAD, &r->upload_held_bytes, r->upload_bytes);
	}
	r->upload_last = body->last != 0;
	r->upload_failed = body->failed != 0;
	memory_holder_progress(
	    &r->holder, (int64_t)n, loop_now_us(egress->loop));
	egress_memory_update(r);
	if (r->state == REQUEST_COLLECTING) {
		if (r->upload_credit_bytes > 0 &&
		    egress_receive_body_part(r, body)) {
			egress_admit(r);
			egress_collect_bodies(egress);
		}
		return;
	}
	if (r->collected || r->state != REQUEST_RUNNING)
		return;
	if (r->upload_failed)
		egress_mark_abort(r);
	else
		httpc_call_resume(&r->call);
}

void
egress_request_add_credit(struct egress_request *r, uint32_t credit_bytes)
{
	r->window_bytes += credit_bytes;
	if (r->state == REQUEST_RUNNING && r->window_bytes > 0)
		httpc_call_resume(&r->call);
}

/// Ends a request of which the backend server has no byte yet, although it has
/// a slot.
static void
end_unsent(struct egress_request *r, const char *why)
{
	httpc_call_cancel(&r->call);
	r->reached_backend = false;
	egress_end_not_run(r, 503, 0, why);
}

static bool
is_unsent(const struct egress_request *r)
{
	return r->state == REQUEST_RUNNING && !httpc_call_was_sent(&r->call);
}

void
egress_request_cancel(struct egress_request *r, bool queued_only)
{
	struct egress *egress = r->egress;

	if (is_unsent(r)) {
		end_unsent(r, "cancelled before it was sent");
		egress_run_queued(egress);
		return;
	}
	if (r->state == REQUEST_RUNNING) {
		if (queued_only)
			return;
		// A request that may have side effects runs to completion, so
		// that its outcome can be reported or recorded.
		if (r->call.repeatable)
			egress_mark_abort(r);
		return;
	}
	if (r->state == REQUEST_AWAITING_RESULT)
		egress_stop_awaiting_result(r);
	else
		egress_end_not_run(r, 503,
		    admission_wait_us(&egress->admission, r->item.rank,
			loop_now_us(egress->loop)),
		    "cancelled before it ran");
	egress_run_queued(egress);
}

void
egress_set_sink_end(
    struct egress *egress, struct egress_sink *sink, int64_t end_us)
{
	struct egress_request *r;

	sink->end_us = end_us;
	for (r = egress->first; r != NULL; r = r->next) {
		if (r->sink != sink)
			continue;
		if (r->state == REQUEST_RUNNING)
			r->answer.receiver_end_us = end_us;
		else
			egress_request_apply_end(r);
	}
	egress_run_queued(egress);
}

void
egress_detach_sink(struct egress *egress, struct egress_sink *sink)
{
	struct egress_request *r = egress->first;

	while (r != NULL) {
		struct egress_request *next = r->next;

		if (r->sink == sink) {
			r->sink = NULL;
			if (is_unsent(r))
				end_unsent(r, "ingress is gone");
			else if (r->state != REQUEST_RUNNING)
				egress_end_not_run(
				    r, 503, 0, "ingress is gone");
			else if (r->call.repeatable ||
			    (r->message->more && !r->upload_last))
				egress_mark_abort(r);
		}
		r = next;
	}
	egress_run_queued(egress);
}

struct fence *
egress_get_fence(struct egress *egress)
{
	return &egress->fence;
}

void
egress_get_load(const struct egress *egress, uint32_t *queued,
    uint32_t *running, uint32_t *load_pct)
{
	*queued = egress->admission.queued;
	*running = egress->admission.running;
	*load_pct = admission_load_pct(&egress->admission);
}

/// Applies the limits that the rules in force set for the announced service.
static void
configure_admission(struct egress *egress)
{
	const struct rules *rules = egress->rules;
	const struct rule_service *service;
	uint32_t slots;
	int at;

	if (rules == NULL)
		return;
	at = rules_find_service(rules, egress->backend.service);
	service = at < 0 ? NULL : &rules->services[at];
	slots = egress->backend.slots;
	if (slots == 0 && service != NULL)
		slots = service->slots;
	admission_configure(&egress->admission, slots == 0 ? 1 : slots,
	    rules->ranks, rules->rank_count);
	if (service != NULL)
		httpc_set_max_connections(egress->httpc, service->connections);
}

void
egress_set_backend(struct egress *egress, const struct egress_backend *backend)
{
	egress_set_server(egress, backend);
	egress->backend = *backend;
	egress_follow_rollouts(egress);
	configure_admission(egress);
	if (backend->state == BACKEND_DRAINING ||
	    backend->state == BACKEND_NONE)
		egress_refuse_waiting(
		    egress, "backend server takes no more work");
}

void
egress_set_rules(struct egress *egress, struct rules *rules)
{
	rules_unref(egress->rules);
	egress->rules = rules_ref(rules);
	configure_admission(egress);
}

const char *
egress_get_service_name(const struct egress *egress)
{
	return egress->backend.service;
}

void
egress_drain(struct egress *egress)
{
	egress->draining = true;
}

void
egress_set_once_client(struct egress *egress, struct once_client *once)
{
	egress->once = once;
}

struct egress *
egress_create(struct loop *loop, const struct egress_settings *settings,
    struct error *err)
{
	struct egress *egress = calloc(1, sizeof(*egress));

	assert(egress != NULL);
	egress->loop = loop;
	egress->account = settings->account;
	egress->dialect = settings->dialect;
	egress->on_slot_free = egress_run_queued;
	egress->on_evicted = egress_refuse_evicted;
	egress->httpc = httpc_open(loop, 1, err);
	if (egress->httpc == NULL) {
		free(egress);
		return NULL;
	}
	admission_init(&egress->admission, &admission_reserved_shares,
	    settings->max_queued, settings->max_queued_bytes);
	fence_init(&egress->fence, loop_now_us(loop));
	egress->start_timer.fn = on_start_allowed;
	egress->start_timer.arg = egress;
	egress->sweep_timer.fn = on_sweep;
	egress->sweep_timer.arg = egress;
	loop_timer_set(
	    loop, &egress->sweep_timer, loop_now_us(loop) + SWEEP_INTERVAL_US);
	return egress;
}

void
egress_destroy(struct egress *egress)
{
	if (egress == NULL)
		return;
	loop_timer_clear(egress->loop, &egress->sweep_timer);
	loop_timer_clear(egress->loop, &egress->start_timer);
	httpc_close(egress->httpc);
	while (egress->first != NULL)
		egress_request_free(egress->first);
	loop_cancel_deferred(egress->loop, egress);
	fence_free(&egress->fence);
	rules_unref(egress->rules);
	free(egress);
}
