// The leader's side of replication, and its reads and membership changes.
#include <assert.h>
#include <string.h>

#include "core/replica/replica.h"

/// Heartbeats acknowledged without an acknowledgement of the snapshot until it
/// counts as lost: one or two may have been in flight before it was sent.
#define SNAPSHOT_LOST_HEARTBEATS 3

#define MAX_APPEND_ENTRIES 1024

/// Entries that a learner may lack when it becomes a voter.
#define MAX_LEARNER_LAG_ENTRIES 16

struct replica_progress *
replica_progress_get(struct replica *r, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < r->progress_count; i++)
		if (r->progress[i].id == id)
			return &r->progress[i];
	return NULL;
}

struct progress_update {
	struct replica *r;
	struct replica_progress kept[REPLICA_MAX_PEERS];
	uint32_t count;
	int64_t now_us;
};

static void
keep_progress(void *arg, const struct replica_peer *peer)
{
	struct progress_update *u = arg;
	struct replica_progress *p = &u->kept[u->count];
	const struct replica_progress *old;

	if (peer->id == u->r->settings.id)
		return;
	u->count++;
	old = replica_progress_get(u->r, peer->id);
	if (old != NULL) {
		*p = *old;
		return;
	}
	memset(p, 0, sizeof(*p));
	p->id = peer->id;
	p->next = replica_last_index(u->r) + 1;
	p->probing = true;
	p->last_contact_us = u->now_us;
}

void
replica_progress_update(struct replica *r, int64_t now_us)
{
	struct progress_update u = {.r = r, .now_us = now_us};

	replica_config_each(&r->config, keep_progress, &u);
	memcpy(r->progress, u.kept, sizeof(u.kept));
	r->progress_count = u.count;
}

static void
send_snapshot(struct replica *r, struct replica_progress *p, int64_t now_us)
{
	struct replica_message m = {
	    .kind = REPLICA_SNAPSHOT,
	    .from = r->settings.id,
	    .to = p->id,
	    .term = r->term,
	    .index = r->snapshot.index,
	    .log_term = r->snapshot.term,
	    .commit = r->commit,
	    .snapshot = &r->snapshot,
	};

	p->in_snapshot = true;
	p->snapshot_heartbeats = 0;
	p->resend_deadline_us = now_us + 4 * r->settings.election_us;
	r->ops->send(r, &m);
}

/// Returns the number of entries from an index on that fit one message.
static uint32_t
count_batch(const struct replica *r, uint64_t from)
{
	uint64_t available = replica_last_index(r) + 1 - from;
	uint64_t bytes = 0;
	uint32_t count = 0;

	while (count < available && count < MAX_APPEND_ENTRIES) {
		const struct replica_entry *e =
		    replica_log_get(r, from + count);

		if (count > 0 &&
		    bytes + e->size_bytes > r->settings.max_append_bytes)
			break;
		bytes += e->size_bytes;
		count++;
	}
	return count;
}

void
replica_send_append(
    struct replica *r, struct replica_progress *p, int64_t now_us)
{
	struct replica_message m = {
	    .kind = REPLICA_APPEND,
	    .from = r->settings.id,
	    .to = p->id,
	    .term = r->term,
	    .commit = r->commit,
	};

	if (p->in_snapshot && now_us < p->resend_deadline_us)
		return;
	p->in_snapshot = false;
	m.index = p->next - 1;
	m.log_term = replica_log_term(r, m.index);
	if (p->next < r->first_index || (m.index > 0 && m.log_term == 0)) {
		send_snapshot(r, p, now_us);
		return;
	}
	m.entry_count = count_batch(r, p->next);
	if (m.entry_count > 0)
		m.entries = replica_log_get(r, p->next);
	if (!p->probing)
		p->next += m.entry_count;
	p->repeat_deadline_us = now_us + r->settings.heartbeat_us;
	r->ops->send(r, &m);
}

void
replica_broadcast_append(struct replica *r, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < r->progress_count; i++) {
		struct replica_progress *p = &r->progress[i];

		if (!p->probing && p->next <= replica_last_index(r))
			replica_send_append(r, p, now_us);
	}
}

