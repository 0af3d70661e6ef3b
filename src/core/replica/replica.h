/// @file
/// One replica of a replicated log, after Raft: elections with pre-vote and
/// check-quorum, read index, snapshots, learners, joint membership change.
///
/// The core does no I/O. Storage writes are buffered; replica_flush syncs
/// them and only then lets out the messages that depend on them.
#ifndef MV_CORE_REPLICA_REPLICA_H
#define MV_CORE_REPLICA_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"
#include "core/random.h"
#include "core/replica/replica_config.h"

#define REPLICA_MAX_READS 256

/// Memory of an entry besides its data.
#define REPLICA_ENTRY_OVERHEAD_BYTES 64

enum replica_role {
	REPLICA_FOLLOWER,
	REPLICA_PRE_CANDIDATE,
	REPLICA_CANDIDATE,
	REPLICA_LEADER,
};

enum replica_entry_kind {
	REPLICA_ENTRY_EMPTY, ///< Begins the term of a leader.
	REPLICA_ENTRY_DATA,
	REPLICA_ENTRY_CONFIG,
};

struct replica_entry {
	uint64_t index;
	uint64_t term;
	enum replica_entry_kind kind;
	char *data;
	uint32_t size_bytes;
};

/// State up to an index, in place of the entries before it.
struct replica_snapshot {
	uint64_t index;
	uint64_t term;
	struct replica_config config;
	char *data;
	uint32_t size_bytes;
};

enum replica_message_kind {
	REPLICA_PRE_VOTE,
	REPLICA_PRE_VOTE_ANSWER,
	REPLICA_VOTE,
	REPLICA_VOTE_ANSWER,
	REPLICA_APPEND,
	REPLICA_APPEND_ANSWER,
	REPLICA_HEARTBEAT,
	REPLICA_HEARTBEAT_ANSWER,
	REPLICA_SNAPSHOT,
	REPLICA_MESSAGE_KINDS,
};

/// A message between replicas. Entries and snapshot are borrowed.
struct replica_message {
	enum replica_message_kind kind;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	uint64_t index;	   ///< Entry before those appended; or the last one.
	uint64_t log_term; ///< Term of that entry.
	uint64_t commit;
	uint64_t context; ///< Read index round.
	bool reject;
	const struct replica_entry *entries;
	uint32_t entry_count;
	const struct replica_snapshot *snapshot;
};

struct replica_storage;

/// Durable state. Writes may be buffered until sync.
struct replica_storage_ops {
	int (*save_vote)(struct replica_storage *storage, uint64_t term,
	    uint64_t vote, struct error *err);
	int (*append)(struct replica_storage *storage,
	    const struct replica_entry *entries, uint32_t count,
	    struct error *err);
	/// Drops all entries from an index on.
	int (*truncate)(struct replica_storage *storage, uint64_t from_index,
	    struct error *err);
	/// Replaces all entries up to the snapshot's index.
	int (*save_snapshot)(struct replica_storage *storage,
	    const struct replica_snapshot *snapshot, struct error *err);
	int (*sync)(struct replica_storage *storage, struct error *err);
};

struct replica_storage {
	const struct replica_storage_ops *ops;
};

struct replica;

/// What the owner does for the core, and what it is told.
struct replica_ops {
	void (*send)(struct replica *r, const struct replica_message *message);
	/// An entry is committed. Called in order, once in a process's life.
	void (*apply)(struct replica *r, const struct replica_entry *entry);
	/// The state is replaced by that of a snapshot.
	void (*restore)(
	    struct replica *r, const struct replica_snapshot *snapshot);
	/// A read asked for by replica_read may look at the applied state, if
	/// ok; else this replica cannot confirm it.
	void (*read_done)(struct replica *r, uint64_t context, bool ok);
	void (*role_changed)(struct replica *r);
};

/// What a leader knows of another replica.
struct replica_progress {
	uint64_t id;
	uint64_t match;
	uint64_t next;
	uint64_t match_at_heartbeat;
	bool probing; ///< One append at a time until one is accepted.
	bool in_snapshot;
	uint32_t snapshot_beats; ///< Heartbeats answered since it was sent.
	int64_t resend_deadline_us;
	int64_t contact_us;
	uint64_t read_context; ///< Highest round acknowledged.
	bool vote_granted;
};

struct replica_read {
	uint64_t context; ///< The owner's.
	uint64_t round;
	uint64_t index;
};

struct replica_settings {
	uint64_t id;
	int64_t election_us; ///< Least time without a leader.
	int64_t heartbeat_us;
	uint32_t max_append_bytes;
	uint64_t max_uncommitted_bytes;
	uint32_t keep_entries; ///< Kept behind a snapshot for followers.
};

struct replica {
	const struct replica_ops *ops;
	void *owner;
	struct replica_storage *storage;
	struct replica_settings settings;
	struct random random;
	enum replica_role role;
	uint64_t term;
	uint64_t vote;
	uint64_t leader; ///< 0 if none is known.
	uint64_t commit;
	uint64_t applied;
	uint64_t synced; ///< Last entry that is durable here.
	// Log: entries after the snapshot, oldest first.
	struct replica_snapshot snapshot;
	struct replica_entry *entries;
	uint64_t first_index; ///< Of entries[0].
	uint32_t entry_count;
	uint32_t entry_capacity;
	uint64_t uncommitted_bytes;
	struct replica_config config; ///< Newest in the log.
	uint64_t config_index;
	struct replica_progress progress[REPLICA_MAX_PEERS];
	uint32_t progress_count;
	struct replica_read reads[REPLICA_MAX_READS];
	uint32_t read_count;
	uint64_t read_round;
	uint64_t term_start_index; ///< Of the leader's first entry.
	int64_t election_deadline_us;
	int64_t heartbeat_deadline_us;
	int64_t quorum_deadline_us;
	int64_t leader_contact_us;
	struct replica_message *outbox; ///< Sent after the next sync.
	uint32_t outbox_count;
	uint32_t outbox_capacity;
	bool dirty;
	struct error failure; ///< Set once storage failed; then all stops.
};

