// Message dispatch, timers, and the follower's side of replication.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core/replica/replica.h"

const char *
replica_role_name(enum replica_role role)
{
	switch (role) {
	case REPLICA_FOLLOWER:
		return "follower";
	case REPLICA_PRE_CANDIDATE:
		return "pre-candidate";
	case REPLICA_CANDIDATE:
		return "candidate";
	case REPLICA_LEADER:
		return "leader";
	}
	return "unknown";
}

bool
replica_is_leader(const struct replica *r)
{
	return r->role == REPLICA_LEADER && !replica_has_failed(r);
}

bool
replica_has_failed(const struct replica *r)
{
	return r->failure.code != ERR_NONE;
}

static void
send_append_response(
    struct replica *r, uint64_t to, uint64_t index, bool reject)
{
	struct replica_message response = {
	    .kind = REPLICA_APPEND_RESPONSE,
	    .from = r->settings.id,
	    .to = to,
	    .term = r->term,
	    .index = index,
	    .reject = reject,
	};

	replica_send_after_sync(r, &response);
}

static void
update_commit(struct replica *r, uint64_t commit, uint64_t limit)
{
	if (commit > limit)
		commit = limit;
	if (commit > r->commit)
		r->commit = commit;
}

static void
append_new_entries(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	bool config_changed = false;
	uint32_t i;

	for (i = 0; i < m->entry_count; i++) {
		const struct replica_entry *e = &m->entries[i];

		if (e->index <= r->commit ||
		    replica_log_term(r, e->index) == e->term)
			continue;
		if (e->index <= replica_last_index(r))
			replica_log_truncate(r, e->index);
		replica_log_append(r, e);
		config_changed |= e->kind == REPLICA_ENTRY_CONFIG;
	}
	if (config_changed) {
		replica_find_config(r);
		replica_progress_update(r, now_us);
	}
}

/// Returns the entry that the leader should probe next after a mismatch: the
/// last one before the conflicting term, but none before the commit index.
static uint64_t
reject_hint(const struct replica *r, uint64_t index)
{
	uint64_t last = replica_last_index(r);
	uint64_t term;

	if (index > last)
		return last;
	term = replica_log_term(r, index);
	while (index > r->commit && replica_log_term(r, index) == term)
		index--;
	return index;
}

static void
handle_append(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	uint64_t last_new = m->index + m->entry_count;

	if (m->index < r->commit) {
		// Entries up to the commit index match the leader's log.
		if (last_new > r->commit)
			append_new_entries(r, m, now_us);
		if (last_new < r->commit)
			last_new = r->commit;
	} else if (m->index > replica_last_index(r) ||
	    replica_log_term(r, m->index) != m->log_term) {
		send_append_response(
		    r, m->from, reject_hint(r, m->index), true);
		return;
	} else
		append_new_entries(r, m, now_us);
	update_commit(r, m->commit, last_new);
	send_append_response(r, m->from, last_new, false);
}

static void
handle_heartbeat(struct replica *r, const struct replica_message *m)
{
	struct replica_message response = {
	    .kind = REPLICA_HEARTBEAT_RESPONSE,
	    .from = r->settings.id,
	    .to = m->from,
	    .term = r->term,
	    .context = m->context,
	};

	update_commit(r, m->commit, replica_last_index(r));
	replica_send_after_sync(r, &response);
}

static void
free_entries(struct replica *r)
{
	uint32_t i;

	for (i = 0; i < r->entry_count; i++)
		free(r->entries[i].data);
	r->entry_count = 0;
	r->uncommitted_bytes = 0;
}

static void
copy_snapshot(struct replica *r, const struct replica_snapshot *from)
{
	char *data = malloc(from->size_bytes + 1);

	assert(data != NULL);
	if (from->size_bytes > 0)
		memcpy(data, from->data, from->size_bytes);
	free(r->snapshot.data);
	r->snapshot = *from;
	r->snapshot.data = data;
}

