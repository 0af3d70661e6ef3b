/// @file
/// One replica of a log replicated with Raft: elections with pre-vote and
/// check-quorum, read index, snapshots, learners and joint consensus.
///
/// The core does no I/O. Storage writes are buffered; replica_flush syncs
/// them and only then sends the messages that depend on them.
#ifndef MV_CORE_REPLICA_REPLICA_H
#define MV_CORE_REPLICA_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"
#include "core/random.h"
#include "core/replica/replica_config.h"

#define REPLICA_MAX_READS 256

/// A message's term may be this far above the local one: an election each 0.4 s
/// for 50 years.
#define REPLICA_MAX_TERM_STEP ((uint64_t)1 << 32)

/// Memory accounted for an entry in addition to its data.
#define REPLICA_ENTRY_OVERHEAD_BYTES 64

enum replica_role {
	REPLICA_FOLLOWER,
	REPLICA_PRE_CANDIDATE,
	REPLICA_CANDIDATE,
	REPLICA_LEADER,
};

enum replica_entry_kind {
	REPLICA_ENTRY_EMPTY, ///< First entry of a leader's term.
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

/// State machine's state at an index; replaces the entries up to it.
struct replica_snapshot {
	uint64_t index;
	uint64_t term;
	struct replica_config config;
	char *data;
	uint32_t size_bytes;
};

enum replica_message_kind {
	REPLICA_PRE_VOTE,
	REPLICA_PRE_VOTE_RESPONSE,
	REPLICA_VOTE,
	REPLICA_VOTE_RESPONSE,
	REPLICA_APPEND,
	REPLICA_APPEND_RESPONSE,
	REPLICA_HEARTBEAT,
	REPLICA_HEARTBEAT_RESPONSE,
	REPLICA_SNAPSHOT,
	REPLICA_MESSAGE_KINDS,
};

/// A message between replicas. It does not own entries and snapshot.
struct replica_message {
	enum replica_message_kind kind;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	uint64_t index;	   ///< Entry before those appended, or last entry.
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

/// Callbacks into the owner of the replica.
struct replica_ops {
	void (*send)(struct replica *r, const struct replica_message *message);
	/// Applies a committed entry. Called in log order, once per entry
	/// and process.
	void (*apply)(struct replica *r, const struct replica_entry *entry);
	/// Replaces the state by that of a snapshot.
	void (*restore)(
	    struct replica *r, const struct replica_snapshot *snapshot);
	/// Ends a replica_start_read: if ok, the applied state may serve it;
	/// else this replica cannot confirm the read.
	void (*read_done)(struct replica *r, uint64_t context, bool ok);
	void (*role_changed)(struct replica *r);
};

/// Replication progress of a peer, kept by the leader.
struct replica_progress {
	uint64_t id;
	uint64_t match; ///< Highest entry known to be durable there.
	uint64_t next;	///< First entry to send.
	/// Until then entries that were sent are not sent again. Heartbeats also
	/// start with reads, which may follow each other faster than entries
	/// are synced.
	int64_t repeat_deadline_us;
	bool probing; ///< Sends one append at a time until one is accepted.
	bool in_snapshot;
	/// Heartbeats acknowledged since the snapshot was sent.
	uint32_t snapshot_heartbeats;
	int64_t resend_deadline_us;
	int64_t last_contact_us;
	uint64_t read_context; ///< Highest read index round acknowledged.
	bool vote_granted;
};

struct replica_start_read {
	uint64_t context; ///< Passed back to the owner.
	uint64_t round;
	uint64_t index;
};

struct replica_settings {
	uint64_t id;
	int64_t election_us; ///< Minimum election timeout.
	int64_t heartbeat_us;
	uint32_t max_append_bytes;
	uint64_t max_uncommitted_bytes;
	uint32_t keep_entries; ///< Kept before a snapshot for slow followers.
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
	uint64_t synced_index; ///< Last entry durable on the local disk.
	// Log, oldest entry first; may overlap the snapshot.
	struct replica_snapshot snapshot;
	struct replica_entry *entries;
	uint64_t first_index; ///< Of entries[0].
	uint32_t entry_count;
	uint32_t entry_capacity;
	uint64_t uncommitted_bytes;
	struct replica_config config; ///< Latest in the log.
	uint64_t config_index;
	struct replica_progress progress[REPLICA_MAX_PEERS];
	uint32_t progress_count;
	struct replica_start_read reads[REPLICA_MAX_READS];
	uint32_t read_count;
	uint64_t read_round;
	uint64_t term_start_index; ///< Of the leader's empty entry.
	int64_t election_deadline_us;
	int64_t heartbeat_deadline_us;
	int64_t quorum_deadline_us;
	int64_t leader_contact_us;
	struct replica_message *outbox; ///< Sent after the next sync.
	uint32_t outbox_count;
	uint32_t outbox_capacity;
	bool dirty;
	struct error failure; ///< First storage error; halts the replica.
};

/// Persistent state, as loaded from storage.
struct replica_stored_state {
	uint64_t term;
	uint64_t vote;
	struct replica_snapshot snapshot; ///< Ownership of data moves.
	struct replica_entry *entries;	  ///< Ownership moves.
	uint32_t entry_count;
};

/// Starts a replica from its persistent state.
///
/// @return 0, or -1 with err set if the stored state is inconsistent
int replica_init(struct replica *r, const struct replica_ops *ops, void *owner,
    struct replica_storage *storage, const struct replica_settings *settings,
    struct replica_stored_state *stored, uint64_t seed, int64_t now_us,
    struct error *err);

void replica_free(struct replica *r);

/// Handles a message from another replica.
///
/// @return 0, or -1 with err set if no correct replica sends such a message in
///         the state of this one; it then has no effect
int replica_step(struct replica *r, const struct replica_message *message,
    int64_t now_us, struct error *err);

/// Runs the election, heartbeat and check-quorum timers that are due.
///
/// @return deadline of the next call; INT64_MAX once storage failed
int64_t replica_tick(struct replica *r, int64_t now_us);

/// Appends an entry to the log. Only the leader accepts it.
///
/// @param index  receives the entry's index
/// @return 0, or -1 with err set
int replica_propose(struct replica *r, const char *data, uint32_t size_bytes,
    uint64_t *index, int64_t now_us, struct error *err);

/// Starts a change to new voters and learners, through joint consensus if the
/// voters differ.
///
/// @return 0, or -1 with err set
int replica_change_config(struct replica *r, const struct replica_config *new,
    int64_t now_us, struct error *err);

/// Tells whether all voters of a config that are not voters yet have nearly the
/// whole log.
bool replica_has_caught_up(
    struct replica *r, const struct replica_config *config);

/// Starts a read index round, which confirms that this replica is still the
/// leader; ends in read_done.
void replica_start_read(struct replica *r, uint64_t context, int64_t now_us);

/// Syncs buffered writes, then sends the queued messages and applies committed
/// entries. Call it after every batch of the calls above.
void replica_flush(struct replica *r, int64_t now_us);

/// Compacts the log: replaces applied entries by a snapshot of the state.
void replica_compact(
    struct replica *r, uint64_t index, const char *data, uint32_t size_bytes);

bool replica_is_leader(const struct replica *r);

/// Returns whether storage failed; the replica then stops participating.
bool replica_has_failed(const struct replica *r);

uint64_t replica_last_index(const struct replica *r);

/// Returns the time of the last contact with a quorum; 0 if this is not the
/// leader.
int64_t replica_quorum_contact_us(const struct replica *r);

const char *replica_role_name(enum replica_role role);

// In-memory log, in replica_log.c.

/// Returns the term of an entry or of the snapshot; 0 if neither is at index.
uint64_t replica_log_term(const struct replica *r, uint64_t index);

/// Returns the entry at an index, or NULL if it is not in the log.
struct replica_entry *replica_log_get(const struct replica *r, uint64_t index);

/// Appends a copy of an entry to the log and to the storage.
void replica_log_append(struct replica *r, const struct replica_entry *entry);

/// Drops all entries from an index on, in memory and in the storage.
void replica_log_truncate(struct replica *r, uint64_t from_index);

/// Drops all entries up to an index from memory.
void replica_log_drop_prefix(struct replica *r, uint64_t index);

/// Records a storage error; the first one is kept.
void replica_record_failure(struct replica *r, const struct error *err);

/// Sets config and config_index from the latest config in the log.
void replica_find_config(struct replica *r);

/// Returns the config in force at a log index.
///
/// @param config_index  receives the index of its entry or snapshot
struct replica_config replica_config_at(
    const struct replica *r, uint64_t index, uint64_t *config_index);

// The leader's side of replication, in replica_leader.c.

struct replica_progress *replica_progress_get(struct replica *r, uint64_t id);

/// Syncs the progress table with the peers of the config.
void replica_progress_update(struct replica *r, int64_t now_us);

void replica_send_append(
    struct replica *r, struct replica_progress *p, int64_t now_us);

void replica_broadcast_append(struct replica *r, int64_t now_us);

void replica_broadcast_heartbeat(struct replica *r, int64_t now_us);

void replica_handle_append_response(
    struct replica *r, const struct replica_message *m, int64_t now_us);

void replica_handle_heartbeat_response(
    struct replica *r, const struct replica_message *m, int64_t now_us);

/// Commits entries that are durable on a quorum.
void replica_advance_commit(struct replica *r, int64_t now_us);

/// Fails all pending reads.
void replica_fail_reads(struct replica *r);

/// Appends a config entry, which takes effect before it is committed.
void replica_append_config(
    struct replica *r, const struct replica_config *config, int64_t now_us);

// Elections, in replica_election.c.

void replica_reset_election_timer(struct replica *r, int64_t now_us);

/// Schedules the first election attempt after a start.
void replica_schedule_first_election(struct replica *r, int64_t now_us);

void replica_save_vote(struct replica *r, uint64_t term, uint64_t vote);

/// Queues a message until the state it depends on is synced.
void replica_send_after_sync(
    struct replica *r, const struct replica_message *m);

void replica_set_role(
    struct replica *r, enum replica_role role, uint64_t leader);

void replica_become_follower(
    struct replica *r, uint64_t term, uint64_t leader, int64_t now_us);

/// Starts a pre-vote: checks whether this replica can win an election before it
/// increments its term.
void replica_start_pre_vote(struct replica *r, int64_t now_us);

/// Returns whether this replica leads, or heard from its leader within the
/// minimum election timeout. It then helps no candidate to replace the leader.
bool replica_has_active_leader(const struct replica *r, int64_t now_us);

void replica_handle_pre_vote(
    struct replica *r, const struct replica_message *m, int64_t now_us);

void replica_handle_vote(
    struct replica *r, const struct replica_message *m, int64_t now_us);

void replica_handle_vote_response(
    struct replica *r, const struct replica_message *m, int64_t now_us);

#endif
