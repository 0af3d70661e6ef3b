// Admission of requests, and their calls to the backend server.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/outcome.h"
#include "io/clock.h"
#include "io/counters.h"
#include "io/httpc.h"
#include "io/log.h"
#include "proxy/egress.h"
#include "proxy/headers.h"
#include "proxy/once_client.h"
#include "wire/request_copy.h"

#define WHOLE_RESPONSE_BYTES  (64u * 1024)
#define UPLOAD_WINDOW_BYTES   (256u * 1024)
#define RESPONSE_WINDOW_BYTES (256u * 1024)
#define SWEEP_US	      (20 * US_PER_MS)
#define MAX_EXTRA_HEADERS     4

COUNTER_DEFINE(count_run, "egress_requests_run", "Sent to the backend server");
COUNTER_DEFINE(count_refused, "egress_requests_refused", "Refused, not run");
COUNTER_DEFINE(count_failed, "egress_requests_failed", "Outcome unknown");
COUNTER_DEFINE(count_replayed, "egress_requests_replayed", "Answered again");
COUNTER_DEFINE(count_queued, "egress_requests_queued", "Waited for a slot");

enum request_state {
	REQUEST_WAITING,   ///< In the admission's queue.
	REQUEST_CLAIMING,  ///< Has a slot; its key is being claimed.
	REQUEST_RUNNING,   ///< Sent to the backend server.
	REQUEST_ATTENDING, ///< Its key is in progress; waits for the answer.
};

struct egress_request {
	struct admission_item item;
	struct httpc_call call;
	struct egress *egress;
	struct egress_sink *sink; ///< NULL once the way back is gone.
	struct egress_request *next;
	struct egress_request *prev;
	struct message_request *message;
	struct once_claim *claim;
	enum request_state state;
	uint64_t fence_key;
	char *url;
	char rank_text[RULES_NAME_BYTES];
	char deadline_text[24];
	struct bytes (*headers)[2];
	// Request body beyond the first part.
	char *upload;
	size_t upload_bytes;
	bool upload_last;
	bool upload_failed;
	// Response.
	struct header_list response_headers;
	uint32_t status;
	int64_t total_bytes; ///< Announced length, or -1.
	char *body;
	size_t body_bytes;
	int64_t window_bytes;
	bool streaming;
	bool shed; ///< The backend server said that it did not run it.
	bool abort_marked;
	bool key_was_free; ///< The ledger said so to this attempt.
};

struct egress {
	struct loop *loop;
	struct httpc *httpc;
	struct once_client *once;
	struct admission admission;
	struct fence fence;
	struct egress_backend backend;
	struct rules *rules;
	struct egress_request *first;
	struct loop_timer sweep_timer;
	bool draining;
	bool abort_deferred;
};

static void run_waiting(struct egress *egress);

static void
request_free(struct egress_request *r)
{
	struct egress *egress = r->egress;

	if (r->prev != NULL)
		r->prev->next = r->next;
	else
		egress->first = r->next;
	if (r->next != NULL)
		r->next->prev = r->prev;
	header_list_free(&r->response_headers);
	free(r->headers);
	free(r->url);
	free(r->message);
	free(r->upload);
	free(r->body);
	free(r);
}

static void
fill_load(const struct egress *egress, struct message_response *response)
{
	response->queued = egress->admission.queued;
	response->running = egress->admission.running;
}

/// Answers on behalf of the egress, not of the backend server.
static void
send_refusal(struct egress *egress, struct egress_sink *sink, uint64_t id,
    uint32_t status, enum outcome outcome, int64_t retry_us, const char *why)
{
	struct message_response response = {.id = id,
	    .status = status,
	    .outcome = outcome,
	    .retry_left_us = retry_us};

	fill_load(egress, &response);
	response.body = bytes_from(why);
	counter_add(
	    outcome_is_not_run(outcome) ? &count_refused : &count_failed, 1);
	log_write(LOG_INFO, "admit", "Refused request %" PRIx64 ": %s, %s.", id,
	    outcome_name(outcome), why);
	if (sink != NULL)
		sink->ops->respond(sink, id, &response);
}