static void
handle_snapshot(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	struct error err;

	if (m->snapshot->index <= r->commit) {
		send_append_response(r, m->from, r->commit, false);
		return;
	}
	if (replica_log_get(r, m->snapshot->index) != NULL &&
	    replica_log_term(r, m->snapshot->index) == m->snapshot->term) {
		// The log already includes the snapshot; keep later entries.
		update_commit(r, m->snapshot->index, m->snapshot->index);
		send_append_response(r, m->from, m->snapshot->index, false);
		return;
	}
	if (replica_last_index(r) > m->snapshot->index)
		replica_log_truncate(r, m->snapshot->index + 1);
	free_entries(r);
	copy_snapshot(r, m->snapshot);
	r->first_index = r->snapshot.index + 1;
	r->commit = r->applied = r->synced_index = r->snapshot.index;
	r->dirty = true;
	if (r->storage->ops->save_snapshot(r->storage, &r->snapshot, &err) != 0)
		replica_record_failure(r, &err);
	replica_find_config(r);
	replica_progress_update(r, now_us);
	r->ops->restore(r, &r->snapshot);
	send_append_response(r, m->from, r->snapshot.index, false);
}

static bool
is_from_leader(const struct replica_message *m)
{
	return m->kind == REPLICA_APPEND || m->kind == REPLICA_HEARTBEAT ||
	    m->kind == REPLICA_SNAPSHOT;
}

/// Compares a message's term with the current one, and follows a newer term.
///
/// @return whether the message is to be handled further
static bool
check_message_term(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	bool from_leader = is_from_leader(m);

	if (m->kind == REPLICA_PRE_VOTE)
		return true;
	if (m->kind == REPLICA_PRE_VOTE_RESPONSE && !m->reject)
		return true;
	if (m->term > r->term) {
		if (m->kind == REPLICA_VOTE &&
		    replica_has_active_leader(r, now_us))
			return false;
		replica_become_follower(
		    r, m->term, from_leader ? m->from : 0, now_us);
		return true;
	}
	if (m->term == r->term)
		return true;
	// The response makes a stale leader step down.
	if (from_leader)
		send_append_response(r, m->from, replica_last_index(r), true);
	return false;
}

static void
record_leader_contact(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	if (r->role != REPLICA_FOLLOWER || r->leader != m->from)
		replica_set_role(r, REPLICA_FOLLOWER, m->from);
	r->leader_contact_us = now_us;
	replica_reset_election_timer(r, now_us);
}

/// Refuses terms that no correct replica sends: a replica that followed one would
/// keep it for good, and with it each quorum that it is part of.
static int
check_terms(
    const struct replica *r, const struct replica_message *m, struct error *err)
{
	uint32_t i;

	if (m->term > r->term && m->term - r->term > REPLICA_MAX_TERM_STEP)
		return error_set(err, ERR_INVALID, "replica message", "",
		    "term is %" PRIu64 ", too far above the local %" PRIu64,
		    m->term, r->term);
	if (m->log_term > m->term)
		return error_set(err, ERR_INVALID, "replica message", "",
		    "log_term is %" PRIu64 ", above the term %" PRIu64,
		    m->log_term, m->term);
	for (i = 0; i < m->entry_count; i++)
		if (m->entries[i].term > m->term)
			return error_set(err, ERR_INVALID, "replica message",
			    "",
			    "an entry's term is %" PRIu64
			    ", above that of the message, %" PRIu64,
			    m->entries[i].term, m->term);
	return 0;
}

/// Refuses messages that no correct replica sends: they would break what the
/// handlers rely on.
static int
check_message(
    const struct replica *r, const struct replica_message *m, struct error *err)
{
	if (check_terms(r, m, err) != 0)
		return -1;
	if (m->term == r->term && r->role == REPLICA_LEADER &&
	    is_from_leader(m))
		return error_set(err, ERR_INVALID, "replica message", "",
		    "replica %" PRIu64 " claims to lead term %" PRIu64
		    ", which this one leads",
		    m->from, m->term);
	if (m->term == r->term && r->role == REPLICA_LEADER &&
	    m->kind == REPLICA_APPEND_RESPONSE && !m->reject &&
	    m->index > replica_last_index(r))
		return error_set(err, ERR_INVALID, "replica message", "",
		    "replica %" PRIu64 " acknowledges entry %" PRIu64
		    " of a log that ends at %" PRIu64,
		    m->from, m->index, replica_last_index(r));
	return 0;
}

