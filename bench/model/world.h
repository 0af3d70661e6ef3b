/// @file
/// State of a model, shared by its files.
#ifndef MV_BENCH_MODEL_WORLD_H
#define MV_BENCH_MODEL_WORLD_H

#include "model/events.h"
#include "model/model.h"

#define WORLD_MAX_SERVERS  64
#define WORLD_MAX_ATTEMPTS 4

struct call;

/// A server with its proxy.
struct node {
	struct world *world;
	struct member member;
	uint32_t dc;
	uint32_t service;
	double speed;	///< 1: takes as long as the mix says.
	double slowed;	///< Factor of an event.
	double failing; ///< Part of the work that fails.
	bool down;
	int64_t cold_until_us;
	struct admission admission;
	struct call *running; ///< Calls that hold a slot.
	struct balancer balancers[MIX_MAX_SERVICES];
};

struct window {
	double earned;
	double offered;
};

struct world {
	const struct mix *mix;
	const struct model_policy *policy;
	struct events events;
	struct random random;
	struct rule_rank ranks[MIX_MAX_RANKS];
	struct node nodes[WORLD_MAX_SERVERS];
	uint32_t node_count;
	double bursts[MIX_MAX_KINDS];
	// Tally.
	struct window *windows; ///< One a second.
	uint32_t window_count;
	struct window kinds[MIX_MAX_KINDS];
	uint64_t callers;
	uint64_t refused;
	uint64_t failed;
	uint64_t runs;
	uint64_t first_runs;
};

/// Uniform number from 0 up to 1.
double world_random(struct world *world);

/// One way between two proxies.
int64_t world_way_us(const struct node *from, const struct node *to);

/// A caller's request comes in.
///
/// @param first_us  when it was sent for the first time
void call_arrive(struct world *world, uint32_t kind, int64_t first_us,
    uint32_t repeats_left);

/// Gives out free slots.
void call_run_waiting(struct node *node);

/// The process ended: all that it had is lost.
void call_lose_all(struct node *node);

#endif