/// Outcome of a request that did not run here. If its key was not claimed
/// for it, an earlier attempt may have run.
static enum outcome
not_run_outcome(const struct message_request *m, bool claimed)
{
	return m->key.size_bytes > 0 && !claimed ? OUTCOME_REFUSED
						 : OUTCOME_NOT_RUN;
}

/// Ends a request that never got to the backend server.
static void
end_not_run(struct egress_request *r, uint32_t status, int64_t retry_us,
    const char *why)
{
	struct egress_sink *sink = r->sink;
	struct egress *egress = r->egress;
	uint64_t id = r->message->id;
	enum outcome outcome = not_run_outcome(r->message, r->key_was_free);

	if (r->claim != NULL)
		once_claim_release(r->claim);
	if (r->item.queued)
		admission_cancel(&egress->admission, &r->item);
	if (r->item.running)
		admission_finish(
		    &egress->admission, &r->item, loop_now_us(egress->loop));
	request_free(r);
	send_refusal(egress, sink, id, status, outcome, retry_us, why);
}

static void
send_whole_response(struct egress_request *r)
{
	struct message_response response = {.id = r->message->id,
	    .status = r->status,
	    .outcome = OUTCOME_ANSWERED};

	fill_load(r->egress, &response);
	response.headers = header_list_view(&r->response_headers);
	response.body.data = r->body;
	response.body.size_bytes = (uint32_t)r->body_bytes;
	if (r->claim != NULL)
		once_claim_record(r->claim, &response);
	if (r->sink != NULL)
		r->sink->ops->respond(r->sink, r->message->id, &response);
}

/// Ends a streamed response.
static void
send_stream_end(struct egress_request *r, bool failed)
{
	struct message_body body = {
	    .id = r->message->id, .last = 1, .failed = failed};

	if (r->claim != NULL)
		once_claim_abandon(r->claim);
	if (r->sink != NULL)
		r->sink->ops->body(r->sink, r->message->id, &body);
}

static void
send_unknown(struct egress_request *r, uint32_t status, const char *why)
{
	if (r->claim != NULL)
		once_claim_abandon(r->claim);
	send_refusal(r->egress, r->sink, r->message->id, status,
	    OUTCOME_UNKNOWN, 0, why);
}

/// Ends a request whose call to the backend server ended.
static void
end_call(struct egress_request *r, const struct error *err)
{
	struct egress *egress = r->egress;
	int64_t now_us = loop_now_us(egress->loop);
	bool late = now_us >= r->item.deadline_us ||
	    (err != NULL && err->code == ERR_TIMEOUT);

	admission_finish(&egress->admission, &r->item, now_us);
	if (err != NULL)
		log_error(LOG_INFO, "egress", "Backend call failed", err);
	if (r->streaming)
		send_stream_end(r, err != NULL);
	else if (r->shed || (err != NULL && !httpc_call_was_sent(&r->call))) {
		end_not_run(r, late ? 504 : 503, 0,
		    r->shed ? "shed by the backend server"
			    : "backend server cannot be reached");
		run_waiting(egress);
		return;
	} else if (err != NULL)
		send_unknown(r, late ? 504 : 502,
		    late ? "deadline passed" : "backend connection failed");
	else
		send_whole_response(r);
	request_free(r);
	run_waiting(egress);
}

static void
on_done(struct httpc_call *call, const struct error *err)
{
	end_call(call->owner, err);
}

static void
on_header(struct httpc_call *call, struct bytes name, struct bytes value)
{
	struct egress_request *r = call->owner;

	if (headers_is_shed(name, value))
		r->shed = true;
	if (!headers_is_hop_by_hop(name))
		header_list_add(&r->response_headers, name, value);
}

static void
start_streaming(struct egress_request *r)
{
	struct message_response response = {.id = r->message->id,
	    .status = r->status,
	    .outcome = OUTCOME_ANSWERED,
	    .more = 1,
	    .total_bytes = r->total_bytes};

	r->streaming = true;
	fill_load(r->egress, &response);
	response.headers = header_list_view(&r->response_headers);
	response.body.data = r->body;
	response.body.size_bytes = (uint32_t)r->body_bytes;
	r->window_bytes -= (int64_t)r->body_bytes;
	if (r->sink != NULL)
		r->sink->ops->respond(r->sink, r->message->id, &response);
}

