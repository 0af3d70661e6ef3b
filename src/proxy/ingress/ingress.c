// Listeners of the ingress: requests in, answers out.
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

#define IDLE_TIMEOUT_S 60
#define MAX_HEADERS    128

/// A process that has just started gets to know rules and endpoints within a
/// few seconds, or not at all.
#define START_GRACE_US (5 * US_PER_S)

/// Time that a request without a deadline is taken to have.
#define UNROUTED_US (1 * US_PER_S)

/// Before the end of a drain no request may still be in progress.
#define DRAIN_MARGIN_US (500 * US_PER_MS)

/// When to come back to a proxy that is starting.
#define STARTING_RETRY_US (200 * US_PER_MS)

COUNTER_DEFINE(count_requests, "ingress_requests", "Requests taken");
COUNTER_DEFINE(count_not_run, "ingress_not_run", "Answered: not run");
COUNTER_DEFINE(count_unknown, "ingress_unknown", "Answered: unknown");
COUNTER_DEFINE(count_gone, "ingress_callers_gone", "Callers that left early");

static void
collect_header(void *arg, const char *name, const char *value)
{
	struct ingress_request *r = arg;
	struct bytes n = bytes_from(name);

	if (headers_is_hop_by_hop(n) ||
	    headers_is_internal(&r->ingress->dialect->headers, n))
		return;
	header_list_add(&r->headers, n, bytes_from(value));
}

static struct ingress_request *
request_create(struct ingress_door *door, struct http_exchange *exchange)
{
	struct ingress_request *r = calloc(1, sizeof(*r));

	assert(r != NULL);
	r->ingress = door->ingress;
	r->exchange = exchange;
	r->timer.fn = ingress_on_deadline;
	r->timer.arg = r;
	r->all_next = door->ingress->all;
	if (r->all_next != NULL)
		r->all_next->all_prev = r;
	door->ingress->all = r;
	exchange->state = r;
	return r;
}

void
ingress_request_free(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;

	assert(r->state == ATTEMPT_NONE);
	if (r->all_prev != NULL)
		r->all_prev->all_next = r->all_next;
	else
		ingress->all = r->all_next;
	if (r->all_next != NULL)
		r->all_next->all_prev = r->all_prev;
	loop_timer_clear(ingress->loop, &r->timer);
	if (r->exchange != NULL)
		r->exchange->state = NULL;
	header_list_free(&r->headers);
	rules_unref(r->rules);
	free(r);
}

static void
respond_own(const struct dialect *dialect, struct http_exchange *exchange,
    uint32_t status, enum outcome outcome, int64_t retry_us, const char *why)
{
	char body[256];
	char retry[DIALECT_RETRY_BYTES];
	struct http_header headers[3] = {
	    {"Content-Type", "text/plain; charset=utf-8"},
	};
	size_t count = 1;

	counter_add(
	    outcome_is_not_run(outcome) ? &count_not_run : &count_unknown, 1);
	if (dialect->headers.outcome != NULL) {
		headers[count].name = dialect->headers.outcome;
		headers[count++].value = outcome_name(outcome);
	}
	if (retry_us > 0) {
		dialect->write_retry(retry_us, retry);
		headers[count].name = HEADER_RETRY;
		headers[count++].value = retry;
	}
	snprintf(body, sizeof(body), "%s: %s\n", outcome_name(outcome), why);
	http_exchange_respond(
	    exchange, status, headers, count, body, strlen(body));
}

/// Value of a header that the dialect may not have; NULL if there is none.
static const char *
find_header(const struct ingress_request *r, const char *name)
{
	return name == NULL ? NULL : http_exchange_header(r->exchange, name);
}

enum outcome
ingress_not_run_outcome(const struct ingress_request *r)
{
	bool has_key = r->key[0] != '\0' ||
	    (r->exchange != NULL &&
		find_header(r, r->ingress->dialect->headers.key) != NULL);

	return has_key ? OUTCOME_REFUSED : OUTCOME_NOT_RUN;
}