void
replica_broadcast_heartbeat(struct replica *r, int64_t now_us)
{
	uint32_t i;

	r->heartbeat_deadline_us = now_us + r->settings.heartbeat_us;
	for (i = 0; i < r->progress_count; i++) {
		const struct replica_progress *p = &r->progress[i];
		struct replica_message m = {
		    .kind = REPLICA_HEARTBEAT,
		    .from = r->settings.id,
		    .to = p->id,
		    .term = r->term,
		    .commit = p->match < r->commit ? p->match : r->commit,
		    .context = r->read_round,
		};

		r->ops->send(r, &m);
	}
}

/// Retries from another entry after a follower rejected an append because its
/// log ends before that entry or differs at it. Clamps the entry to the range
/// between match and the end of the log.
static void
probe_from(struct replica *r, struct replica_progress *p, uint64_t next,
    int64_t now_us)
{
	if (next > replica_last_index(r) + 1)
		next = replica_last_index(r) + 1;
	if (next <= p->match)
		next = p->match + 1;
	p->next = next;
	p->probing = true;
	replica_send_append(r, p, now_us);
}

void
replica_handle_append_response(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	struct replica_progress *p = replica_progress_get(r, m->from);

	if (p == NULL)
		return;
	p->last_contact_us = now_us;
	if (m->reject) {
		if (m->index + 1 < p->next || p->probing)
			probe_from(r, p, m->index + 1, now_us);
		return;
	}
	p->in_snapshot = false;
	p->probing = false;
	if (m->index > p->match) {
		p->match = m->index;
		p->repeat_deadline_us = now_us + r->settings.heartbeat_us;
	}
	if (p->next <= p->match)
		p->next = p->match + 1;
	replica_advance_commit(r, now_us);
	// The commit may have ended a membership change, which moves or
	// removes p.
	p = replica_progress_get(r, m->from);
	if (p != NULL && p->next <= replica_last_index(r))
		replica_send_append(r, p, now_us);
}

struct round_query {
	struct replica *r;
	uint64_t round;
};

static bool
has_acknowledged(void *arg, uint64_t id)
{
	struct round_query *q = arg;
	const struct replica_progress *p;

	if (id == q->r->settings.id)
		return true;
	p = replica_progress_get(q->r, id);
	return p != NULL && p->read_context >= q->round;
}

/// Completes the reads whose round a quorum has acknowledged.
static void
complete_reads(struct replica *r)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < r->read_count; i++) {
		struct replica_start_read read = r->reads[i];
		struct round_query q = {r, read.round};

		if (r->applied >= read.index &&
		    replica_config_has_quorum(&r->config, has_acknowledged, &q))
			r->ops->read_done(r, read.context, true);
		else
			r->reads[kept++] = read;
	}
	r->read_count = kept;
}

void
replica_fail_reads(struct replica *r)
{
	uint32_t count = r->read_count;
	uint32_t i;

	r->read_count = 0;
	for (i = 0; i < count; i++)
		r->ops->read_done(r, r->reads[i].context, false);
}

void
replica_handle_heartbeat_response(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	struct replica_progress *p = replica_progress_get(r, m->from);

	if (p == NULL)
		return;
	p->last_contact_us = now_us;
	if (m->context > p->read_context)
		p->read_context = m->context;
	// A stream preserves order: heartbeats sent after the snapshot arrived.
	if (p->in_snapshot &&
	    ++p->snapshot_heartbeats >= SNAPSHOT_LOST_HEARTBEATS)
		p->in_snapshot = false;
	// No progress for a heartbeat period: the appends may be lost.
	if (p->match < replica_last_index(r) &&
	    now_us >= p->repeat_deadline_us) {
		if (!p->probing)
			p->next = p->match + 1;
		replica_send_append(r, p, now_us);
	}
	complete_reads(r);
}

static uint64_t
durable_index(void *arg, uint64_t id)
{
	struct replica *r = arg;
	const struct replica_progress *p;

	if (id == r->settings.id)
		return r->synced_index;
	p = replica_progress_get(r, id);
	return p == NULL ? 0 : p->match;
}