static void
on_head(struct httpc_call *call, uint32_t status, int64_t total_bytes)
{
	struct egress_request *r = call->owner;

	r->status = status;
	r->total_bytes = total_bytes;
}

static bool
on_body(struct httpc_call *call, const char *data, size_t size_bytes)
{
	struct egress_request *r = call->owner;
	struct message_body body = {.id = r->message->id};

	if (!r->streaming &&
	    r->body_bytes + size_bytes <= WHOLE_RESPONSE_BYTES) {
		r->body = realloc(r->body, r->body_bytes + size_bytes);
		assert(r->body != NULL);
		memcpy(r->body + r->body_bytes, data, size_bytes);
		r->body_bytes += size_bytes;
		return true;
	}
	if (!r->streaming)
		start_streaming(r);
	if (r->sink == NULL)
		return true;
	if (r->window_bytes <= 0)
		return false;
	r->window_bytes -= (int64_t)size_bytes;
	body.data.data = data;
	body.data.size_bytes = (uint32_t)size_bytes;
	r->sink->ops->body(r->sink, r->message->id, &body);
	return true;
}

static void
abort_call(struct egress_request *r)
{
	struct error err;

	error_set(&err, ERR_IO, "call", r->egress->backend.address, "aborted");
	httpc_call_cancel(&r->call);
	end_call(r, &err);
}

/// Ends the calls marked to abort, outside the library's callbacks.
static void
abort_marked(void *arg)
{
	struct egress *egress = arg;
	struct egress_request *r = egress->first;

	egress->abort_deferred = false;
	while (r != NULL) {
		struct egress_request *next = r->next;

		if (r->abort_marked && r->state == REQUEST_RUNNING)
			abort_call(r);
		r = next;
	}
	run_waiting(egress);
}

static void
mark_abort(struct egress_request *r)
{
	struct egress *egress = r->egress;

	r->abort_marked = true;
	if (egress->abort_deferred)
		return;
	egress->abort_deferred = true;
	loop_defer(egress->loop, abort_marked, egress);
}

static size_t
on_read(struct httpc_call *call, char *out, size_t out_bytes, bool *last)
{
	struct egress_request *r = call->owner;
	size_t n = r->upload_bytes < out_bytes ? r->upload_bytes : out_bytes;

	if (n == 0) {
		if (r->upload_failed)
			mark_abort(r);
		*last = r->upload_last && !r->upload_failed;
		return 0;
	}
	memcpy(out, r->upload, n);
	memmove(r->upload, r->upload + n, r->upload_bytes - n);
	r->upload_bytes -= n;
	if (!r->upload_last && r->sink != NULL)
		r->sink->ops->window(r->sink, r->message->id, (uint32_t)n);
	return n;
}

static const struct httpc_ops call_ops = {
    .on_head = on_head,
    .on_header = on_header,
    .on_body = on_body,
    .on_done = on_done,
    .on_read = on_read,
};

/// Collects the headers to send: those of the caller, then our own.
static void
build_headers(struct egress_request *r)
{
	const struct message_header *from = r->message->headers.items;
	uint32_t count = r->message->headers.count;
	int64_t left_us = r->item.deadline_us - loop_now_us(r->egress->loop);
	uint32_t i;

	r->headers = calloc(count + MAX_EXTRA_HEADERS, sizeof(*r->headers));
	assert(r->headers != NULL);
	for (i = 0; i < count; i++) {
		r->headers[i][0] = from[i].name;
		r->headers[i][1] = from[i].value;
	}
	snprintf(r->rank_text, sizeof(r->rank_text), "%.*s",
	    (int)r->message->rank.size_bytes, r->message->rank.data);
	snprintf(r->deadline_text, sizeof(r->deadline_text), "%" PRId64,
	    left_us > 0 ? left_us / US_PER_MS : 0);
	r->headers[i][0] = bytes_from(HEADER_RANK);
	r->headers[i++][1] = bytes_from(r->rank_text);
	r->headers[i][0] = bytes_from(HEADER_DEADLINE);
	r->headers[i++][1] = bytes_from(r->deadline_text);
	r->call.headers = (const struct bytes(*)[2])r->headers;
	r->call.header_count = i;
}