void
ingress_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why)
{
	if (r->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	if (r->exchange != NULL) {
		ingress_log_answered(r, status, outcome, retry_us, why);
		respond_own(r->ingress->dialect, r->exchange, status, outcome,
		    retry_us, why);
	}
	ingress_request_free(r);
}

/// Takes the rank over from the request that this one is part of.
static void
inherit_rank(struct ingress_request *r)
{
	const char *rank = find_header(r, r->ingress->dialect->headers.rank);
	int at;

	if (rank == NULL)
		return;
	at = rules_find_rank(r->rules, rank);
	if (at >= 0)
		r->rank = &r->rules->ranks[at];
}

/// Takes over how long the caller waits.
static void
read_deadline(struct ingress_request *r)
{
	const char *left =
	    find_header(r, r->ingress->dialect->headers.deadline);
	int64_t deadline_us;

	if (left != NULL) {
		deadline_us = r->exchange->arrival_us +
		    strtoll(left, NULL, 10) * US_PER_MS;
		if (deadline_us < r->deadline_us)
			r->deadline_us = deadline_us;
	}
}

static int
read_key(struct ingress_request *r)
{
	const char *key = find_header(r, r->ingress->dialect->headers.key);

	if (key == NULL)
		return r->route->once ? -1 : 0;
	if (key[0] == '\0' || strlen(key) >= sizeof(r->key))
		return -1;
	snprintf(r->key, sizeof(r->key), "%s", key);
	return 0;
}

/// Tells backend servers which service the request began at.
static void
add_caller_service(struct ingress_request *r)
{
	const struct ingress *ingress = r->ingress;
	const char *name = ingress->dialect->headers.caller_service;
	const char *service = egress_service(ingress->egress);

	if (name == NULL)
		return;
	if (service[0] == '\0')
		service = ingress->settings.service;
	header_list_add(&r->headers, bytes_from(name), bytes_from(service));
}

/// Finds what the rules say of a request, and lets it be served.
void
ingress_route(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;
	struct http_exchange *exchange = r->exchange;

	r->rules = rules_ref(ingress->rules);
	r->route = rules_match(r->rules, exchange->method,
	    http_exchange_header(exchange, "Host"), exchange->target);
	if (r->route == NULL ||
	    headers_known_method(exchange->method) == NULL) {
		ingress_conclude(
		    r, 404, ingress_not_run_outcome(r), 0, "no route");
		return;
	}
	r->rank = &r->rules->ranks[r->route->rank];
	r->deadline_us = exchange->arrival_us + r->route->timeout_us;
	r->target_deadline_us = exchange->arrival_us + r->route->target_us;
	r->service = rules_draw_target(r->route, random_next(&ingress->random));
	if (r->trusted)
		inherit_rank(r);
	if (r->trusted || ingress->dialect->callers_set_deadline)
		read_deadline(r);
	if (read_key(r) != 0) {
		ingress_conclude(r, 400, ingress_not_run_outcome(r), 0,
		    "an Idempotency-Key of 1 to 255 characters is needed");
		return;
	}
	http_exchange_each_header(exchange, collect_header, r);
	if (r->headers.count > MAX_HEADERS) {
		ingress_conclude(
		    r, 431, ingress_not_run_outcome(r), 0, "too many headers");
		return;
	}
	if (ingress->drain_deadline_us != 0 &&
	    r->deadline_us > ingress->drain_deadline_us - DRAIN_MARGIN_US) {
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    LEAVING_RETRY_US, "this proxy is leaving");
		return;
	}
	add_caller_service(r);
	r->safe = r->route->kind == RULE_KIND_METHOD
	    ? retry_method_is_safe(exchange->method)
	    : r->route->kind == RULE_KIND_SAFE;
	r->repeatable = r->safe || (r->route->once && r->key[0] != '\0');
	r->upload_ended = !exchange->more;
	loop_timer_set(ingress->loop, &r->timer, r->deadline_us);
	ingress_attempt_start(r);
}

static void
on_request(void *owner, struct http_exchange *exchange)
{
	struct ingress_door *door = owner;
	struct ingress_request *r = request_create(door, exchange);

	counter_add(&count_requests, 1);
	r->trusted = door->trusted;
	ingress_name_request(r);
	if (door->ingress->rules != NULL) {
		ingress_route(r);
		return;
	}
	r->deadline_us = exchange->arrival_us + UNROUTED_US;
	if (r->trusted || door->ingress->dialect->callers_set_deadline)
		read_deadline(r);
	if (!ingress_park(r))
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    STARTING_RETRY_US, "no rules are in force here yet");
}

