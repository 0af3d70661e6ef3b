// Sequential comparison of a new version with the old one.
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/rollout/rollout_judge.h"

/// Log of the odds at which a version counts as bad. By Page, a good version of
/// a steady service reaches it about once in e^18, 65 million answers.
#define EVIDENCE 18.0

/// The same at which its share does not grow.
#define DOUBT 4.0

/// Least difference in the share of bad answers that is looked for. Callers
/// retry a few failures, but not a quarter of all answers.
#define EXCESS 0.25

#define MAX_SHARE 0.95

/// Length of a window: the time between two counts of a proxy, and of their way.
#define WINDOW_US 500000LL

/// Share of bad answers assumed of the old version, with the weight of this many
/// answers.
#define PRIOR_SHARE  0.02
#define PRIOR_WEIGHT 30.0

/// Floor of the assumed share. Higher when the old version's answers are old or
/// few: what hits both versions then shows in the new one's only.
#define LEAST_SHARE	  0.03
#define LEAST_STALE_SHARE 0.2
#define FRESH_ANSWERS	  20.0

/// An answer is slow from this many doublings of the old version's median.
#define SLOW_DOUBLINGS 2

/// Answers of the old version from which its median is known.
#define MEDIAN_ANSWERS 20.0

/// The worst servers, one in this many, are left out, if at least LEAST_SERVERS
/// answered.
#define WORST_DIVISOR 5
#define LEAST_SERVERS 3

/// What the others need: bad answers, and more than the expected share of them by
/// this.
#define OTHERS_BAD    3
#define OTHERS_EXCESS 0.05

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
sample_add(struct rollout_sample *s, const struct rollout_route_counts *counts)
{
	uint32_t i;

	s->answers += counts->answers;
	s->failures += counts->failures;
	for (i = 0; i < ROLLOUT_RUN_BUCKETS; i++)
		s->runs[i] += counts->runs[i];
}

/// Lets the sample decay by one window, with a half-life of six, and adds that
/// window.
static void
sample_decay_and_add(
    struct rollout_sample *s, const struct rollout_sample *window)
{
	static const double keep = 0.8908987181403393;
	uint32_t i;

	s->answers = s->answers * keep + window->answers;
	s->failures = s->failures * keep + window->failures;
	for (i = 0; i < ROLLOUT_RUN_BUCKETS; i++)
		s->runs[i] = s->runs[i] * keep + window->runs[i];
}

/// Counts the answers with a known run time, from a bucket on.
static double
sample_runs(const struct rollout_sample *s, uint32_t from)
{
	double runs = 0;
	uint32_t i;

	for (i = from; i < ROLLOUT_RUN_BUCKETS; i++)
		runs += s->runs[i];
	return runs;
}

/// Returns the bucket from which an answer is slow; ROLLOUT_RUN_BUCKETS if the
/// old version's median is not known.
static uint32_t
slow_bucket(const struct rollout_sample *old)
{
	double total = sample_runs(old, 0);
	double below = 0;
	uint32_t i;

	if (total < MEDIAN_ANSWERS)
		return ROLLOUT_RUN_BUCKETS;
	for (i = 0; i < ROLLOUT_RUN_BUCKETS - 1 && below * 2 < total; i++)
		below += old->runs[i];
	return i + SLOW_DOUBLINGS * ROLLOUT_BUCKETS_PER_DOUBLING;
}

static double
share_with_prior(double bad, double answers)
{
	return (bad + PRIOR_SHARE * PRIOR_WEIGHT) / (answers + PRIOR_WEIGHT);
}

