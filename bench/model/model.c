// Simulation of a mix: servers, membership views, events, results.
#include <apr_general.h>
#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model/world.h"

#define US_PER_MS 1000
#define US_PER_S  1000000LL

/// Propagation delay of a server's state to all proxies.
#define VIEW_DELAY_US (300 * US_PER_MS)

/// Period at which a queue is checked for calls to start or refuse.
#define QUEUE_SCAN_PERIOD_US (20 * US_PER_MS)

/// Queues are scanned for this long after the last arrival; no request can wait
/// longer.
#define DRAIN_US (5 * US_PER_S)

#define SAME_DC_LATENCY_US 50 ///< One way.

#define MAX_QUEUED	 2000
#define MAX_QUEUED_BYTES (16u << 20)
#define RETRY_RATIO_PCT	 20
#define RETRY_BURST	 56

/// The worst tenth of all seconds is reported on its own.
#define WORST_DIVISOR 10

double
simulation_random(struct simulation *sim)
{
	return (double)random_next(&sim->random) / 18446744073709551616.0;
}

static enum distance
node_distance(const struct node *from, const struct node *to)
{
	uint32_t in_region = from->sim->mix->dcs_in_region;

	if (from->dc == to->dc)
		return DISTANCE_DC;
	return from->dc / in_region == to->dc / in_region ? DISTANCE_REGION
							  : DISTANCE_FAR;
}

int64_t
simulation_one_way_us(const struct node *from, const struct node *to)
{
	const struct mix *mix = from->sim->mix;

	switch (node_distance(from, to)) {
	case DISTANCE_DC:
		return SAME_DC_LATENCY_US;
	case DISTANCE_REGION:
		return mix->dc_latency_us;
	default:
		return mix->region_latency_us;
	}
}

static void
publish_view(void *arg)
{
	struct simulation *sim = arg;
	const struct mix *mix = sim->mix;
	uint32_t i;
	uint32_t j;
	uint32_t s;

	for (i = 0; i < sim->node_count; i++) {
		struct node *node = &sim->nodes[i];

		for (s = 0; s < mix->service_count; s++)
			balancer_begin_view(&node->balancers[s]);
		for (j = 0; j < sim->node_count; j++) {
			struct node *other = &sim->nodes[j];

			if (!other->down)
				balancer_add(&node->balancers[other->service],
				    &other->member, node_distance(node, other),
				    sim->events.now_us);
		}
		for (s = 0; s < mix->service_count; s++) {
			balancer_end_view(
			    &node->balancers[s], sim->events.now_us);
			retry_budget_configure(&node->balancers[s].retries,
			    RETRY_RATIO_PCT, RETRY_BURST, sim->node_count);
		}
	}
}

static void
start_admission(struct node *node)
{
	struct simulation *sim = node->sim;

	admission_init(&node->admission, sim->policy->admission, MAX_QUEUED,
	    MAX_QUEUED_BYTES);
	admission_configure(
	    &node->admission, node->member.slots, sim->ranks, MIX_MAX_RANKS);
}

static void
scan_queue(void *arg)
{
	struct node *node = arg;

	struct simulation *sim = node->sim;

	if (!node->down)
		call_dispatch_queued(node);
	if (sim->events.now_us < sim->mix->run_us + DRAIN_US)
		events_add(&sim->events,
		    sim->events.now_us + QUEUE_SCAN_PERIOD_US, scan_queue,
		    node);
}

/// Draws anew whether neighbours slow the VM.
static void
draw_neighbours(void *arg)
{
	struct node *node = arg;
	struct simulation *sim = node->sim;
	const struct mix_service *s = &sim->mix->services[node->service];

	node->neighbours =
	    simulation_random(sim) * 100 < (double)s->neighbour_pct
	    ? s->neighbour_factor
	    : 1;
	if (sim->events.now_us < sim->mix->run_us)
		events_add(&sim->events,
		    sim->events.now_us + s->neighbour_period_us,
		    draw_neighbours, node);
}

