// Limits the answers to pulls to a share of the link.
#include "core/membership/pull_share.h"

#define PERCENT	  100
#define BYTE_BITS 8

/// The other half is left to requests.
#define SHARE_PCT 50

/// Time for which answers may keep the link busy in a row. One that is begun is
/// finished, so that a link is busy for this and the longest answer.
#define BUSY_LINK_US 50000

/// Pullers that are refused together come back apart by this much.
#define SPREAD_US 100000

int64_t
pull_share_wait_us(struct pull_share *share, int64_t now_us)
{
	int64_t wait_us = rate_limit_wait_us(
	    &share->limit, (int64_t)BUSY_LINK_US * PERCENT / SHARE_PCT, now_us);

	if (share->link_mbps <= 0 || wait_us == 0)
		return 0;
	return wait_us + random_time_us(&share->random, SPREAD_US);
}

void
pull_share_charge(struct pull_share *share, size_t size_bytes, int64_t now_us)
{
	if (share->link_mbps <= 0)
		return;
	// Megabits a second are bits a microsecond.
	rate_limit_charge(&share->limit,
	    (int64_t)((double)size_bytes * BYTE_BITS / share->link_mbps) *
		PERCENT / SHARE_PCT,
	    now_us);
}
