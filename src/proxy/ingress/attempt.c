// Attempts of the ingress: sending, answers, broken streams, retries.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/headers.h"
#include "proxy/ingress/ingress_log.h"

#define CANCEL_GRACE_US (100 * US_PER_MS)
#define BUSY_MAX_US	(100 * US_PER_MS)
#define MAX_OUT_HEADERS 160

/// Longer bodies are sent as the egress asks for them, so that they do not fill
/// the link to it before it wants them.
#define INLINE_BYTES (8u * 1024)

/// Requests over which the length of a route's requests is learned.
#define LENGTH_SAMPLES	32
#define LENGTH_PERMILLE 1000

/// After a proxy could not be reached, others know of that within about this
/// time.
#define UNREACHED_RETRY_US (200 * US_PER_MS)

COUNTER_DEFINE(count_retries, "ingress_retries", "Attempts after the first");
COUNTER_DEFINE(count_late, "ingress_late_answers", "Answers to no request");
COUNTER_DEFINE(count_fences, "ingress_fences", "Fences asked for");
COUNTER_DEFINE(count_given, "ingress_responses", "Responses passed on");

static struct ingress_request **
bucket_of(struct ingress *ingress, uint64_t id)
{
	return &ingress->buckets[id % INGRESS_BUCKETS];
}

/// Request whose attempt in progress has an id on a link; NULL if none has.
static struct ingress_request *
find_request(struct ingress *ingress, const struct link *link, uint64_t id)
{
	struct ingress_request *r = *bucket_of(ingress, id);

	while (r != NULL && (r->id != id || r->link != link))
		r = r->next;
	if (r == NULL)
		counter_add(&count_late, 1);
	return r;
}

static void
attempt_register(struct ingress_request *r)
{
	struct ingress_request **bucket;

	r->id = ++r->ingress->next_id;
	bucket = bucket_of(r->ingress, r->id);
	r->next = *bucket;
	*bucket = r;
	if (r->link != NULL)
		link_hold(r->link);
}

/// Ends the attempt in progress; answers to it are dropped from now on.
static void
attempt_end(struct ingress_request *r, bool failed)
{
	struct ingress_request **at = bucket_of(r->ingress, r->id);

	assert(r->state != ATTEMPT_NONE);
	while (*at != r)
		at = &(*at)->next;
	*at = r->next;
	if (r->link != NULL)
		link_release(r->link);
	balancer_finish(r->balancer, r->endpoint, r->sent_us, failed,
	    loop_now_us(r->ingress->loop));
	r->state = ATTEMPT_NONE;
	r->link = NULL;
	r->endpoint = NULL;
}

static struct egress_request *
find_local(struct ingress_request *r)
{
	return egress_find(r->ingress->egress, &r->ingress->local_sink, r->id);
}

void
ingress_send_cancel(struct ingress_request *r, bool waiting_only)
{
	struct message_cancel cancel = {r->id, waiting_only};
	struct egress_request *local;

	if (r->state == ATTEMPT_NONE) {
		if (r->exchange == NULL)
			ingress_request_free(r);
		return;
	}
	if (r->link != NULL) {
		link_send(r->link, MESSAGE_CANCEL, &cancel);
		return;
	}
	local = find_local(r);
	if (local != NULL)
		egress_request_cancel(local, waiting_only);
}

void
ingress_send_body(struct ingress_request *r, const struct message_body *body)
{
	struct message_body m = *body;
	struct egress_request *local;

	if (r->state == ATTEMPT_NONE)
		return;
	m.id = r->id;
	if (r->link != NULL) {
		link_send(r->link, MESSAGE_BODY, &m);
		return;
	}
	local = find_local(r);
	if (local != NULL)
		egress_request_body(local, &m);
}

void
ingress_send_window(struct ingress_request *r, uint32_t credit_bytes)
{
	struct message_window m = {r->id, credit_bytes};
	struct egress_request *local;

	if (r->state != ATTEMPT_STREAMING)
		return;
	if (r->link != NULL) {
		link_send(r->link, MESSAGE_WINDOW, &m);
		return;
	}
	local = find_local(r);
	if (local != NULL)
		egress_request_window(local, credit_bytes);
}

