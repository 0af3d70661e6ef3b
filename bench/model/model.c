// Play of a mix: servers, views, events, results.
#include <apr_general.h>
#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model/world.h"

#define MS_US 1000
#define S_US  1000000LL

/// From a change at a server until all proxies know of it.
#define VIEW_US (300 * MS_US)

/// Between looks at what waits.
#define SWEEP_US (20 * MS_US)

/// From the last caller until nothing can wait any more.
#define END_US (5 * S_US)

#define SELF_US 50 ///< From a proxy to itself.

#define MAX_QUEUED	 2000
#define MAX_QUEUED_BYTES (16u << 20)
#define BUDGET_PCT	 20
#define BUDGET_BURST	 56

/// Part of the seconds that count as the worst.
#define WORST_PART 10

double
world_random(struct world *world)
{
	return (double)random_next(&world->random) / 18446744073709551616.0;
}

static enum distance
distance_of(const struct node *from, const struct node *to)
{
	uint32_t in_region = from->world->mix->dcs_in_region;

	if (from->dc == to->dc)
		return DISTANCE_DC;
	return from->dc / in_region == to->dc / in_region ? DISTANCE_REGION
							  : DISTANCE_FAR;
}

int64_t
world_way_us(const struct node *from, const struct node *to)
{
	const struct mix *mix = from->world->mix;

	switch (distance_of(from, to)) {
	case DISTANCE_DC:
		return SELF_US;
	case DISTANCE_REGION:
		return mix->dc_us;
	default:
		return mix->region_us;
	}
}

static void
publish_view(void *arg)
{
	struct world *w = arg;
	const struct mix *mix = w->mix;
	uint32_t i;
	uint32_t j;
	uint32_t s;

	for (i = 0; i < w->node_count; i++) {
		struct node *node = &w->nodes[i];

		for (s = 0; s < mix->service_count; s++)
			balancer_begin_view(&node->balancers[s]);
		for (j = 0; j < w->node_count; j++) {
			struct node *other = &w->nodes[j];

			if (!other->down)
				balancer_add(&node->balancers[other->service],
				    &other->member, distance_of(node, other),
				    w->events.now_us);
		}
		for (s = 0; s < mix->service_count; s++) {
			balancer_end_view(&node->balancers[s]);
			retry_budget_configure(&node->balancers[s].retries,
			    BUDGET_PCT, BUDGET_BURST, w->node_count);
		}
	}
}

static void
start_admission(struct node *node)
{
	struct world *w = node->world;

	admission_init(&node->admission, w->policy->admission, MAX_QUEUED,
	    MAX_QUEUED_BYTES);
	admission_configure(
	    &node->admission, node->member.slots, w->ranks, MIX_MAX_RANKS);
}

static void
sweep(void *arg)
{
	struct node *node = arg;

	struct world *w = node->world;

	if (!node->down)
		call_run_waiting(node);
	if (w->events.now_us < w->mix->run_us + END_US)
		events_add(
		    &w->events, w->events.now_us + SWEEP_US, sweep, node);
}

static void
add_node(struct world *w, uint32_t service, uint32_t i)
{
	const struct mix_service *s = &w->mix->services[service];
	struct node *node = &w->nodes[w->node_count++];
	uint32_t j;

	assert(w->node_count <= WORLD_MAX_SERVERS);
	node->world = w;
	node->dc = i % w->mix->dcs;
	node->service = service;
	node->speed = s->slowest_pct / 100.0;
	if (s->servers > 1)
		node->speed += (s->fastest_pct - s->slowest_pct) * i /
		    (100.0 * (s->servers - 1));
	node->slowed = 1;
	node->member.incarnation = 1;
	node->member.backend = BACKEND_READY;
	node->member.slots = s->slots;
	snprintf(node->member.name, sizeof(node->member.name), "%.20s-%u",
	    s->name, i);
	snprintf(
	    node->member.service, sizeof(node->member.service), "%s", s->name);
	for (j = 0; j < w->mix->service_count; j++) {
		balancer_init(&node->balancers[j], w->mix->services[j].name,
		    random_next(&w->random), 0);
		node->balancers[j].local_name = node->member.name;
	}
	start_admission(node);
	sweep(node);
}

// Events of the mix.

static void
on_warm(void *arg)
{
	struct node *node = arg;

	node->member.backend = BACKEND_READY;
	events_add(&node->world->events, node->world->events.now_us + VIEW_US,
	    publish_view, node->world);
}

static void
on_back(void *arg)
{
	struct node *node = arg;
	struct world *w = node->world;

	node->down = false;
	node->member.incarnation++;
	node->member.backend = BACKEND_COLD;
	node->cold_until_us = w->events.now_us + w->mix->cold_us;
	start_admission(node);
	events_add(&w->events, w->events.now_us + VIEW_US, publish_view, w);
	events_add(&w->events, node->cold_until_us, on_warm, node);
}

static void
set_event(struct world *w, const struct mix_event *e, bool begins)
{
	uint32_t left = e->servers;
	uint32_t i;

	if (e->type == MIX_BURST) {
		w->bursts[e->index] = begins ? e->factor : 1;
		return;
	}
	for (i = 0; i < w->node_count && left > 0; i++) {
		struct node *node = &w->nodes[i];

		if (node->service != e->index)
			continue;
		left--;
		if (e->type == MIX_SLOW)
			node->slowed = begins ? e->factor : 1;
		else if (e->type == MIX_FAILING)
			node->failing = begins ? e->factor : 0;
		else if (begins) {
			call_lose_all(node);
			node->down = true;
			events_add(&w->events, w->events.now_us + VIEW_US,
			    publish_view, w);
		} else
			on_back(node);
	}
}

