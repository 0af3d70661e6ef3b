// Responses of egresses: forwarded to the caller, or followed by a retry.
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/headers.h"
#include "proxy/ingress/ingress_log.h"
#include "wire/head.h"

/// Longest time to avoid an endpoint whose queue was full: after that, what it
/// reported of its queue is stale.
#define BUSY_MAX_US (100 * US_PER_MS)

COUNTER_DEFINE(count_responses, "ingress_responses", "Responses passed on");
COUNTER_DEFINE(count_cut_egress, "ingress_cut_by_egress",
    "Answers cut since the egress ended them early");

/// Headers of a response, for the HTTP server.
struct response_headers {
	struct http_header *items;
	size_t count;
	char *text; ///< Of all names and values.
};

static struct response_headers
copy_headers(const struct dialect *dialect, const struct list *from)
{
	struct response_headers out = {
	    .items = calloc(from->count + 1, sizeof(*out.items))};
	const struct message_header *h = from->items;
	size_t text_bytes = 1;
	struct http_header *next = out.items;
	uint32_t i;
	char *at;

	for (i = 0; i < from->count; i++)
		text_bytes += h[i].name.size_bytes + h[i].value.size_bytes + 2;
	at = out.text = malloc(text_bytes);
	assert(at != NULL && out.items != NULL);
	for (i = 0; i < from->count; i++) {
		if (!dialect->passes_internal_headers &&
		    headers_is_internal(&dialect->headers, h[i].name))
			continue;
		memcpy(at, h[i].name.data, h[i].name.size_bytes);
		at[h[i].name.size_bytes] = '\0';
		next->name = at;
		at += h[i].name.size_bytes + 1;
		memcpy(at, h[i].value.data, h[i].value.size_bytes);
		at[h[i].value.size_bytes] = '\0';
		next->value = at;
		at += h[i].value.size_bytes + 1;
		next++;
	}
	out.count = (size_t)(next - out.items);
	return out;
}

static void
free_headers(struct response_headers *headers)
{
	free(headers->items);
	free(headers->text);
}

/// Forwards a response, or its start.
///
/// @return whether its head is valid and fits the connection
static bool
forward_response(struct ingress_request *r, const struct message_response *m)
{
	struct response_headers headers =
	    copy_headers(r->ingress->dialect, &m->headers);
	struct error err;
	bool valid =
	    head_check(m->headers.items, m->headers.count,
		r->ingress->dialect->headers.internal_prefix, &err) == 0 &&
	    http_exchange_head_fits(r->exchange, headers.items, headers.count);

	if (!valid)
		goto out;
	counter_add(&count_responses, 1);
	r->answer_bytes = m->body.size_bytes;
	ingress_log_forwarded(r, m);
	if (!m->more)
		http_exchange_respond(r->exchange, m->status, headers.items,
		    headers.count, m->body.data, m->body.size_bytes);
	else {
		http_exchange_respond_start(r->exchange, m->status,
		    headers.items, headers.count, m->total_bytes);
		if (m->body.size_bytes > 0)
			http_exchange_respond_body(
			    r->exchange, m->body.data, m->body.size_bytes);
	}
out:
	free_headers(&headers);
	return valid;
}

static void
conclude_bad_head(struct ingress_request *r)
{
	ingress_conclude(r, 502, OUTCOME_UNKNOWN, 0,
	    "the head of the response is too large or not valid");
}

/// Marks an endpoint that refused for lack of room as busy for such requests.
///
/// @return whether the response counts as a failure of the endpoint; a full
///         queue does not
static bool
record_endpoint_refusal(
    struct ingress_request *r, const struct message_response *m)
{
	int64_t now_us = loop_now_us(r->ingress->loop);
	int64_t wait_us = m->retry_left_us;
	struct balancer_request refused;

	r->refused_for_room |= m->link_full || m->retry_left_us > 0;
	if (m->link_full) {
		ingress_fill_query(r, &refused, now_us);
		link_cost_set_full(&r->endpoint->link, refused.answer_bytes,
		    now_us + BUSY_MAX_US);
		return false;
	}

	if (!outcome_is_not_run((enum outcome)m->outcome) || wait_us <= 0)
		return m->outcome != OUTCOME_ANSWERED;
	if (wait_us > BUSY_MAX_US)
		wait_us = BUSY_MAX_US;
	ingress_fill_query(r, &refused, now_us);
	balancer_set_busy(r->endpoint, &refused, now_us + wait_us);
	return false;
}

