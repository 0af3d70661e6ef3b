/// @file
/// Members of a replicated log that forms and repairs itself: which replicas
/// the leader takes in, and whose place they take.
///
/// The id of a replica belongs to its disk. A replica of another id at the
/// address of a member therefore proves that the member's disk is lost. A
/// member that is only silent is replaced when a replica stands ready that
/// holds its log; the number of voters never shrinks.
#ifndef MV_CORE_REPLICA_ROSTER_H
#define MV_CORE_REPLICA_ROSTER_H

#include "core/replica/replica.h"

#define ROSTER_MAX_CANDIDATES 16

/// Silence of a voter after which a replica that stands ready may take its place.
/// A leader that is new counts from its election: twice this and an election
/// must be shorter than the time that a repair may take.
#define ROSTER_VOTER_SILENT_US 1000000LL

/// A replica that asked to be taken in, or said that it leaves.
struct roster_candidate {
	struct replica_peer peer;
	int64_t heard_us;
	bool leaving;
};

struct roster {
	uint32_t target_voters; ///< 2 x tolerated losses + 1.
	int64_t silent_us;	///< Silence after which a voter is replaceable.
	struct roster_candidate candidates[ROSTER_MAX_CANDIDATES];
	uint32_t candidate_count;
};

void roster_init(
    struct roster *roster, uint32_t target_voters, int64_t silent_us);

/// Notes a replica that asks to be taken in, or that leaves.
void roster_note(struct roster *roster, const struct replica_peer *peer,
    bool leaving, int64_t now_us);

/// Decides on the next change of members.
///
/// @param r     the leader's replica
/// @param next  receives the config to change to
/// @return whether there is a change to make
bool roster_decide(const struct roster *roster, const struct replica *r,
    int64_t now_us, struct replica_config *next);

#endif
