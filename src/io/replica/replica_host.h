/// @file
/// A replica on an event loop: its disk, its streams, its timer.
#ifndef MV_IO_REPLICA_REPLICA_HOST_H
#define MV_IO_REPLICA_REPLICA_HOST_H

#include "core/replica/replica.h"
#include "io/disk/wal.h"
#include "io/net/net.h"
#include "io/replica/replica_join.h"
#include "io/settings.h"

struct replica_host;

/// What the state machine on top is told.
struct replica_host_ops {
	void (*apply)(
	    struct replica_host *host, const struct replica_entry *entry);
	void (*restore)(
	    struct replica_host *host, const struct replica_snapshot *snapshot);
	void (*read_done)(struct replica_host *host, uint64_t context, bool ok);
	void (*role_changed)(struct replica_host *host);
};

struct replica_host_settings {
	char data_path[SETTINGS_TEXT_BYTES];
	char cluster[SETTINGS_TEXT_BYTES];
	uint64_t id;
	struct replica_config initial; ///< Used once, to bootstrap.
	bool bootstrap;
	bool join;
	/// The set forms itself: initial holds the seeds, with ids of 0.
	bool forms;
	char address[REPLICA_ADDRESS_BYTES]; ///< Own, if the set forms itself.
	uint32_t target_voters;
	int64_t election_us;
	int64_t heartbeat_us;
	/// The disk had failed, and takes writes again: only a process that
	/// starts anew knows what is on it.
	void (*restart)(void *arg);
	void *restart_arg;
};

/// Stream to another replica.
struct replica_stream {
	struct replica_host *host;
	uint64_t id;
	char address[REPLICA_ADDRESS_BYTES];
	struct stream *stream;
	int64_t redial_deadline_us;
	int64_t waiting_since_us; ///< Oldest message without a sign; 0: none.
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
	struct replica_stream streams[REPLICA_MAX_PEERS];
	uint32_t stream_count;
	struct loop_hook flush_hook;
	struct loop_timer tick_timer;
	struct loop_timer probe_timer; ///< Runs while the disk fails.
	void (*restart)(void *arg);
	void *restart_arg;
	struct replica_join joining;
	// A replacement asked for by an operator.
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

/// Takes other seeds, if the set forms itself.
void replica_host_set_seeds(
    struct replica_host *host, const struct replica_config *seeds);

/// Address of the leader, or "" if none is known.
const char *replica_host_leader_address(const struct replica_host *host);

/// Replaces a voter: the new one joins as a learner and takes the old one's
/// place once it has caught up.
///
/// @param remove_id  0 to add only
/// @param add        id 0 to remove only
int replica_host_replace(struct replica_host *host, uint64_t remove_id,
    const struct replica_peer *add, struct error *err);

/// Goes on with a replacement once its learner has caught up.
void replica_host_advance_change(struct replica_host *host);

/// Number that stands for a cluster's name in messages and files.
uint64_t replica_cluster_number(const char *name);

/// Refuses to bootstrap a replica whose cluster holds data already: asks the
/// other replicas, and waits until they have answered or failed.
///
/// @return 0 if it is not a bootstrap, or may go on; -1 with err set
int replica_host_check_bootstrap(
    const struct replica_host_settings *settings, struct error *err);

/// Parses the replicas of a cluster, "ID=IP:port" each.
///
/// @return 0, or -1 with a line for each problem on standard error
int replica_settings_parse(
    const struct settings_list *list, struct replica_config *config);

/// Parses the seeds of a set that forms itself, "IP:port" each.
///
/// @param port  in place of theirs, unless it is 0
/// @return 0, or -1 with a line for each problem on standard error
int replica_settings_parse_seeds(const struct settings_list *list,
    uint32_t port, struct replica_config *config);

/// Chooses the id of a replica whose data folder is new.
///
/// A seed at the first start of the whole set gets one that follows from its
/// address, so that all seeds begin with the same voters; any other a random
/// one, so that no id is ever used for two disks.
uint64_t replica_host_choose_id(struct replica_host_settings *settings);

#endif
