/// @file
/// State of a simulation, shared by the files of the model.
#ifndef MV_BENCH_MODEL_WORLD_H
#define MV_BENCH_MODEL_WORLD_H

#include "core/requests/work_left.h"
#include "model/events.h"
#include "model/model.h"

#define SIMULATION_MAX_SERVERS	64
#define SIMULATION_MAX_ATTEMPTS 4

/// Runs of a server that are kept: more than a limited one has in LIMIT_SPAN_US.
#define NODE_RUNS 512

/// A limit is checked over any such time.
#define LIMIT_SPAN_US 4000000

struct call;

/// A backend server and the proxy on its VM.
struct node {
	struct simulation *sim;
	struct member member;
	uint32_t dc;
	uint32_t service;
	double speed;	     ///< 1: work takes as long as the mix states.
	double slowdown;     ///< Factor of a MIX_SLOW event; 1: none.
	double neighbours;   ///< Factor by which neighbours slow it; 1: none.
	double failure_rate; ///< Probability from 0 to 1.
	bool down;
	int64_t slow_start_deadline_us;
	struct admission admission;
	struct work_left work_left;
	uint32_t limit_milli; ///< That the server states; 0: none.
	int64_t limited_us;   ///< Time at which it began to.
	/// Times of its last runs, oldest first.
	int64_t runs_us[NODE_RUNS];
	uint32_t run_count;
	struct call *running; ///< List of the calls that hold a slot.
	struct balancer balancers[MIX_MAX_SERVICES];
	// As an ingress, of the kinds that it has sent.
	double ratios_permille[MIX_MAX_KINDS];
};

/// Worth earned by, and offered with, a set of requests.
struct worth_sum {
	double earned;
	double offered;
};

struct simulation {
	const struct mix *mix;
	const struct model_policy *policy;
	struct events events;
	struct random random;
	struct rule_rank ranks[MIX_MAX_RANKS];
	struct node nodes[SIMULATION_MAX_SERVERS];
	uint32_t node_count;
	double burst_factors[MIX_MAX_KINDS];
	// Results.
	struct worth_sum *seconds; ///< By second of the first sending.
	uint32_t second_count;
	struct worth_sum kinds[MIX_MAX_KINDS];
	uint64_t completed; ///< Callers' requests with a final result.
	uint64_t refused;
	uint64_t failed;
	uint64_t runs; ///< Of callers' requests, on any backend server.
	uint64_t first_runs;
	double limit_share; ///< See struct model_result.
};

/// Returns a uniform number from 0 up to 1, exclusive.
double simulation_random(struct simulation *sim);

/// Returns the one-way latency between two proxies.
int64_t simulation_one_way_us(const struct node *from, const struct node *to);

/// Submits a caller's request, which reaches an ingress after the latency
/// between the caller and its proxy.
///
/// @param first_sent_us  when the caller first sent it
void call_submit(struct simulation *sim, uint32_t kind, int64_t first_sent_us,
    uint32_t retries_left);

/// Starts queued calls while slots are free, and refuses those that cannot meet
/// their deadlines any more.
void call_dispatch_queued(struct node *node);

/// Returns the slot time that the requests at a server still need.
int64_t call_get_work_left_us(struct node *node);

/// Fails all running and queued calls of a server whose process ended.
void call_abort_all(struct node *node);

#endif