/// Records what a response says of its endpoint.
static void
record_report(struct ingress_request *r, const struct message_response *m)
{
	struct balancer_report report = {m->running, m->queued, m->service_us,
	    m->limit_milli, m->limit_wait_us, m->work_left_us};
	struct server_terms terms = {
	    m->server, m->limit_milli, m->leaving != 0};
	int64_t now_us = loop_now_us(r->ingress->loop);

	balancer_report(r->endpoint, &report, now_us);
	if (m->server != 0)
		balancer_keep_terms(r->endpoint, &terms, now_us);
	if (m->run_us > 0 && m->service_us > 0)
		ingress_record_service_time(r, m);
	if (m->run_us > 0)
		link_cost_record_round_trip(&r->endpoint->link,
		    now_us - r->sent_us - m->run_us - m->queue_us);
	ingress_record_answer_size(r, m);
}

/// Records an answer for the comparison of two versions while a roll-out runs.
static void
record_version(struct ingress_request *r, const struct message_response *m)
{
	struct balancer *b = r->balancer;
	struct rollout_answer a = {
	    .is_new = r->endpoint->side == ROLLOUT_SIDE_NEW,
	    .route = ingress_get_route_stats(r)->route_hash,
	    .failed = m->status >= 500,
	    .run_us = r->endpoint->state == BACKEND_COLD ? 0 : m->run_us};
	struct rollout_finding finding;
	struct log_line line;

	if (!b->rollout.running || !m->reached_backend ||
	    outcome_is_not_run((enum outcome)m->outcome))
		return;
	if (m->outcome == OUTCOME_UNKNOWN && m->status == 504) {
		// Its deadline passed: it was slow rather than failed.
		a.failed = false;
		a.run_us = loop_now_us(r->ingress->loop) - r->sent_us;
	}
	a.server = XXH3_64bits(r->endpoint->name, strlen(r->endpoint->name));
	if (!rollout_own_add(
		&b->rollout_own, &a, loop_now_us(r->ingress->loop), &finding))
		return;
	log_begin(&line, LOG_WARN, "rollout",
	    "This proxy stops using a new version.");
	log_text(&line, "service", b->service);
	log_text(&line, "version", b->rollout.version);
	log_text(&line, "why",
	    finding.fault == ROLLOUT_FAULT_FAILED ? "answers fail"
						  : "answers are slow");
	log_number(&line, "bad", (int64_t)finding.bad);
	log_number(&line, "answers", (int64_t)finding.answers);
	log_number(&line, "bad_servers", finding.bad_servers);
	log_end(&line);
	// One that met a bad server or two only does not speak for the version.
	if (r->ingress->on_stopped != NULL &&
	    finding.bad_servers >= ROLLOUT_BAD_SERVERS)
		r->ingress->on_stopped(
		    r->ingress->stopped_arg, b->rollout.order);
}

static void
handle_response(struct ingress_request *r, const struct message_response *m)
{
	char why[128];
	bool failed;

	if (r->state == ATTEMPT_STREAMING)
		return;
	record_report(r, m);
	record_version(r, m);
	r->arrivals += m->reached_backend;
	failed = record_endpoint_refusal(r, m);
	if (m->outcome == OUTCOME_ANSWERED && m->more && r->exchange != NULL) {
		// Its slot is free, or soon; only the link is at work.
		balancer_begin_answer(
		    r->endpoint, r->sent_us, loop_now_us(r->ingress->loop));
		r->state = ATTEMPT_STREAMING;
		loop_timer_clear(r->ingress->loop, &r->timer);
		if (forward_response(r, m))
			return;
		ingress_send_cancel(r, false);
		ingress_attempt_end(r, false);
		conclude_bad_head(r);
		return;
	}
	if (m->outcome == OUTCOME_ANSWERED) {
		ingress_attempt_end(r, m->status >= 500);
		if (m->status >= 500 &&
		    ingress_may_retry(r, m->status, OUTCOME_ANSWERED)) {
			r->may_have_run = true;
			ingress_log_retry(r, m->status, OUTCOME_ANSWERED,
			    "the backend server failed");
			ingress_record_failure(r, 502, OUTCOME_UNKNOWN, 0,
			    "the backend server failed");
			ingress_attempt_start(r);
			return;
		}
		if (r->exchange != NULL && !forward_response(r, m))
			conclude_bad_head(r);
		else
			ingress_request_free(r);
		return;
	}
	ingress_attempt_end(r, failed);
	snprintf(
	    why, sizeof(why), "%.*s", (int)m->body.size_bytes, m->body.data);
	ingress_retry_or_conclude(
	    r, m->status, (enum outcome)m->outcome, m->retry_left_us, why);
}

/// Returns why a body is incomplete; NULL if it is complete.
static const char *
body_failure_text(uint32_t failure)
{
	switch (failure) {
	case BODY_WHOLE:
		return NULL;
	case BODY_LATE:
		return "its deadline passed";
	case BODY_UNWANTED:
		return "it was cancelled";
	default:
		return "the backend server broke off";
	}
}

