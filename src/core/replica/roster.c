// Automatic membership changes of a replicated log.
#include <string.h>

#include "core/replica/roster.h"

/// Entries that a learner may lack when it becomes a voter: those that commit
/// while the change itself is in progress.
#define MAX_LEARNER_LAG_ENTRIES 16

/// Time after its last request at which a candidate expires. A candidate sends
/// several requests per second.
#define CANDIDATE_TIMEOUT_US (3LL * 1000000)

/// Time without contact after which a learner is not promoted. A learner
/// responds to each heartbeat.
#define LEARNER_CONTACT_TIMEOUT_US (1LL * 1000000)

/// Time without contact after which a learner is removed, to make room for
/// others. One that recovers asks to join again.
#define LEARNER_REMOVE_TIMEOUT_US (3LL * 1000000)

void
roster_init(
    struct roster *roster, uint32_t target_voters, int64_t voter_timeout_us)
{
	memset(roster, 0, sizeof(*roster));
	roster->target_voters = target_voters;
	roster->voter_timeout_us = voter_timeout_us;
}

/// Returns the slot of a candidate, else a free one, else the one least recently
/// updated.
static struct roster_candidate *
get_candidate_slot(struct roster *roster, uint64_t id)
{
	struct roster_candidate *oldest = &roster->candidates[0];
	uint32_t i;

	for (i = 0; i < roster->candidate_count; i++) {
		struct roster_candidate *c = &roster->candidates[i];

		if (c->peer.id == id)
			return c;
		if (c->last_seen_us < oldest->last_seen_us)
			oldest = c;
	}
	if (roster->candidate_count < ROSTER_MAX_CANDIDATES)
		return &roster->candidates[roster->candidate_count++];
	return oldest;
}

void
roster_update_candidate(struct roster *roster, const struct replica_peer *peer,
    bool leaving, int64_t now_us)
{
	struct roster_candidate *c = get_candidate_slot(roster, peer->id);

	c->peer = *peer;
	c->last_seen_us = now_us;
	c->leaving = leaving;
}

static const struct roster_candidate *
find_candidate(const struct roster *roster, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < roster->candidate_count; i++)
		if (roster->candidates[i].peer.id == id)
			return &roster->candidates[i];
	return NULL;
}

static const struct replica_progress *
get_progress(const struct replica *r, uint64_t id)
{
	return replica_progress_get((struct replica *)(uintptr_t)r, id);
}

static bool
is_leaving(const struct roster *roster, uint64_t id, int64_t now_us)
{
	const struct roster_candidate *c = find_candidate(roster, id);

	return c != NULL && c->leaving &&
	    now_us - c->last_seen_us < CANDIDATE_TIMEOUT_US;
}

/// Returns whether another replica was seen at a peer's address more recently
/// than the peer, which proves that the peer's disk is lost.
static bool
has_lost_disk(const struct roster *roster, const struct replica_peer *peer,
    int64_t now_us)
{
	const struct roster_candidate *own = find_candidate(roster, peer->id);
	uint32_t i;

	for (i = 0; i < roster->candidate_count; i++) {
		const struct roster_candidate *c = &roster->candidates[i];

		if (c->peer.id != peer->id && !c->leaving &&
		    now_us - c->last_seen_us < CANDIDATE_TIMEOUT_US &&
		    (own == NULL || own->last_seen_us < c->last_seen_us) &&
		    strcmp(c->peer.address, peer->address) == 0)
			return true;
	}
	return false;
}

static bool
has_timed_out(
    const struct replica *r, uint64_t id, int64_t timeout_us, int64_t now_us)
{
	const struct replica_progress *p = get_progress(r, id);

	return p != NULL && now_us - p->last_contact_us > timeout_us;
}

/// Returns whether a learner can be promoted at once.
static bool
is_ready(const struct roster *roster, const struct replica *r,
    const struct replica_peer *learner, int64_t now_us)
{
	const struct replica_progress *p = get_progress(r, learner->id);

	return p != NULL &&
	    now_us - p->last_contact_us <= LEARNER_CONTACT_TIMEOUT_US &&
	    p->match > 0 &&
	    p->match + MAX_LEARNER_LAG_ENTRIES >= replica_last_index(r) &&
	    !is_leaving(roster, learner->id, now_us);
}

