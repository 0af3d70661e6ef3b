// Endpoint choice by expected cost, with slow start and outlier ejection.
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/balancer.h"
#include "core/requests/work_left.h"

#define EJECTION_FAILURES  5
#define BASE_EJECTION_US   2000000LL
#define MAX_EJECTION_SHIFT 4
#define FULL_PCT	   100
#define SLOW_START_PCT	   10
#define PERMILLE	   1000
#define KILOBYTE	   1024

/// Assumed speed of a backend server that reports that it is cold.
#define COLD_PCT 50

/// Half-life of the failure rate. A server that failed gets requests again
/// after a few seconds.
#define FAILURE_HALF_LIFE_US 2000000.0

/// Half-life of what the requests at an endpoint are reported to need.
#define WORK_LEFT_HALF_LIFE_US 500000.0

/// Half-life of a reported wait for a limit. Other proxies use what becomes free
/// meanwhile, so that the wait does not end by itself.
#define LIMIT_HALF_LIFE_US 1000000.0
#define LIMIT_COST_MILLI   1000000000LL

/// Prior failure rate of an endpoint with few samples: a few per cent, with the
/// weight of three responses.
#define FAILURE_PRIOR	     0.02
#define FAILURE_PRIOR_WEIGHT 3.0

/// Part of its worth that a request loses by a failure. Less than all of it,
/// since the mesh or the caller retries some failed requests.
#define FAILURE_PERMILLE 700

/// The likelihood of a late response rises from zero at LATE_FROM_PERMILLE of
/// the target to one at LATE_TO_PERMILLE. Service times vary widely, so the
/// range is wide.
#define LATE_FROM_PERMILLE 500
#define LATE_TO_PERMILLE   1300

/// Cost of a request that cannot meet its deadline. Higher than that of a late
/// one, since it occupies a slot without benefit.
#define DEADLINE_MISS_PERMILLE 1500

/// An endpoint with few free slots responds more slowly. The cost rises from
/// zero at UTILIZATION_FROM_PCT to UTILIZATION_PERMILLE with all slots busy.
#define UTILIZATION_FROM_PCT 70
#define UTILIZATION_PERMILLE 60

#define SUSPECT_PERMILLE 500

/// A busy mark also applies to requests with slightly more time than the
/// refused one, by this part: requests of a kind differ by their way here.
#define BUSY_MARGIN_DIVISOR 8

/// Random part of the cost. Endpoints of nearly the same cost are chosen at
/// random, so that proxies with the same view do not all choose the same one.
#define JITTER_PERMILLE 10

/// Cost of network distance. Links between data centres, and more so between
/// regions, are slow and billed by volume. The cost of the volume is bounded,
/// so that a remote endpoint costs less than a missed deadline.
static const struct {
	int64_t fixed_permille;
	int64_t kilobyte_permille;
	int64_t max_permille;
	/// The same for answers: less than an answer loses that may be late.
	int64_t answer_max_permille;
	int64_t round_trip_us; ///< Typical.
} distance_costs[DISTANCE_COUNT] = {
    [DISTANCE_DC] = {0, 2, 200, 20, 300},
    [DISTANCE_REGION] = {5, 12, 700, 120, 2000},
    [DISTANCE_FAR] = {60, 40, 1400, 240, 25000},
};

/// Slots of an endpoint that count as usable: fewer while it is cold or in slow
/// start.
static int64_t
usable_slots(const struct balancer *b, const struct endpoint *e, int64_t now_us)
{
	int64_t left_us = e->slow_start_deadline_us - now_us;
	int64_t pct = FULL_PCT;

	if (e->state == BACKEND_COLD)
		pct = COLD_PCT;
	else if (left_us > 0 && b->slow_start_us > 0)
		pct = SLOW_START_PCT +
		    (FULL_PCT - SLOW_START_PCT) * (b->slow_start_us - left_us) /
			b->slow_start_us;
	pct = (int64_t)e->slots * pct / FULL_PCT;
	return pct > 0 ? pct : 1;
}

/// Estimates the load: the last report, corrected by the requests sent and
/// finished since.
static int64_t
current_load(const struct endpoint *e)
{
	int64_t load = (int64_t)e->reported_load + e->outstanding -
	    e->outstanding_at_report;

	return load < (int64_t)e->outstanding ? e->outstanding : load;
}

