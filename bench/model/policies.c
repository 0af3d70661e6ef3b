// Alternative policies to compare with those in production.
#include <string.h>

#include "model/model.h"

static int
pick_oldest(struct admission *a, int64_t now_us)
{
	int best = -1;
	uint32_t i;

	(void)now_us;
	for (i = 0; i < a->rank_count; i++)
		if (a->ranks[i].head != NULL &&
		    (best < 0 ||
			a->ranks[i].head->arrival_us <
			    a->ranks[best].head->arrival_us))
			best = (int)i;
	return best;
}

static const struct admission_policy admission_fifo = {pick_oldest, "arrival"};

static bool
is_candidate(const struct endpoint *e, const struct balancer_request *q)
{
	uint32_t i;

	if (!e->present ||
	    (e->state != BACKEND_READY && e->state != BACKEND_COLD))
		return false;
	for (i = 0; i < q->tried_count; i++)
		if (strcmp(q->tried[i], e->name) == 0)
			return false;
	return true;
}

/// Estimates the load per slot: the last report, corrected by the requests sent
/// and finished since.
static double
load_per_slot(const struct endpoint *e)
{
	return ((double)e->reported_load + e->outstanding -
		   e->outstanding_at_report) /
	    e->slots;
}

/// Counts a request as sent to the endpoint, as balancer_choose() does.
static struct balancer_choice
record_choice(struct endpoint *e, int64_t now_us)
{
	struct balancer_choice choice = {
	    .endpoint = e, .busy_until_deadline_us = INT64_MAX};

	if (e != NULL) {
		e->outstanding++;
		flow_enter(&e->response_time, now_us);
	}
	return choice;
}

/// Chooses a random one of the nearest endpoints and ignores their load.
static struct balancer_choice
choose_nearest(
    struct balancer *b, const struct balancer_request *q, int64_t now_us)
{
	struct endpoint *best = NULL;
	uint32_t ties = 0;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		struct endpoint *e = b->endpoints[i];

		if (!is_candidate(e, q) ||
		    (best != NULL && e->distance > best->distance))
			continue;
		ties = best != NULL && e->distance == best->distance ? ties + 1
								     : 1;
		if (random_below(&b->random, ties) == 0 || ties == 1)
			best = e;
	}
	return record_choice(best, now_us);
}

/// Chooses the less loaded of two random endpoints (power of two choices).
static struct balancer_choice
choose_best_of_two(
    struct balancer *b, const struct balancer_request *q, int64_t now_us)
{
	struct endpoint *best = NULL;
	uint32_t drawn;
	uint32_t tries;

	for (drawn = tries = 0; drawn < 2 && tries < 4 * b->count; tries++) {
		struct endpoint *e =
		    b->endpoints[random_below(&b->random, b->count)];

		if (!is_candidate(e, q) || e == best)
			continue;
		drawn++;
		if (best == NULL || load_per_slot(e) < load_per_slot(best))
			best = e;
	}
	return record_choice(best, now_us);
}

const struct model_policy model_product = {"rank, expected loss",
    &admission_reserved_shares, balancer_choose, true, false};

const struct model_policy model_policies[] = {
    {"arrival, nearest", &admission_fifo, choose_nearest, true, false},
    {"arrival, best of two", &admission_fifo, choose_best_of_two, true, false},
    {"arrival, expected loss", &admission_fifo, balancer_choose, true, false},
    {"rank, nearest", &admission_reserved_shares, choose_nearest, true, false},
    {"rank, best of two", &admission_reserved_shares, choose_best_of_two, true,
	false},
    {"rank, expected loss, no repeats", &admission_reserved_shares,
	balancer_choose, false, false},
    {"rank, expected loss, oracle", &admission_reserved_shares, balancer_choose,
	true, true},
    {"rank, expected loss", &admission_reserved_shares, balancer_choose, true,
	false},
};

const uint32_t model_policy_count =
    sizeof(model_policies) / sizeof(model_policies[0]);
