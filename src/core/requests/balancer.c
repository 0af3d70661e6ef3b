// Choice by expected loss, with slow start and ejection.
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/balancer.h"

#define EJECT_AFTER_FAILURES 5
#define EJECT_FIRST_US	     2000000LL
#define EJECT_MAX_SHIFT	     4
#define FULL_PCT	     100
#define SLOW_START_PCT	     10
#define PERMILLE	     1000
#define KILOBYTE	     1024

/// A backend server that says it is cold is taken for half as fast.
#define COLD_PCT 50

/// Failures are forgotten with this half-life: a server that failed is tried
/// again after a few seconds.
#define FAILURE_HALF_LIFE_US 2000000.0

/// What a server told of its speed holds for about this time.
#define SERVICE_HALF_LIFE_US 3000000.0

/// Failures of a server of which little is known: a few in a hundred, with the
/// weight of three answers.
#define FAILURE_PRIOR	     0.02
#define FAILURE_PRIOR_WEIGHT 3.0

/// Part of its worth that a request loses by a failure: some are repeated, by
/// the mesh or by the caller.
#define FAILURE_PERMILLE 700

/// An answer is late with a likelihood that rises from none at half of the
/// target to certainty at this part of it: times in a slot spread widely.
#define LATE_FROM_PERMILLE 500
#define LATE_TO_PERMILLE   1300

/// A request that cannot meet its deadline costs more than a late one, since
/// it takes a slot for nothing.
#define HOPELESS_PERMILLE 1500

/// A server that has few slots free answers more slowly.
#define CROWDED_FROM_PCT 70
#define CROWDED_PERMILLE 60

#define SUSPECT_PERMILLE 500

/// Choices that cost nearly the same are made at random, so that proxies that
/// know the same do not all go to one place.
#define JITTER_PERMILLE 10

/// Loss by distance: links between data centres, and more so between regions,
/// are slow and paid by volume. The part for each kilobyte is bounded, so that
/// a request is sent far before it is lost.
static const struct {
	int64_t base_permille;
	int64_t kilobyte_permille;
	int64_t max_permille;
	int64_t round_trip_us; ///< Typical.
} distances[DISTANCE_COUNT] = {
    [DISTANCE_DC] = {0, 2, 200, 300},
    [DISTANCE_REGION] = {5, 12, 700, 2000},
    [DISTANCE_FAR] = {60, 40, 1400, 25000},
};

/// Slots that an endpoint can be given, fewer during a slow start.
static int64_t
usable_slots(const struct balancer *b, const struct endpoint *e, int64_t now_us)
{
	int64_t left_us = e->warm_deadline_us - now_us;
	int64_t pct = FULL_PCT;

	if (e->state == BACKEND_COLD)
		pct = COLD_PCT;
	else if (left_us > 0 && b->warm_us > 0)
		pct = SLOW_START_PCT +
		    (FULL_PCT - SLOW_START_PCT) * (b->warm_us - left_us) /
			b->warm_us;
	pct = (int64_t)e->slots * pct / FULL_PCT;
	return pct > 0 ? pct : 1;
}

/// Load estimate: what was told, corrected by what was sent and answered
/// since.
static int64_t
current_load(const struct endpoint *e)
{
	int64_t load =
	    (int64_t)e->reported + e->outstanding - e->outstanding_at_report;

	return load < (int64_t)e->outstanding ? e->outstanding : load;
}

/// Requests that would wait before a new one gets a slot.
static int64_t
count_ahead(int64_t load, int64_t slots)
{
	return load < slots ? 0 : load - slots + 1;
}

/// A request and what stands in for what is not known of an endpoint.
struct query {
	const struct balancer_request *request;
	int64_t mean_service_us; ///< Of the endpoints of which it is known.
};

/// How far what an endpoint told of its speed still holds.
static double
service_weight(const struct endpoint *e, int64_t now_us)
{
	if (e->service_us == 0)
		return 0;
	return exp2(
	    -(double)(now_us - e->service_told_us) / SERVICE_HALF_LIFE_US);
}

/// Mean time in a slot over the endpoints, those that told it last foremost.
/// One that is new is taken for such a one, so that not all goes to it at once.
static int64_t
mean_service_us(const struct balancer *b, int64_t now_us)
{
	double sum_us = 0;
	double sum = 0;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		double weight = service_weight(b->endpoints[i], now_us);

		sum_us += weight * (double)b->endpoints[i]->service_us;
		sum += weight;
	}
	return sum > 0 ? (int64_t)(sum_us / sum) : 0;
}

