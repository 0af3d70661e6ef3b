// Sequential comparison of a new version with the old one.
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/rollout/rollout_judge.h"

/// Log of the odds at which a version counts as bad. By Page, a good version of
/// a steady service reaches it once in about e^14, a million answers.
#define EVIDENCE 14.0

/// Least difference in the share of bad answers that is looked for. Callers
/// retry a few failures, but not a quarter of all answers.
#define EXCESS 0.25

#define MAX_SHARE 0.95

/// Half-life of the old version's answers.
#define HALF_LIFE_US 3000000.0

/// Share of bad answers assumed of the old version, with the weight of this many
/// answers.
#define PRIOR_SHARE  0.02
#define PRIOR_WEIGHT 30.0

/// Floor of the assumed share. Higher when the old version's answers are old or
/// few: what hits both versions then shows in the new one's only.
#define LEAST_SHARE	  0.03
#define LEAST_STALE_SHARE 0.12
#define FRESH_ANSWERS	  20.0

/// An answer is slow from this many doublings of the old version's median.
#define SLOW_DOUBLINGS 2

/// Answers of the old version from which its median is known.
#define MEDIAN_ANSWERS 20.0

/// Least number of bad servers, and their least share of those that answered as
/// a divisor.
#define BAD_SERVERS	    3
#define BAD_SERVERS_DIVISOR 5

void
rollout_judge_init(struct rollout_judge *judge)
{
	memset(judge, 0, sizeof(*judge));
}

void
rollout_judge_free(struct rollout_judge *judge)
{
	free(judge->servers);
	memset(judge, 0, sizeof(*judge));
}

static struct rollout_judge_route *
get_route(struct rollout_judge *judge, uint64_t route)
{
	uint32_t i;

	for (i = 0; i < judge->route_count; i++)
		if (judge->routes[i].route == route)
			return &judge->routes[i];
	if (judge->route_count == ROLLOUT_JUDGE_ROUTES)
		return NULL;
	judge->routes[judge->route_count].route = route;
	return &judge->routes[judge->route_count++];
}

static struct rollout_judge_server *
get_server(struct rollout_judge *judge, uint64_t server)
{
	struct rollout_judge_server *s;
	uint32_t i;

	for (i = 0; i < judge->server_count; i++)
		if (judge->servers[i].server == server)
			return &judge->servers[i];
	judge->servers = realloc(judge->servers,
	    (judge->server_count + 1) * sizeof(*judge->servers));
	assert(judge->servers != NULL);
	s = &judge->servers[judge->server_count++];
	memset(s, 0, sizeof(*s));
	s->server = server;
	return s;
}

static void
decay(struct rollout_reference *old, int64_t now_us)
{
	double factor =
	    exp2(-(double)(now_us - old->decayed_us) / HALF_LIFE_US);
	uint32_t i;

	if (now_us <= old->decayed_us)
		return;
	old->answers *= factor;
	old->failures *= factor;
	for (i = 0; i < ROLLOUT_RUN_BUCKETS; i++)
		old->runs[i] *= factor;
	old->decayed_us = now_us;
}

static void
add_old(struct rollout_reference *old, const struct rollout_route_counts *c)
{
	uint32_t i;

	old->answers += c->answers;
	old->failures += c->failures;
	for (i = 0; i < ROLLOUT_RUN_BUCKETS; i++)
		old->runs[i] += c->runs[i];
}

/// Returns the bucket from which an answer is slow; ROLLOUT_RUN_BUCKETS if the
/// old version's median is not known.
static uint32_t
slow_bucket(const struct rollout_reference *old)
{
	double total = 0;
	double below = 0;
	uint32_t i;

	for (i = 0; i < ROLLOUT_RUN_BUCKETS; i++)
		total += old->runs[i];
	if (total < MEDIAN_ANSWERS)
		return ROLLOUT_RUN_BUCKETS;
	for (i = 0; i < ROLLOUT_RUN_BUCKETS - 1 && below * 2 < total; i++)
		below += old->runs[i];
	return i + SLOW_DOUBLINGS * ROLLOUT_BUCKETS_PER_DOUBLING;
}

/// Expected share of bad answers, from those of the old version.
static double
expected_share(const struct rollout_reference *old, double bad, double answers)
{
	double share =
	    (bad + PRIOR_SHARE * PRIOR_WEIGHT) / (answers + PRIOR_WEIGHT);
	double least =
	    old->answers < FRESH_ANSWERS ? LEAST_STALE_SHARE : LEAST_SHARE;

	return share > least ? share : least;
}

