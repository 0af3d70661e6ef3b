// Routing of a request by the rules and its headers.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/link_admission.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/headers.h"
#include "proxy/ingress/ingress_request.h"
#include "wire/head.h"

/// A stated deadline that is later says nothing of its caller.
#define MAX_STATED_MS (3600 * 1000LL)

COUNTER_DEFINE(count_internal, "ingress_internal_headers",
    "Headers of callers dropped, since only proxies set them");

static void
collect_header(void *arg, const char *name, const char *value)
{
	struct ingress_request *r = arg;
	struct bytes n = bytes_from_string(name);

	if (headers_is_hop_by_hop(n))
		return;
	if (headers_is_internal(&r->ingress->dialect->headers, n)) {
		// Callers state the deadline and the key themselves.
		if (!headers_name_equals(
			n, r->ingress->dialect->headers.deadline) &&
		    !headers_name_equals(
			n, r->ingress->dialect->headers.workspace_key))
			counter_add(&count_internal, 1);
		return;
	}
	if (http_exchange_connection_names(r->exchange, name) &&
	    !headers_is_end_to_end(&r->ingress->dialect->headers, n))
		return;
	header_list_add(&r->headers, n, bytes_from_string(value));
}

/// Takes the rank of the request that this one is part of, from a header.
static void
inherit_rank(struct ingress_request *r)
{
	const char *rank =
	    ingress_find_header(r, r->ingress->dialect->headers.rank);
	int at;

	if (rank == NULL)
		return;
	at = rules_find_rank(r->rules, rank);
	if (at >= 0)
		r->rank = &r->rules->ranks[at];
}

void
ingress_read_deadline(struct ingress_request *r)
{
	const char *left =
	    ingress_find_header(r, r->ingress->dialect->headers.deadline);
	int64_t left_ms;
	char *end;

	if (left == NULL)
		return;
	// Values beyond the range of the type become its limits.
	left_ms = strtoll(left, &end, 10);
	if (end != left && left_ms > 0 && left_ms < MAX_STATED_MS)
		r->stated_left_us = left_ms * US_PER_MS;
	if (end != left &&
	    left_ms < (r->deadline_us - r->exchange->arrival_us) / US_PER_MS)
		r->deadline_us = r->exchange->arrival_us +
		    (left_ms > 0 ? left_ms * US_PER_MS : 0);
}

static int
read_idempotency_key(struct ingress_request *r)
{
	const char *key =
	    ingress_find_header(r, r->ingress->dialect->headers.key);

	if (key == NULL)
		return r->route->once ? -1 : 0;
	if (key[0] == '\0' || strlen(key) >= sizeof(r->key))
		return -1;
	snprintf(r->key, sizeof(r->key), "%s", key);
	return 0;
}

/// Tells whether the request is a call of one that the local backend server
/// runs. An id alone proves nothing: any caller chooses its own.
static bool
is_call_of_running(struct ingress_request *r)
{
	const struct ingress *ingress = r->ingress;
	const struct message_request *parent;
	size_t parent_bytes;

	if (r->trusted)
		return true;
	if (ingress->dialect->parent_id_bytes == NULL)
		return false;
	parent_bytes = ingress->dialect->parent_id_bytes(r->request_id);
	r->states_parent = parent_bytes > 0;
	if (!r->states_parent)
		return false;
	parent =
	    egress_find_running(ingress->egress, r->request_id, parent_bytes);
	if (parent == NULL)
		return false;
	r->parent_repeats = parent->repeat != 0;
	bytes_copy(parent->workspace, r->workspace, sizeof(r->workspace));
	return true;
}

static void
refuse_method(struct ingress_request *r)
{
	char why[HEADERS_METHOD_BYTES + 32];

	snprintf(why, sizeof(why), "the method %.*s cannot be forwarded",
	    HEADERS_METHOD_BYTES - 1, r->exchange->method);
	ingress_conclude(r, 501, ingress_not_run_outcome(r), 0, why);
}