static void
fill_request(struct ingress_request *r, struct message_request *m)
{
	const struct http_exchange *x = r->exchange;
	const char *length;

	memset(m, 0, sizeof(*m));
	m->id = r->id;
	m->egress_incarnation = r->endpoint->incarnation;
	m->deadline_left_us = r->deadline_us - clock_now_us();
	m->target_left_us = r->target_deadline_us - clock_now_us();
	m->repeatable = r->safe;
	m->rank = bytes_from(r->rank->name);
	m->service = bytes_from(r->balancer->service);
	m->method = bytes_from(x->method);
	m->target = bytes_from(x->target);
	m->key = bytes_from(r->key);
	m->once = r->route->once;
	m->more = x->more;
	m->total_bytes = -1;
	m->headers = header_list_view(&r->headers);
	r->bulk = r->link != NULL && !x->more && x->body_bytes > INLINE_BYTES;
	r->bulk_sent_bytes = 0;
	if (r->bulk) {
		m->more = 1;
		m->total_bytes = (int64_t)x->body_bytes;
		return;
	}
	m->body.data = x->body;
	m->body.size_bytes = (uint32_t)x->body_bytes;
	length = http_exchange_header(x, "Content-Length");
	if (x->more && length != NULL)
		m->total_bytes = strtoll(length, NULL, 10);
}

static bool
is_own_egress(const struct ingress_request *r)
{
	return r->endpoint->incarnation == r->ingress->settings.incarnation &&
	    strcmp(r->endpoint->name, r->ingress->settings.name) == 0;
}

static void
send_attempt(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;
	struct message_request m;
	struct link_target target = {.port = r->endpoint->peer_port,
	    .incarnation = r->endpoint->incarnation};

	r->link = NULL;
	if (!is_own_egress(r)) {
		memcpy(target.name, r->endpoint->name, sizeof(target.name));
		memcpy(target.host, r->endpoint->host, sizeof(target.host));
		r->link = links_get(ingress->links, &target);
	}
	attempt_register(r);
	r->state = ATTEMPT_SENT;
	r->sent_us = loop_now_us(ingress->loop);
	fill_request(r, &m);
	if (r->link == NULL)
		egress_submit(ingress->egress, &ingress->local_sink, &m);
	else if (link_send(r->link, MESSAGE_REQUEST, &m) != 0) {
		attempt_end(r, true);
		ingress_attempt_start(r);
	}
}

/// No endpoint is left: repeats the last refusal, if there was an attempt.
static void
conclude_without_endpoint(struct ingress_request *r, int64_t busy_until_us)
{
	int64_t now_us = loop_now_us(r->ingress->loop);

	if (r->arrivals == 0 && busy_until_us == INT64_MAX && ingress_park(r))
		return;
	if (r->refused_status != 0)
		ingress_conclude(r, r->refused_status, r->refused_outcome,
		    r->refused_retry_us, r->refused_why);
	else if (busy_until_us != INT64_MAX)
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    busy_until_us - now_us, "all backend servers are busy");
	else
		ingress_conclude(r, 503, ingress_not_run_outcome(r), US_PER_S,
		    "no backend server can be had");
}

struct route_length *
ingress_length_of(struct ingress_request *r)
{
	const char *name =
	    r->route->name[0] != '\0' ? r->route->name : r->route->path;
	uint64_t key = rule_file_hash(name, strlen(name));
	struct route_length *length =
	    &r->ingress->lengths[key % INGRESS_LENGTHS];

	if (length->key != key) {
		length->key = key;
		length->permille = 0;
		length->times = NULL;
	}
	return length;
}

/// Learns how long requests of a route take against the mean of the service.
static void
note_length(struct ingress_request *r, const struct message_response *m)
{
	struct route_length *length = ingress_length_of(r);
	double sample = (double)m->run_us * LENGTH_PERMILLE / m->service_us;

	if (length->permille <= 0)
		length->permille = sample;
	else
		length->permille +=
		    (sample - length->permille) / LENGTH_SAMPLES;
}