/// Adds bad and good answers to a test.
static void
add_evidence(double *sum, double share, double bad, double good)
{
	double worse = share + EXCESS < MAX_SHARE ? share + EXCESS : MAX_SHARE;

	if (share >= MAX_SHARE)
		return;
	*sum +=
	    bad * log(worse / share) + good * log((1 - worse) / (1 - share));
	if (*sum < 0)
		*sum = 0;
}

static void
add_new(struct rollout_judge *judge, struct rollout_judge_route *r,
    struct rollout_judge_server *s, const struct rollout_route_counts *c)
{
	uint32_t slow_from = slow_bucket(&r->old);
	uint32_t bit = 1u << (r - judge->routes);
	double old_slow = 0;
	double old_runs = 0;
	uint32_t slow = 0;
	uint32_t runs = 0;
	uint32_t i;

	for (i = 0; i < ROLLOUT_RUN_BUCKETS; i++) {
		old_runs += r->old.runs[i];
		old_slow += i >= slow_from ? r->old.runs[i] : 0;
		runs += c->runs[i];
		slow += i >= slow_from ? c->runs[i] : 0;
	}
	r->answers += c->answers;
	r->bad[ROLLOUT_FAULT_FAILED] += c->failures;
	r->bad[ROLLOUT_FAULT_SLOW] += slow;
	if (c->answers > 0)
		s->answered |= bit;
	if (c->failures > 0)
		s->bad[ROLLOUT_FAULT_FAILED] |= bit;
	if (slow > 0)
		s->bad[ROLLOUT_FAULT_SLOW] |= bit;
	add_evidence(&r->sums[ROLLOUT_FAULT_FAILED],
	    expected_share(&r->old, r->old.failures, r->old.answers),
	    c->failures, c->answers - c->failures);
	if (slow_from < ROLLOUT_RUN_BUCKETS)
		add_evidence(&r->sums[ROLLOUT_FAULT_SLOW],
		    expected_share(&r->old, old_slow, old_runs), slow,
		    runs - slow);
}

void
rollout_judge_add(struct rollout_judge *judge, uint64_t server, bool is_new,
    const struct rollout_counts *counts, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < counts->count; i++) {
		const struct rollout_route_counts *c = &counts->routes[i];
		struct rollout_judge_route *r = get_route(judge, c->route);

		if (r == NULL)
			continue;
		decay(&r->old, now_us);
		if (is_new) {
			judge->answers += c->answers;
			add_new(judge, r, get_server(judge, server), c);
		} else
			add_old(&r->old, c);
	}
}

/// Counts the servers that answered on a route, and those with bad answers.
static void
count_servers(const struct rollout_judge *judge, uint32_t route,
    enum rollout_fault fault, struct rollout_finding *finding)
{
	uint32_t i;

	finding->servers = finding->bad_servers = 0;
	for (i = 0; i < judge->server_count; i++) {
		finding->servers += judge->servers[i].answered >> route & 1;
		finding->bad_servers +=
		    judge->servers[i].bad[fault] >> route & 1;
	}
}

static bool
is_spread(const struct rollout_finding *f)
{
	uint32_t needed = f->servers < BAD_SERVERS ? f->servers : BAD_SERVERS;

	return f->bad_servers >= needed &&
	    f->bad_servers * BAD_SERVERS_DIVISOR >= f->servers;
}

bool
rollout_judge_is_bad(
    const struct rollout_judge *judge, struct rollout_finding *finding)
{
	uint32_t fault;
	uint32_t i;

	for (i = 0; i < judge->route_count; i++) {
		const struct rollout_judge_route *r = &judge->routes[i];

		for (fault = 0; fault < ROLLOUT_FAULTS; fault++) {
			if (r->sums[fault] < EVIDENCE)
				continue;
			finding->fault = (enum rollout_fault)fault;
			finding->route = r->route;
			finding->answers = r->answers;
			finding->bad = r->bad[fault];
			finding->old_share = r->old.answers > 0
			    ? r->old.failures / r->old.answers
			    : 0;
			count_servers(judge, i, finding->fault, finding);
			if (is_spread(finding))
				return true;
		}
	}
	return false;
}
