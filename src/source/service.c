// Callbacks of the source: state machine, operators' HTTP, control streams.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/http/counters_http.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "source/rollout_run.h"
#include "source/source.h"

GAUGE_DEFINE(gauge_accepted, "source_version", "Accepted version");

static struct source *
get_source(struct replica_host *host)
{
	return host->owner;
}

/// Notifies proxies once after all entries of this iteration are applied: after
/// a start these are many, and only the last one matters.
static void
defer_notice(struct source *source)
{
	if (source->notice_deferred)
		return;
	source->notice_deferred = true;
	loop_defer(source->loop, publish_notify_accepted, source);
}

static void
notify_rollouts(void *arg)
{
	struct source *source = arg;

	source->rollout_notice_deferred = false;
	if (replica_is_leader(&source->host.replica))
		publish_rollouts(source);
}

static void
apply_rollout(struct source *source, const struct replica_entry *entry)
{
	struct error err;
	int verdict = rollout_store_apply(
	    &source->rollouts, entry->data, entry->size_bytes, &err);

	if (verdict < 0)
		log_error(
		    LOG_ERROR, "source", "Cannot apply a log entry", &err);
	rollout_run_follow(source);
	pending_complete_proposal(source, entry, verdict);
	if (source->rollout_notice_deferred)
		return;
	source->rollout_notice_deferred = true;
	loop_defer(source->loop, notify_rollouts, source);
}

static void
on_apply(struct replica_host *host, const struct replica_entry *entry)
{
	struct source *source = get_source(host);
	struct error err;
	int verdict;

	if (rollout_store_owns(entry->data, entry->size_bytes)) {
		apply_rollout(source, entry);
		return;
	}
	verdict = rule_store_apply(
	    &source->store, entry->data, entry->size_bytes, &err);
	if (verdict < 0)
		log_error(
		    LOG_ERROR, "source", "Cannot apply a log entry", &err);
	if (verdict == RULE_STORE_ACCEPTED) {
		counter_set(
		    &gauge_accepted, (int64_t)source->store.current->version);
		log_write(LOG_INFO, "source",
		    "Accepted version %" PRIu64 " (hash %016" PRIx64 ").",
		    source->store.current->version,
		    source->store.current->hash);
		defer_notice(source);
	}
	pending_complete_proposal(source, entry, verdict);
}

/// Compacts the log into a snapshot after every compact_every entries.
static void
on_applied(struct replica_host *host, uint64_t index)
{
	struct source *source = get_source(host);
	uint32_t head_bytes;
	uint32_t size_bytes;
	char *head;
	char *data;

	if (++source->applied_since_snapshot < source->settings.compact_every)
		return;
	source->applied_since_snapshot = 0;
	head = rollout_store_snapshot(&source->rollouts, &head_bytes);
	data = rule_store_snapshot(&source->store, &size_bytes);
	head = realloc(head, (size_t)head_bytes + size_bytes + 1);
	assert(head != NULL);
	memcpy(head + head_bytes, data, size_bytes);
	replica_compact(&host->replica, index, head, head_bytes + size_bytes);
	free(head);
	free(data);
}

static void
on_restore(struct replica_host *host, const struct replica_snapshot *s)
{
	struct source *source = get_source(host);
	struct error err;
	uint32_t head_bytes;

	if (rollout_store_restore(&source->rollouts, s->data, s->size_bytes,
		&head_bytes, &err) != 0 ||
	    rule_store_restore(&source->store, s->data + head_bytes,
		s->size_bytes - head_bytes, &err) != 0) {
		// The checksum did not detect this damage. Fail the replica
		// rather than run on it.
		log_error(
		    LOG_ERROR, "source", "Cannot restore a snapshot", &err);
		replica_record_failure(&host->replica, &err);
		return;
	}
	rollout_run_follow(source);
	if (source->store.current != NULL)
		counter_set(
		    &gauge_accepted, (int64_t)source->store.current->version);
}

static void
on_read_done(struct replica_host *host, uint64_t context, bool ok)
{
	pending_complete_read(get_source(host), context, ok);
}

static void
on_role_changed(struct replica_host *host)
{
	if (replica_is_leader(&host->replica))
		quota_begin(get_source(host));
	else
		pending_fail_proposals(get_source(host));
}

