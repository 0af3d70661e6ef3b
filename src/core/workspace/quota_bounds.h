/// @file
/// How far the use of a workspace may exceed its limit, and what follows from it.
///
/// The law: in any window no more requests of a workspace are sent than
///
///     (rate x window + burst) x (1 + overage) + slack
///
/// over all proxies together. One process, the accountant, grants tokens from a
/// bucket that fills at the workspace's rate. A proxy spends a token for each
/// request, within the token's life. So what is spent in a window was granted in
/// a span of window + life, in which a bucket of depth B grants at most
/// B + rate x (window + life), and an accountant that took over meanwhile a
/// reserve. They and the life are chosen so that this does not exceed the law. Nothing has to be known of tokens that were granted
/// and lost: they end with their life.
#ifndef MV_CORE_WORKSPACE_QUOTA_BOUNDS_H
#define MV_CORE_WORKSPACE_QUOTA_BOUNDS_H

#include <stdint.h>

/// Bounds that operators promise to each other; the same for all workspaces.
struct quota_bounds {
	int64_t window_us;
	uint32_t overage_permille;
	uint32_t slack; ///< Requests.
};

/// What the accountant keeps to for one workspace.
struct quota_plan {
	double rate_per_s;
	double depth;	 ///< Of the bucket, in tokens; at least 1.
	double reserve;	 ///< Tokens for the first accountant after another one.
	int64_t life_us; ///< Of a token, from its grant.
};

/// Most requests that the law allows in a window.
double quota_window_limit(const struct quota_bounds *bounds,
    uint64_t rate_milli, uint64_t burst_milli);

/// Time for which the reserve is used once at most.
int64_t quota_reserve_period_us(const struct quota_bounds *bounds);

/// Chooses the depth and the life.
struct quota_plan quota_plan_make(const struct quota_bounds *bounds,
    uint64_t rate_milli, uint64_t burst_milli);

#endif