static void
on_body(struct http_exchange *exchange, const char *data, size_t size_bytes,
    bool last)
{
	struct ingress_request *r = exchange->state;
	struct message_body body = {.last = last};

	if (r == NULL)
		return;
	body.data.data = data;
	body.data.size_bytes = (uint32_t)size_bytes;
	r->upload_passed_on = true;
	r->upload_ended = last;
	ingress_send_body(r, &body);
}

static void
on_drained(struct http_exchange *exchange, size_t size_bytes)
{
	struct ingress_request *r = exchange->state;

	if (r != NULL)
		ingress_send_window(r, (uint32_t)size_bytes);
}

/// The exchange is over. If the request is not, its caller has gone.
static void
on_end(struct http_exchange *exchange, bool complete)
{
	struct ingress_request *r = exchange->state;
	struct message_body cut = {.last = 1, .failed = 1};

	(void)complete;
	if (r == NULL)
		return;
	counter_add(&count_gone, 1);
	ingress_log_gone(r);
	r->exchange = NULL;
	if (!r->upload_ended)
		ingress_send_body(r, &cut);
	ingress_send_cancel(r, false);
}

static const struct httpd_ops httpd_ops = {
    .on_request = on_request,
    .on_body = on_body,
    .on_drained = on_drained,
    .on_end = on_end,
};

static struct balancer *
get_balancer(struct ingress *ingress, const char *service)
{
	struct balancer *b;
	uint32_t i;

	for (i = 0; i < ingress->balancer_count; i++)
		if (strcmp(ingress->balancers[i]->service, service) == 0)
			return ingress->balancers[i];
	b = calloc(1, sizeof(*b));
	assert(b != NULL);
	balancer_init(
	    b, service, ingress->settings.seed + i, ingress->settings.warm_us);
	b->own_name = ingress->settings.name;
	ingress->balancers = realloc(
	    ingress->balancers, (ingress->balancer_count + 1) * sizeof(b));
	assert(ingress->balancers != NULL);
	ingress->balancers[ingress->balancer_count++] = b;
	return b;
}

/// Limits on callers: those of the rules, within those of the settings.
static struct httpd_limits
limits_of(const struct ingress *ingress)
{
	struct httpd_limits limits = {
	    .max_body_bytes = ingress->settings.max_body_bytes,
	    .max_connections = ingress->settings.max_connections,
	    .idle_timeout_s = IDLE_TIMEOUT_S,
	};
	const struct rule_limits *l;

	if (ingress->rules == NULL || !ingress->rules->limits.given)
		return limits;
	l = &ingress->rules->limits;
	if (l->body_bytes > 0 && l->body_bytes < limits.max_body_bytes)
		limits.max_body_bytes = l->body_bytes;
	limits.max_header_bytes = l->header_bytes;
	limits.header_timeout_us = l->header_timeout_us;
	if (l->idle_timeout_us > 0)
		// Whole seconds; a connection is never closed too soon.
		limits.idle_timeout_s =
		    (l->idle_timeout_us + US_PER_S - 1) / US_PER_S;
	return limits;
}

static void
set_limits(struct ingress *ingress)
{
	struct httpd_limits limits = limits_of(ingress);

	if (ingress->outer.httpd != NULL)
		httpd_set_limits(ingress->outer.httpd, &limits);
	if (ingress->inner.httpd != NULL)
		httpd_set_limits(ingress->inner.httpd, &limits);
}

void
ingress_set_view(struct ingress *ingress, const struct view *view)
{
	int64_t now_us = loop_now_us(ingress->loop);
	uint32_t i;

	if (view->rules != NULL && view->rules != ingress->rules) {
		assert(ingress->rules == NULL ||
		    view->rules->version > ingress->rules->version);
		rules_unref(ingress->rules);
		ingress->rules = rules_ref(view->rules);
		log_write(LOG_INFO, "config",
		    "Version %" PRIu64 " is in force.", view->rules->version);
	}
	set_limits(ingress);
	// Each service of the rules has a balancer, if perhaps an empty one.
	for (i = 0; ingress->rules != NULL && i < ingress->rules->service_count;
	     i++)
		get_balancer(ingress, ingress->rules->services[i].name);
	for (i = 0; i < ingress->balancer_count; i++)
		balancer_begin_view(ingress->balancers[i]);
	for (i = 0; i < view->endpoint_count; i++) {
		const struct view_endpoint *e = &view->endpoints[i];

		balancer_add(get_balancer(ingress, e->member.service),
		    &e->member, e->distance, now_us);
	}
	for (i = 0; i < ingress->balancer_count; i++) {
		struct balancer *b = ingress->balancers[i];

		balancer_end_view(b);
		retry_budget_configure(&b->retries,
		    ingress->settings.retry_ratio_pct,
		    ingress->settings.retry_burst, view->proxy_count);
	}
	ingress_resume_parked(ingress);
}

