// Elections: roles, terms and votes of a replica.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/replica/replica.h"

/// Slots that the minimum election timeout is divided into. A candidate waits
/// for 1.5 slots before it campaigns, and one more for each voter ahead of it.
/// An election takes two round trips and two syncs, which fit into a slot.
#define SLOTS_PER_ELECTION 12

static void start_election(struct replica *r, int64_t now_us);

void
replica_reset_election_timer(struct replica *r, int64_t now_us)
{
	r->election_deadline_us = now_us + r->settings.election_us +
	    random_time_us(&r->random, r->settings.election_us);
}

/// Returns the number of voters that campaign before this one: ordered by id,
/// rotated by the term.
static uint32_t
get_slot_index(const struct replica *r)
{
	uint32_t count = r->config.voter_count;
	uint32_t lower = 0;
	uint32_t i;

	if (count == 0)
		return 0;
	for (i = 0; i < count; i++)
		lower += r->config.voters[i].id < r->settings.id;
	return (uint32_t)((lower + r->term) % count);
}

/// Schedules the first election attempt after a start, or the next one of a
/// candidate. A failed attempt does not disturb the others, since a pre-vote
/// precedes it; so retries are more frequent than the election timeout.
/// Replicas that start at the same time campaign in turn: with random delays
/// two of them often split the vote.
static void
schedule_campaign(struct replica *r, int64_t now_us)
{
	int64_t slot_us = r->settings.election_us / SLOTS_PER_ELECTION;

	r->election_deadline_us = now_us + slot_us * 3 / 2 +
	    get_slot_index(r) * slot_us +
	    random_time_us(&r->random, slot_us / 4);
}

void
replica_schedule_first_election(struct replica *r, int64_t now_us)
{
	schedule_campaign(r, now_us);
}

void
replica_save_vote(struct replica *r, uint64_t term, uint64_t vote)
{
	struct error err;

	r->term = term;
	r->vote = vote;
	r->dirty = true;
	if (r->storage->ops->save_vote(r->storage, term, vote, &err) != 0)
		replica_record_failure(r, &err);
}

void
replica_send_after_sync(struct replica *r, const struct replica_message *m)
{
	assert(m->entry_count == 0 && m->snapshot == NULL);
	if (r->outbox_count == r->outbox_capacity) {
		r->outbox_capacity =
		    r->outbox_capacity ? r->outbox_capacity * 2 : 16;
		r->outbox =
		    realloc(r->outbox, r->outbox_capacity * sizeof(*r->outbox));
		assert(r->outbox != NULL);
	}
	r->outbox[r->outbox_count++] = *m;
}

void
replica_set_role(struct replica *r, enum replica_role role, uint64_t leader)
{
	bool changed = r->role != role || r->leader != leader;

	if (r->role == REPLICA_LEADER && role != REPLICA_LEADER)
		replica_fail_reads(r);
	r->role = role;
	r->leader = leader;
	if (changed)
		r->ops->role_changed(r);
}

void
replica_become_follower(
    struct replica *r, uint64_t term, uint64_t leader, int64_t now_us)
{
	assert(term >= r->term);
	if (term > r->term)
		replica_save_vote(r, term, 0);
	replica_set_role(r, REPLICA_FOLLOWER, leader);
	replica_reset_election_timer(r, now_us);
}

static void
become_leader(struct replica *r, int64_t now_us)
{
	struct replica_entry e = {
	    .index = replica_last_index(r) + 1,
	    .term = r->term,
	    .kind = REPLICA_ENTRY_EMPTY,
	};
	uint32_t i;

	replica_set_role(r, REPLICA_LEADER, r->settings.id);
	r->progress_count = 0;
	replica_progress_update(r, now_us);
	r->read_round = 0;
	r->term_start_index = e.index;
	r->quorum_deadline_us = now_us + r->settings.election_us;
	replica_log_append(r, &e);
	for (i = 0; i < r->progress_count; i++)
		replica_send_append(r, &r->progress[i], now_us);
	replica_broadcast_heartbeat(r, now_us);
}

