// Parking of requests until this proxy has rules and endpoints.
#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/ingress/ingress_request.h"

/// A request is parked for at most its time divided by this, so that a caller
/// that is then refused can still retry once or twice.
#define PARK_TIME_DIVISOR 3

/// Time between retries while requests are parked.
#define PARK_RETRY_PERIOD_US (50 * US_PER_MS)

COUNTER_DEFINE(count_parked, "ingress_parked",
    "Requests that waited for the proxy's start");

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
	until_us =
	    arrival_us + (r->deadline_us - arrival_us) / PARK_TIME_DIVISOR;
	if (now_us >= until_us)
		return false;
	if (!r->parked_before)
		counter_add(&count_parked, 1);
	r->parked = r->parked_before = true;
	loop_timer_set(ingress->loop, &r->timer, until_us);
	if (ingress->parked_timer.heap_index == 0)
		loop_timer_set(ingress->loop, &ingress->parked_timer,
		    now_us + PARK_RETRY_PERIOD_US);
	return true;
}
