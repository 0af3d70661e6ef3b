/// @file
/// Seeded runs of a whole cluster of replicas: messages are dropped, delayed,
/// duplicated and reordered, replicas crash at any point and lose what was
/// not synced, disks fill up, links are cut. After each run everything heals
/// and the cluster must agree.
///
/// Checked throughout: no two leaders in a term, no two replicas apply
/// different entries at an index, nothing that was acknowledged is lost.
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

/// A message on its way, with copies of what it borrows.
struct flight {
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
	bool cut; ///< Isolated without a sign.
	uint64_t applied;
	uint64_t applied_sum; ///< Of the data applied, in order.
};

/// What became of the run as a whole.
struct cluster {
	struct random random;
	struct node nodes[MAX_NODES];
	uint32_t node_count;
	struct flight *flights;
	uint32_t flight_count;
	int64_t now_us;
	int64_t election_us;
	int64_t heartbeat_us;
	uint64_t seed;
	// Agreed by whoever applied first.
	uint64_t entry_sum[MAX_INDEX];
	uint64_t highest_applied;
	uint64_t leader_of_term[MAX_INDEX];
	uint64_t next_value;
	uint64_t acknowledged[MAX_INDEX]; ///< Index by value.
	uint32_t drop_pct;
	bool chaos;
	bool scripted; ///< The test causes the trouble, not the run.
};

void cluster_start_node(struct cluster *c, struct node *n);

void cluster_stop_node(struct node *n);

void cluster_crash_node(struct cluster *c, struct node *n);

uint64_t cluster_highest_acknowledged(const struct cluster *c);

/// Adds a replica with an empty disk, under an id never used before.
struct node *cluster_add_node(struct cluster *c);

/// Replaces a replica whose disk was wiped by a new one, as an operator
/// would: never under the old id.
void cluster_replace_wiped(struct cluster *c, struct node *leader);

/// Gives a caught-up learner the place of a voter that is down.
void cluster_promote_learner(struct cluster *c, struct node *leader);

void cluster_run_steps(struct cluster *c, uint32_t steps, bool replacements);

void cluster_heal(struct cluster *c);

/// After healing, a leader exists and all its voters hold the same state.
void cluster_check_agreement(struct cluster *c);

void cluster_free(struct cluster *c);

struct cluster *cluster_create(uint64_t seed, uint32_t count);

/// The same with other times than those of the fast runs.
struct cluster *cluster_create_timed(
    uint64_t seed, uint32_t count, int64_t election_us, int64_t heartbeat_us);

#endif
