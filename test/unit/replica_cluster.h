/// @file
/// Seeded simulation of a cluster of replicas: messages are dropped, delayed,
/// duplicated and reordered, replicas crash at any point and lose unsynced
/// writes, disks fill up, the network partitions. After each run all faults
/// are removed and the replicas must agree.
///
/// Checked throughout: no two leaders in a term, no two replicas apply
/// different entries at an index, no acknowledged entry is lost.
#ifndef MV_TEST_UNIT_REPLICA_CLUSTER_H
#define MV_TEST_UNIT_REPLICA_CLUSTER_H

#include "core/random.h"
#include "core/replica/replica.h"
#include "fakes/fake_disk.h"
#include "io/disk/wal.h"
#include "unit/support.h"

#define MAX_NODES     40
#define MAX_MESSAGES  4096
#define MAX_INDEX     20000
#define ELECTION_US   100000
#define HEARTBEAT_US  20000
#define STEP_US	      2000
#define RUN_STEPS     1500
#define HEAL_STEPS    1500
#define COMPACT_EVERY 40

/// A message in flight, with copies of its entries and snapshot.
struct in_flight_message {
	struct replica_message m;
	struct replica_entry *entries;
	struct replica_snapshot snapshot;
	int64_t due_us;
};

struct node {
	struct replica replica;
	struct wal wal;
	struct fake_disk disk;
	struct cluster *cluster;
	uint64_t id;
	bool exists;
	bool up;
	bool partitioned; ///< Isolated; its messages are dropped silently.
	uint64_t applied;
	uint64_t applied_hash; ///< Chained over the applied entries.
};

/// A cluster, its simulated network and what it agreed on.
struct cluster {
	struct random random;
	struct node nodes[MAX_NODES];
	uint32_t node_count;
	struct in_flight_message *in_flight;
	uint32_t in_flight_count;
	int64_t now_us;
	int64_t election_us;
	int64_t heartbeat_us;
	uint64_t seed;
	// As of the replica that applied an entry first.
	uint64_t entry_hash[MAX_INDEX];
	uint64_t highest_applied;
	uint64_t leader_of_term[MAX_INDEX];
	uint64_t next_value;
	uint64_t acknowledged[MAX_INDEX]; ///< Log index by value.
	uint32_t drop_pct;
	bool chaos;
	bool scripted; ///< The test injects the faults, not the run.
};

void cluster_start_node(struct cluster *c, struct node *n);

void cluster_stop_node(struct node *n);

void cluster_crash_node(struct cluster *c, struct node *n);

uint64_t cluster_highest_acknowledged(const struct cluster *c);

/// Adds a replica with an empty disk and an id never used before.
struct node *cluster_add_node(struct cluster *c);

/// Adds a new replica as a learner to replace one whose disk was wiped, as an
/// operator does: never under the old id.
void cluster_replace_wiped(struct cluster *c, struct node *leader);

/// Replaces a voter, one that is down if any, by a learner that has caught up.
void cluster_promote_learner(struct cluster *c, struct node *leader);

void cluster_run_steps(struct cluster *c, uint32_t steps, bool replacements);

void cluster_heal(struct cluster *c);

/// Checks that a leader exists, that all its voters have caught up and hold the
/// same state, and that no acknowledged entry is lost.
void cluster_check_agreement(struct cluster *c);

void cluster_free(struct cluster *c);

struct cluster *cluster_create(uint64_t seed, uint32_t count);

/// Creates a cluster with the given election timeout and heartbeat interval.
struct cluster *cluster_create_timed(
    uint64_t seed, uint32_t count, int64_t election_us, int64_t heartbeat_us);

#endif