static void
fill_query(
    struct ingress_request *r, struct balancer_request *q, int64_t now_us)
{
	memset(q, 0, sizeof(*q));
	q->worth = r->rank->worth;
	q->target_left_us = r->target_deadline_us - now_us;
	q->deadline_left_us = r->deadline_us - now_us;
	q->size_bytes = (uint32_t)r->exchange->body_bytes;
	q->length_permille = (uint32_t)ingress_length_of(r)->permille;
	q->tried = (const char(*)[MEMBER_NAME_BYTES])r->tried;
	q->tried_count = r->attempts;
}

void
ingress_attempt_start(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;
	int64_t now_us = loop_now_us(ingress->loop);
	const char *service = r->rules->services[r->service].name;
	struct balancer_request query;
	struct balancer_choice choice;
	uint32_t i;

	r->balancer = NULL;
	for (i = 0; i < ingress->balancer_count; i++)
		if (strcmp(ingress->balancers[i]->service, service) == 0)
			r->balancer = ingress->balancers[i];
	if (r->balancer == NULL || r->attempts >= INGRESS_MAX_ATTEMPTS) {
		conclude_without_endpoint(r, INT64_MAX);
		return;
	}
	if (!r->counted)
		retry_budget_earn(&r->balancer->retries);
	r->counted = true;
	fill_query(r, &query, now_us);
	choice = balancer_choose(r->balancer, &query, now_us);
	if (choice.endpoint == NULL) {
		conclude_without_endpoint(r, choice.busy_until_deadline_us);
		return;
	}
	r->endpoint = choice.endpoint;
	memcpy(
	    r->tried[r->attempts++], choice.endpoint->name, MEMBER_NAME_BYTES);
	ingress_log_sent(r, &choice, &query);
	send_attempt(r);
}

/// Decides whether to try again, and counts it.
static bool
may_retry(struct ingress_request *r, uint32_t status, enum outcome outcome)
{
	struct retry_request q = {
	    .outcome = outcome,
	    .repeatable = r->repeatable,
	    .body_kept = !r->upload_passed_on,
	    .failed = status >= 500,
	    .unseen = r->arrivals == 0,
	    .attempts = r->attempts,
	    .arrivals = r->arrivals,
	    .max_arrivals = r->route->attempts,
	    .deadline_us = r->deadline_us,
	};

	// A key that is in use, or belongs to another request, is so everywhere,
	// and time that is up is up everywhere.
	if (r->exchange == NULL || r->ingress->ending || status == 409 ||
	    status == 422 || status == 431 || status == 504 ||
	    !retry_decide(
		&r->balancer->retries, &q, loop_now_us(r->ingress->loop)))
		return false;
	counter_add(&count_retries, 1);
	return true;
}

/// Keeps what is told if no other attempt can be made.
static void
note_last(struct ingress_request *r, uint32_t status, enum outcome outcome,
    int64_t retry_us, const char *why)
{
	r->refused_status = status;
	r->refused_outcome = outcome;
	r->refused_retry_us = retry_us;
	snprintf(r->refused_why, sizeof(r->refused_why), "%s", why);
}

/// Tries again if that is safe and within the budget, else answers.
static void
retry_or_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why)
{
	if (!may_retry(r, status, outcome)) {
		ingress_conclude(r, status, outcome, retry_us, why);
		return;
	}
	r->may_have_run |= outcome == OUTCOME_UNKNOWN;
	ingress_log_retry(r, status, outcome, why);
	note_last(r, status, outcome, retry_us, why);
	ingress_attempt_start(r);
}

/// Turns the headers of a response into those of the HTTP server. Names and
/// values are copied into text, which the caller frees.
static size_t
copy_headers(const struct dialect *dialect, const struct list *from,
    struct http_header *out, char **text)
{
	const struct message_header *h = from->items;
	size_t text_bytes = 1;
	size_t count = 0;
	uint32_t i;
	char *at;