static void
handle_message(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	switch (m->kind) {
	case REPLICA_PRE_VOTE:
		replica_handle_pre_vote(r, m, now_us);
		break;
	case REPLICA_VOTE:
		replica_handle_vote(r, m, now_us);
		break;
	case REPLICA_PRE_VOTE_RESPONSE:
	case REPLICA_VOTE_RESPONSE:
		replica_handle_vote_response(r, m, now_us);
		break;
	case REPLICA_APPEND:
		record_leader_contact(r, m, now_us);
		handle_append(r, m, now_us);
		break;
	case REPLICA_HEARTBEAT:
		record_leader_contact(r, m, now_us);
		handle_heartbeat(r, m);
		break;
	case REPLICA_SNAPSHOT:
		record_leader_contact(r, m, now_us);
		handle_snapshot(r, m, now_us);
		break;
	case REPLICA_APPEND_RESPONSE:
		if (r->role == REPLICA_LEADER)
			replica_handle_append_response(r, m, now_us);
		break;
	case REPLICA_HEARTBEAT_RESPONSE:
		if (r->role == REPLICA_LEADER)
			replica_handle_heartbeat_response(r, m, now_us);
		break;
	case REPLICA_MESSAGE_KINDS:
		break;
	}
}

int
replica_step(struct replica *r, const struct replica_message *m, int64_t now_us,
    struct error *err)
{
	if (replica_has_failed(r)) {
		// Takes no part any more, but its owner can still name the
		// leader to others.
		if (is_from_leader(m) && m->term >= r->term)
			replica_set_role(r, REPLICA_FOLLOWER, m->from);
		return 0;
	}
	if (check_message(r, m, err) != 0)
		return -1;
	if (check_message_term(r, m, now_us))
		handle_message(r, m, now_us);
	return 0;
}

/// Steps down if a quorum was not in contact for two election timeouts: another
/// leader may have been elected.
static void
check_quorum(struct replica *r, int64_t now_us)
{
	if (now_us < r->quorum_deadline_us)
		return;
	r->quorum_deadline_us = now_us + r->settings.election_us;
	if (replica_quorum_contact_us(r) < now_us - 2 * r->settings.election_us)
		replica_become_follower(r, r->term, 0, now_us);
}

int64_t
replica_tick(struct replica *r, int64_t now_us)
{
	if (replica_has_failed(r))
		return INT64_MAX;
	if (r->role == REPLICA_LEADER) {
		if (now_us >= r->heartbeat_deadline_us)
			replica_broadcast_heartbeat(r, now_us);
		check_quorum(r, now_us);
	} else if (now_us >= r->election_deadline_us) {
		if (replica_config_is_voter(&r->config, r->settings.id))
			replica_start_pre_vote(r, now_us);
		else
			replica_reset_election_timer(r, now_us);
	}
	if (r->role == REPLICA_LEADER)
		return r->heartbeat_deadline_us;
	return r->election_deadline_us;
}

int
replica_propose(struct replica *r, const char *data, uint32_t size_bytes,
    uint64_t *index, int64_t now_us, struct error *err)
{
	struct replica_entry e = {
	    .index = replica_last_index(r) + 1,
	    .term = r->term,
	    .kind = REPLICA_ENTRY_DATA,
	    .data = (char *)(uintptr_t)data,
	    .size_bytes = size_bytes,
	};

	if (replica_has_failed(r))
		return error_set(err, ERR_UNAVAILABLE, "append",
		    r->failure.peer, "storage failed: %s", r->failure.text);
	if (r->role != REPLICA_LEADER)
		return error_set(err, ERR_UNAVAILABLE, "append", "",
		    "this replica is not the leader");
	if (r->uncommitted_bytes > r->settings.max_uncommitted_bytes)
		return error_set(err, ERR_TOO_LARGE, "append", "",
		    "too many uncommitted bytes");
	replica_log_append(r, &e);
	*index = e.index;
	replica_broadcast_append(r, now_us);
	return 0;
}

