/// @file
/// Decides when and from whom to pull a newer version of the rules.
///
/// Inside a data centre a version is pulled from the nearest holder at once.
/// If only members elsewhere hold it, the members of the data centre wait by
/// their rank under rendezvous hashing, so that about one copy crosses the
/// paid links.
#ifndef MV_CORE_MEMBERSHIP_VERSION_SYNC_H
#define MV_CORE_MEMBERSHIP_VERSION_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/membership.h"
#include "core/random.h"

#define VERSION_SYNC_HOLDERS 8

struct version_sync;

/// A process that is known to hold a version.
struct holder {
	char host[MEMBER_HOST_BYTES];
	uint32_t port;
	uint64_t version;
	enum distance distance;
	bool is_source;
	int64_t retry_deadline_us; ///< Not to be asked before.
};

struct version_sync_ops {
	/// Starts a pull; its end is told by version_sync_done.
	void (*pull)(struct version_sync *vs, const struct holder *from);
};

struct version_sync {
	const struct version_sync_ops *ops;
	void *owner;
	struct random random;
	int64_t stagger_us; ///< Between ranks in a data centre.
	int64_t pull_timeout_us;
	uint64_t have_version;
	uint64_t known_version; ///< Highest version heard of.
	struct holder holders[VERSION_SYNC_HOLDERS];
	uint32_t holder_count;
	uint32_t rank; ///< Position in the data centre for known_version.
	int64_t remote_deadline_us; ///< When a far holder may be asked.
	bool pulling;
	int64_t pull_deadline_us;
	struct holder pulling_from;
	uint32_t failures; ///< In a row.
	int64_t retry_deadline_us;
};

void version_sync_init(struct version_sync *vs,
    const struct version_sync_ops *ops, void *owner, uint64_t seed,
    int64_t stagger_us, int64_t pull_timeout_us);

/// Notes a holder of a version.
///
/// @param rank  this member's rank in its data centre for that version
void version_sync_heard(struct version_sync *vs, const struct holder *holder,
    uint32_t rank, int64_t now_us);

/// Notes that a version is in force here.
void version_sync_adopted(struct version_sync *vs, uint64_t version);

/// Ends the pull in progress.
///
/// @param ok       whether rules newer than ours arrived and were adopted
/// @param wait_us  time after which the holder wants to be asked again
void version_sync_done(
    struct version_sync *vs, bool ok, int64_t wait_us, int64_t now_us);

/// Does what is due.
///
/// @return the deadline of the next call
int64_t version_sync_tick(struct version_sync *vs, int64_t now_us);

/// Weight of a member under rendezvous hashing of a version; the highest in
/// a data centre goes first.
uint64_t version_sync_weight(const char *name, uint64_t version);

/// Rank of a member among those of its data centre that are up, under
/// rendezvous hashing of the version; 0 goes first.
uint32_t version_sync_rank(const struct membership *m, uint64_t version);

#endif
