/// @file
/// Discovery and membership of a self-forming cluster: a replica without a
/// leader sends join requests to all known replicas, and the leader decides
/// which ones to add.
#ifndef MV_IO_REPLICA_REPLICA_JOIN_H
#define MV_IO_REPLICA_REPLICA_JOIN_H

#include "core/replica/roster.h"
#include "io/net/net.h"

#define REPLICA_MAX_SEEDS      16
#define REPLICA_MAX_DISCOVERED 32

struct replica_host;

struct replica_join {
	struct replica_host *host; ///< NULL if the cluster is not self-forming.
	struct roster roster;
	struct replica_peer self;
	/// Addresses from the settings, not tied to replica ids.
	struct address seeds[REPLICA_MAX_SEEDS];
	uint32_t seed_count;
	/// Replicas listed in responses of others, newest last.
	struct replica_peer discovered[REPLICA_MAX_DISCOVERED];
	uint32_t discovered_count;
	struct loop_timer timer;
	bool leaving;
};

/// Starts the timer that sends join requests or, on the leader, changes the
/// members.
void replica_join_start(struct replica_join *join, struct replica_host *host,
    const struct replica_peer *self, uint32_t target_voters);

void replica_join_stop(struct replica_join *join);

/// Announces to the leader that this replica leaves for now, so that a learner
/// that is ready can replace it.
void replica_join_leave(struct replica_join *join);

/// Handles a join or leave request: responds with the members. Closes the
/// stream if the request is invalid.
void replica_join_receive(struct replica_join *join, struct stream *stream,
    const struct message_join *m);

/// Returns a replica listed by others; NULL if it is not known.
const struct replica_peer *replica_join_find_peer(
    const struct replica_join *join, uint64_t id);

#endif
