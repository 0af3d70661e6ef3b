// Requests that wait: for this proxy to know the mesh, or for the end of a drain.
#include "io/clock.h"
#include "proxy/ingress/ingress_request.h"

static struct ingress_request *
find_marked(const struct ingress *ingress)
{
	struct ingress_request *r = ingress->all;

	while (r != NULL && !r->marked)
		r = r->all_next;
	return r;
}

/// Tries again what waits for this proxy to know the mesh. One can end others:
/// marks all first, then looks anew after each.
void
ingress_resume_parked(void *arg)
{
	struct ingress *ingress = arg;
	struct ingress_request *r;

	if (ingress->rules == NULL)
		return;
	for (r = ingress->all; r != NULL; r = r->all_next)
		r->marked = r->parked;
	while ((r = find_marked(ingress)) != NULL) {
		r->marked = r->parked = false;
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
ingress_give_up_waiting(struct ingress *ingress)
{
	struct ingress_request *r;

	ingress->ending = true;
	for (r = ingress->all; r != NULL; r = r->all_next)
		r->marked = r->exchange != NULL;
	while ((r = find_marked(ingress)) != NULL) {
		r->marked = false;
		if (r->state != ATTEMPT_NONE && !ingress_withdraw(r))
			ingress_send_cancel(r, true);
		else
			ingress_conclude(r, 503, ingress_not_run_outcome(r),
			    LEAVING_RETRY_US, "this proxy is leaving");
	}
}
