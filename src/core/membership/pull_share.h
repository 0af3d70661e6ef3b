/// @file
/// Share of a VM's link that its answers to pulls of rules may take.
///
/// Answers the load of many pulls at once from the first holder of a version
/// that is large or not known to the pullers: requests on the same link must not
/// wait behind them. A puller that is refused asks another holder.
#ifndef MV_CORE_MEMBERSHIP_PULL_SHARE_H
#define MV_CORE_MEMBERSHIP_PULL_SHARE_H

#include <stddef.h>
#include <stdint.h>

#include "core/random.h"
#include "core/rate_limit.h"

struct pull_share {
	double link_mbps; ///< Capacity of the link; 0: not known, no limit.
	struct rate_limit limit;
	struct random random;
};

/// Returns 0 if a pull may be answered now, else a time after which the puller
/// may ask again.
int64_t pull_share_wait_us(struct pull_share *share, int64_t now_us);

/// Counts an answer.
void pull_share_charge(
    struct pull_share *share, size_t size_bytes, int64_t now_us);

#endif
