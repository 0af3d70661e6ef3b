// Requests that wait: those parked after a start, those left late in a drain.
#include "io/clock.h"
#include "proxy/ingress/ingress_request.h"

static struct ingress_request *
find_visit_pending(const struct ingress *ingress)
{
	struct ingress_request *r = ingress->all;

	while (r != NULL && !r->visit_pending)
		r = r->all_next;
	return r;
}

/// One request can free others: marks all first, then searches the list from
/// its start after each.
void
ingress_resume_parked(void *arg)
{
	struct ingress *ingress = arg;
	struct ingress_request *r;

	if (ingress->rules == NULL)
		return;
	for (r = ingress->all; r != NULL; r = r->all_next)
		r->visit_pending = r->parked;
	while ((r = find_visit_pending(ingress)) != NULL) {
		r->visit_pending = r->parked = false;
		r->attempts = 0;
		if (r->rules == NULL) {
			ingress_route(r);
			continue;
		}
		loop_timer_set(ingress->loop, &r->timer, r->deadline_us);
		ingress_attempt_start(r);
	}
}

void
ingress_recheck_keys(struct ingress *ingress)
{
	struct ingress_request *r;

	for (r = ingress->all; r != NULL; r = r->all_next)
		r->visit_pending = r->exchange != NULL &&
		    r->state <= ATTEMPT_SENT && !ingress_key_holds(r);
	while ((r = find_visit_pending(ingress)) != NULL) {
		r->visit_pending = false;
		if (r->state != ATTEMPT_NONE && !ingress_withdraw_attempt(r))
			ingress_send_cancel(r, true);
		else
			ingress_conclude_key_withdrawn(r);
	}
}

void
ingress_refuse_waiting(struct ingress *ingress)
{
	struct ingress_request *r;

	ingress->retries_disabled = true;
	for (r = ingress->all; r != NULL; r = r->all_next)
		r->visit_pending = r->exchange != NULL;
	while ((r = find_visit_pending(ingress)) != NULL) {
		r->visit_pending = false;
		if (r->state != ATTEMPT_NONE && !ingress_withdraw_attempt(r))
			ingress_send_cancel(r, true);
		else
			ingress_conclude(r, 503, ingress_not_run_outcome(r),
			    DRAINING_RETRY_US, "this proxy is leaving");
	}
}