	for (i = 0; i < from->count; i++)
		text_bytes += h[i].name.size_bytes + h[i].value.size_bytes + 2;
	at = *text = malloc(text_bytes);
	assert(at != NULL);
	for (i = 0; i < from->count && count < MAX_OUT_HEADERS; i++) {
		if (!dialect->answers_are_whole &&
		    headers_is_internal(&dialect->headers, h[i].name))
			continue;
		memcpy(at, h[i].name.data, h[i].name.size_bytes);
		at[h[i].name.size_bytes] = '\0';
		out[count].name = at;
		at += h[i].name.size_bytes + 1;
		memcpy(at, h[i].value.data, h[i].value.size_bytes);
		at[h[i].value.size_bytes] = '\0';
		out[count++].value = at;
		at += h[i].value.size_bytes + 1;
	}
	return count;
}

static void
give_response(struct ingress_request *r, const struct message_response *m)
{
	struct http_header headers[MAX_OUT_HEADERS];
	char *text;
	size_t count =
	    copy_headers(r->ingress->dialect, &m->headers, headers, &text);

	counter_add(&count_given, 1);
	ingress_log_passed_on(r, m);
	if (!m->more)
		http_exchange_respond(r->exchange, m->status, headers, count,
		    m->body.data, m->body.size_bytes);
	else {
		http_exchange_respond_start(
		    r->exchange, m->status, headers, count, m->total_bytes);
		http_exchange_respond_body(
		    r->exchange, m->body.data, m->body.size_bytes);
	}
	free(text);
}

/// Learns from a refusal: a full queue is no failure of the endpoint.
static bool
note_refusal(struct ingress_request *r, const struct message_response *m)
{
	int64_t wait_us = m->retry_left_us;

	if (!outcome_is_not_run((enum outcome)m->outcome) || wait_us <= 0)
		return m->outcome != OUTCOME_ANSWERED;
	if (wait_us > BUSY_MAX_US)
		wait_us = BUSY_MAX_US;
	balancer_set_busy(r->endpoint, r->rank->worth,
	    loop_now_us(r->ingress->loop) + wait_us);
	return false;
}

static void
handle_response(struct ingress_request *r, const struct message_response *m)
{
	char why[128];
	bool failed;

	if (r->state == ATTEMPT_STREAMING)
		return;
	balancer_report(r->endpoint, m->running, m->queued, m->service_us,
	    loop_now_us(r->ingress->loop));
	if (m->run_us > 0 && m->service_us > 0)
		note_length(r, m);
	r->arrivals += m->arrived;
	failed = note_refusal(r, m);
	if (m->outcome == OUTCOME_ANSWERED && m->more && r->exchange != NULL) {
		r->state = ATTEMPT_STREAMING;
		loop_timer_clear(r->ingress->loop, &r->timer);
		give_response(r, m);
		return;
	}
	if (m->outcome == OUTCOME_ANSWERED) {
		attempt_end(r, m->status >= 500);
		if (m->status >= 500 &&
		    may_retry(r, m->status, OUTCOME_ANSWERED)) {
			r->may_have_run = true;
			ingress_log_retry(r, m->status, OUTCOME_ANSWERED,
			    "the backend server failed");
			note_last(r, 502, OUTCOME_UNKNOWN, 0,
			    "the backend server failed");
			ingress_attempt_start(r);
			return;
		}
		if (r->exchange != NULL)
			give_response(r, m);
		ingress_request_free(r);
		return;
	}
	attempt_end(r, failed);
	snprintf(
	    why, sizeof(why), "%.*s", (int)m->body.size_bytes, m->body.data);
	retry_or_conclude(
	    r, m->status, (enum outcome)m->outcome, m->retry_left_us, why);
}

