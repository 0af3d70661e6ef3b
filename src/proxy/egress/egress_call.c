// Calls from the egress to its backend server.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/outcome.h"
#include "core/requests/retry.h"
#include "io/clock.h"
#include "io/held.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/egress/egress_log.h"
#include "proxy/headers.h"
#include "wire/head.h"

#define MAX_BUFFERED_RESPONSE_BYTES (64u * 1024)
#define UPLOAD_WINDOW_BYTES	    (256u * 1024)
#define RESPONSE_WINDOW_BYTES	    (256u * 1024)
#define MAX_EXTRA_HEADERS	    5
#define STATUS_MISDIRECTED	    421

/// Time for which connections are not shared with requests that may not be
/// repeated, once the server broke off in an answer to another request.
#define SEPARATE_CONNECTIONS_US (60 * US_PER_S)

COUNTER_DEFINE(count_mismatched, "egress_answers_skipped",
    "Answers of the backend server to another request");
COUNTER_DEFINE(count_unnamed, "egress_answers_unnamed",
    "Answers of the backend server that may be to another request");
COUNTER_DEFINE(count_malformed, "egress_answers_malformed",
    "Answers of the backend server whose heads are not valid");
COUNTER_DEFINE(count_run, "egress_requests_run", "Sent to the backend server");

