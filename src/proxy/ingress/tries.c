// Attempts of a request: choice of an endpoint, retries, the deadline.
#include <stdio.h>
#include <string.h>

#include "core/requests/retry_after.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/ingress/ingress_log.h"

#define CANCEL_GRACE_US (100 * US_PER_MS)
#define PERMILLE	1000

COUNTER_DEFINE(count_retries, "ingress_retries", "Attempts after the first");

/// Draws when the caller of a request that was refused for lack of room should
/// come back.
static int64_t
draw_retry_after_us(struct ingress_request *r)
{
	int64_t now_us = loop_now_us(r->ingress->loop);
	struct retry_after_request q = {
	    .target_left_us = r->target_deadline_us - now_us,
	    .deadline_left_us = r->deadline_us - now_us};

	if (r->balancer != NULL)
		q.service_us = balancer_mean_service_us(r->balancer, now_us) *
		    (int64_t)ingress_get_route_stats(r)
			->service_ratio_permille /
		    PERMILLE;
	return retry_after_draw_us(&r->ingress->random, &q);
}

/// Parks the request or responds, since no endpoint is left. Sends the response
/// kept from the last attempt if there was one.
static void
conclude_without_endpoint(struct ingress_request *r, int64_t busy_until_us)
{
	// A start does not make room; trying again and again would fill the links.
	if (r->arrivals == 0 && busy_until_us == INT64_MAX &&
	    !r->refused_for_room && ingress_park(r))
		return;
	if (r->last_status != 0)
		ingress_conclude(r, r->last_status, r->last_outcome,
		    r->last_retry_us, r->last_why);
	else if (busy_until_us != INT64_MAX)
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    draw_retry_after_us(r), "all backend servers are busy");
	else
		ingress_conclude(r, 503, ingress_not_run_outcome(r), US_PER_S,
		    "no backend server can be had");
}

void
ingress_fill_query(
    struct ingress_request *r, struct balancer_request *q, int64_t now_us)
{
	memset(q, 0, sizeof(*q));
	q->worth = r->rank->worth;
	q->begun = r->begun;
	q->target_left_us = r->target_deadline_us - now_us;
	q->deadline_left_us = r->deadline_us - now_us;
	// The caller may have left.
	if (r->exchange != NULL)
		q->size_bytes = (uint32_t)r->exchange->body_bytes;
	q->answer_bytes =
	    answer_size_estimate(&ingress_get_route_stats(r)->answer_size);
	q->relative_service_permille =
	    (uint32_t)ingress_get_route_stats(r)->service_ratio_permille;
	// After a failure of a new version the old one is better known.
	q->rollout_draw_permille =
	    r->arrivals > 0 ? ROLLOUT_PERMILLE - 1 : r->rollout_draw_permille;
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

	// It may have waited, or been refused elsewhere, since it was routed.
	if (ingress_answer_may_outlast(r)) {
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    DRAINING_RETRY_US, "this proxy is leaving");
		return;
	}
	r->balancer = NULL;
	for (i = 0; i < ingress->balancer_count; i++)
		if (strcmp(ingress->balancers[i]->service, service) == 0)
			r->balancer = ingress->balancers[i];
	if (r->balancer == NULL || r->attempts >= INGRESS_MAX_ATTEMPTS) {
		conclude_without_endpoint(r, INT64_MAX);
		return;
	}
	if (!r->budget_credited) {
		retry_budget_earn(&r->balancer->retries);
		if (r->parent_repeats)
			retry_budget_charge(&r->balancer->retries);
	}
	r->budget_credited = true;
	ingress_fill_query(r, &query, now_us);
	choice = balancer_choose(r->balancer, &query, now_us);
	if (choice.endpoint == NULL) {
		conclude_without_endpoint(r, choice.busy_until_deadline_us);
		return;
	}
	r->endpoint = choice.endpoint;
	memcpy(
	    r->tried[r->attempts++], choice.endpoint->name, MEMBER_NAME_BYTES);
	ingress_log_sent(r, &choice, &query);
	if (ingress_attempt_send(r) == 0)
		return;
	ingress_attempt_end(r, true);
	ingress_attempt_start(r);
}

bool
ingress_may_retry(
    struct ingress_request *r, uint32_t status, enum outcome outcome)
{
	struct retry_request q = {
	    .outcome = outcome,
	    .repeatable = r->repeatable,
	    .body_kept = !r->upload_forwarded,
	    .failed = status >= 500,
	    .undelivered = r->arrivals == 0,
	    .attempts = r->attempts,
	    .arrivals = r->arrivals,
	    .max_arrivals = r->route->attempts,
	    .deadline_us = r->deadline_us,
	};

	// No other endpoint can do better: the key is in use (409) or belongs
	// to another request (422), the head cannot be sent (400), or the
	// deadline has passed (504).
	if (r->exchange == NULL || r->ingress->retries_disabled ||
	    !ingress_key_holds(r) || status == 409 || status == 422 ||
	    status == 400 || status == 504 ||
	    !retry_decide(
		&r->balancer->retries, &q, loop_now_us(r->ingress->loop)))
		return false;
	counter_add(&count_retries, 1);
	return true;
}

void
ingress_record_failure(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why)
{
	r->last_status = status;
	r->last_outcome = outcome;
	r->last_retry_us = retry_us;
	snprintf(r->last_why, sizeof(r->last_why), "%s", why);
}

void
ingress_retry_or_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why)
{
	// The other members need a while to notice an unreachable egress.
	if (status == 503 && outcome_is_not_run(outcome) &&
	    retry_us != UNREACHABLE_RETRY_US)
		retry_us = draw_retry_after_us(r);
	if (outcome_is_not_run(outcome) && !ingress_key_holds(r)) {
		ingress_conclude_key_withdrawn(r);
		return;
	}
	if (!ingress_may_retry(r, status, outcome)) {
		ingress_conclude(r, status, outcome, retry_us, why);
		return;
	}
	r->may_have_run |= outcome == OUTCOME_UNKNOWN;
	ingress_log_retry(r, status, outcome, why);
	ingress_record_failure(r, status, outcome, retry_us, why);
	ingress_attempt_start(r);
}

void
ingress_on_deadline(void *arg)
{
	struct ingress_request *r = arg;
	struct ingress *ingress = r->ingress;

	if (r->parked) {
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    UNREACHABLE_RETRY_US,
		    r->rules == NULL ? "no rules are in force here yet"
				     : "no backend server can be had");
		return;
	}
	if (r->quota_waiting) {
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    UNREACHABLE_RETRY_US,
		    "the limit of its workspace could not be checked in time");
		return;
	}
	if (r->state == ATTEMPT_NONE) {
		ingress_conclude(
		    r, 504, ingress_not_run_outcome(r), 0, "deadline passed");
		return;
	}
	if (r->exchange != NULL && ingress_withdraw_attempt(r)) {
		ingress_conclude(r, 503, ingress_not_run_outcome(r),
		    UNREACHABLE_RETRY_US, "its body could not be sent in time");
		return;
	}
	if (!r->cancel_sent) {
		r->cancel_sent = true;
		loop_timer_set(ingress->loop, &r->timer,
		    loop_now_us(ingress->loop) + CANCEL_GRACE_US);
		// A server that is at work keeps the deadline itself, and its
		// answer may be on its way.
		ingress_send_cancel(r, true);
		return;
	}
	ingress_attempt_end(r, true);
	ingress_conclude(r, 504, OUTCOME_UNKNOWN, 0, "deadline passed");
}