static void
apply_committed(struct replica *r)
{
	while (r->applied < r->commit) {
		const struct replica_entry *e =
		    replica_log_get(r, r->applied + 1);

		assert(e != NULL);
		r->applied++;
		r->uncommitted_bytes -=
		    e->size_bytes + REPLICA_ENTRY_OVERHEAD_BYTES;
		r->ops->apply(r, e);
	}
}

/// Steps down once a config without this replica is committed.
static void
step_down_if_removed(struct replica *r, int64_t now_us)
{
	if (r->role == REPLICA_LEADER && r->config_index <= r->commit &&
	    r->config.old_count == 0 &&
	    !replica_config_is_voter(&r->config, r->settings.id))
		replica_become_follower(r, r->term, 0, now_us);
}

void
replica_flush(struct replica *r, int64_t now_us)
{
	uint64_t before;
	struct error err;
	uint32_t i;

	do {
		before = r->commit;
		if (r->dirty && !replica_has_failed(r)) {
			r->dirty = false;
			if (r->storage->ops->sync(r->storage, &err) != 0)
				replica_record_failure(r, &err);
			else
				r->synced_index = replica_last_index(r);
		}
		if (replica_has_failed(r)) {
			r->outbox_count = 0;
			if (r->role != REPLICA_FOLLOWER)
				replica_set_role(r, REPLICA_FOLLOWER, 0);
			return;
		}
		for (i = 0; i < r->outbox_count; i++)
			r->ops->send(r, &r->outbox[i]);
		r->outbox_count = 0;
		if (r->role == REPLICA_LEADER)
			replica_advance_commit(r, now_us);
		apply_committed(r);
		step_down_if_removed(r, now_us);
	} while (r->dirty || r->commit != before);
}

void
replica_compact(
    struct replica *r, uint64_t index, const char *data, uint32_t size_bytes)
{
	struct replica_snapshot s = {
	    .index = index,
	    .term = replica_log_term(r, index),
	    .data = (char *)(uintptr_t)data,
	    .size_bytes = size_bytes,
	};
	struct error err;
	uint64_t config_index;

	assert(index <= r->applied && index > r->snapshot.index);
	s.config = replica_config_at(r, index, &config_index);
	copy_snapshot(r, &s);
	r->dirty = true;
	if (r->storage->ops->save_snapshot(r->storage, &r->snapshot, &err) != 0)
		replica_record_failure(r, &err);
	if (index > r->settings.keep_entries)
		replica_log_drop_prefix(r, index - r->settings.keep_entries);
}

int
replica_init(struct replica *r, const struct replica_ops *ops, void *owner,
    struct replica_storage *storage, const struct replica_settings *settings,
    struct replica_stored_state *stored, uint64_t seed, int64_t now_us,
    struct error *err)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->ops = ops;
	r->owner = owner;
	r->storage = storage;
	r->settings = *settings;
	r->random.seed = seed;
	r->term = stored->term;
	r->vote = stored->vote;
	r->snapshot = stored->snapshot;
	r->entries = stored->entries;
	r->entry_count = stored->entry_count;
	r->entry_capacity = stored->entry_count;
	r->first_index = stored->entry_count > 0 ? stored->entries[0].index
						 : stored->snapshot.index + 1;
	memset(stored, 0, sizeof(*stored));
	if (r->first_index > r->snapshot.index + 1)
		return error_set(err, ERR_CORRUPT, "load log", "",
		    "entries between the snapshot and the log are missing");
	for (i = 0; i < r->entry_count; i++) {
		if (r->entries[i].index != r->first_index + i)
			return error_set(err, ERR_CORRUPT, "load log", "",
			    "entries are out of order");
		if (r->entries[i].index > r->snapshot.index)
			r->uncommitted_bytes += r->entries[i].size_bytes +
			    REPLICA_ENTRY_OVERHEAD_BYTES;
	}
	r->commit = r->applied = r->snapshot.index;
	r->synced_index = replica_last_index(r);
	replica_find_config(r);
	replica_progress_update(r, now_us);
	replica_schedule_first_election(r, now_us);
	if (r->snapshot.index > 0)
		ops->restore(r, &r->snapshot);
	return 0;
}

void
replica_free(struct replica *r)
{
	free_entries(r);
	free(r->entries);
	free(r->snapshot.data);
	free(r->outbox);
	memset(r, 0, sizeof(*r));
}
