// Calls of the egress to its backend server.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/outcome.h"
#include "core/requests/retry.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/egress/egress_log.h"
#include "proxy/headers.h"

#define WHOLE_RESPONSE_BYTES  (64u * 1024)
#define UPLOAD_WINDOW_BYTES   (256u * 1024)
#define RESPONSE_WINDOW_BYTES (256u * 1024)
#define MAX_EXTRA_HEADERS     4
#define STATUS_MISDIRECTED    421

COUNTER_DEFINE(count_alien, "egress_answers_skipped",
    "Answers of the backend server to another request");
COUNTER_DEFINE(count_run, "egress_requests_run", "Sent to the backend server");

static void
send_whole_response(struct egress_request *r)
{
	struct message_response response = {.id = r->message->id,
	    .status = r->status,
	    .outcome = OUTCOME_ANSWERED,
	    .reached_backend = 1};

	egress_fill_load(r->egress, &response);
	response.run_us = loop_now_us(r->egress->loop) - r->item.start_us;
	response.queue_us = r->item.start_us - r->item.arrival_us;
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

/// Tells whether the status alone would promise that the request did not
/// run, which only the backend server's own word can.
static bool
is_false_promise(const struct egress_request *r)
{
	return r->egress->dialect->refusals_promise &&
	    !r->message->repeatable &&
	    (r->status == 408 || r->status == 429 || r->status == 503);
}

/// Tells whether a call ended without the request having run, for sure.
static bool
did_not_run(const struct egress_request *r, const struct error *err)
{
	if (r->streaming)
		return false;
	return r->shed || (err != NULL && !httpc_call_was_sent(&r->call));
}

/// Ends a request whose call to the backend server ended.
static void
end_call(struct egress_request *r, const struct error *err)
{
	struct egress *egress = r->egress;
	int64_t now_us = loop_now_us(egress->loop);
	bool late = now_us >= r->item.deadline_us ||
	    (err != NULL && err->code == ERR_TIMEOUT);

	egress_log_ended(r, err);
	if (did_not_run(r, err)) {
		r->reached_backend = r->shed;
		egress_end_not_run(r, 503, 0,
		    r->shed ? "shed by the backend server"
			    : "backend server cannot be reached");
		egress->on_slot_free(egress);
		return;
	}
	admission_finish(&egress->admission, &r->item, now_us);
	if (r->streaming)
		send_stream_end(r, err != NULL);
	else if (err != NULL)
		egress_send_unknown(r, late ? 504 : 502,
		    late ? "deadline passed" : "backend connection failed");
	else if (is_false_promise(r))
		egress_send_unknown(r, 502, "backend server failed");
	else
		send_whole_response(r);
	egress_request_free(r);
	egress->on_slot_free(egress);
}

static void
on_done(struct httpc_call *call, const struct error *err)
{
	end_call(call->owner, err);
}

/// Learns what a header of the answer says of the request.
static void
note_answer_header(
    struct egress_request *r, struct bytes name, struct bytes value)
{
	const struct dialect_headers *h = &r->egress->dialect->headers;
	struct bytes sent;

	if (headers_name_equals(name, h->not_run))
		r->shed = true;
	else if (headers_name_equals(name, h->signature))
		r->signed_answer = true;
	else if (headers_name_equals(name, "Content-Encoding"))
		r->encoded_answer = true;
	else if (headers_name_equals(name, h->attempt) &&
	    header_list_find(&r->message->headers, h->attempt, &sent)) {
		r->attempt_echoed = true;
		r->crossed = sent.size_bytes != value.size_bytes ||
		    memcmp(sent.data, value.data, sent.size_bytes) != 0;
	}
}

static void
on_header(struct httpc_call *call, struct bytes name, struct bytes value)
{
	struct egress_request *r = call->owner;

	note_answer_header(r, name, value);
	if (!headers_is_hop_by_hop(name))
		header_list_add(&r->response_headers, name, value);
}

static void
start_streaming(struct egress_request *r)
{
	struct message_response response = {.id = r->message->id,
	    .status = r->status,
	    .outcome = OUTCOME_ANSWERED,
	    .reached_backend = 1,
	    .more = 1,
	    .total_bytes = r->total_bytes};

	r->streaming = true;
	egress_fill_load(r->egress, &response);
	response.headers = header_list_view(&r->response_headers);
	response.body.data = r->body;
	response.body.size_bytes = (uint32_t)r->body_bytes;
	r->window_bytes -= (int64_t)r->body_bytes;
	if (r->sink != NULL)
		r->sink->ops->respond(r->sink, r->message->id, &response);
}

/// Tells whether an answer names another request.
static bool
is_of_another(const struct egress_request *r)
{
	return r->attempt_echoed && r->crossed;
}

/// Tells whether an answer is a success that no backend server vouches for.
static bool
is_unproved(const struct egress_request *r)
{
	const struct dialect *d = r->egress->dialect;
	bool success = r->status >= 200 && r->status < 300;

	return success && d->headers.signature != NULL &&
	    (!r->signed_answer || r->encoded_answer || !r->attempt_echoed);
}

/// Drops what was learned from the headers of an answer that is skipped.
static void
forget_answer(struct egress_request *r)
{
	header_list_free(&r->response_headers);
	memset(&r->response_headers, 0, sizeof(r->response_headers));
	r->attempt_echoed = r->crossed = r->signed_answer = false;
	r->encoded_answer = r->shed = false;
}

static enum httpc_verdict
on_head(struct httpc_call *call, uint32_t status, int64_t total_bytes)
{
	struct egress_request *r = call->owner;

	if (is_of_another(r)) {
		// A late answer to an earlier request; the own one follows.
		counter_add(&count_alien, 1);
		forget_answer(r);
		return HTTPC_SKIP;
	}
	r->status = status;
	r->total_bytes = total_bytes;
	r->reached_backend = true;
	if (status == STATUS_MISDIRECTED &&
	    r->egress->dialect->refusals_promise)
		r->shed = true;
	return is_unproved(r) ? HTTPC_FAIL : HTTPC_TAKE;
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
	egress->on_slot_free(egress);
}

void
egress_mark_abort(struct egress_request *r)
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
			egress_mark_abort(r);
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
	const struct dialect_headers *h = &r->egress->dialect->headers;
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
	if (h->rank != NULL) {
		snprintf(r->rank_text, sizeof(r->rank_text), "%.*s",
		    (int)r->message->rank.size_bytes, r->message->rank.data);
		r->headers[i][0] = bytes_from_string(h->rank);
		r->headers[i++][1] = bytes_from_string(r->rank_text);
	}
	if (h->expected != NULL && r->egress->backend.id[0] != '\0') {
		memcpy(r->expected, r->egress->backend.id, sizeof(r->expected));
		r->headers[i][0] = bytes_from_string(h->expected);
		r->headers[i++][1] = bytes_from_string(r->expected);
	}
	snprintf(r->deadline_text, sizeof(r->deadline_text), "%" PRId64,
	    left_us > 0 ? left_us / US_PER_MS : 0);
	r->headers[i][0] = bytes_from_string(h->deadline);
	r->headers[i++][1] = bytes_from_string(r->deadline_text);
	r->call.headers = (const struct bytes(*)[2])r->headers;
	r->call.header_count = i;
}

void
egress_start_call(struct egress_request *r)
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
	r->call.method = headers_find_method(method);
	r->call.url = r->url;
	r->call.body = m->body.data;
	r->call.body_bytes = m->body.size_bytes;
	r->call.deadline_us = r->item.deadline_us;
	r->call.repeatable = m->repeatable != 0;
	if (r->collected) {
		r->call.body = r->upload;
		r->call.body_bytes = r->upload_bytes;
	} else if (m->more) {
		r->call.streamed = true;
		r->call.total_bytes = m->total_bytes;
	}
	if (httpc_call_start(egress->httpc, &r->call, &err) != 0) {
		log_error(LOG_WARN, "egress", "Cannot call", &err);
		egress_end_not_run(r, 431, 0, "request headers cannot be sent");
		return;
	}
	fence_mark_run(&egress->fence, r->fence_key);
	r->reached_backend = true;
	counter_add(&count_run, 1);
	if (r->call.streamed && r->sink != NULL)
		r->sink->ops->window(r->sink, m->id, UPLOAD_WINDOW_BYTES);
}
