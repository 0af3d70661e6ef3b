/// @file
/// Decides when and from which holder to pull a newer version of the rules.
///
/// A version held in the local data centre is pulled at once. If only remote
/// members hold it, each member of the data centre waits in proportion to its
/// rank under rendezvous hashing, so that about one copy crosses the paid
/// links.
///
/// Answers the load of versions in quick succession: a proxy adopts a few of
/// them, the newest each time, since each costs it time to parse.
#ifndef MV_CORE_MEMBERSHIP_VERSION_SYNC_H
#define MV_CORE_MEMBERSHIP_VERSION_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/membership.h"
#include "core/random.h"

#define VERSION_SYNC_HOLDERS 8

/// After an adoption the next one waits for this many times what it cost, so
/// that adoptions take about a sixth of the time at most. The wait is bounded,
/// since it adds up over the hops from a source to a proxy.
#define VERSION_SYNC_REST_FACTOR 5
#define VERSION_SYNC_REST_MAX_US 200000LL

struct version_sync;

/// Process that holds a version.
struct holder {
	char host[MEMBER_HOST_BYTES];
	uint32_t port;
	uint64_t version;
	enum distance distance;
	bool is_source;
	int64_t retry_deadline_us; ///< Earliest time of the next pull.
	uint32_t failures;	   ///< Consecutive, of pulls from it.
};

/// How a pull ended.
enum pull_result {
	PULL_ADOPTED, ///< Newer rules arrived and were adopted.
	/// The holder answered with rules that are not newer, or with a
	/// difference to other rules. Counts as failed if no rules were adopted
	/// since the start of the pull, which explains it.
	PULL_OVERTAKEN,
	PULL_FAILED,
};

struct version_sync_ops {
	/// Starts a pull. The owner reports its end to
	/// version_sync_finish_pull.
	void (*pull)(struct version_sync *vs, const struct holder *from);
};

struct version_sync {
	const struct version_sync_ops *ops;
	void *owner;
	struct random random;
	int64_t stagger_us; ///< Delay per rank in a data centre.
	int64_t pull_timeout_us;
	uint64_t have_version;
	uint64_t known_version; ///< Highest version known at any holder.
	struct holder holders[VERSION_SYNC_HOLDERS];
	uint32_t holder_count;
	uint32_t rank;		    ///< Of the local member, for known_version.
	int64_t remote_deadline_us; ///< Earliest pull from a remote holder.
	bool pulling;
	int64_t pull_deadline_us;
	struct holder pulling_from;
	uint64_t pulling_at_version;  ///< In force here at the start of it.
	int64_t adoption_deadline_us; ///< Earliest next adoption.
	uint32_t failures;	      ///< Consecutive, of all holders.
};

void version_sync_init(struct version_sync *vs,
    const struct version_sync_ops *ops, void *owner, uint64_t seed,
    int64_t stagger_us, int64_t pull_timeout_us);

/// Adds or updates a holder of a version.
///
/// @param rank  rank of the local member in its data centre for that version
void version_sync_add_holder(struct version_sync *vs,
    const struct holder *holder, uint32_t rank, int64_t now_us);

/// Sets the version in force here, and removes holders without a newer one.
void version_sync_set_version(struct version_sync *vs, uint64_t version);

/// Ends the pull in progress.
///
/// @param cost_us  time that parsing and adopting the rules took
/// @param wait_us  retry delay after a failure, requested by the holder; 0:
///                 default backoff
void version_sync_finish_pull(struct version_sync *vs, enum pull_result result,
    int64_t cost_us, int64_t wait_us, int64_t now_us);

/// Starts a pull if one is due.
///
/// @return time of the next call
int64_t version_sync_tick(struct version_sync *vs, int64_t now_us);

/// Returns the weight of a member under rendezvous hashing of a version. The
/// member with the highest weight in a data centre pulls first.
uint64_t version_sync_weight(const char *name, uint64_t version);

/// Returns the rank of the local member among the alive members of its data
/// centre, under rendezvous hashing of the version. Rank 0 pulls first.
uint32_t version_sync_rank(const struct membership *m, uint64_t version);

#endif
