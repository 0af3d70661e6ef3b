// Listeners of the ingress, and its view of rules and endpoints.
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

/// A process that has just started gets rules and endpoints within a few
/// seconds, or not at all.
#define START_GRACE_US (5 * US_PER_S)

/// Timeout of a request that arrives before any rules are in force.
#define UNROUTED_TIMEOUT_US (1 * US_PER_S)

/// Retry hint of a proxy that is starting.
#define STARTING_RETRY_US (200 * US_PER_MS)

COUNTER_DEFINE(count_requests, "ingress_requests", "Requests taken");
COUNTER_DEFINE(
    count_callers_closed, "ingress_callers_gone", "Callers that left early");
COUNTER_DEFINE(count_cut_stop, "ingress_cut_by_stop",
    "Requests cut since the process ended before them");

static void
on_request(void *owner, struct http_exchange *exchange)
{
	struct ingress_listener *listener = owner;
	struct ingress_request *r = ingress_request_create(listener, exchange);

	counter_add(&count_requests, 1);
	r->trusted = listener->trusted;
	r->timer.fn = ingress_on_deadline;
	r->timer.arg = r;
	ingress_set_request_id(r);
	if (listener->ingress->rules != NULL) {
		ingress_route(r);
		return;
	}
	r->deadline_us = exchange->arrival_us + UNROUTED_TIMEOUT_US;
	if (r->trusted || listener->ingress->dialect->callers_set_deadline)
		ingress_read_deadline(r);
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
	if (r->state == ATTEMPT_NONE && !r->upload_forwarded) {
		// It waits for an attempt, which sends the body from its start.
		http_exchange_keep_body(exchange, data, size_bytes, last);
		r->upload_ended = last;
		return;
	}
	body.data.data = data;
	body.data.size_bytes = (uint32_t)size_bytes;
	r->upload_forwarded = true;
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

/// Logs that a connection ended before the whole of an answer, which was ready,
/// was sent.
static void
log_unsent(const struct http_exchange *exchange, enum http_end end)
{
	const struct ingress_listener *listener =
	    httpd_get_owner(exchange->httpd);
	const char *header = listener->ingress->dialect->headers.attempt;
	const char *id =
	    header == NULL ? NULL : http_exchange_get_header(exchange, header);

	ingress_log_unsent(id, exchange, end);
}

/// The exchange has ended. If the request is in progress, its caller is gone.
static void
on_end(struct http_exchange *exchange, enum http_end end)
{
	struct ingress_request *r = exchange->state;
	struct message_body cut = {.last = 1, .failed = BODY_SENDER_FAILED};

	if (r == NULL) {
		if (end != HTTP_END_SENT && end != HTTP_END_CUT)
			log_unsent(exchange, end);
		return;
	}
	if (r->ingress->closing) {
		counter_add(&count_cut_stop, 1);
		ingress_log_cut_by_stop(r);
	} else {
		counter_add(&count_callers_closed, 1);
		ingress_log_caller_closed(r, end);
	}
	r->exchange = NULL;
	if (!r->upload_ended)
		ingress_send_body(r, &cut);
	ingress_send_cancel(r, false);
}

static const struct httpd_ops httpd_ops = {
    .drops_abandoned = true,
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
	balancer_init(b, service, ingress->settings.seed + i,
	    ingress->settings.slow_start_us);
	b->local_name = ingress->settings.name;
	ingress->balancers = realloc(
	    ingress->balancers, (ingress->balancer_count + 1) * sizeof(b));
	assert(ingress->balancers != NULL);
	ingress->balancers[ingress->balancer_count++] = b;
	return b;
}

/// Limits on callers: those of the rules, capped by those of the settings.
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
		// Rounded up, so that no connection is closed too soon.
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
		ingress_recheck_keys(ingress);
		ingress_quota_set_rules(ingress);
	}
	set_limits(ingress);
	// Each service of the rules has a balancer, even without endpoints.
	for (i = 0; ingress->rules != NULL && i < ingress->rules->service_count;
	     i++)
		get_balancer(ingress, ingress->rules->services[i].name);
	for (i = 0; i < view->endpoint_count; i++)
		get_balancer(ingress, view->endpoints[i].member.service);
	for (i = 0; i < ingress->balancer_count; i++) {
		struct balancer *b = ingress->balancers[i];

		rollout_table_get_filter(
		    &view->rollouts, b->service, &b->rollout);
		rollout_own_follow(&b->rollout_own, &b->rollout);
		balancer_begin_view(b);
	}
	for (i = 0; i < view->endpoint_count; i++) {
		const struct view_endpoint *e = &view->endpoints[i];

		balancer_add(get_balancer(ingress, e->member.service),
		    &e->member, e->distance, now_us);
	}
	for (i = 0; i < ingress->balancer_count; i++) {
		struct balancer *b = ingress->balancers[i];

		balancer_end_view(b, now_us);
		retry_budget_configure(&b->retries,
		    ingress->settings.retry_ratio_pct,
		    ingress->settings.retry_burst, view->proxy_count);
	}
	ingress_resume_parked(ingress);
}

