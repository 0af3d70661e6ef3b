/// @file
/// What one proxy sees by itself of a new version: it stops using one that is bad
/// for its own requests, also while it is cut off from the sources. It never
/// raises a share.
#ifndef MV_CORE_ROLLOUT_ROLLOUT_OWN_H
#define MV_CORE_ROLLOUT_ROLLOUT_OWN_H

#include "core/rollout/rollout_judge.h"
#include "core/rollout/rollout_table.h"

struct rollout_own {
	uint64_t order; ///< Of the roll-out that runs; 0: none does.
	bool stopped;	///< The new version gets no more requests from here.
	struct rollout_judge *judge; ///< NULL while none runs.
};

/// One answer to a request of this proxy.
struct rollout_answer {
	uint64_t server; ///< Identifies the server.
	bool is_new;	 ///< It runs the new version.
	uint64_t route;	 ///< Hash of its name.
	bool failed;	 ///< By the server itself.
	int64_t run_us;	 ///< 0: it does not count.
};

/// Follows the table: begins anew with each order.
void rollout_own_follow(
    struct rollout_own *own, const struct rollout_filter *filter);

/// Adds an answer.
///
/// @param finding  receives the evidence if the version is stopped by it
/// @return whether it is
bool rollout_own_add(struct rollout_own *own, const struct rollout_answer *a,
    int64_t now_us, struct rollout_finding *finding);

void rollout_own_free(struct rollout_own *own);

#endif