const struct replica_host_ops source_replica_ops = {
    .apply = on_apply,
    .applied = on_applied,
    .restore = on_restore,
    .read_done = on_read_done,
    .role_changed = on_role_changed,
};

/// An HTTP or forwarded request that waits for its reply.
struct call {
	struct http_exchange *exchange; ///< NULL once the operator is gone.
	struct stream *stream; ///< Of a forwarded request; NULL once closed.
	struct call *next;
	struct source *source;
	/// What the dialect asked for; the reply is in its format.
	enum dialect_operation operation;
};

static struct call *pending_calls;

static void on_reply(
    void *arg, uint32_t status, int64_t retry_us, const char *body);

static struct call *
call_create(struct source *source)
{
	struct call *call = calloc(1, sizeof(*call));

	assert(call != NULL);
	call->source = source;
	call->next = pending_calls;
	pending_calls = call;
	return call;
}

static void
call_free(struct call *call)
{
	struct call **at = &pending_calls;

	while (*at != call)
		at = &(*at)->next;
	*at = call->next;
	free(call);
}

static void
reply_http(struct http_exchange *exchange, uint32_t status, int64_t retry_us,
    const char *body)
{
	char seconds[24];
	struct http_header headers[2] = {
	    {"Content-Type",
		body[0] == '{' ? "application/json"
			       : "text/plain; charset=utf-8"},
	    {"Retry-After", seconds},
	};

	snprintf(seconds, sizeof(seconds), "%" PRId64,
	    (retry_us + US_PER_S - 1) / US_PER_S);
	exchange->state = NULL;
	http_exchange_respond(exchange, status, headers, retry_us > 0 ? 2 : 1,
	    body, strlen(body));
}

/// Replies with the accepted file in the dialect's format.
static void
reply_dialect_rules(struct call *call, const char *text)
{
	struct rules_errors *errors = malloc(sizeof(*errors));
	struct rules *rules;
	char *document;

	assert(errors != NULL);
	rules = rules_parse(text, strlen(text), errors);
	free(errors);
	if (rules == NULL) {
		reply_http(call->exchange, 503, US_PER_S,
		    "{\"result\":\"unavailable\",\"why\":\"the accepted "
		    "file cannot be read here\"}");
		return;
	}
	document = call->source->dialect->render_rules(rules);
	reply_http(call->exchange, 200, 0, document);
	free(document);
	rules_unref(rules);
}

/// Replies with the state of a roll-out in the dialect's format.
static void
reply_dialect_rollout(struct call *call, const char *body)
{
	char *document = call->source->dialect->render_rollout(body);

	reply_http(call->exchange, 200, 0, document);
	free(document);
}

static void
reply_invalid(struct call *call, const struct error *err)
{
	char body[ERROR_STEP_BYTES + ERROR_PEER_BYTES + ERROR_TEXT_BYTES + 4];

	log_error(LOG_INFO, "source", "Rejected a submitted document", err);
	snprintf(
	    body, sizeof(body), "%s %s: %s\n", err->peer, err->step, err->text);
	on_reply(call, 400, 0, body);
}

/// Submits what a document of the dialect holds.
static void
submit_dialect_document(struct call *call, const struct http_exchange *exchange)
{
	struct source *source = call->source;
	const struct dialect *d = source->dialect;
	bool rollout = call->operation == DIALECT_ROLLOUT_START;
	struct error err;
	size_t text_bytes;
	char *text;
	int rc;

	if (rollout)
		rc = d->read_rollout(
		    exchange->body, exchange->body_bytes, &text, &err);
	else
		rc = d->read_rules(exchange->body, exchange->body_bytes, &text,
		    &text_bytes, &err);
	if (rc != 0) {
		reply_invalid(call, &err);
		return;
	}
	operator_handle(source, "POST", rollout ? ROLLOUTS_TARGET : "/rules",
	    text, rollout ? strlen(text) : text_bytes, false, on_reply, call);
	free(text);
}

