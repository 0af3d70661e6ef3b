/// @file
/// How replicas of a set that forms itself find each other: a replica without
/// a leader asks all that it knows of, and the leader decides whom to take in.
#ifndef MV_IO_REPLICA_REPLICA_JOIN_H
#define MV_IO_REPLICA_REPLICA_JOIN_H

#include "core/replica/roster.h"
#include "io/net/net.h"

#define REPLICA_MAX_SEEDS    16
#define REPLICA_MAX_CONTACTS 32

struct replica_host;

struct replica_join {
	struct replica_host *host; ///< NULL: the set does not form itself.
	struct roster roster;
	struct replica_peer self;
	/// Addresses from the settings; of no particular replica.
	struct address seeds[REPLICA_MAX_SEEDS];
	uint32_t seed_count;
	/// Replicas that others named, newest last.
	struct replica_peer contacts[REPLICA_MAX_CONTACTS];
	uint32_t contact_count;
	struct loop_timer timer;
	bool leaving;
};

/// Starts to look after the members.
void replica_join_start(struct replica_join *join, struct replica_host *host,
    const struct replica_peer *self, uint32_t target_voters);

void replica_join_stop(struct replica_join *join);

/// Tells the leader that this replica leaves for now, so that one that stands
/// ready can take its place.
void replica_join_leave(struct replica_join *join);

/// Answers a replica that asks to be taken in.
void replica_join_receive(struct replica_join *join, struct stream *stream,
    const struct message_join *m);

/// Address of a replica that others named; NULL if it is not known.
const struct replica_peer *replica_join_find(
    const struct replica_join *join, uint64_t id);

#endif