static void
add_node(struct simulation *sim, uint32_t service, uint32_t i)
{
	const struct mix_service *s = &sim->mix->services[service];
	struct node *node = &sim->nodes[sim->node_count++];
	uint32_t j;

	assert(sim->node_count <= SIMULATION_MAX_SERVERS);
	node->sim = sim;
	node->dc = i % sim->mix->dcs;
	node->service = service;
	node->speed = s->slowest_pct / 100.0;
	if (s->servers > 1)
		node->speed += (s->fastest_pct - s->slowest_pct) * i /
		    (100.0 * (s->servers - 1));
	node->slowdown = node->neighbours = 1;
	node->member.incarnation = 1;
	node->member.backend = BACKEND_READY;
	node->member.slots = s->slots;
	snprintf(node->member.name, sizeof(node->member.name), "%.20s-%u",
	    s->name, i);
	snprintf(
	    node->member.service, sizeof(node->member.service), "%s", s->name);
	for (j = 0; j < sim->mix->service_count; j++) {
		balancer_init(&node->balancers[j], sim->mix->services[j].name,
		    random_next(&sim->random), 0);
		node->balancers[j].local_name = node->member.name;
	}
	start_admission(node);
	scan_queue(node);
	if (s->neighbour_period_us > 0)
		events_add(&sim->events,
		    (int64_t)(simulation_random(sim) *
			(double)s->neighbour_period_us),
		    draw_neighbours, node);
}

// Events of the mix.

static void
on_slow_start_end(void *arg)
{
	struct node *node = arg;

	node->member.backend = BACKEND_READY;
	events_add(&node->sim->events, node->sim->events.now_us + VIEW_DELAY_US,
	    publish_view, node->sim);
}

static void
on_restart_end(void *arg)
{
	struct node *node = arg;
	struct simulation *sim = node->sim;

	node->down = false;
	node->member.incarnation++;
	node->member.backend = BACKEND_COLD;
	node->slow_start_deadline_us =
	    sim->events.now_us + sim->mix->slow_start_us;
	start_admission(node);
	events_add(&sim->events, sim->events.now_us + VIEW_DELAY_US,
	    publish_view, sim);
	events_add(&sim->events, node->slow_start_deadline_us,
	    on_slow_start_end, node);
}

static void
apply_event(struct simulation *sim, const struct mix_event *e, bool starts)
{
	uint32_t left = e->servers;
	uint32_t i;

	if (e->type == MIX_BURST) {
		sim->burst_factors[e->index] = starts ? e->factor : 1;
		return;
	}
	for (i = 0; i < sim->node_count && left > 0; i++) {
		struct node *node = &sim->nodes[i];

		if (node->service != e->index)
			continue;
		left--;
		if (e->type == MIX_SLOW)
			node->slowdown = starts ? e->factor : 1;
		else if (e->type == MIX_LIMIT) {
			node->limit_milli =
			    starts ? (uint32_t)(e->factor * 1000) : 0;
			node->limited_us = sim->events.now_us;
			node->run_count = 0;
		} else if (e->type == MIX_FAILING)
			node->failure_rate = starts ? e->factor : 0;
		else if (starts) {
			call_abort_all(node);
			node->down = true;
			events_add(&sim->events,
			    sim->events.now_us + VIEW_DELAY_US, publish_view,
			    sim);
		} else
			on_restart_end(node);
	}
}

struct scheduled_event {
	struct simulation *sim;
	const struct mix_event *event;
	bool starts;
};

static void
on_mix_event(void *arg)
{
	struct scheduled_event *t = arg;

	apply_event(t->sim, t->event, t->starts);
	free(t);
}

static void
schedule_event(struct simulation *sim, const struct mix_event *e, bool starts)
{
	struct scheduled_event *t = malloc(sizeof(*t));

	assert(t != NULL);
	t->sim = sim;
	t->event = e;
	t->starts = starts;
	events_add(&sim->events, starts ? e->at_us : e->at_us + e->duration_us,
	    on_mix_event, t);
}

// Arrivals.

/// Poisson arrivals of one kind.
struct arrival_process {
	struct simulation *sim;
	uint32_t kind;
};

static void
on_arrival(void *arg)
{
	struct arrival_process *s = arg;
	struct simulation *sim = s->sim;
	const struct mix_kind *k = &sim->mix->kinds[s->kind];
	double rate_per_s = k->rate_per_s * sim->burst_factors[s->kind];
	int64_t now_us = sim->events.now_us;

	if (now_us >= sim->mix->run_us) {
		free(s);
		return;
	}
	if (now_us > 0)
		call_submit(sim, s->kind, now_us, k->caller_retries);
	events_add(&sim->events,
	    now_us + 1 +
		(int64_t)(-log(1 - simulation_random(sim)) / rate_per_s *
		    (double)US_PER_S),
	    on_arrival, s);
}