static void
handle_body(struct ingress_request *r, const struct message_body *m)
{
	if (r->state != ATTEMPT_STREAMING)
		return;
	if (r->exchange != NULL && m->data.size_bytes > 0)
		http_exchange_respond_body(
		    r->exchange, m->data.data, m->data.size_bytes);
	if (!m->last)
		return;
	attempt_end(r, m->failed);
	if (r->exchange != NULL)
		http_exchange_respond_end(r->exchange, !m->failed);
	ingress_request_free(r);
}

static void
on_response(void *owner, struct link *link, const struct message_response *m)
{
	struct ingress_request *r = find_request(owner, link, m->id);

	if (r != NULL)
		handle_response(r, m);
}

static void
on_body(void *owner, struct link *link, const struct message_body *m)
{
	struct ingress_request *r = find_request(owner, link, m->id);

	if (r != NULL)
		handle_body(r, m);
}

/// Sends as much of a kept body as the egress asks for.
static void
send_bulk(struct ingress_request *r, uint32_t credit_bytes)
{
	const struct http_exchange *x = r->exchange;
	size_t left_bytes = x->body_bytes - r->bulk_sent_bytes;
	struct message_body body = {0};

	body.data.data = x->body + r->bulk_sent_bytes;
	body.data.size_bytes =
	    left_bytes < credit_bytes ? (uint32_t)left_bytes : credit_bytes;
	r->bulk_sent_bytes += body.data.size_bytes;
	body.last = r->bulk_sent_bytes == x->body_bytes;
	if (body.data.size_bytes > 0)
		ingress_send_body(r, &body);
}

static void
on_window(void *owner, struct link *link, const struct message_window *m)
{
	struct ingress_request *r = find_request(owner, link, m->id);

	if (r == NULL || r->exchange == NULL)
		return;
	if (r->bulk)
		send_bulk(r, m->credit_bytes);
	else
		http_exchange_grant(r->exchange, m->credit_bytes);
}

static void
on_load(void *owner, struct link *link, const struct message_heartbeat *load)
{
	const struct link_target *target = link_target(link);
	struct ingress *ingress = owner;
	uint32_t i;

	for (i = 0; i < ingress->balancer_count; i++) {
		struct endpoint *e =
		    balancer_find(ingress->balancers[i], target->name);

		if (e != NULL && e->incarnation == target->incarnation)
			balancer_report(e, load->running, load->queued,
			    load->service_us, loop_now_us(ingress->loop));
	}
}

static void
on_fence_answer(
    void *owner, struct link *link, const struct message_fence_answer *m)
{
	struct ingress_request *r = find_request(owner, link, m->id);

	if (r == NULL || r->state != ATTEMPT_FENCED)
		return;
	attempt_end(r, true);
	if (m->outcome == OUTCOME_NOT_RUN)
		retry_or_conclude(r, 503, ingress_not_run_outcome(r), US_PER_S,
		    "the connection broke before it ran");
	else
		retry_or_conclude(r, 502, OUTCOME_UNKNOWN, 0,
		    "the connection broke while it may have run");
}

/// Asks on a new stream what became of a request that may have run.
static void
ask_fence(struct ingress_request *r)
{
	struct message_fence fence = {
	    .id = r->id, .egress_incarnation = r->endpoint->incarnation};

	fence.age_us = loop_now_us(r->ingress->loop) - r->sent_us;
	r->state = ATTEMPT_FENCED;
	counter_add(&count_fences, 1);
	if (link_send(r->link, MESSAGE_FENCE, &fence) == 0)
		return;
	attempt_end(r, true);
	retry_or_conclude(r, 502, OUTCOME_UNKNOWN, 0,
	    "the connection broke while it may have run");
}

static void
handle_broken(struct ingress_request *r)
{
	// What was under way there counts as seen by a backend server.
	r->arrivals++;
	switch (r->state) {
	case ATTEMPT_NONE:
		break;
	case ATTEMPT_STREAMING:
		attempt_end(r, true);
		if (r->exchange != NULL)
			http_exchange_respond_end(r->exchange, false);
		ingress_request_free(r);
		break;
	case ATTEMPT_SENT:
		if (!r->repeatable && r->exchange != NULL) {
			ask_fence(r);
			break;
		}
		attempt_end(r, true);
		retry_or_conclude(r, 502, OUTCOME_UNKNOWN, 0,
		    "the connection broke while it may have run");
		break;
	case ATTEMPT_FENCED:
		attempt_end(r, true);
		retry_or_conclude(r, 502, OUTCOME_UNKNOWN, 0,
		    "the connection broke while it may have run");
		break;
	}
}