/// Sends a request that holds a slot, and its claim if it needs one.
static void
start_call(struct egress_request *r)
{
	struct egress *egress = r->egress;
	const struct message_request *m = r->message;
	struct error err;
	char method[RULES_METHOD_BYTES] = "GET";

	bytes_copy(m->method, method, sizeof(method));
	if (asprintf(&r->url, "http://%s%.*s", egress->backend.address,
		(int)m->target.size_bytes, m->target.data) < 0)
		abort();
	build_headers(r);
	r->state = REQUEST_RUNNING;
	r->window_bytes = RESPONSE_WINDOW_BYTES;
	r->call.ops = &call_ops;
	r->call.owner = r;
	r->call.method = headers_known_method(method);
	r->call.url = r->url;
	r->call.body = m->body.data;
	r->call.body_bytes = m->body.size_bytes;
	r->call.deadline_us = r->item.deadline_us;
	r->call.repeatable = retry_method_is_safe(method);
	if (m->more) {
		r->call.streamed = true;
		r->call.total_bytes = m->total_bytes;
	}
	if (httpc_call_start(egress->httpc, &r->call, &err) != 0) {
		log_error(LOG_WARN, "egress", "Cannot call", &err);
		end_not_run(r, 431, 0, "request headers cannot be sent");
		return;
	}
	fence_ran(&egress->fence, r->fence_key);
	counter_add(&count_run, 1);
	if (m->more && r->sink != NULL)
		r->sink->ops->window(r->sink, m->id, UPLOAD_WINDOW_BYTES);
}

/// Gives the recorded answer of the key again.
static void
replay_answer(struct egress_request *r, const struct message_response *answer)
{
	struct message_response replay = *answer;

	replay.id = r->message->id;
	replay.outcome = OUTCOME_ANSWERED;
	fill_load(r->egress, &replay);
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
			end_not_run(r, 503, 0, "no backend server");
		else
			start_call(r);
		return;
	}
	if (verdict == ONCE_IN_PROGRESS) {
		attend(r);
		run_waiting(egress);
		return;
	}
	r->claim = NULL;
	if (verdict == ONCE_UNAVAILABLE)
		end_not_run(r, 503, US_PER_S, "ledger cannot be reached");
	else if (verdict == ONCE_FREED)
		end_not_run(r, 503, 0, "the key's first attempt did not run");
	else if (verdict == ONCE_MISMATCH)
		end_not_run(r, 422, 0, "key was used with another request");
	else {
		attend(r);
		if (verdict == ONCE_DONE)
			replay_answer(r, answer);
		else
			send_refusal(egress, r->sink, r->message->id, 409,
			    OUTCOME_UNKNOWN, 0,
			    "key is in use and its outcome is not known");
		request_free(r);
	}
	run_waiting(egress);
}

/// Begins the work of a request that got a slot.
static void
begin(struct egress_request *r)
{
	const struct message_request *m = r->message;
	struct egress *egress = r->egress;

	if (!m->once || m->key.size_bytes == 0) {
		start_call(r);
		return;
	}
	r->state = REQUEST_CLAIMING;
	if (egress->once == NULL) {
		end_not_run(r, 503, US_PER_S, "no ledger is set");
		return;
	}
	r->claim = once_client_claim(
	    egress->once, m, r->item.deadline_us, on_claimed, r);
}

/// Gives out free slots and drops what can no longer be served in time.
static void
run_waiting(struct egress *egress)
{
	int64_t now_us = loop_now_us(egress->loop);
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(&egress->admission, now_us, &verdict)) !=
	    NULL) {
		struct egress_request *r = (struct egress_request *)item;

		if (verdict == ADMISSION_RUN)
			begin(r);
		else
			end_not_run(r, 504, 0, "deadline passed in the queue");
	}
}

static void
sweep(void *arg)
{
	struct egress *egress = arg;

	run_waiting(egress);
	loop_timer_set(egress->loop, &egress->sweep_timer,
	    loop_now_us(egress->loop) + SWEEP_US);
}