static void
start_arrivals(struct simulation *sim)
{
	uint32_t i;

	for (i = 0; i < sim->mix->kind_count; i++) {
		struct arrival_process *s;

		sim->burst_factors[i] = 1;
		if (sim->mix->kinds[i].rate_per_s <= 0)
			continue;
		s = malloc(sizeof(*s));
		assert(s != NULL);
		s->sim = sim;
		s->kind = i;
		on_arrival(s);
	}
}

// Results.

static int
compare_seconds(const void *a, const void *b)
{
	const struct worth_sum *x = a;
	const struct worth_sum *y = b;
	double left = x->offered > 0 ? x->earned / x->offered : 1;
	double right = y->offered > 0 ? y->earned / y->offered : 1;

	return left < right ? -1 : left > right;
}

static double
earned_ratio(struct worth_sum sum)
{
	return sum.offered > 0 ? sum.earned / sum.offered : 0;
}

static void
compute_result(struct simulation *sim, struct model_result *result)
{
	struct worth_sum all = {0, 0};
	struct worth_sum worst = {0, 0};
	uint32_t i;

	qsort(sim->seconds, sim->second_count, sizeof(*sim->seconds),
	    compare_seconds);
	for (i = 0; i < sim->second_count; i++) {
		all.earned += sim->seconds[i].earned;
		all.offered += sim->seconds[i].offered;
		if (i < sim->second_count / WORST_DIVISOR)
			worst = all;
	}
	result->worth = earned_ratio(all);
	result->worst_worth = earned_ratio(worst);
	for (i = 0; i < sim->mix->kind_count; i++)
		result->kinds[i] = earned_ratio(sim->kinds[i]);
	result->refused = (double)sim->refused / (double)sim->completed;
	result->failed = (double)sim->failed / (double)sim->completed;
	result->limit_share = sim->limit_share;
	result->repeated_runs =
	    (double)(sim->runs - sim->first_runs) / (double)sim->completed;
}

/// Sets up ranks without reserved shares. As in parsed rules, the target of a
/// rank is the longest of its kinds.
static void
configure_ranks(struct simulation *sim)
{
	uint32_t i;

	for (i = 0; i < MIX_MAX_RANKS; i++) {
		snprintf(
		    sim->ranks[i].name, sizeof(sim->ranks[i].name), "%u", i);
		sim->ranks[i].worth = MIX_MAX_RANKS - i;
	}
	for (i = 0; i < sim->mix->kind_count; i++) {
		const struct mix_kind *k = &sim->mix->kinds[i];
		int64_t *target_us = &sim->ranks[k->rank].target_us;

		if (k->target_us > *target_us)
			*target_us = k->target_us;
	}
}

void
model_run(const struct mix *mix, const struct model_policy *policy,
    uint64_t seed, struct model_result *result)
{
	struct simulation *sim = calloc(1, sizeof(*sim));
	apr_pool_t *pool;
	uint32_t s;
	uint32_t i;

	assert(sim != NULL);
	apr_initialize();
	apr_pool_create(&pool, NULL);
	sim->mix = mix;
	sim->policy = policy;
	sim->random.seed = seed;
	events_init(&sim->events, pool);
	sim->second_count = (uint32_t)(mix->run_us / US_PER_S);
	sim->seconds = calloc(sim->second_count, sizeof(*sim->seconds));
	assert(sim->seconds != NULL);
	configure_ranks(sim);
	for (s = 0; s < mix->service_count; s++)
		for (i = 0; i < mix->services[s].servers; i++)
			add_node(sim, s, i);
	publish_view(sim);
	start_arrivals(sim);
	for (i = 0; i < mix->event_count; i++) {
		schedule_event(sim, &mix->events[i], true);
		schedule_event(sim, &mix->events[i], false);
	}
	events_run(&sim->events);
	compute_result(sim, result);
	for (i = 0; i < sim->node_count; i++)
		for (s = 0; s < mix->service_count; s++)
			balancer_free(&sim->nodes[i].balancers[s]);
	apr_pool_destroy(pool);
	apr_terminate();
	free(sim->seconds);
	free(sim);
}
