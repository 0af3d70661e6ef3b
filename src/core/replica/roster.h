/// @file
/// Automatic membership of a replicated log: which replicas the leader adds,
/// and which voters they replace.
///
/// A replica id is bound to a disk. A replica with another id at the address
/// of a member therefore proves that the member's disk is lost. A member that
/// is only unresponsive is replaced once a learner has caught up with the log;
/// the number of voters never shrinks.
#ifndef MV_CORE_REPLICA_ROSTER_H
#define MV_CORE_REPLICA_ROSTER_H

#include "core/replica/replica.h"

#define ROSTER_MAX_CANDIDATES 16

/// Time without contact after which a learner that is ready may replace a voter.
/// A new leader counts from its election, so twice this plus an election must
/// be shorter than the time allowed for a repair.
#define ROSTER_VOTER_TIMEOUT_US 1000000LL

/// A replica that asked to join or announced that it leaves.
struct roster_candidate {
	struct replica_peer peer;
	int64_t last_seen_us;
	bool leaving;
};

struct roster {
	uint32_t target_voters; ///< 2 x tolerated losses + 1.
	/// Time without contact after which a voter is replaceable.
	int64_t voter_timeout_us;
	struct roster_candidate candidates[ROSTER_MAX_CANDIDATES];
	uint32_t candidate_count;
};

void roster_init(
    struct roster *roster, uint32_t target_voters, int64_t voter_timeout_us);

/// Records a request of a replica to join or to leave.
void roster_update_candidate(struct roster *roster,
    const struct replica_peer *peer, bool leaving, int64_t now_us);

/// Decides on the next membership change.
///
/// @param r     the leader's replica
/// @param next  receives the config to change to
/// @return whether there is a change to make
bool roster_decide(const struct roster *roster, const struct replica *r,
    int64_t now_us, struct replica_config *next);

#endif