/// Expected share of bad answers: that of the old version, over some seconds or
/// in this window alone, whichever is higher.
static double
expected_share(double bad, double answers, double bad_now, double answers_now)
{
	double share = share_with_prior(bad, answers);
	double now = share_with_prior(bad_now, answers_now);
	double least =
	    answers < FRESH_ANSWERS ? LEAST_STALE_SHARE : LEAST_SHARE;

	if (now > share)
		share = now;
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

/// Adds the answers of a window to a test. One that falls to 0 starts anew.
static void
add_window(struct rollout_judge_route *r, enum rollout_fault fault,
    double share, double bad, double good)
{
	r->shares[fault] = share;
	add_evidence(&r->sums[fault], share, bad, good);
	if (r->sums[fault] == 0)
		r->rises[fault]++;
}

/// Compares the answers of the window on a route.
static void
compare_route(struct rollout_judge_route *r)
{
	const struct rollout_sample *now = &r->new_now;
	uint32_t slow_from;
	double slow;

	sample_decay_and_add(&r->old, &r->old_now);
	slow_from = slow_bucket(&r->old);
	if (now->answers > 0)
		add_window(r, ROLLOUT_FAULT_FAILED,
		    expected_share(r->old.failures, r->old.answers,
			r->old_now.failures, r->old_now.answers),
		    now->failures, now->answers - now->failures);
	if (slow_from < ROLLOUT_RUN_BUCKETS && now->answers > 0) {
		slow = sample_runs(now, slow_from);
		add_window(r, ROLLOUT_FAULT_SLOW,
		    expected_share(sample_runs(&r->old, slow_from),
			sample_runs(&r->old, 0),
			sample_runs(&r->old_now, slow_from),
			sample_runs(&r->old_now, 0)),
		    slow, sample_runs(now, 0) - slow);
	}
	memset(&r->old_now, 0, sizeof(r->old_now));
	memset(&r->new_now, 0, sizeof(r->new_now));
}

void
rollout_judge_tick(struct rollout_judge *judge, int64_t now_us)
{
	uint32_t i;

	if (now_us < judge->window_deadline_us)
		return;
	if (judge->window_deadline_us != 0)
		for (i = 0; i < judge->route_count; i++)
			compare_route(&judge->routes[i]);
	judge->window_deadline_us = now_us + WINDOW_US;
}

static void
tally(struct rollout_judge_tally *t, uint64_t rise, uint32_t answers,
    uint32_t bad)
{
	if (t->rise != rise)
		memset(t, 0, sizeof(*t));
	t->rise = rise;
	t->answers += answers;
	t->bad += bad;
}

static void
add_new(struct rollout_judge *judge, struct rollout_judge_route *r,
    uint64_t server, const struct rollout_route_counts *c)
{
	struct rollout_judge_tally *tallies =
	    get_server(judge, server)->tallies[r - judge->routes];
	uint32_t slow_from = slow_bucket(&r->old);
	uint32_t slow = 0;
	uint32_t i;

	for (i = slow_from; i < ROLLOUT_RUN_BUCKETS; i++)
		slow += c->runs[i];
	sample_add(&r->new_now, c);
	judge->answers += c->answers;
	tally(&tallies[ROLLOUT_FAULT_FAILED], r->rises[ROLLOUT_FAULT_FAILED],
	    c->answers, c->failures);
	tally(&tallies[ROLLOUT_FAULT_SLOW], r->rises[ROLLOUT_FAULT_SLOW],
	    c->answers, slow);
}

void
rollout_judge_add(struct rollout_judge *judge, uint64_t server, bool is_new,
    const struct rollout_counts *counts, int64_t now_us)
{
	uint32_t i;

	rollout_judge_tick(judge, now_us);
	for (i = 0; i < counts->count; i++) {
		const struct rollout_route_counts *c = &counts->routes[i];
		struct rollout_judge_route *r = get_route(judge, c->route);

		if (r == NULL)
			continue;
		if (is_new)
			add_new(judge, r, server, c);
		else {
			sample_add(&r->old_now, c);
			judge->old_answers += c->answers;
		}
	}
}

/// Returns the tally of a server; NULL if it has not answered since the test of
/// the finding began to rise.
static const struct rollout_judge_tally *
get_tally(const struct rollout_judge *judge, uint32_t server, uint32_t route,
    enum rollout_fault fault)
{
	const struct rollout_judge_tally *t =
	    &judge->servers[server].tallies[route][fault];

	return t->answers > 0 && t->rise == judge->routes[route].rises[fault]
	    ? t
	    : NULL;
}

/// Sums up the servers whose bad answers are below a limit, or all.
static void
sum_up(const struct rollout_judge *judge, uint32_t route,
    enum rollout_fault fault, uint32_t below, struct rollout_finding *out)
{
	uint32_t i;

	out->servers = out->bad_servers = 0;
	out->answers = out->bad = 0;
	for (i = 0; i < judge->server_count; i++) {
		const struct rollout_judge_tally *t =
		    get_tally(judge, i, route, fault);

		if (t == NULL || t->bad >= below)
			continue;
		out->servers++;
		out->bad_servers += t->bad > 0;
		out->answers += t->answers;
		out->bad += t->bad;
	}
}

/// Finds the most bad answers of a server that remains when the worst servers are
/// left out.
static uint32_t
most_without_worst(const struct rollout_judge *judge, uint32_t route,
    enum rollout_fault fault, uint32_t servers)
{
	uint32_t all =
	    servers > judge->known_servers ? servers : judge->known_servers;
	uint32_t worst = (all + WORST_DIVISOR - 1) / WORST_DIVISOR;
	struct rollout_finding below;
	uint32_t limit = 1;

	// Few different numbers: the lowest limit that leaves out as many.
	sum_up(judge, route, fault, limit, &below);
	while (below.servers + worst < servers) {
		limit++;
		sum_up(judge, route, fault, limit, &below);
	}
	return limit;
}

/// Tells whether a fault is not that of the worst servers only.
static bool
is_spread(const struct rollout_judge *judge, uint32_t route,
    const struct rollout_finding *f)
{
	uint32_t limit = f->servers < LEAST_SERVERS
	    ? UINT32_MAX
	    : most_without_worst(judge, route, f->fault, f->servers);
	struct rollout_finding others;

	sum_up(judge, route, f->fault, limit, &others);
	return others.bad >= OTHERS_BAD &&
	    (double)others.bad >=
	    (f->expected + OTHERS_EXCESS) * (double)others.answers;
}

/// Finds a fault of the version that has some evidence.
static bool
find_fault(const struct rollout_judge *judge, double evidence,
    struct rollout_finding *finding)
{
	uint32_t fault;
	uint32_t i;

	for (i = 0; i < judge->route_count; i++) {
		const struct rollout_judge_route *r = &judge->routes[i];

		for (fault = 0; fault < ROLLOUT_FAULTS; fault++) {
			if (r->sums[fault] < evidence)
				continue;
			finding->fault = (enum rollout_fault)fault;
			finding->route = r->route;
			finding->expected = r->shares[fault];
			sum_up(judge, i, finding->fault, UINT32_MAX, finding);
			if (is_spread(judge, i, finding))
				return true;
		}
	}
	return false;
}

bool
rollout_judge_is_bad(
    const struct rollout_judge *judge, struct rollout_finding *finding)
{
	return find_fault(judge, EVIDENCE, finding);
}

bool
rollout_judge_doubts(const struct rollout_judge *judge)
{
	struct rollout_finding finding;

	return find_fault(judge, DOUBT, &finding);
}
