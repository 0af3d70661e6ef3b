// Attempts of the ingress: choice of an endpoint, sending, retries, deadlines.
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

/// Longer bodies are sent as the egress asks for them, so that they do not fill
/// the link to it before it wants them.
#define INLINE_BYTES (8u * 1024)

/// Requests over which the length of a route's requests is learned.
#define LENGTH_SAMPLES	32
#define LENGTH_PERMILLE 1000

COUNTER_DEFINE(count_retries, "ingress_retries", "Attempts after the first");
COUNTER_DEFINE(count_late, "ingress_late_answers", "Answers to no request");

static struct ingress_request **
bucket_of(struct ingress *ingress, uint64_t id)
{
	return &ingress->buckets[id % INGRESS_BUCKETS];
}

/// Request whose attempt in progress has an id on a link; NULL if none has.
struct ingress_request *
ingress_find_attempt(
    struct ingress *ingress, const struct link *link, uint64_t id)
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
void
ingress_attempt_end(struct ingress_request *r, bool failed)
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
		ingress_attempt_end(r, true);
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
void
ingress_note_length(struct ingress_request *r, const struct message_response *m)
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
bool
ingress_may_retry(
    struct ingress_request *r, uint32_t status, enum outcome outcome)
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
void
ingress_note_last(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why)
{
	r->refused_status = status;
	r->refused_outcome = outcome;
	r->refused_retry_us = retry_us;
	snprintf(r->refused_why, sizeof(r->refused_why), "%s", why);
}

/// Tries again if that is safe and within the budget, else answers.
void
ingress_retry_or_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why)
{
	if (!ingress_may_retry(r, status, outcome)) {
		ingress_conclude(r, status, outcome, retry_us, why);
		return;
	}
	r->may_have_run |= outcome == OUTCOME_UNKNOWN;
	ingress_log_retry(r, status, outcome, why);
	ingress_note_last(r, status, outcome, retry_us, why);
	ingress_attempt_start(r);
}

bool
ingress_withdraw(struct ingress_request *r)
{
	if (r->state != ATTEMPT_SENT || !r->bulk ||
	    r->bulk_sent_bytes == r->exchange->body_bytes)
		return false;
	// An egress begins no work before it has the whole body.
	ingress_send_cancel(r, false);
	ingress_attempt_end(r, false);
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
	ingress_attempt_end(r, true);
	ingress_conclude(r, 504, OUTCOME_UNKNOWN, 0, "deadline passed");
}
