// Requests that wait: for this proxy to know the mesh, or for the end of a drain.
#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/ingress/ingress_request.h"

/// Part of the time that a request has which it may wait for that. A caller
/// that is then refused can still come back once or twice.
#define PARK_PART 3

/// Between tries while requests are parked.
#define PARK_RETRY_US (50 * US_PER_MS)

COUNTER_DEFINE(count_parked, "ingress_parked", "Waited for the proxy's start");

bool
ingress_park(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;
	int64_t now_us = loop_now_us(ingress->loop);
	int64_t arrival_us;
	int64_t until_us;

	if (r->exchange == NULL || now_us >= ingress->start_deadline_us)
		return false;
	arrival_us = r->exchange->arrival_us;
	until_us = arrival_us + (r->deadline_us - arrival_us) / PARK_PART;
	if (now_us >= until_us)
		return false;
	if (!r->parked)
		counter_add(&count_parked, 1);
	r->parked = true;
	loop_timer_set(ingress->loop, &r->timer, until_us);
	if (ingress->parked_timer.heap_index == 0)
		loop_timer_set(ingress->loop, &ingress->parked_timer,
		    now_us + PARK_RETRY_US);
	return true;
}

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