/// Counts the requests that are queued ahead of a new one.
static int64_t
count_queued_ahead(int64_t load, int64_t slots)
{
	return load < slots ? 0 : load - slots + 1;
}

/// A request, and defaults for endpoints without a report.
struct choice_context {
	const struct balancer_request *request;
	/// Of all endpoints that reported it. One without a report is assumed to
	/// take as long, so that it does not attract all requests at once.
	int64_t mean_service_us;
	bool sides[ROLLOUT_SIDE_BARRED]; ///< That may get it.
};

/// Expected times of a request at an endpoint.
struct expected_times {
	int64_t until_slot_us; ///< The way there and back, and the wait.
	int64_t service_us;    ///< In a slot.
};

int64_t
balancer_mean_service_us(const struct balancer *b, int64_t now_us)
{
	double sum_us = 0;
	double sum = 0;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		const struct server_speed *speed = &b->endpoints[i]->speed;
		double weight = server_speed_confidence(speed, now_us);

		sum_us += weight * (double)speed->last_us;
		sum += weight;
	}
	return sum > 0 ? (int64_t)(sum_us / sum) : 0;
}

/// Scales a mean time over the requests of a service to a request.
static int64_t
scale_to_route_us(const struct choice_context *q, int64_t mean_us)
{
	uint32_t permille = q->request->relative_service_permille;

	return permille > 0 ? mean_us * permille / PERMILLE : mean_us;
}

/// Estimates the wait for the limit that the backend server states: as reported,
/// and behind the requests sent there since.
static int64_t
estimate_limit_wait_us(const struct endpoint *e, int64_t now_us)
{
	int64_t sent = (int64_t)e->outstanding - e->outstanding_at_report;

	if (e->limit_milli == 0)
		return 0;
	return (int64_t)((double)e->limit_wait_us *
		   exp2(-(double)(now_us - e->reported_us) /
		       LIMIT_HALF_LIFE_US)) +
	    (sent > 0 ? sent : 0) * LIMIT_COST_MILLI / e->limit_milli;
}

/// Usual size of the answer on the link of an endpoint.
static int64_t
answer_on_link(const struct endpoint *e, const struct balancer_request *q)
{
	return e->local ? -1 : q->answer_bytes;
}

/// Estimates the wait for a slot. What the requests there still need is as
/// reported; others replace them with time.
static int64_t
estimate_wait_us(const struct endpoint *e, int64_t load, int64_t slots,
    int64_t service_us, int64_t now_us)
{
	int64_t ahead = count_queued_ahead(load, slots);
	int64_t usual_us = ahead * service_us / slots;
	int64_t reported_us = work_left_wait_us(
	    e->work_left_us, e->reported_load, ahead, slots, service_us);

	return usual_us +
	    (int64_t)(exp2(-(double)(now_us - e->reported_us) /
			  WORK_LEFT_HALF_LIFE_US) *
		(double)(reported_us - usual_us));
}

/// Estimates the time until a slot and in it; both are 0 if no service time is
/// known.
static struct expected_times
estimate_times(struct endpoint *e, const struct choice_context *q, int64_t load,
    int64_t slots, int64_t now_us)
{
	struct expected_times none = {0};
	int64_t service_us =
	    server_speed_expect_us(&e->speed, q->mean_service_us, now_us);
	int64_t limit_us = estimate_limit_wait_us(e, now_us);
	int64_t wait_us;
	int64_t model_us;
	int64_t observed_us;

	if (service_us == 0)
		return none;
	if (e->state == BACKEND_COLD)
		service_us = service_us * FULL_PCT / COLD_PCT;
	wait_us = estimate_wait_us(e, load, slots, service_us, now_us);
	if (wait_us < limit_us)
		wait_us = limit_us;
	model_us = distance_costs[e->distance].round_trip_us + wait_us;
	observed_us = flow_mean_with_prior_us(
	    &e->response_time, model_us + service_us, now_us);
	// Delays that the model leaves out show in the observed times.
	if (observed_us > 2 * (model_us + service_us))
		model_us += observed_us - model_us - service_us;
	return (struct expected_times){
	    model_us, scale_to_route_us(q, service_us)};
}