/// Handles a request if it is a call of the dialect's own.
///
/// @return whether it was one
static bool
handle_dialect_call(struct source *source, struct http_exchange *exchange)
{
	const struct dialect *d = source->dialect;
	enum dialect_operation operation = DIALECT_NO_OPERATION;
	char service[MEMBER_NAME_BYTES];
	char target[sizeof(ROLLOUTS_TARGET) + MEMBER_NAME_BYTES + 1];
	struct call *call;

	if (d->read_operation != NULL)
		operation = d->read_operation(
		    exchange->method, exchange->target, service);
	if (operation == DIALECT_NO_OPERATION)
		return false;
	call = call_create(source);
	call->exchange = exchange;
	call->operation = operation;
	exchange->state = call;
	switch (operation) {
	case DIALECT_SHOW:
		operator_handle(
		    source, "GET", "/rules", NULL, 0, false, on_reply, call);
		break;
	case DIALECT_ROLLOUT_SHOW:
		snprintf(
		    target, sizeof(target), ROLLOUTS_TARGET "/%s", service);
		operator_handle(
		    source, "GET", target, NULL, 0, false, on_reply, call);
		break;
	default:
		submit_dialect_document(call, exchange);
		break;
	}
	return true;
}

static void
on_reply(void *arg, uint32_t status, int64_t retry_us, const char *body)
{
	struct call *call = arg;
	struct message_operator_answer answer = {
	    .status = status, .retry_left_us = retry_us};

	if (call->exchange != NULL && call->operation == DIALECT_SHOW &&
	    status == 200)
		reply_dialect_rules(call, body);
	else if (call->exchange != NULL &&
	    call->operation == DIALECT_ROLLOUT_SHOW && status == 200)
		reply_dialect_rollout(call, body);
	else if (call->exchange != NULL)
		reply_http(call->exchange, status, retry_us, body);
	if (call->stream != NULL) {
		answer.body = bytes_from_string(body);
		stream_send(call->stream, MESSAGE_OPERATOR_ANSWER, &answer);
	}
	call_free(call);
}

static void
on_request(void *owner, struct http_exchange *exchange)
{
	struct source *source = owner;
	struct call *call;

	if (strcmp(exchange->target, "/counters") == 0) {
		counters_respond(exchange);
		return;
	}
	if (strcmp(exchange->target, "/metrics") == 0) {
		metrics_respond(exchange);
		return;
	}
	if (handle_dialect_call(source, exchange))
		return;
	call = call_create(source);
	call->exchange = exchange;
	exchange->state = call;
	operator_handle(source, exchange->method, exchange->target,
	    exchange->body, exchange->body_bytes, false, on_reply, call);
}

static void
on_end(struct http_exchange *exchange, enum http_end end)
{
	struct call *call = exchange->state;

	(void)end;
	if (call != NULL)
		call->exchange = NULL;
}

const struct httpd_ops source_httpd_ops = {
    .on_request = on_request,
    .on_end = on_end,
};

static void
handle_forwarded(struct source *source, struct stream *stream,
    const struct message_operator *m)
{
	char method[16];
	char target[256];
	struct call *call;

	if (bytes_copy(m->method, method, sizeof(method)) != 0 ||
	    bytes_copy(m->target, target, sizeof(target)) != 0) {
		stream_close(stream);
		return;
	}
	call = call_create(source);
	call->stream = stream;
	operator_handle(source, method, target, m->body.data,
	    m->body.size_bytes, true, on_reply, call);
}

static void
on_message(struct stream *stream, struct message *message)
{
	struct source *source = stream->owner;

	if (replica_host_receive(&source->host, stream, message))
		return;
	if (message->type == MESSAGE_PULL)
		publish_handle_pull(source, stream, &message->u.pull);
	else if (message->type == MESSAGE_OPERATOR)
		handle_forwarded(source, stream, &message->u.operator_request);
	else
		stream_close(stream);
}

static void
on_closed(struct stream *stream, const struct error *err)
{
	struct source *source = stream->owner;
	struct call *call;

	(void)err;
	pending_detach_stream(source, stream);
	for (call = pending_calls; call != NULL; call = call->next)
		if (call->stream == stream)
			call->stream = NULL;
}

const struct stream_ops source_stream_ops = {
    .on_message = on_message,
    .on_closed = on_closed,
};