/// Mean time in a slot at an endpoint. What it told fades towards the mean of
/// all, so that one that was slow is tried again.
static int64_t
effective_service_us(
    const struct endpoint *e, const struct query *q, int64_t now_us)
{
	double weight;

	if (e->service_us == 0)
		return q->mean_service_us;
	weight =
	    exp2(-(double)(now_us - e->service_told_us) / SERVICE_HALF_LIFE_US);
	return q->mean_service_us +
	    (int64_t)(weight * (double)(e->service_us - q->mean_service_us));
}

/// Expected time until the answer; 0 if nothing is known of it.
static int64_t
expect_us(struct endpoint *e, const struct query *q, int64_t load,
    int64_t slots, int64_t now_us)
{
	int64_t length = q->request->length_permille > 0
	    ? q->request->length_permille
	    : PERMILLE;
	int64_t service_us = effective_service_us(e, q, now_us);
	int64_t model_us;
	int64_t own_us;

	if (service_us == 0)
		return 0;
	if (e->state == BACKEND_COLD)
		service_us = service_us * FULL_PCT / COLD_PCT;
	model_us = distances[e->distance].round_trip_us +
	    count_ahead(load, slots) * service_us / slots;
	own_us =
	    flow_mean_expecting_us(&e->answers, model_us + service_us, now_us);
	// What the model does not know of shows in the own answers.
	if (own_us > 2 * (model_us + service_us))
		model_us += own_us - model_us - service_us;
	return model_us + service_us * length / PERMILLE;
}

static int64_t
late_permille(const struct query *q, int64_t expected_us)
{
	int64_t part;

	if (expected_us > q->request->deadline_left_us)
		return HOPELESS_PERMILLE;
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
crowd_permille(int64_t load, int64_t slots)
{
	int64_t pct = load * FULL_PCT / slots;

	if (pct <= CROWDED_FROM_PCT)
		return 0;
	if (pct >= FULL_PCT)
		return CROWDED_PERMILLE;
	return (pct - CROWDED_FROM_PCT) * CROWDED_PERMILLE /
	    (FULL_PCT - CROWDED_FROM_PCT);
}

static void
fade_failures(struct endpoint *e, int64_t now_us)
{
	double passed_us = (double)(now_us - e->faded_us);
	double factor;

	if (passed_us <= 0)
		return;
	factor = exp2(-passed_us / FAILURE_HALF_LIFE_US);
	e->failed *= factor;
	e->answered *= factor;
	e->faded_us = now_us;
}

static int64_t
failure_permille(struct endpoint *e, int64_t now_us)
{
	fade_failures(e, now_us);
	return (int64_t)(FAILURE_PERMILLE *
	    (e->failed + FAILURE_PRIOR * FAILURE_PRIOR_WEIGHT) /
	    (e->answered + FAILURE_PRIOR_WEIGHT));
}

static int64_t
distance_permille(const struct endpoint *e, const struct query *q)
{
	// Head and answer are about a kilobyte each.
	int64_t kilobytes = 2 + q->request->size_bytes / KILOBYTE;
	int64_t volume;

	if (e->own)
		return 0;
	volume = distances[e->distance].kilobyte_permille * kilobytes;

	if (volume > distances[e->distance].max_permille)
		volume = distances[e->distance].max_permille;
	return distances[e->distance].base_permille + volume;
}

/// Part of its worth that a request is likely to lose at an endpoint.
static int64_t
cost_permille(struct balancer *b, struct endpoint *e, const struct query *q,
    int64_t now_us, int64_t *expected_us)
{
	int64_t slots = usable_slots(b, e, now_us);
	int64_t load = current_load(e);
	int64_t cost = distance_permille(e, q) + crowd_permille(load, slots) +
	    failure_permille(e, now_us) +
	    (int64_t)random_below(&b->random, JITTER_PERMILLE);

	*expected_us = expect_us(e, q, load, slots, now_us);
	if (e->suspect)
		cost += SUSPECT_PERMILLE;
	if (*expected_us == 0 || q->request->deadline_left_us == 0)
		return cost + count_ahead(load, slots) * PERMILLE / slots;
	return cost + late_permille(q, *expected_us);
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
is_usable(const struct endpoint *e, bool also_ejected, int64_t now_us)
{
	if (!e->present ||
	    (e->state != BACKEND_READY && e->state != BACKEND_COLD))
		return false;
	return also_ejected || e->ejected_until_deadline_us <= now_us;
}

/// Time until which an endpoint has no room for the rank of a worth; 0 if it
/// may have.
static int64_t
busy_until_us(const struct endpoint *e, uint32_t worth, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < BALANCER_BUSY_MARKS; i++)
		if (e->busy[i].worth == worth &&
		    e->busy[i].until_deadline_us > now_us)
			return e->busy[i].until_deadline_us;
	return 0;
}

/// Looks at all endpoints and keeps the one that costs least.
static struct balancer_choice
search(struct balancer *b, const struct query *q, bool also_ejected,
    int64_t now_us)
{
	struct balancer_choice choice = {
	    .cost_permille = INT64_MAX, .busy_until_deadline_us = INT64_MAX};
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		struct endpoint *e = b->endpoints[i];
		int64_t expected_us;
		int64_t busy_us;
		int64_t cost;

		if (!is_usable(e, also_ejected, now_us) ||
		    was_tried(e, q->request->tried, q->request->tried_count))
			continue;
		busy_us = busy_until_us(e, q->request->worth, now_us);
		if (busy_us > 0) {
			if (busy_us < choice.busy_until_deadline_us)
				choice.busy_until_deadline_us = busy_us;
			continue;
		}
		choice.candidates++;
		cost = cost_permille(b, e, q, now_us, &expected_us);
		if (cost >= choice.cost_permille)
			continue;
		choice.endpoint = e;
		choice.cost_permille = cost;
		choice.expected_us = expected_us;
	}
	return choice;
}