static int64_t
lateness_cost_permille(const struct choice_context *q, int64_t expected_us)
{
	int64_t part;

	if (expected_us > q->request->deadline_left_us)
		return DEADLINE_MISS_PERMILLE;
	if (q->request->target_left_us <= 0)
		return PERMILLE;
	part = expected_us * PERMILLE / q->request->target_left_us;
	if (part <= LATE_FROM_PERMILLE)
		return part / 20;
	part = (part - LATE_FROM_PERMILLE) * PERMILLE /
	    (LATE_TO_PERMILLE - LATE_FROM_PERMILLE);
	return part < PERMILLE ? part : PERMILLE;
}

static int64_t
utilization_cost_permille(int64_t load, int64_t slots)
{
	int64_t pct = load * FULL_PCT / slots;

	if (pct <= UTILIZATION_FROM_PCT)
		return 0;
	if (pct >= FULL_PCT)
		return UTILIZATION_PERMILLE;
	return (pct - UTILIZATION_FROM_PCT) * UTILIZATION_PERMILLE /
	    (FULL_PCT - UTILIZATION_FROM_PCT);
}

static void
decay_failures(struct endpoint *e, int64_t now_us)
{
	double elapsed_us = (double)(now_us - e->decayed_us);
	double factor;

	if (elapsed_us <= 0)
		return;
	factor = exp2(-elapsed_us / FAILURE_HALF_LIFE_US);
	e->failures *= factor;
	e->responses *= factor;
	e->decayed_us = now_us;
}

static int64_t
failure_cost_permille(struct endpoint *e, int64_t now_us)
{
	decay_failures(e, now_us);
	return (int64_t)(FAILURE_PERMILLE *
	    (e->failures + FAILURE_PRIOR * FAILURE_PRIOR_WEIGHT) /
	    (e->responses + FAILURE_PRIOR_WEIGHT));
}

static int64_t
distance_cost_permille(const struct endpoint *e, const struct choice_context *q)
{
	// Request header and response are about a kilobyte each.
	int64_t kilobytes = 2 + q->request->size_bytes / KILOBYTE;
	int64_t volume;

	if (e->local)
		return 0;
	volume = distance_costs[e->distance].kilobyte_permille * kilobytes;

	if (volume > distance_costs[e->distance].max_permille)
		volume = distance_costs[e->distance].max_permille;
	return distance_costs[e->distance].fixed_permille + volume +
	    link_cost_volume_permille(q->request->answer_bytes,
		distance_costs[e->distance].kilobyte_permille,
		distance_costs[e->distance].answer_max_permille);
}

/// Estimates the part of its worth that a request loses at an endpoint.
static int64_t
cost_permille(struct balancer *b, struct endpoint *e,
    const struct choice_context *q, int64_t now_us,
    struct expected_times *times)
{
	int64_t slots = usable_slots(b, e, now_us);
	int64_t load = current_load(e);
	int64_t cost = distance_cost_permille(e, q) +
	    utilization_cost_permille(load, slots) +
	    failure_cost_permille(e, now_us) +
	    (int64_t)random_below(&b->random, JITTER_PERMILLE);

	*times = estimate_times(e, q, load, slots, now_us);
	if (e->suspect)
		cost += SUSPECT_PERMILLE;
	if (times->service_us == 0 || q->request->deadline_left_us == 0)
		return cost +
		    count_queued_ahead(load, slots) * PERMILLE / slots;
	return cost +
	    lateness_cost_permille(q, times->until_slot_us + times->service_us);
}

static bool
was_tried(const struct endpoint *e, const char (*tried)[MEMBER_NAME_BYTES],
    uint32_t tried_count)
{
	uint32_t i;

	for (i = 0; i < tried_count; i++)
		if (strcmp(tried[i], e->name) == 0)
			return true;
	return false;
}

static bool
is_usable(const struct endpoint *e, bool include_ejected, int64_t now_us)
{
	if (!e->present || !backend_state_takes_work(e->state))
		return false;
	return include_ejected || e->ejected_until_deadline_us <= now_us;
}