struct timed_event {
	struct world *world;
	const struct mix_event *event;
	bool begins;
};

static void
on_event(void *arg)
{
	struct timed_event *t = arg;

	set_event(t->world, t->event, t->begins);
	free(t);
}

static void
plan_event(struct world *w, const struct mix_event *e, bool begins)
{
	struct timed_event *t = malloc(sizeof(*t));

	assert(t != NULL);
	t->world = w;
	t->event = e;
	t->begins = begins;
	events_add(
	    &w->events, begins ? e->at_us : e->at_us + e->for_us, on_event, t);
}

// Callers.

struct source_of_calls {
	struct world *world;
	uint32_t kind;
};

static void
on_next_caller(void *arg)
{
	struct source_of_calls *s = arg;
	struct world *w = s->world;
	const struct mix_kind *k = &w->mix->kinds[s->kind];
	double per_s = k->per_s * w->bursts[s->kind];
	int64_t now_us = w->events.now_us;

	if (now_us >= w->mix->run_us) {
		free(s);
		return;
	}
	if (now_us > 0)
		call_arrive(w, s->kind, now_us, k->repeats);
	events_add(&w->events,
	    now_us + 1 +
		(int64_t)(-log(1 - world_random(w)) / per_s * (double)S_US),
	    on_next_caller, s);
}

static void
start_callers(struct world *w)
{
	uint32_t i;

	for (i = 0; i < w->mix->kind_count; i++) {
		struct source_of_calls *s;

		w->bursts[i] = 1;
		if (w->mix->kinds[i].per_s <= 0)
			continue;
		s = malloc(sizeof(*s));
		assert(s != NULL);
		s->world = w;
		s->kind = i;
		on_next_caller(s);
	}
}

// Results.

static int
compare_windows(const void *a, const void *b)
{
	const struct window *x = a;
	const struct window *y = b;
	double left = x->offered > 0 ? x->earned / x->offered : 1;
	double right = y->offered > 0 ? y->earned / y->offered : 1;

	return left < right ? -1 : left > right;
}

static double
share(struct window sum)
{
	return sum.offered > 0 ? sum.earned / sum.offered : 0;
}

static void
fill_result(struct world *w, struct model_result *result)
{
	struct window all = {0, 0};
	struct window worst = {0, 0};
	uint32_t i;

	qsort(
	    w->windows, w->window_count, sizeof(*w->windows), compare_windows);
	for (i = 0; i < w->window_count; i++) {
		all.earned += w->windows[i].earned;
		all.offered += w->windows[i].offered;
		if (i < w->window_count / WORST_PART)
			worst = all;
	}
	result->worth = share(all);
	result->worst_worth = share(worst);
	for (i = 0; i < w->mix->kind_count; i++)
		result->kinds[i] = share(w->kinds[i]);
	result->refused = (double)w->refused / (double)w->callers;
	result->failed = (double)w->failed / (double)w->callers;
	result->repeated =
	    (double)(w->runs - w->first_runs) / (double)w->callers;
}

/// Ranks without a kept share; the target of each is the shortest of its kinds.
static void
fill_ranks(struct world *w)
{
	uint32_t i;

	for (i = 0; i < MIX_MAX_RANKS; i++) {
		snprintf(w->ranks[i].name, sizeof(w->ranks[i].name), "%u", i);
		w->ranks[i].worth = MIX_MAX_RANKS - i;
	}
	for (i = 0; i < w->mix->kind_count; i++) {
		const struct mix_kind *k = &w->mix->kinds[i];
		int64_t *target_us = &w->ranks[k->rank].target_us;

		if (*target_us == 0 || k->target_us < *target_us)
			*target_us = k->target_us;
	}
}

void
model_play(const struct mix *mix, const struct model_policy *policy,
    uint64_t seed, struct model_result *result)
{
	struct world *w = calloc(1, sizeof(*w));
	apr_pool_t *pool;
	uint32_t s;
	uint32_t i;

	assert(w != NULL);
	apr_initialize();
	apr_pool_create(&pool, NULL);
	w->mix = mix;
	w->policy = policy;
	w->random.seed = seed;
	events_init(&w->events, pool);
	w->window_count = (uint32_t)(mix->run_us / S_US);
	w->windows = calloc(w->window_count, sizeof(*w->windows));
	assert(w->windows != NULL);
	fill_ranks(w);
	for (s = 0; s < mix->service_count; s++)
		for (i = 0; i < mix->services[s].servers; i++)
			add_node(w, s, i);
	publish_view(w);
	start_callers(w);
	for (i = 0; i < mix->event_count; i++) {
		plan_event(w, &mix->events[i], true);
		plan_event(w, &mix->events[i], false);
	}
	events_run(&w->events);
	fill_result(w, result);
	for (i = 0; i < w->node_count; i++)
		for (s = 0; s < mix->service_count; s++)
			balancer_free(&w->nodes[i].balancers[s]);
	apr_pool_destroy(pool);
	apr_terminate();
	free(w->windows);
	free(w);
}