static void
handle_body(struct ingress_request *r, const struct message_body *m)
{
	if (r->state != ATTEMPT_STREAMING)
		return;
	r->answer_bytes += m->data.size_bytes;
	if (r->exchange != NULL && m->data.size_bytes > 0)
		http_exchange_respond_body(
		    r->exchange, m->data.data, m->data.size_bytes);
	if (!m->last)
		return;
	if (r->exchange != NULL && m->failed)
		counter_add(&count_cut_egress, 1);
	if (r->exchange != NULL)
		ingress_log_answer_end(r, body_failure_text(m->failed));
	if (!m->failed)
		ingress_record_answer_end(r);
	ingress_attempt_end(r, m->failed);
	if (r->exchange != NULL) {
		http_exchange_respond_end(r->exchange, !m->failed);
	}
	ingress_request_free(r);
}

static void
on_response(void *owner, struct link *link, const struct message_response *m)
{
	struct ingress_request *r = ingress_find_attempt(owner, link, m->id);

	if (r != NULL)
		handle_response(r, m);
}

static void
on_body(void *owner, struct link *link, const struct message_body *m)
{
	struct ingress_request *r = ingress_find_attempt(owner, link, m->id);

	if (r != NULL)
		handle_body(r, m);
}

/// Sends as much of a stored body as the egress grants credit for.
static void
send_windowed_body(struct ingress_request *r, uint32_t credit_bytes)
{
	const struct http_exchange *x = r->exchange;
	size_t left_bytes = x->body_bytes - r->windowed_sent_bytes;
	struct message_body body = {0};

	body.data.data = x->body + r->windowed_sent_bytes;
	body.data.size_bytes =
	    left_bytes < credit_bytes ? (uint32_t)left_bytes : credit_bytes;
	r->windowed_sent_bytes += body.data.size_bytes;
	body.last = r->windowed_sent_bytes == x->body_bytes;
	if (body.data.size_bytes > 0)
		ingress_send_body(r, &body);
}

static void
on_window(void *owner, struct link *link, const struct message_window *m)
{
	struct ingress_request *r = ingress_find_attempt(owner, link, m->id);

	if (r == NULL || r->exchange == NULL)
		return;
	if (r->body_windowed)
		send_windowed_body(r, m->credit_bytes);
	else
		http_exchange_add_credit(r->exchange, m->credit_bytes);
}

static void
on_load(void *owner, struct link *link, const struct message_heartbeat *load)
{
	struct balancer_report report = {load->running, load->queued,
	    load->service_us, load->limit_milli, load->limit_wait_us,
	    load->work_left_us};
	const struct link_target *target = link_target(link);
	struct ingress *ingress = owner;
	uint32_t i;

	for (i = 0; i < ingress->balancer_count; i++) {
		struct endpoint *e =
		    balancer_find(ingress->balancers[i], target->name);

		if (e != NULL && e->incarnation == target->incarnation)
			balancer_report(e, &report, loop_now_us(ingress->loop));
	}
}

static void
on_fence_answer(
    void *owner, struct link *link, const struct message_fence_answer *m)
{
	struct ingress_request *r = ingress_find_attempt(owner, link, m->id);

	if (r == NULL || r->state != ATTEMPT_FENCED)
		return;
	ingress_attempt_end(r, true);
	if (m->outcome == OUTCOME_NOT_RUN)
		ingress_retry_or_conclude(r, 503, ingress_not_run_outcome(r),
		    US_PER_S, "the connection broke before it ran");
	else
		ingress_retry_or_conclude(r, 502, OUTCOME_UNKNOWN, 0,
		    "the connection broke while it may have run");
}

const struct links_ops ingress_links_ops = {
    .on_response = on_response,
    .on_body = on_body,
    .on_window = on_window,
    .on_fence_answer = on_fence_answer,
    .on_load = on_load,
    .on_stream_lost = ingress_on_stream_lost,
};

static struct ingress *
sink_to_ingress(struct egress_sink *sink)
{
	return (struct ingress *)sink;
}

static void
sink_respond(
    struct egress_sink *sink, uint64_t id, const struct message_response *m)
{
	(void)id;
	on_response(sink_to_ingress(sink), NULL, m);
}

static void
sink_body(struct egress_sink *sink, uint64_t id, const struct message_body *m)
{
	(void)id;
	on_body(sink_to_ingress(sink), NULL, m);
}

static void
sink_window(struct egress_sink *sink, uint64_t id, uint32_t credit_bytes)
{
	struct message_window m = {id, credit_bytes};

	on_window(sink_to_ingress(sink), NULL, &m);
}

const struct egress_sink_ops ingress_sink_ops = {
    .respond = sink_respond,
    .body = sink_body,
    .window = sink_window,
};