/// Time until which an endpoint is marked busy for a request; 0 if it is not.
static int64_t
busy_until_us(
    const struct endpoint *e, const struct balancer_request *q, int64_t now_us)
{
	int64_t full_us =
	    link_cost_full_until_us(&e->link, answer_on_link(e, q), now_us);
	uint32_t i;

	if (full_us > 0)
		return full_us;
	for (i = 0; i < BALANCER_BUSY_MARKS; i++) {
		const struct busy_mark *mark = &e->busy[i];

		if (mark->worth == q->worth && mark->begun == q->begun &&
		    mark->until_deadline_us > now_us &&
		    q->target_left_us <= mark->target_left_us +
			    mark->target_left_us / BUSY_MARGIN_DIVISOR)
			return mark->until_deadline_us;
	}
	return 0;
}

/// Finds the usable endpoint of the lowest cost.
static struct balancer_choice
find_cheapest(struct balancer *b, const struct choice_context *q,
    bool include_ejected, int64_t now_us)
{
	struct balancer_choice choice = {
	    .cost_permille = INT64_MAX, .busy_until_deadline_us = INT64_MAX};
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		struct endpoint *e = b->endpoints[i];
		struct expected_times times;
		int64_t busy_us;
		int64_t cost;

		if (!is_usable(e, include_ejected, now_us) ||
		    e->side == ROLLOUT_SIDE_BARRED || !q->sides[e->side] ||
		    was_tried(e, q->request->tried, q->request->tried_count))
			continue;
		busy_us = busy_until_us(e, q->request, now_us);
		if (busy_us > 0) {
			if (busy_us < choice.busy_until_deadline_us)
				choice.busy_until_deadline_us = busy_us;
			continue;
		}
		choice.candidates++;
		cost = cost_permille(b, e, q, now_us, &times);
		if (cost >= choice.cost_permille)
			continue;
		choice.endpoint = e;
		choice.cost_permille = cost;
		choice.expected_us = times.until_slot_us + times.service_us;
		choice.service_us = times.service_us;
	}
	return choice;
}

/// Finds the cheapest endpoint on the sides of the context.
static struct balancer_choice
find_on_sides(
    struct balancer *b, const struct choice_context *q, int64_t now_us)
{
	struct balancer_choice choice = find_cheapest(b, q, false, now_us);

	// An ejected endpoint is better than none, but a busy one is not.
	if (choice.endpoint == NULL &&
	    choice.busy_until_deadline_us == INT64_MAX)
		choice = find_cheapest(b, q, true, now_us);
	return choice;
}

static bool
side_takes_work(const struct balancer *b, enum rollout_side side)
{
	uint32_t i;

	for (i = 0; i < b->count; i++)
		if (b->endpoints[i]->side == side &&
		    is_usable(b->endpoints[i], true, 0))
			return true;
	return false;
}

/// Finds an endpoint while a roll-out decides between the versions. What is drawn
/// for the new one goes to the old one if that has room only; nothing that is
/// drawn for the old one goes to the new one while an old server takes work.
static struct balancer_choice
find_by_rollout(struct balancer *b, struct choice_context *q, int64_t now_us)
{
	bool wants_new = !b->rollout_own.stopped &&
	    rollout_filter_wants_new(
		&b->rollout, q->request->rollout_draw_permille);
	enum rollout_side first =
	    wants_new ? ROLLOUT_SIDE_NEW : ROLLOUT_SIDE_OLD;
	enum rollout_side second =
	    wants_new ? ROLLOUT_SIDE_OLD : ROLLOUT_SIDE_NEW;
	struct balancer_choice choice;

	q->sides[first] = true;
	choice = find_on_sides(b, q, now_us);
	if (choice.endpoint != NULL ||
	    ((!wants_new || b->rollout.completed) && side_takes_work(b, first)))
		return choice;
	q->sides[first] = false;
	q->sides[second] = true;
	return find_on_sides(b, q, now_us);
}

struct balancer_choice
balancer_choose(
    struct balancer *b, const struct balancer_request *q, int64_t now_us)
{
	struct choice_context context = {.request = q,
	    .mean_service_us = balancer_mean_service_us(b, now_us)};
	struct balancer_choice choice;