static int
open_listener(struct ingress_listener *listener, struct ingress *ingress,
    const struct address *at, bool trusted, struct address *bound,
    struct error *err)
{
	struct httpd_limits limits = limits_of(ingress);

	listener->ingress = ingress;
	listener->trusted = trusted;
	listener->httpd = httpd_open(
	    ingress->loop, at, &httpd_ops, listener, &limits, bound, err);
	if (listener->httpd == NULL)
		return -1;
	httpd_set_account(listener->httpd, ingress->settings.account);
	return 0;
}

struct ingress *
ingress_open(struct loop *loop, struct egress *egress, struct bulk_link *link,
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
	ingress->local_sink.local = true;
	ingress_quota_open(ingress);
	ingress->links = links_create(loop, link, &ingress_links_ops, ingress,
	    settings->name, settings->incarnation);
	if (open_listener(&ingress->outer, ingress, &settings->outer, false,
		bound_outer, err) != 0 ||
	    (settings->has_inner &&
		open_listener(&ingress->inner, ingress, &settings->inner, true,
		    bound_inner, err) != 0)) {
		ingress_close(ingress);
		return NULL;
	}
	return ingress;
}

void
ingress_set_stop_listener(
    struct ingress *ingress, void (*fn)(void *arg, uint64_t order), void *arg)
{
	ingress->on_stopped = fn;
	ingress->stopped_arg = arg;
}

void
ingress_set_incarnation(struct ingress *ingress, uint64_t incarnation)
{
	ingress->settings.incarnation = incarnation;
	ingress->local_sink.origin_incarnation = incarnation;
	links_set_incarnation(ingress->links, incarnation);
}

void
ingress_leave(struct ingress *ingress, int64_t deadline_us)
{
	ingress->leave_deadline_us = deadline_us;
	links_leave(ingress->links, deadline_us);
}

void
ingress_drain(struct ingress *ingress, int64_t deadline_us)
{
	ingress->drain_deadline_us = deadline_us;
	httpd_drain(ingress->outer.httpd);
	if (ingress->inner.httpd == NULL)
		return;
	httpd_stop_accepting(ingress->outer.httpd);
	httpd_drain(ingress->inner.httpd);
}

void
ingress_stop_accepting(struct ingress *ingress)
{
	httpd_stop_accepting(ingress->outer.httpd);
	if (ingress->inner.httpd != NULL)
		httpd_stop_accepting(ingress->inner.httpd);
}

void
ingress_read_arrived(struct ingress *ingress)
{
	if (ingress->outer.httpd != NULL)
		httpd_run(ingress->outer.httpd);
	if (ingress->inner.httpd != NULL)
		httpd_run(ingress->inner.httpd);
}

void
ingress_close_listeners(struct ingress *ingress)
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
	ingress->closing = true;
	ingress_close_listeners(ingress);
	loop_timer_clear(ingress->loop, &ingress->parked_timer);
	ingress_quota_close(ingress);
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