struct balancer_choice
balancer_choose(
    struct balancer *b, const struct balancer_request *q, int64_t now_us)
{
	struct query query = {q, mean_service_us(b, now_us)};
	struct balancer_choice choice = search(b, &query, false, now_us);

	// An ejected endpoint is better than none; a busy one is not.
	if (choice.endpoint == NULL &&
	    choice.busy_until_deadline_us == INT64_MAX)
		choice = search(b, &query, true, now_us);
	if (choice.endpoint != NULL) {
		choice.endpoint->outstanding++;
		flow_enter(&choice.endpoint->answers, now_us);
	}
	return choice;
}

/// Ejects at most half of a service: if more fail, the fault is elsewhere.
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

void
balancer_finish(struct balancer *b, struct endpoint *e, int64_t sent_us,
    bool failed, int64_t now_us)
{
	uint32_t shift;

	assert(e->outstanding > 0);
	e->outstanding--;
	// A failure tells nothing of the time that work takes.
	if (failed)
		flow_cancel(&e->answers, now_us);
	else
		flow_leave(&e->answers, now_us - sent_us, now_us);
	fade_failures(e, now_us);
	e->answered += 1;
	e->failed += failed;
	if (!failed) {
		e->failures_in_row = 0;
		if (e->ejected_until_deadline_us <= now_us)
			e->ejections = 0;
		return;
	}
	e->failures_in_row++;
	if (e->failures_in_row < EJECT_AFTER_FAILURES ||
	    e->ejected_until_deadline_us > now_us || !may_eject(b, now_us))
		return;
	shift = e->ejections < EJECT_MAX_SHIFT ? e->ejections : EJECT_MAX_SHIFT;
	e->ejected_until_deadline_us = now_us + (EJECT_FIRST_US << shift);
	e->ejections++;
	// One more failure after the return is enough to eject again.
	e->failures_in_row = EJECT_AFTER_FAILURES - 1;
}

void
balancer_report(struct endpoint *e, uint32_t running, uint32_t queued,
    int64_t service_us, int64_t now_us)
{
	if (service_us > 0) {
		e->service_us = service_us;
		e->service_told_us = now_us;
	}
	e->reported = running + queued;
	e->reported_us = now_us;
	e->outstanding_at_report = e->outstanding;
}

void
balancer_set_busy(struct endpoint *e, uint32_t worth, int64_t until_deadline_us)
{
	uint32_t oldest = 0;
	uint32_t i;

	for (i = 0; i < BALANCER_BUSY_MARKS; i++) {
		if (e->busy[i].worth == worth) {
			oldest = i;
			break;
		}
		if (e->busy[i].until_deadline_us <
		    e->busy[oldest].until_deadline_us)
			oldest = i;
	}
	e->busy[oldest].worth = worth;
	e->busy[oldest].until_deadline_us = until_deadline_us;
}
