/// @file
/// Runs a replica on an event loop, with its disk, streams and timers.
#ifndef MV_IO_REPLICA_REPLICA_HOST_H
#define MV_IO_REPLICA_REPLICA_HOST_H

#include "core/replica/replica.h"
#include "io/disk/wal.h"
#include "io/net/net.h"
#include "io/replica/replica_join.h"
#include "io/replica/replica_streams.h"
#include "io/settings.h"

struct replica_host;

/// Callbacks into the replicated state machine.
struct replica_host_ops {
	/// Applies a data entry.
	void (*apply)(
	    struct replica_host *host, const struct replica_entry *entry);
	/// An entry of any kind was applied: the log up to it may be compacted.
	void (*applied)(struct replica_host *host, uint64_t index);
	void (*restore)(
	    struct replica_host *host, const struct replica_snapshot *snapshot);
	void (*read_done)(struct replica_host *host, uint64_t context, bool ok);
	void (*role_changed)(struct replica_host *host);
};

struct replica_host_settings {
	char data_path[SETTINGS_TEXT_BYTES];
	char cluster[SETTINGS_TEXT_BYTES];
	uint64_t id;
	struct replica_config initial; ///< Used at bootstrap only.
	bool bootstrap;
	bool join;
	/// The cluster forms itself: initial holds the seeds, with ids of 0.
	bool self_forming;
	char address[REPLICA_ADDRESS_BYTES]; ///< Own, if self-forming.
	uint32_t target_voters;
	int64_t election_us;
	int64_t heartbeat_us;
	/// Called when a failed disk accepts writes again. Only a restart of
	/// the process can load what the disk holds.
	void (*restart)(void *arg);
	void *restart_arg;
};

struct replica_host {
	const struct replica_host_ops *ops;
	void *owner;
	struct loop *loop;
	struct disk *disk;
	struct wal wal;
	struct replica replica;
	uint64_t cluster;
	uint64_t data_index;	       ///< Last data entry applied.
	struct replica_config initial; ///< From the settings.
	struct replica_streams streams;
	struct loop_hook flush_hook;
	struct loop_timer tick_timer;
	struct loop_timer probe_timer; ///< Set while the disk fails.
	void (*restart)(void *arg);
	void *restart_arg;
	struct replica_join joining;
	// Replacement requested by an operator.
	struct replica_config target;
	bool change_pending;
	bool opened;
};

/// Opens the data folder and starts the replica.
///
/// @return 0, or -1 with err set
int replica_host_open(struct replica_host *host, struct loop *loop,
    const struct replica_host_settings *wanted,
    const struct replica_host_ops *ops, void *owner, struct error *err);

void replica_host_close(struct replica_host *host);

/// Handles MESSAGE_RAFT, MESSAGE_REPLICA_QUERY and MESSAGE_JOIN.
///
/// @return whether the message was one of these
bool replica_host_receive(struct replica_host *host, struct stream *stream,
    const struct message *message);

/// Replaces the seeds of a self-forming cluster.
void replica_host_set_seeds(
    struct replica_host *host, const struct replica_config *seeds);

/// Returns the leader's address, or "" if no leader is known.
const char *replica_host_get_leader_address(const struct replica_host *host);

/// Starts to replace a voter: the new replica is added as a learner and becomes
/// a voter in place of the old one once it has caught up.
///
/// @param remove_id  0 to add only
/// @param add        id 0 to remove only
/// @return 0, or -1 with err set
int replica_host_replace(struct replica_host *host, uint64_t remove_id,
    const struct replica_peer *add, struct error *err);

/// Changes the voters of a pending replacement once its learner has caught up.
void replica_host_advance_change(struct replica_host *host);

/// Returns the hash of a cluster's name, which identifies it in messages and
/// files; never 0.
uint64_t replica_hash_cluster_name(const char *name);

/// Refuses to bootstrap a replica whose cluster already holds data: queries the
/// other replicas, and blocks until each has responded or failed.
///
/// @return 0 if the start is no bootstrap or may proceed; -1 with err set
int replica_host_check_bootstrap(
    const struct replica_host_settings *settings, struct error *err);

/// Parses the replicas of a cluster, "ID=IP:port" each.
///
/// @return 0, or -1 with a line for each problem on standard error
int replica_settings_parse(
    const struct settings_list *list, struct replica_config *config);

/// Parses the seeds of a self-forming cluster, "IP:port" each.
///
/// @param port  overrides the ports of the seeds, unless it is 0
/// @return 0, or -1 with a line for each problem on standard error
int replica_settings_parse_seeds(const struct settings_list *list,
    uint32_t port, struct replica_config *config);

/// Chooses the id of a replica whose data folder is new.
///
/// At the first start of a cluster, a seed derives its id from its address, so
/// that all seeds start with the same voters. Any other replica gets a random
/// id, so that no two disks share an id.
uint64_t replica_host_choose_id(struct replica_host_settings *settings);

#endif