/// Why a request cannot be taken at all; NULL if it can.
static const char *
find_obstacle(const struct egress *egress, const struct message_request *m)
{
	const struct egress_backend *b = &egress->backend;

	if (egress->draining)
		return "this proxy is leaving";
	if (b->address[0] == '\0' || b->state == BACKEND_NONE)
		return "no backend server";
	if (b->state == BACKEND_DRAINING)
		return "backend server is draining";
	if (strlen(b->service) != m->service.size_bytes ||
	    memcmp(b->service, m->service.data, m->service.size_bytes) != 0)
		return "another service is here";
	if (egress->rules == NULL || egress->admission.rank_count == 0)
		return "no rules yet";
	return NULL;
}

static struct egress_request *
request_create(struct egress *egress, struct egress_sink *sink,
    const struct message_request *message)
{
	struct egress_request *r = calloc(1, sizeof(*r));
	char rank[RULES_NAME_BYTES] = "";

	assert(r != NULL);
	r->egress = egress;
	r->sink = sink;
	r->message = message_request_copy(message);
	r->next = egress->first;
	if (r->next != NULL)
		r->next->prev = r;
	egress->first = r;
	bytes_copy(message->rank, rank, sizeof(rank));
	r->item.rank = admission_find_rank(&egress->admission, rank);
	r->item.size_bytes = message->body.size_bytes;
	r->item.deadline_us =
	    loop_now_us(egress->loop) + message->deadline_left_us;
	if (message->more) {
		r->upload = malloc(message->body.size_bytes);
		assert(r->upload != NULL);
		memcpy(r->upload, message->body.data, message->body.size_bytes);
		r->upload_bytes = message->body.size_bytes;
	}
	return r;
}

struct egress_request *
egress_submit(struct egress *egress, struct egress_sink *sink,
    const struct message_request *message)
{
	const char *obstacle = find_obstacle(egress, message);
	int64_t now_us = loop_now_us(egress->loop);
	struct egress_request *r;
	int64_t retry_us;
	uint64_t key =
	    fence_key(sink->origin, sink->origin_incarnation, message->id);

	fence_arrive(&egress->fence, key, now_us);
	if (obstacle != NULL) {
		send_refusal(egress, sink, message->id, 503,
		    not_run_outcome(message, false), 0, obstacle);
		return NULL;
	}
	r = request_create(egress, sink, message);
	r->fence_key = key;
	switch (
	    admission_offer(&egress->admission, &r->item, now_us, &retry_us)) {
	case ADMISSION_RUN:
		begin(r);
		return egress_find(egress, sink, message->id);
	case ADMISSION_QUEUED:
		counter_add(&count_queued, 1);
		return r;
	case ADMISSION_REFUSED:
		end_not_run(r, 503, retry_us, "too much work of this rank");
		return NULL;
	}
	return NULL;
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
	if (r->state != REQUEST_RUNNING)
		return;
	if (r->upload_failed)
		mark_abort(r);
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

void
egress_request_cancel(struct egress_request *r)
{
	struct egress *egress = r->egress;

	if (r->state == REQUEST_RUNNING) {
		// What may have effects runs to its end, so that its outcome
		// can still be learned or recorded.
		if (r->call.repeatable)
			mark_abort(r);
		return;
	}
	end_not_run(r, 504, 0, "cancelled before it ran");
	run_waiting(egress);
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
				end_not_run(r, 503, 0, "ingress is gone");
			else if (r->call.repeatable ||
			    (r->message->more && !r->upload_last))
				mark_abort(r);
		}
		r = next;
	}
	run_waiting(egress);
}

struct fence *
egress_fence(struct egress *egress)
{
	return &egress->fence;
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
	int at;

	if (rules == NULL)
		return;
	at = rules_find_service(rules, egress->backend.service);
	service = at < 0 ? NULL : &rules->services[at];
	admission_configure(&egress->admission,
	    service == NULL ? 1 : service->slots, rules->ranks,
	    rules->rank_count);
	if (service != NULL)
		httpc_set_max_connections(egress->httpc, service->connections);
}

void
egress_set_backend(struct egress *egress, const struct egress_backend *backend)
{
	egress->backend = *backend;
	configure(egress);
}

void
egress_set_rules(struct egress *egress, struct rules *rules)
{
	rules_unref(egress->rules);
	egress->rules = rules_ref(rules);
	configure(egress);
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
		request_free(egress->first);
	fence_free(&egress->fence);
	rules_unref(egress->rules);
	free(egress);
}
