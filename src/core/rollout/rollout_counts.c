// Counts of answers by route, with histograms of run times.
#include <string.h>

#include "core/rollout/rollout_counts.h"

#define FIRST_BUCKET_US 1000

uint32_t
rollout_run_bucket(int64_t run_us)
{
	double limit_us = FIRST_BUCKET_US;
	uint32_t bucket = 0;

	while (bucket < ROLLOUT_RUN_BUCKETS - 1 && (double)run_us > limit_us) {
		limit_us *= 1.4142135623730951;
		bucket++;
	}
	return bucket;
}

struct rollout_route_counts *
rollout_counts_get(struct rollout_counts *counts, uint64_t route)
{
	uint32_t i;

	for (i = 0; i < counts->count; i++)
		if (counts->routes[i].route == route)
			return &counts->routes[i];
	if (counts->count == ROLLOUT_MAX_ROUTES)
		return NULL;
	memset(&counts->routes[counts->count], 0, sizeof(counts->routes[0]));
	counts->routes[counts->count].route = route;
	return &counts->routes[counts->count++];
}

void
rollout_counts_add(
    struct rollout_counts *counts, uint64_t route, bool failed, int64_t run_us)
{
	struct rollout_route_counts *r = rollout_counts_get(counts, route);

	if (r == NULL)
		return;
	r->answers++;
	r->failures += failed;
	if (!failed && run_us > 0)
		r->runs[rollout_run_bucket(run_us)]++;
}

uint64_t
rollout_counts_total(const struct rollout_counts *counts)
{
	uint64_t total = 0;
	uint32_t i;

	for (i = 0; i < counts->count; i++)
		total += counts->routes[i].answers;
	return total;
}

static bool
subtract_route(struct rollout_route_counts *newer,
    const struct rollout_route_counts *earlier)
{
	uint32_t i;

	if (newer->answers < earlier->answers ||
	    newer->failures < earlier->failures)
		return false;
	newer->answers -= earlier->answers;
	newer->failures -= earlier->failures;
	for (i = 0; i < ROLLOUT_RUN_BUCKETS; i++) {
		if (newer->runs[i] < earlier->runs[i])
			return false;
		newer->runs[i] -= earlier->runs[i];
	}
	return true;
}

bool
rollout_counts_subtract(
    struct rollout_counts *newer, const struct rollout_counts *earlier)
{
	uint32_t i;

	for (i = 0; i < earlier->count; i++) {
		struct rollout_route_counts *r =
		    rollout_counts_get(newer, earlier->routes[i].route);

		if (r == NULL || !subtract_route(r, &earlier->routes[i]))
			return false;
	}
	return true;
}