/// The stream of a request never came to be: the request is still here.
static void
handle_unopened(struct ingress_request *r)
{
	attempt_end(r, true);
	retry_or_conclude(r, 503, ingress_not_run_outcome(r),
	    UNREACHED_RETRY_US, "the egress cannot be reached");
}

static struct ingress_request *
find_broken(const struct ingress *ingress)
{
	struct ingress_request *r = ingress->all;

	while (r != NULL && !r->broken)
		r = r->all_next;
	return r;
}

/// Handling one request can end others: marks all first, then looks anew
/// after each.
static void
on_broken(void *owner, struct link *link, bool opened)
{
	struct ingress *ingress = owner;
	struct ingress_request *r;

	for (r = ingress->all; r != NULL; r = r->all_next)
		r->broken = r->link == link && r->state != ATTEMPT_NONE;
	while ((r = find_broken(ingress)) != NULL) {
		r->broken = false;
		// The fence of a request that went out on an earlier stream
		// tells nothing of it.
		if (opened || r->state != ATTEMPT_SENT)
			handle_broken(r);
		else
			handle_unopened(r);
	}
}

const struct links_ops ingress_links_ops = {
    .on_response = on_response,
    .on_body = on_body,
    .on_window = on_window,
    .on_fence_answer = on_fence_answer,
    .on_load = on_load,
    .on_broken = on_broken,
};

static struct ingress *
ingress_of(struct egress_sink *sink)
{
	return (struct ingress *)sink;
}

static void
sink_respond(
    struct egress_sink *sink, uint64_t id, const struct message_response *m)
{
	(void)id;
	on_response(ingress_of(sink), NULL, m);
}

static void
sink_body(struct egress_sink *sink, uint64_t id, const struct message_body *m)
{
	(void)id;
	on_body(ingress_of(sink), NULL, m);
}

static void
sink_window(struct egress_sink *sink, uint64_t id, uint32_t credit_bytes)
{
	struct message_window m = {id, credit_bytes};

	on_window(ingress_of(sink), NULL, &m);
}

const struct egress_sink_ops ingress_sink_ops = {
    .respond = sink_respond,
    .body = sink_body,
    .window = sink_window,
};

bool
ingress_withdraw(struct ingress_request *r)
{
	if (r->state != ATTEMPT_SENT || !r->bulk ||
	    r->bulk_sent_bytes == r->exchange->body_bytes)
		return false;
	// An egress begins no work before it has the whole body.
	ingress_send_cancel(r, false);
	attempt_end(r, false);
	return true;
}

void
ingress_on_deadline(void *arg)
{
	struct ingress_request *r = arg;
	struct ingress *ingress = r->ingress;

	if (r->parked) {
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    UNREACHED_RETRY_US,
		    r->rules == NULL ? "no rules are in force here yet"
				     : "no backend server can be had");
		return;
	}
	if (r->state == ATTEMPT_NONE) {
		ingress_conclude(
		    r, 504, ingress_not_run_outcome(r), 0, "deadline passed");
		return;
	}
	if (r->exchange != NULL && ingress_withdraw(r)) {
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    UNREACHED_RETRY_US, "its body could not be sent in time");
		return;
	}
	if (!r->cancel_sent) {
		r->cancel_sent = true;
		loop_timer_set(ingress->loop, &r->timer,
		    loop_now_us(ingress->loop) + CANCEL_GRACE_US);
		ingress_send_cancel(r, false);
		return;
	}
	attempt_end(r, true);
	ingress_conclude(r, 504, OUTCOME_UNKNOWN, 0, "deadline passed");
}
