// Admission of requests, and their calls to the backend server.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/outcome.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/egress/egress_log.h"
#include "proxy/headers.h"

#define SWEEP_US (20 * US_PER_MS)

COUNTER_DEFINE(count_refused, "egress_requests_refused", "Refused, not run");
COUNTER_DEFINE(count_failed, "egress_requests_failed", "Outcome unknown");
COUNTER_DEFINE(count_replayed, "egress_requests_replayed", "Answered again");

static const char in_use_text[] = "key is in use and its outcome is not known";

void
egress_request_free(struct egress_request *r)
{
	struct egress *egress = r->egress;

	if (r->prev != NULL)
		r->prev->next = r->next;
	else
		egress->first = r->next;
	if (r->next != NULL)
		r->next->prev = r->prev;
	if (r->state == REQUEST_COLLECTING)
		egress_collect_end(r);
	header_list_free(&r->response_headers);
	free(r->headers);
	free(r->url);
	free(r->message);
	free(r->upload);
	free(r->body);
	free(r);
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
egress_send_refusal(struct egress *egress, struct egress_sink *sink,
    uint64_t id, uint32_t status, enum outcome outcome, int64_t retry_us,
    bool arrived, const char *why)
{
	struct message_response response = {.id = id,
	    .status = status,
	    .outcome = outcome,
	    .retry_left_us = retry_us};

	egress_fill_load(egress, &response);
	response.arrived = arrived;
	response.body = bytes_from(why);
	counter_add(
	    outcome_is_not_run(outcome) ? &count_refused : &count_failed, 1);
	if (sink != NULL)
		sink->ops->respond(sink, id, &response);
}

/// Outcome of a request that did not run here. If its key was not claimed
/// for it, an earlier attempt may have run.
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
	bool arrived = r->arrived;
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
	egress_send_refusal(
	    egress, sink, id, status, outcome, retry_us, arrived, why);
}

void
egress_send_unknown(struct egress_request *r, uint32_t status, const char *why)
{
	if (r->claim != NULL)
		once_claim_abandon(r->claim);
	egress_log_refused(r->egress, r->message,
	    r->sink == NULL ? NULL : r->sink->origin, status, OUTCOME_UNKNOWN,
	    0, why);
	egress_send_refusal(r->egress, r->sink, r->message->id, status,
	    OUTCOME_UNKNOWN, 0, r->arrived, why);
}

/// Gives the recorded answer of the key again.
static void
replay_answer(struct egress_request *r, const struct message_response *answer)
{
	struct message_response replay = *answer;

	replay.id = r->message->id;
	replay.outcome = OUTCOME_ANSWERED;
	egress_fill_load(r->egress, &replay);
	counter_add(&count_replayed, 1);
	log_write(LOG_INFO, "once",
	    "Replayed the answer of request %" PRIx64 ".", r->message->id);
	if (r->sink != NULL)
		r->sink->ops->respond(r->sink, replay.id, &replay);
}

/// Gives the slot back and waits for the answer that another attempt gets.
static void
attend(struct egress_request *r)
{
	if (r->item.running)
		admission_finish(&r->egress->admission, &r->item,
		    loop_now_us(r->egress->loop));
	r->state = REQUEST_ATTENDING;
}

/// The ledger's verdict on the key of a request.
static void
on_claimed(
    void *arg, enum once_verdict verdict, const struct message_response *answer)
{
	struct egress_request *r = arg;
	struct egress *egress = r->egress;

	r->key_was_free = verdict == ONCE_GRANTED || verdict == ONCE_FREED;
	if (verdict == ONCE_GRANTED) {
		if (egress->backend.address[0] == '\0')
			egress_end_not_run(r, 503, 0, "no backend server");
		else
			egress_start_call(r);
		return;
	}
	if (verdict == ONCE_IN_PROGRESS) {
		attend(r);
		egress_run_waiting(egress);
		return;
	}
	r->claim = NULL;
	if (verdict == ONCE_UNAVAILABLE)
		egress_end_not_run(
		    r, 503, US_PER_S, "ledger cannot be reached");
	else if (verdict == ONCE_FREED)
		egress_end_not_run(
		    r, 503, 0, "the key's first attempt did not run");
	else if (verdict == ONCE_MISMATCH)
		egress_end_not_run(
		    r, 422, 0, "key was used with another request");
	else {
		attend(r);
		if (verdict == ONCE_DONE)
			replay_answer(r, answer);
		else
			egress_send_unknown(r, 409, in_use_text);
		egress_request_free(r);
	}
	egress_run_waiting(egress);
}

/// Begins the work of a request that got a slot.
void
egress_begin(struct egress_request *r)
{
	const struct message_request *m = r->message;
	struct egress *egress = r->egress;

	if (!m->once || m->key.size_bytes == 0) {
		egress_start_call(r);
		return;
	}
	r->state = REQUEST_CLAIMING;
	if (egress->once == NULL) {
		egress_end_not_run(r, 503, US_PER_S, "no ledger is set");
		return;
	}
	r->claim = once_client_claim(
	    egress->once, m, r->item.deadline_us, on_claimed, r);
}

void
egress_run_waiting(struct egress *egress)
{
	int64_t now_us = loop_now_us(egress->loop);
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(&egress->admission, now_us, &verdict)) !=
	    NULL) {
		struct egress_request *r = (struct egress_request *)item;

		if (verdict == ADMISSION_RUN)
			egress_begin(r);
		else
			egress_end_not_run(r, 503,
			    admission_wait_us(&egress->admission, item->rank),
			    "it cannot meet its deadline any more");
	}
}