static void
remove_peer(struct replica_peer *peers, uint32_t *count, uint32_t at)
{
	(*count)--;
	memmove(peers + at, peers + at + 1, (*count - at) * sizeof(*peers));
	memset(&peers[*count], 0, sizeof(*peers));
}

/// Returns the index of the voter that a learner replaces; the number of voters
/// if it is added as a new one, or -1 if it is not needed.
static int
find_voter_slot(const struct roster *roster, const struct replica *r,
    const struct replica_config *c, const struct replica_peer *learner,
    int64_t now_us)
{
	int slot = -1;
	uint32_t i;

	for (i = 0; i < c->voter_count; i++)
		if (strcmp(c->voters[i].address, learner->address) == 0)
			return (int)i;
	for (i = 0; i < c->voter_count; i++) {
		uint64_t id = c->voters[i].id;

		if (has_lost_disk(roster, &c->voters[i], now_us))
			return (int)i;
		if (is_leaving(roster, id, now_us) ||
		    has_timed_out(r, id, roster->voter_timeout_us, now_us))
			slot = (int)i;
	}
	if (c->voter_count < roster->target_voters)
		return (int)c->voter_count;
	return slot;
}

/// Promotes the learners that are ready and needed to voters.
static bool
promote_learners(const struct roster *roster, const struct replica *r,
    int64_t now_us, struct replica_config *next)
{
	bool changed = false;
	uint32_t i = 0;

	while (i < next->learner_count) {
		struct replica_peer learner = next->learners[i];
		int slot = -1;

		if (is_ready(roster, r, &learner, now_us))
			slot =
			    find_voter_slot(roster, r, next, &learner, now_us);
		if (slot < 0 || slot >= REPLICA_MAX_VOTERS) {
			i++;
			continue;
		}
		next->voters[slot] = learner;
		if ((uint32_t)slot == next->voter_count)
			next->voter_count++;
		remove_peer(next->learners, &next->learner_count, i);
		changed = true;
	}
	return changed;
}

static bool
remove_learners(const struct roster *roster, const struct replica *r,
    int64_t now_us, struct replica_config *next)
{
	bool changed = false;
	uint32_t i = 0;

	while (i < next->learner_count) {
		const struct replica_peer *learner = &next->learners[i];

		if (!has_lost_disk(roster, learner, now_us) &&
		    !is_leaving(roster, learner->id, now_us) &&
		    !has_timed_out(
			r, learner->id, LEARNER_REMOVE_TIMEOUT_US, now_us)) {
			i++;
			continue;
		}
		remove_peer(next->learners, &next->learner_count, i);
		changed = true;
	}
	return changed;
}

/// Adds the candidates that are no members yet. One that this decision removes
/// is added by the next one at the earliest: as a new learner it has the whole
/// timeout again.
static bool
add_learners(const struct roster *roster, const struct replica *r,
    int64_t now_us, struct replica_config *next)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < roster->candidate_count; i++) {
		const struct roster_candidate *c = &roster->candidates[i];

		// A replica that has just lost its disk may still be listed.
		if (c->leaving ||
		    now_us - c->last_seen_us >= CANDIDATE_TIMEOUT_US ||
		    has_lost_disk(roster, &c->peer, now_us) ||
		    replica_config_find(&r->config, c->peer.id) != NULL ||
		    next->learner_count == REPLICA_MAX_LEARNERS)
			continue;
		next->learners[next->learner_count++] = c->peer;
		changed = true;
	}
	return changed;
}

bool
roster_decide(const struct roster *roster, const struct replica *r,
    int64_t now_us, struct replica_config *next)
{
	bool changed;

	if (!replica_is_leader(r) || r->config.old_count > 0 ||
	    r->config_index > r->commit)
		return false;
	*next = r->config;
	if (promote_learners(roster, r, now_us, next))
		return true;
	changed = remove_learners(roster, r, now_us, next);
	changed |= add_learners(roster, r, now_us, next);
	return changed;
}