static bool
has_granted(void *arg, uint64_t id)
{
	struct replica *r = arg;
	const struct replica_progress *p;

	if (id == r->settings.id)
		return true;
	p = replica_progress_get(r, id);
	return p != NULL && p->vote_granted;
}

static void
count_votes(struct replica *r, int64_t now_us)
{
	if (!replica_config_has_quorum(&r->config, has_granted, r))
		return;
	if (r->role == REPLICA_PRE_CANDIDATE)
		start_election(r, now_us);
	else
		become_leader(r, now_us);
}

static void
request_votes(struct replica *r, enum replica_message_kind kind, uint64_t term)
{
	uint32_t i;

	for (i = 0; i < r->progress_count; i++) {
		struct replica_message m = {
		    .kind = kind,
		    .from = r->settings.id,
		    .to = r->progress[i].id,
		    .term = term,
		    .index = replica_last_index(r),
		    .log_term = replica_log_term(r, replica_last_index(r)),
		};

		if (replica_config_is_voter(&r->config, m.to))
			replica_send_after_sync(r, &m);
	}
}

static void
clear_votes(struct replica *r, int64_t now_us)
{
	r->progress_count = 0;
	replica_progress_update(r, now_us);
	schedule_campaign(r, now_us);
}

void
replica_start_pre_vote(struct replica *r, int64_t now_us)
{
	replica_set_role(r, REPLICA_PRE_CANDIDATE, 0);
	clear_votes(r, now_us);
	request_votes(r, REPLICA_PRE_VOTE, r->term + 1);
	count_votes(r, now_us);
}

static void
start_election(struct replica *r, int64_t now_us)
{
	replica_set_role(r, REPLICA_CANDIDATE, 0);
	replica_save_vote(r, r->term + 1, r->settings.id);
	clear_votes(r, now_us);
	request_votes(r, REPLICA_VOTE, r->term);
	count_votes(r, now_us);
}

/// Returns whether a candidate's log is at least as up to date as this one, so
/// that it holds every entry this replica may have committed.
static bool
is_up_to_date(const struct replica *r, const struct replica_message *m)
{
	uint64_t last = replica_last_index(r);
	uint64_t last_term = replica_log_term(r, last);

	return m->log_term > last_term ||
	    (m->log_term == last_term && m->index >= last);
}

bool
replica_has_active_leader(const struct replica *r, int64_t now_us)
{
	if (r->role == REPLICA_LEADER)
		return true;
	return r->leader != 0 &&
	    now_us < r->leader_contact_us + r->settings.election_us;
}

void
replica_handle_pre_vote(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	struct replica_message response = {
	    .kind = REPLICA_PRE_VOTE_RESPONSE,
	    .from = r->settings.id,
	    .to = m->from,
	    .term = m->term,
	};

	response.reject = m->term <= r->term ||
	    replica_has_active_leader(r, now_us) || !is_up_to_date(r, m);
	if (response.reject)
		response.term = r->term;
	r->ops->send(r, &response);
}

void
replica_handle_vote(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	struct replica_message response = {
	    .kind = REPLICA_VOTE_RESPONSE,
	    .from = r->settings.id,
	    .to = m->from,
	    .term = r->term,
	};

	response.reject =
	    (r->vote != 0 && r->vote != m->from) || !is_up_to_date(r, m);
	if (!response.reject) {
		if (r->vote == 0)
			replica_save_vote(r, r->term, m->from);
		replica_reset_election_timer(r, now_us);
	}
	replica_send_after_sync(r, &response);
}

void
replica_handle_vote_response(
    struct replica *r, const struct replica_message *m, int64_t now_us)
{
	struct replica_progress *p = replica_progress_get(r, m->from);
	enum replica_role awaited = m->kind == REPLICA_PRE_VOTE_RESPONSE
	    ? REPLICA_PRE_CANDIDATE
	    : REPLICA_CANDIDATE;
	uint64_t term =
	    m->kind == REPLICA_PRE_VOTE_RESPONSE ? r->term + 1 : r->term;

	if (r->role != awaited || p == NULL || m->reject || m->term != term)
		return;
	p->vote_granted = true;
	count_votes(r, now_us);
}