/// Drops requests whose bodies did not come in time.
static void
drop_uncollected(struct egress *egress)
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
sweep(void *arg)
{
	struct egress *egress = arg;

	drop_uncollected(egress);
	egress_run_waiting(egress);
	loop_timer_set(egress->loop, &egress->sweep_timer,
	    loop_now_us(egress->loop) + SWEEP_US);
}

struct egress_request *
egress_find(struct egress *egress, const struct egress_sink *sink, uint64_t id)
{
	struct egress_request *r;

	for (r = egress->first; r != NULL; r = r->next)
		if (r->sink == sink && r->message->id == id)
			return r;
	return NULL;
}

void
egress_request_body(struct egress_request *r, const struct message_body *body)
{
	size_t n = body->data.size_bytes;

	if (!r->message->more || r->upload_last)
		return;
	if (n > 0) {
		r->upload = realloc(r->upload, r->upload_bytes + n);
		assert(r->upload != NULL);
		memcpy(r->upload + r->upload_bytes, body->data.data, n);
		r->upload_bytes += n;
	}
	r->upload_last = body->last != 0;
	r->upload_failed = body->failed != 0;
	if (r->state == REQUEST_COLLECTING) {
		if (r->upload_asked_bytes > 0)
			egress_collect_part(r, body);
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
egress_request_window(struct egress_request *r, uint32_t credit_bytes)
{
	r->window_bytes += credit_bytes;
	if (r->state == REQUEST_RUNNING && r->window_bytes > 0)
		httpc_call_resume(&r->call);
}

/// Ends a request that waits for the answer of another attempt.
static void
end_attending(struct egress_request *r)
{
	once_claim_release(r->claim);
	r->claim = NULL;
	egress_send_unknown(r, 409, in_use_text);
	egress_request_free(r);
}

void
egress_request_cancel(struct egress_request *r, bool waiting_only)
{
	struct egress *egress = r->egress;

	if (r->state == REQUEST_RUNNING) {
		if (waiting_only)
			return;
		// What may have effects runs to its end, so that its outcome
		// can still be learned or recorded.
		if (r->call.repeatable)
			egress_mark_abort(r);
		return;
	}
	if (r->state == REQUEST_ATTENDING)
		end_attending(r);
	else
		egress_end_not_run(r, 503,
		    admission_wait_us(&egress->admission, r->item.rank),
		    "cancelled before it ran");
	egress_run_waiting(egress);
}

void
egress_drop_sink(struct egress *egress, struct egress_sink *sink)
{
	struct egress_request *r = egress->first;

	while (r != NULL) {
		struct egress_request *next = r->next;

		if (r->sink == sink) {
			r->sink = NULL;
			if (r->state != REQUEST_RUNNING)
				egress_end_not_run(
				    r, 503, 0, "ingress is gone");
			else if (r->call.repeatable ||
			    (r->message->more && !r->upload_last))
				egress_mark_abort(r);
		}
		r = next;
	}
	egress_run_waiting(egress);
}

struct fence *
egress_fence(struct egress *egress)
{
	return &egress->fence;
}

int64_t
egress_service_us(struct egress *egress)
{
	return admission_service_us(
	    &egress->admission, loop_now_us(egress->loop));
}

void
egress_load(const struct egress *egress, uint32_t *queued, uint32_t *running,
    uint32_t *load_pct)
{
	*queued = egress->admission.queued;
	*running = egress->admission.running;
	*load_pct = admission_load_pct(&egress->admission);
}

/// Takes the limits of the announced service from the rules in force.
static void
configure(struct egress *egress)
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

/// Sends what still waits elsewhere.
static void
refuse_waiting(struct egress *egress, const char *why)
{
	struct egress_request *r = egress->first;

	while (r != NULL) {
		struct egress_request *next = r->next;

		if (r->state == REQUEST_COLLECTING ||
		    (r->state == REQUEST_WAITING && r->item.queued))
			egress_end_not_run(r, 503, 0, why);
		r = next;
	}
}

void
egress_refuse_waiting(struct egress *egress)
{
	refuse_waiting(egress, "this proxy is leaving");
}

void
egress_set_backend(struct egress *egress, const struct egress_backend *backend)
{
	egress->backend = *backend;
	configure(egress);
	if (backend->state == BACKEND_DRAINING ||
	    backend->state == BACKEND_NONE)
		refuse_waiting(egress, "backend server takes no more work");
}

void
egress_set_rules(struct egress *egress, struct rules *rules)
{
	rules_unref(egress->rules);
	egress->rules = rules_ref(rules);
	configure(egress);
}

const char *
egress_service(const struct egress *egress)
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
	egress->dialect = settings->dialect;
	egress->httpc = httpc_open(loop, 1, err);
	if (egress->httpc == NULL) {
		free(egress);
		return NULL;
	}
	admission_init(&egress->admission, &admission_keep,
	    settings->max_queued, settings->max_queued_bytes);
	fence_init(&egress->fence, loop_now_us(loop));
	egress->sweep_timer.fn = sweep;
	egress->sweep_timer.arg = egress;
	loop_timer_set(
	    loop, &egress->sweep_timer, loop_now_us(loop) + SWEEP_US);
	return egress;
}

void
egress_destroy(struct egress *egress)
{
	if (egress == NULL)
		return;
	loop_timer_clear(egress->loop, &egress->sweep_timer);
	httpc_close(egress->httpc);
	while (egress->first != NULL)
		egress_request_free(egress->first);
	fence_free(&egress->fence);
	rules_unref(egress->rules);
	free(egress);
}