/// Refuses a request whose headers other readers may understand otherwise.
static int
check_head(struct ingress_request *r)
{
	struct list headers = header_list_view(&r->headers);
	struct error err;

	if (head_check(headers.items, headers.count,
		r->ingress->dialect->headers.internal_prefix, &err) == 0)
		return 0;
	ingress_conclude(r, 400, ingress_not_run_outcome(r), 0, err.text);
	return -1;
}

/// Counts the time that a caller spent on earlier attempts towards its target, if
/// the answer is long: what the link has room for should not go to the late.
static void
apply_caller_age(struct ingress_request *r)
{
	struct route_stats *stats = ingress_get_route_stats(r);
	int64_t age_us;

	if (r->begun || r->stated_left_us == 0)
		return;
	age_us = caller_age_estimate(&stats->caller_age, r->stated_left_us);
	// Those that were refused a while ago may be among the callers now.
	if (loop_now_us(r->ingress->loop) >= stats->returns_deadline_us)
		caller_age_record(&stats->caller_age, r->stated_left_us);
	if (age_us == 0 ||
	    answer_size_estimate(&stats->answer_size) <= LINK_SHORT_BYTES)
		return;
	r->returned = true;
	r->target_deadline_us -= age_us;
}

/// Whether the request may be in progress when this process ends.
static bool
may_outlast(struct ingress_request *r)
{
	int64_t end_us = r->ingress->drain_deadline_us;

	if (ingress_answer_may_outlast(r))
		return true;
	return end_us != 0 && !ingress_is_call_of_work(r) &&
	    r->deadline_us > end_us - INGRESS_DRAIN_MARGIN_US;
}

void
ingress_route(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;
	struct http_exchange *exchange = r->exchange;

	r->rules = rules_ref(ingress->rules);
	if (!headers_can_forward_method(bytes_from_string(exchange->method))) {
		refuse_method(r);
		return;
	}
	r->route = rules_match(r->rules, exchange->method,
	    http_exchange_get_header(exchange, "Host"), exchange->target);
	if (r->route == NULL) {
		ingress_conclude(
		    r, 404, ingress_not_run_outcome(r), 0, "no route");
		return;
	}
	r->rank = &r->rules->ranks[r->route->rank];
	r->begun = is_call_of_running(r);
	r->deadline_us = exchange->arrival_us + r->route->timeout_us;
	r->target_deadline_us = exchange->arrival_us + r->route->target_us;
	r->service = rules_draw_target(r->route, random_next(&ingress->random));
	r->rollout_draw_permille =
	    random_below(&ingress->random, ROLLOUT_PERMILLE);
	if (!ingress_set_workspace(r))
		return;
	if (r->trusted)
		inherit_rank(r);
	if (r->trusted || ingress->dialect->callers_set_deadline)
		ingress_read_deadline(r);
	apply_caller_age(r);
	if (read_idempotency_key(r) != 0) {
		ingress_conclude(r, 400, ingress_not_run_outcome(r), 0,
		    "an Idempotency-Key of 1 to 255 characters is needed");
		return;
	}
	http_exchange_visit_headers(exchange, collect_header, r);
	if (check_head(r) != 0)
		return;
	if (may_outlast(r)) {
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    DRAINING_RETRY_US, "this proxy is leaving");
		return;
	}
	ingress_add_caller_service(r);
	r->safe = r->route->kind == RULE_KIND_METHOD
	    ? retry_method_is_safe(exchange->method)
	    : rules_kind_is_safe(r->route->kind);
	r->repeatable = r->safe || (r->route->once && r->key[0] != '\0');
	r->upload_ended = !exchange->more;
	loop_timer_set(ingress->loop, &r->timer, r->deadline_us);
	if (ingress_take_quota(r))
		ingress_attempt_start(r);
}
