/// @file
/// Model of a mesh on a virtual clock: the product's own choice of endpoints,
/// admission and budget of repeats, between modelled callers and servers.
///
/// Each server has a proxy beside it. Load is open: callers come whether they
/// are answered or not. A server may call on before its own work, and holds its
/// slot meanwhile; a caller that is refused comes back when it is told to.
#ifndef MV_BENCH_MODEL_MODEL_H
#define MV_BENCH_MODEL_MODEL_H

#include "core/requests/admission.h"
#include "core/requests/balancer.h"
#include "model/mix.h"

/// What is compared.
struct model_policy {
	const char *name;
	const struct admission_policy *admission;
	struct balancer_choice (*choose)(struct balancer *b,
	    const struct balancer_request *q, int64_t now_us);
	bool repeats; ///< The mesh tries again, within the budget.
};

/// Orders of arrival and ways to choose that the product does not use.
extern const struct model_policy model_policies[];
extern const uint32_t model_policy_count;

/// The product's own policy.
extern const struct model_policy model_product;

/// What callers got; parts of one.
struct model_result {
	double worth;	    ///< Earned, of what was offered.
	double worst_worth; ///< The same in the worst tenth of all seconds.
	double kinds[MIX_MAX_KINDS];
	double refused;	 ///< Last answer: it did not run.
	double failed;	 ///< Last answer: failure, or none in time.
	double repeated; ///< Runs beyond the first, of all requests.
};

void model_play(const struct mix *mix, const struct model_policy *policy,
    uint64_t seed, struct model_result *result);

#endif