	if (b->rollout.running || b->rollout.completed)
		choice = find_by_rollout(b, &context, now_us);
	else {
		context.sides[ROLLOUT_SIDE_OLD] = true;
		choice = find_on_sides(b, &context, now_us);
	}
	if (choice.endpoint != NULL) {
		choice.endpoint->outstanding++;
		flow_enter(&choice.endpoint->response_time, now_us);
	}
	return choice;
}

/// Tells whether another endpoint may be ejected: at most half of a service.
/// If more fail, the cause lies elsewhere.
static bool
may_eject(const struct balancer *b, int64_t now_us)
{
	uint32_t present = 0;
	uint32_t ejected = 0;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		present += b->endpoints[i]->present;
		ejected += b->endpoints[i]->present &&
		    b->endpoints[i]->ejected_until_deadline_us > now_us;
	}
	return (ejected + 1) * 2 <= present;
}

/// Records a result, and ejects an endpoint that keeps failing.
static void
record_result(
    struct balancer *b, struct endpoint *e, bool failed, int64_t now_us)
{
	uint32_t shift;

	decay_failures(e, now_us);
	e->responses += 1;
	e->failures += failed;
	if (!failed) {
		e->failures_in_row = 0;
		if (e->ejected_until_deadline_us <= now_us)
			e->ejections = 0;
		return;
	}
	e->failures_in_row++;
	if (e->failures_in_row < EJECTION_FAILURES ||
	    e->ejected_until_deadline_us > now_us || !may_eject(b, now_us))
		return;
	shift = e->ejections < MAX_EJECTION_SHIFT ? e->ejections
						  : MAX_EJECTION_SHIFT;
	e->ejected_until_deadline_us = now_us + (BASE_EJECTION_US << shift);
	e->ejections++;
	// A single failure after the ejection ends ejects the endpoint again.
	e->failures_in_row = EJECTION_FAILURES - 1;
}

/// Ends a request as load on the slots of an endpoint.
static void
leave_slot(struct endpoint *e, int64_t sent_us, bool failed, int64_t now_us)
{
	assert(e->outstanding > 0);
	e->outstanding--;
	// A failed request is no sample of the response time.
	if (failed)
		flow_cancel(&e->response_time, now_us);
	else
		flow_leave(&e->response_time, now_us - sent_us, now_us);
}

void
balancer_finish(struct balancer *b, struct endpoint *e, int64_t sent_us,
    bool failed, int64_t now_us)
{
	leave_slot(e, sent_us, failed, now_us);
	record_result(b, e, failed, now_us);
}

void
balancer_begin_answer(struct endpoint *e, int64_t sent_us, int64_t now_us)
{
	leave_slot(e, sent_us, false, now_us);
	e->answers++;
}

void
balancer_end_answer(
    struct balancer *b, struct endpoint *e, bool failed, int64_t now_us)
{
	assert(e->answers > 0);
	e->answers--;
	record_result(b, e, failed, now_us);
}

void
balancer_report(
    struct endpoint *e, const struct balancer_report *report, int64_t now_us)
{
	if (report->service_us > 0)
		server_speed_report(&e->speed, report->service_us, now_us);
	e->reported_load = report->running + report->queued;
	e->reported_us = now_us;
	e->outstanding_at_report = e->outstanding;
	e->work_left_us = report->work_left_us;
	e->limit_milli = report->limit_milli;
	e->limit_wait_us = report->limit_wait_us;
}

void
balancer_set_busy(struct endpoint *e, const struct balancer_request *refused,
    int64_t until_deadline_us)
{
	struct busy_mark *mark = &e->busy[0];
	uint32_t i;

	for (i = 0; i < BALANCER_BUSY_MARKS; i++) {
		if (e->busy[i].worth == refused->worth &&
		    e->busy[i].begun == refused->begun) {
			mark = &e->busy[i];
			break;
		}
		if (e->busy[i].until_deadline_us < mark->until_deadline_us)
			mark = &e->busy[i];
	}
	mark->worth = refused->worth;
	mark->begun = refused->begun;
	mark->target_left_us = refused->target_left_us;
	mark->until_deadline_us = until_deadline_us;
}
