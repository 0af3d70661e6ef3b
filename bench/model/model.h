/// @file
/// Simulation of a mesh on a virtual clock: the production load balancing,
/// admission and retry budget, between simulated callers and backend servers.
///
/// Each server has a proxy on its VM. The load is open-loop: arrivals do not
/// wait for responses. A server may call another service before its own work,
/// and holds its slot meanwhile. A refused caller retries after the time given
/// in the refusal.
#ifndef MV_BENCH_MODEL_MODEL_H
#define MV_BENCH_MODEL_MODEL_H

#include "core/requests/admission.h"
#include "core/requests/balancer.h"
#include "model/mix.h"

/// Combination of policies to compare.
struct model_policy {
	const char *name;
	const struct admission_policy *admission;
	struct balancer_choice (*choose)(struct balancer *b,
	    const struct balancer_request *q, int64_t now_us);
	bool mesh_retries; ///< Proxies retry, within the retry budget.
	/// Reports are those of the moment, with the true speeds.
	bool is_oracle;
};

/// The policies to compare: alternatives, and the production policy last.
extern const struct model_policy model_policies[];
extern const uint32_t model_policy_count;

/// The production policy.
extern const struct model_policy model_product;

/// Results of the callers, as fractions.
struct model_result {
	double worth;	    ///< Earned, of that offered.
	double worst_worth; ///< The same in the worst tenth of all seconds.
	double kinds[MIX_MAX_KINDS];
	double refused;	      ///< Final outcome: not run.
	double failed;	      ///< Final outcome: failure or timeout.
	double repeated_runs; ///< Runs beyond the first, per request.
	/// Most runs of a limited server in 4 s, of those that its limit allows;
	/// from 1 s after it began to state it. 0: no server stated one.
	double limit_share;
};

/// Runs a simulation of a mix to its end. The same seed gives the same result.
void model_run(const struct mix *mix, const struct model_policy *policy,
    uint64_t seed, struct model_result *result);

#endif