/// State read back from storage.
struct replica_stored {
	uint64_t term;
	uint64_t vote;
	struct replica_snapshot snapshot; ///< data is taken over.
	struct replica_entry *entries;	  ///< Taken over.
	uint32_t entry_count;
};

/// Starts a replica from what was stored.
///
/// @return 0, or -1 with err set if the stored state contradicts itself
int replica_init(struct replica *r, const struct replica_ops *ops, void *owner,
    struct replica_storage *storage, const struct replica_settings *settings,
    struct replica_stored *stored, uint64_t seed, int64_t now_us,
    struct error *err);

void replica_free(struct replica *r);

/// Handles a message.
void replica_step(
    struct replica *r, const struct replica_message *message, int64_t now_us);

/// Does what is due.
///
/// @return the deadline of the next call
int64_t replica_tick(struct replica *r, int64_t now_us);

/// Appends an entry to the log, if this is the leader.
///
/// @param index  receives the entry's index
/// @return 0, or -1 with err set
int replica_propose(struct replica *r, const char *data, uint32_t size_bytes,
    uint64_t *index, int64_t now_us, struct error *err);

/// Begins a change to new voters and learners.
int replica_change_config(struct replica *r, const struct replica_config *new,
    int64_t now_us, struct error *err);

/// Confirms that this leader is still the leader; ends in read_done.
void replica_read(struct replica *r, uint64_t context, int64_t now_us);

/// Syncs what was written, then sends and applies what depended on it. Call
/// it after every batch of the calls above.
void replica_flush(struct replica *r, int64_t now_us);

/// Replaces applied entries by a snapshot of the state.
void replica_compact(
    struct replica *r, uint64_t index, const char *data, uint32_t size_bytes);

bool replica_is_leader(const struct replica *r);

/// Tells whether storage failed; the replica then takes no part any more.
bool replica_has_failed(const struct replica *r);

uint64_t replica_last_index(const struct replica *r);

/// Time at which a quorum was last known to follow this leader; 0 if this
/// is not the leader.
int64_t replica_quorum_contact_us(const struct replica *r);

const char *replica_role_name(enum replica_role role);

// The log in memory, in replica_log.c.

/// Term of an entry, or of the snapshot; 0 if it is not known.
uint64_t replica_log_term(const struct replica *r, uint64_t index);

/// Entry at an index, or NULL if the log does not hold it.
struct replica_entry *replica_log_get(const struct replica *r, uint64_t index);

/// Copies an entry to the end of the log and of the storage.
void replica_log_append(struct replica *r, const struct replica_entry *entry);

/// Drops all entries from an index on, here and in the storage.
void replica_log_truncate(struct replica *r, uint64_t from_index);

/// Drops all entries up to an index.
void replica_log_drop_prefix(struct replica *r, uint64_t index);

/// Notes a failure of the storage.
void replica_fail(struct replica *r, const struct error *err);

/// Looks for the newest config in the log, from its end.
void replica_find_config(struct replica *r);

/// Config that was in force at an index of the log.
struct replica_config replica_config_at(
    const struct replica *r, uint64_t index, uint64_t *config_index);

// The leader's side of replication, in replica_leader.c.

struct replica_progress *replica_progress_get(struct replica *r, uint64_t id);

/// Makes the list of progress match the config.
void replica_progress_update(struct replica *r, int64_t now_us);

void replica_send_append(
    struct replica *r, struct replica_progress *p, int64_t now_us);

void replica_broadcast_append(struct replica *r, int64_t now_us);

void replica_broadcast_heartbeat(struct replica *r, int64_t now_us);

void replica_handle_append_answer(
    struct replica *r, const struct replica_message *m, int64_t now_us);

void replica_handle_heartbeat_answer(
    struct replica *r, const struct replica_message *m, int64_t now_us);

/// Commits what a quorum has made durable.
void replica_advance_commit(struct replica *r, int64_t now_us);

/// Fails all reads that wait.
void replica_fail_reads(struct replica *r);

/// Appends a config entry and acts on it at once.
void replica_append_config(
    struct replica *r, const struct replica_config *config, int64_t now_us);

// Elections, in replica_election.c.

void replica_reset_election(struct replica *r, int64_t now_us);

/// Sets the time of the first try after a start.
void replica_start_elections(struct replica *r, int64_t now_us);

void replica_save_vote(struct replica *r, uint64_t term, uint64_t vote);

/// Queues a message until what it depends on is durable.
void replica_send_after_sync(
    struct replica *r, const struct replica_message *m);

void replica_set_role(
    struct replica *r, enum replica_role role, uint64_t leader);

void replica_become_follower(
    struct replica *r, uint64_t term, uint64_t leader, int64_t now_us);

/// Asks whether an election could be won, before the term is raised.
void replica_start_pre_vote(struct replica *r, int64_t now_us);

/// A replica that hears from a leader helps no other to replace it.
bool replica_has_live_leader(const struct replica *r, int64_t now_us);

void replica_handle_pre_vote(
    struct replica *r, const struct replica_message *m, int64_t now_us);

void replica_handle_vote(
    struct replica *r, const struct replica_message *m, int64_t now_us);

void replica_handle_vote_answer(
    struct replica *r, const struct replica_message *m, int64_t now_us);

#endif