static int
open_door(struct ingress_door *door, struct ingress *ingress,
    const struct address *at, bool trusted, struct address *bound,
    struct error *err)
{
	struct httpd_limits limits = limits_of(ingress);

	door->ingress = ingress;
	door->trusted = trusted;
	door->httpd = httpd_open(
	    ingress->loop, at, &httpd_ops, door, &limits, bound, err);
	return door->httpd == NULL ? -1 : 0;
}

struct ingress *
ingress_open(struct loop *loop, struct egress *egress,
    const struct ingress_settings *settings, struct address *bound_outer,
    struct address *bound_inner, struct error *err)
{
	struct ingress *ingress = calloc(1, sizeof(*ingress));

	assert(ingress != NULL);
	ingress->loop = loop;
	ingress->egress = egress;
	ingress->settings = *settings;
	ingress->dialect = settings->dialect;
	ingress->random.seed = settings->seed + 1;
	ingress->start_deadline_us = loop_now_us(loop) + START_GRACE_US;
	ingress->parked_timer.fn = ingress_resume_parked;
	ingress->parked_timer.arg = ingress;
	ingress->local_sink.ops = &ingress_sink_ops;
	memcpy(ingress->local_sink.origin, settings->name,
	    sizeof(ingress->local_sink.origin));
	ingress->local_sink.origin_incarnation = settings->incarnation;
	ingress->links = links_create(loop, &ingress_links_ops, ingress,
	    settings->name, settings->incarnation);
	if (open_door(&ingress->outer, ingress, &settings->outer, false,
		bound_outer, err) != 0 ||
	    (settings->has_inner &&
		open_door(&ingress->inner, ingress, &settings->inner, true,
		    bound_inner, err) != 0)) {
		ingress_close(ingress);
		return NULL;
	}
	return ingress;
}

void
ingress_set_incarnation(struct ingress *ingress, uint64_t incarnation)
{
	ingress->settings.incarnation = incarnation;
	ingress->local_sink.origin_incarnation = incarnation;
	links_set_incarnation(ingress->links, incarnation);
}

void
ingress_drain(struct ingress *ingress, int64_t deadline_us)
{
	ingress->drain_deadline_us = deadline_us;
	if (ingress->outer.httpd != NULL)
		httpd_drain(ingress->outer.httpd);
	if (ingress->inner.httpd != NULL)
		httpd_drain(ingress->inner.httpd);
}

void
ingress_close_doors(struct ingress *ingress)
{
	httpd_close(ingress->outer.httpd);
	httpd_close(ingress->inner.httpd);
	ingress->outer.httpd = ingress->inner.httpd = NULL;
}

uint32_t
ingress_active_count(const struct ingress *ingress)
{
	uint32_t count = 0;

	if (ingress->outer.httpd != NULL)
		count += httpd_active_count(ingress->outer.httpd);
	if (ingress->inner.httpd != NULL)
		count += httpd_active_count(ingress->inner.httpd);
	return count;
}

void
ingress_close(struct ingress *ingress)
{
	uint32_t i;

	if (ingress == NULL)
		return;
	ingress_close_doors(ingress);
	loop_timer_clear(ingress->loop, &ingress->parked_timer);
	links_destroy(ingress->links);
	while (ingress->all != NULL) {
		ingress->all->state = ATTEMPT_NONE;
		ingress_request_free(ingress->all);
	}
	for (i = 0; i < ingress->balancer_count; i++) {
		balancer_free(ingress->balancers[i]);
		free(ingress->balancers[i]);
	}
	free(ingress->balancers);
	rules_unref(ingress->rules);
	free(ingress);
}