/// Ends a joint config once it is committed: from now on the new voters alone
/// decide.
static void
leave_joint_config(struct replica *r, int64_t now_us)
{
	struct replica_config config = r->config;

	if (config.old_count == 0 || r->config_index > r->commit)
		return;
	config.old_count = 0;
	memset(config.old_voters, 0, sizeof(config.old_voters));
	replica_append_config(r, &config, now_us);
}

void
replica_advance_commit(struct replica *r, int64_t now_us)
{
	uint64_t reached =
	    replica_config_quorum_value(&r->config, durable_index, r);

	assert(r->role == REPLICA_LEADER);
	// Only entries of the current term are committed by counting replicas.
	if (reached <= r->commit || replica_log_term(r, reached) != r->term)
		return;
	r->commit = reached;
	leave_joint_config(r, now_us);
}

void
replica_append_config(
    struct replica *r, const struct replica_config *config, int64_t now_us)
{
	char text[REPLICA_CONFIG_TEXT_BYTES];
	struct replica_entry e = {
	    .index = replica_last_index(r) + 1,
	    .term = r->term,
	    .kind = REPLICA_ENTRY_CONFIG,
	    .data = text,
	};

	e.size_bytes = (uint32_t)replica_config_encode(config, text);
	replica_log_append(r, &e);
	r->config = *config;
	r->config_index = e.index;
	replica_progress_update(r, now_us);
	replica_broadcast_append(r, now_us);
}

bool
replica_has_caught_up(struct replica *r, const struct replica_config *config)
{
	uint32_t i;

	for (i = 0; i < config->voter_count; i++) {
		uint64_t id = config->voters[i].id;
		const struct replica_progress *p;

		if (id == r->settings.id ||
		    replica_config_is_voter(&r->config, id))
			continue;
		p = replica_progress_get(r, id);
		if (p == NULL || p->match == 0 ||
		    p->match + MAX_LEARNER_LAG_ENTRIES < replica_last_index(r))
			return false;
	}
	return true;
}

int
replica_change_config(struct replica *r, const struct replica_config *new,
    int64_t now_us, struct error *err)
{
	struct replica_config joint = *new;

	if (r->role != REPLICA_LEADER)
		return error_set(err, ERR_UNAVAILABLE, "change members", "",
		    "this replica is not the leader");
	if (r->config.old_count > 0 || r->config_index > r->commit)
		return error_set(err, ERR_UNAVAILABLE, "change members", "",
		    "another change is in progress");
	if (new->voter_count == 0 || r->commit < r->term_start_index)
		return error_set(err, ERR_UNAVAILABLE, "change members", "",
		    "not possible yet");
	joint.old_count = r->config.voter_count;
	memcpy(joint.old_voters, r->config.voters, sizeof(joint.old_voters));
	if (memcmp(joint.voters, r->config.voters, sizeof(joint.voters)) == 0)
		joint.old_count = 0;
	replica_append_config(r, &joint, now_us);
	return 0;
}

void
replica_start_read(struct replica *r, uint64_t context, int64_t now_us)
{
	if (r->role != REPLICA_LEADER || r->commit < r->term_start_index ||
	    r->read_count == REPLICA_MAX_READS) {
		r->ops->read_done(r, context, false);
		return;
	}
	r->reads[r->read_count].context = context;
	r->reads[r->read_count].round = ++r->read_round;
	r->reads[r->read_count++].index = r->commit;
	replica_broadcast_heartbeat(r, now_us);
	complete_reads(r);
}

static uint64_t
contact_time(void *arg, uint64_t id)
{
	struct replica *r = arg;
	const struct replica_progress *p;

	if (id == r->settings.id)
		return INT64_MAX;
	p = replica_progress_get(r, id);
	return p == NULL ? 0 : (uint64_t)p->last_contact_us;
}

int64_t
replica_quorum_contact_us(const struct replica *r)
{
	if (r->role != REPLICA_LEADER)
		return 0;
	return (int64_t)replica_config_quorum_value(
	    &r->config, contact_time, (void *)(uintptr_t)r);
}