static void
send_whole_response(struct egress_request *r)
{
	struct message_response response = {.id = r->message->id,
	    .status = r->status,
	    .outcome = OUTCOME_ANSWERED,
	    .reached_backend = 1};

	egress_link_end_expected(r);
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

/// Sends the end of a streamed response.
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

/// Returns true if callers would take the status as proof that the request did
/// not run. Only an explicit statement of the backend server proves that.
static bool
is_unproved_refusal(const struct egress_request *r)
{
	return r->egress->dialect->refusals_prove_not_run &&
	    !r->message->repeatable &&
	    (r->status == 408 || r->status == 429 || r->status == 503);
}

/// Returns true if the response names another attempt.
static bool
answers_other_attempt(const struct egress_request *r)
{
	return r->attempt_echoed && r->attempt_mismatched;
}

/// Returns true if it is certain that the request did not run.
static bool
did_not_run(const struct egress_request *r, const struct error *err)
{
	if (r->streaming)
		return false;
	return r->shed || (err != NULL && !httpc_call_was_sent(&r->call));
}

/// Completes a request after its call to the backend server has ended.
static void
finish_call(struct egress_request *r, const struct error *err)
{
	struct egress *egress = r->egress;
	int64_t now_us = loop_now_us(egress->loop);
	bool deadline_passed = now_us >= r->deadline_us ||
	    (err != NULL && err->code == ERR_TIMEOUT);

	egress_log_call_end(r, err);
	egress_count_answer(r, err);
	if (err != NULL && answers_other_attempt(r))
		egress->separate_until_deadline_us =
		    now_us + SEPARATE_CONNECTIONS_US;
	if (did_not_run(r, err)) {
		r->reached_backend = r->shed;
		egress_end_not_run(r, 503, 0,
		    r->shed ? "shed by the backend server"
			    : "backend server cannot be reached");
		egress->on_slot_free(egress);
		return;
	}
	egress_record_cost(r, now_us);
	admission_finish(&egress->admission, &r->item, now_us);
	if (err == NULL)
		egress_link_record_answer(r);
	if (r->streaming)
		send_stream_end(r, err != NULL);
	else if (err != NULL)
		egress_send_unknown(r, deadline_passed ? 504 : 502,
		    deadline_passed ? "deadline passed"
				    : "backend connection failed");
	else if (is_unproved_refusal(r))
		egress_send_unknown(r, 502, "backend server failed");
	else
		send_whole_response(r);
	egress_request_free(r);
	egress->on_slot_free(egress);
}

static void
on_done(struct httpc_call *call, const struct error *err)
{
	finish_call(call->owner, err);
}

/// Records what a response header says about the request. It counts once the
/// head is complete and names this request.
static void
parse_response_header(
    struct egress_request *r, struct bytes name, struct bytes value)
{
	const struct dialect_headers *h = &r->egress->dialect->headers;
	struct bytes sent;

	if (egress_read_statement(r, name, value))
		return;
	if (headers_name_equals(name, h->not_run))
		r->head_states_not_run = true;
	else if (headers_name_equals(name, h->signature))
		r->has_signature = true;
	else if (headers_name_equals(name, "Content-Encoding"))
		r->has_content_encoding = true;
	else if (headers_name_equals(name, h->attempt) &&
	    header_list_find(&r->message->headers, h->attempt, &sent)) {
		r->attempt_echoed = true;
		r->attempt_mismatched = sent.size_bytes != value.size_bytes ||
		    memcmp(sent.data, value.data, sent.size_bytes) != 0;
	}
}

static void
on_header(struct httpc_call *call, struct bytes name, struct bytes value)
{
	struct egress_request *r = call->owner;

	parse_response_header(r, name, value);
	if (headers_name_equals(name, "Connection"))
		header_list_add(&r->connection_options, name, value);
	else if (!headers_is_hop_by_hop(name))
		header_list_add(&r->response_headers, name, value);
}

/// Removes the headers that Connection names: they are not for the caller.
static void
remove_named_headers(struct egress_request *r)
{
	const struct dialect_headers *h = &r->egress->dialect->headers;
	struct list options = header_list_view(&r->connection_options);
	const struct message_header *option = options.items;
	uint32_t i;
	uint32_t k;

	for (k = 0; k < options.count; k++) {
		struct list view = header_list_view(&r->response_headers);
		const struct message_header *field = view.items;

		for (i = view.count; i > 0; i--)
			if (head_tokens_hold(
				option[k].value, field[i - 1].name) &&
			    !headers_is_internal(h, field[i - 1].name) &&
			    !headers_is_end_to_end(h, field[i - 1].name))
				header_list_remove(&r->response_headers, i - 1);
	}
}

/// Checks that every reader finds the same fields in a response head.
static bool
is_head_valid(struct egress_request *r)
{
	struct list fields = header_list_view(&r->response_headers);
	struct error err;

	if (head_check(fields.items, fields.count,
		r->egress->dialect->headers.internal_prefix, &err) == 0)
		return true;
	counter_add(&count_malformed, 1);
	log_error(LOG_INFO, "egress",
	    "Refused a response head of the backend server", &err);
	return false;
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
	egress_link_end_expected(r);
	egress_fill_load(r->egress, &response);
	response.headers = header_list_view(&r->response_headers);
	response.body.data = r->body;
	response.body.size_bytes = (uint32_t)r->body_bytes;
	r->window_bytes -= (int64_t)r->body_bytes;
	if (r->sink != NULL)
		r->sink->ops->respond(r->sink, r->message->id, &response);
}

/// Returns true for a success that is not proved to come unchanged from the
/// backend server.
static bool
is_unproved_success(const struct egress_request *r)
{
	const struct dialect *d = r->egress->dialect;
	bool success = r->status >= 200 && r->status < 300;

	return success && d->headers.signature != NULL &&
	    (!r->has_signature || r->has_content_encoding ||
		!r->attempt_echoed);
}

/// Returns true if the response answers this request: it names the attempt, or
/// no other request was sent on the connection.
static bool
is_proved_answer(const struct egress_request *r)
{
	return r->attempt_echoed || httpc_call_is_first(&r->call);
}

/// Discards the header state of a skipped response.
static void
reset_response_headers(struct egress_request *r)
{
	header_list_free(&r->response_headers);
	header_list_free(&r->connection_options);
	r->attempt_echoed = r->attempt_mismatched = r->has_signature = false;
	r->has_content_encoding = r->head_states_not_run = false;
	egress_forget_statements(r);
}

/// Checks a response that does not name its attempt, of a server that names
/// attempts. On a connection that has carried another request it may belong to
/// that one; after it, the same is true of any response that does not.
///
/// @return whether it may belong to another request
static bool
check_unnamed(struct egress_request *r)
{
	struct egress *egress = r->egress;

	egress->server_echoes |= r->attempt_echoed;
	if (r->attempt_echoed || !egress->server_echoes ||
	    r->caller_id.size_bytes == 0)
		return false;
	httpc_call_set_last(&r->call);
	return !httpc_call_is_first(&r->call);
}

static enum httpc_verdict
on_head(struct httpc_call *call, uint32_t status, int64_t total_bytes)
{
	struct egress_request *r = call->owner;

	if (status < 200) {
		reset_response_headers(r);
		return HTTPC_SKIP;
	}
	remove_named_headers(r);
	if (!is_head_valid(r)) {
		reset_response_headers(r);
		return HTTPC_FAIL;
	}
	if (answers_other_attempt(r)) {
		// A late response to an earlier request; the one to this
		// request follows.
		counter_add(&count_mismatched, 1);
		reset_response_headers(r);
		return HTTPC_SKIP;
	}
	if (check_unnamed(r)) {
		counter_add(&count_unnamed, 1);
		reset_response_headers(r);
		return HTTPC_FAIL;
	}
	r->status = status;
	r->total_bytes = total_bytes;
	r->reached_backend = true;
	r->shed = r->head_states_not_run ||
	    (status == STATUS_MISDIRECTED &&
		r->egress->dialect->refusals_prove_not_run);
	if (is_unproved_success(r))
		return HTTPC_FAIL;
	if (is_proved_answer(r))
		egress_apply_statements(r);
	return HTTPC_ACCEPT;
}

/// Drops a part of the body of a response that is not passed on, whatever its
/// length. A long one is not waited for.
static void
discard_body(struct egress_request *r, size_t size_bytes)
{
	r->body_bytes += size_bytes;
	if (r->body_bytes > MAX_BUFFERED_RESPONSE_BYTES)
		egress_mark_abort(r);
}

static bool
on_body(struct httpc_call *call, const char *data, size_t size_bytes)
{
	struct egress_request *r = call->owner;
	struct message_body body = {.id = r->message->id};

	if (r->shed || is_unproved_refusal(r)) {
		discard_body(r, size_bytes);
		return true;
	}
	r->answer_bytes += (int64_t)size_bytes;
	if (!r->streaming &&
	    r->body_bytes + size_bytes <= MAX_BUFFERED_RESPONSE_BYTES) {
		r->body = realloc(r->body, r->body_bytes + size_bytes);
		assert(r->body != NULL);
		memcpy(r->body + r->body_bytes, data, size_bytes);
		r->body_bytes += size_bytes;
		held_update(
		    HELD_SERVER_ANSWER, &r->body_held_bytes, r->body_bytes);
		egress_memory_update(r);
		return true;
	}
	if (!r->streaming)
		start_streaming(r);
	if (r->sink == NULL)
		return true;
	r->window_bytes -= (int64_t)size_bytes;
	body.data.data = data;
	body.data.size_bytes = (uint32_t)size_bytes;
	r->sink->ops->body(r->sink, r->message->id, &body);
	// Over by one read at most.
	return r->window_bytes > 0;
}

static void
abort_call(struct egress_request *r)
{
	struct error err;

	error_set(&err, ERR_IO, "call", r->egress->backend.address, "aborted");
	httpc_call_cancel(&r->call);
	finish_call(r, &err);
}

static struct egress_request *
find_marked(const struct egress *egress)
{
	struct egress_request *r = egress->first;

	while (r != NULL && !(r->abort_marked && r->state == REQUEST_RUNNING))
		r = r->next;
	return r;
}

/// Aborts the marked calls, outside of the callbacks of the HTTP client. The slot
/// that one frees may end others, so each search starts anew.
static void
abort_marked(void *arg)
{
	struct egress *egress = arg;
	struct egress_request *r;

	egress->abort_deferred = false;
	while ((r = find_marked(egress)) != NULL)
		abort_call(r);
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
	if (r->upload_bytes == 0) {
		free(r->upload);
		r->upload = NULL;
		held_update(HELD_UPLOAD, &r->upload_held_bytes, 0);
		egress_memory_update(r);
	}
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

/// Builds the headers to send: those of the caller, then the proxy's own.
static void
build_headers(struct egress_request *r)
{
	const struct dialect_headers *h = &r->egress->dialect->headers;
	const struct message_header *from = r->message->headers.items;
	uint32_t count = r->message->headers.count;
	int64_t left_us = r->deadline_us - loop_now_us(r->egress->loop);
	uint32_t i;

	r->headers = calloc(count + MAX_EXTRA_HEADERS, sizeof(*r->headers));
	assert(r->headers != NULL);
	for (i = 0; i < count; i++)
		r->headers[i] = from[i];
	if (h->rank != NULL) {
		snprintf(r->rank_text, sizeof(r->rank_text), "%.*s",
		    (int)r->message->rank.size_bytes, r->message->rank.data);
		r->headers[i].name = bytes_from_string(h->rank);
		r->headers[i++].value = bytes_from_string(r->rank_text);
	}
	if (h->expected != NULL && r->egress->backend.id[0] != '\0') {
		memcpy(r->expected, r->egress->backend.id, sizeof(r->expected));
		r->headers[i].name = bytes_from_string(h->expected);
		r->headers[i++].value = bytes_from_string(r->expected);
	}
	if (h->workspace != NULL && r->message->workspace.size_bytes > 0) {
		r->headers[i].name = bytes_from_string(h->workspace);
		r->headers[i++].value = r->message->workspace;
	}
	snprintf(r->deadline_text, sizeof(r->deadline_text), "%" PRId64,
	    left_us > 0 ? left_us / US_PER_MS : 0);
	r->headers[i].name = bytes_from_string(h->deadline);
	r->headers[i++].value = bytes_from_string(r->deadline_text);
	r->call.headers = r->headers;
	r->call.header_count = i;
	r->call.internal_prefix = h->internal_prefix;
}

void
egress_start_call(struct egress_request *r)
{
	struct egress *egress = r->egress;
	const struct message_request *m = r->message;
	struct error err;

	if (!headers_can_forward_method(m->method) ||
	    bytes_copy(m->method, r->method, sizeof(r->method)) != 0) {
		egress_end_not_run(r, 501, 0, "the method cannot be forwarded");
		return;
	}
	if (asprintf(&r->url, "http://%s%.*s", egress->backend.address,
		(int)m->target.size_bytes, m->target.data) < 0)
		abort();
	build_headers(r);
	r->state = REQUEST_RUNNING;
	egress_memory_update(r);
	r->server = egress->terms.terms.server;
	r->window_bytes = RESPONSE_WINDOW_BYTES;
	r->call.ops = &call_ops;
	r->call.owner = r;
	r->call.method = r->method;
	r->call.url = r->url;
	r->call.body = m->body.data;
	r->call.body_bytes = m->body.size_bytes;
	r->call.deadline_us = r->deadline_us;
	r->call.repeatable = m->repeatable != 0;
	r->call.first = !r->call.repeatable &&
	    loop_now_us(egress->loop) < egress->separate_until_deadline_us;
	if (r->collected) {
		r->call.body = r->upload;
		r->call.body_bytes = r->upload_bytes;
	} else if (m->more) {
		r->call.streamed = true;
		r->call.total_bytes = m->total_bytes;
	}
	if (httpc_call_start(egress->httpc, &r->call, &err) != 0) {
		log_error(LOG_WARN, "egress",
		    "Refusing a request that cannot be sent", &err);
		egress_end_not_run(r, 400, 0, err.text);
		return;
	}
	fence_mark_run(&egress->fence, r->fence_key);
	r->reached_backend = true;
	counter_add(&count_run, 1);
	if (r->call.streamed && r->sink != NULL)
		r->sink->ops->window(r->sink, m->id, UPLOAD_WINDOW_BYTES);
}
