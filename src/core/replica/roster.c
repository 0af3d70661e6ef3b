// Changes of members of a replicated log.
#include <string.h>

#include "core/replica/roster.h"

/// Entries that a learner may lack when it becomes a voter: what commits while
/// the change itself is under way.
#define CAUGHT_UP_ENTRIES 16

/// A candidate that did not ask for this long has gone; it asks several times
/// a second.
#define CANDIDATE_US (3LL * 1000000)

/// A learner that did not answer for this long is not made a voter; it answers
/// each heartbeat.
#define LEARNER_CONTACT_US (1LL * 1000000)

/// A learner that did not answer for this long is dropped, so that others find
/// room. One that comes back asks again.
#define LEARNER_FORGET_US (3LL * 1000000)

void
roster_init(struct roster *roster, uint32_t target_voters, int64_t silent_us)
{
	memset(roster, 0, sizeof(*roster));
	roster->target_voters = target_voters;
	roster->silent_us = silent_us;
}

/// Place for a candidate: its own, a free one, or that of the oldest.
static struct roster_candidate *
candidate_place(struct roster *roster, uint64_t id)
{
	struct roster_candidate *oldest = &roster->candidates[0];
	uint32_t i;

	for (i = 0; i < roster->candidate_count; i++) {
		struct roster_candidate *c = &roster->candidates[i];

		if (c->peer.id == id)
			return c;
		if (c->heard_us < oldest->heard_us)
			oldest = c;
	}
	if (roster->candidate_count < ROSTER_MAX_CANDIDATES)
		return &roster->candidates[roster->candidate_count++];
	return oldest;
}

void
roster_note(struct roster *roster, const struct replica_peer *peer,
    bool leaving, int64_t now_us)
{
	struct roster_candidate *c = candidate_place(roster, peer->id);

	c->peer = *peer;
	c->heard_us = now_us;
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
progress_of(const struct replica *r, uint64_t id)
{
	return replica_progress_get((struct replica *)(uintptr_t)r, id);
}

static bool
is_leaving(const struct roster *roster, uint64_t id, int64_t now_us)
{
	const struct roster_candidate *c = find_candidate(roster, id);

	return c != NULL && c->leaving && now_us - c->heard_us < CANDIDATE_US;
}

/// Tells whether a newer replica has the address of a member, whose disk is
/// lost then.
static bool
is_displaced(const struct roster *roster, const struct replica_peer *peer,
    int64_t now_us)
{
	const struct roster_candidate *own = find_candidate(roster, peer->id);
	uint32_t i;

	for (i = 0; i < roster->candidate_count; i++) {
		const struct roster_candidate *c = &roster->candidates[i];

		if (c->peer.id != peer->id && !c->leaving &&
		    now_us - c->heard_us < CANDIDATE_US &&
		    (own == NULL || own->heard_us < c->heard_us) &&
		    strcmp(c->peer.address, peer->address) == 0)
			return true;
	}
	return false;
}

static bool
is_silent(
    const struct replica *r, uint64_t id, int64_t silent_us, int64_t now_us)
{
	const struct replica_progress *p = progress_of(r, id);

	return p != NULL && now_us - p->contact_us > silent_us;
}

/// A learner that can be made a voter at once.
static bool
is_ready(const struct roster *roster, const struct replica *r,
    const struct replica_peer *learner, int64_t now_us)
{
	const struct replica_progress *p = progress_of(r, learner->id);

	return p != NULL && now_us - p->contact_us <= LEARNER_CONTACT_US &&
	    p->match > 0 &&
	    p->match + CAUGHT_UP_ENTRIES >= replica_last_index(r) &&
	    !is_leaving(roster, learner->id, now_us);
}

static void
remove_peer(struct replica_peer *peers, uint32_t *count, uint32_t at)
{
	(*count)--;
	memmove(peers + at, peers + at + 1, (*count - at) * sizeof(*peers));
	memset(&peers[*count], 0, sizeof(*peers));
}

/// Position of the voter whose place a learner takes; the count of voters if
/// it takes a new one, or -1 if there is no place.
static int
find_place(const struct roster *roster, const struct replica *r,
    const struct replica_config *c, const struct replica_peer *learner,
    int64_t now_us)
{
	int place = -1;
	uint32_t i;

	for (i = 0; i < c->voter_count; i++)
		if (strcmp(c->voters[i].address, learner->address) == 0)
			return (int)i;
	for (i = 0; i < c->voter_count; i++) {
		uint64_t id = c->voters[i].id;

		if (is_displaced(roster, &c->voters[i], now_us))
			return (int)i;
		if (is_leaving(roster, id, now_us) ||
		    is_silent(r, id, roster->silent_us, now_us))
			place = (int)i;
	}
	if (c->voter_count < roster->target_voters)
		return (int)c->voter_count;
	return place;
}

/// Makes voters of the learners that are ready and needed.
static bool
promote_learners(const struct roster *roster, const struct replica *r,
    int64_t now_us, struct replica_config *next)
{
	bool changed = false;
	uint32_t i = 0;

	while (i < next->learner_count) {
		struct replica_peer learner = next->learners[i];
		int place = -1;

		if (is_ready(roster, r, &learner, now_us))
			place = find_place(roster, r, next, &learner, now_us);
		if (place < 0 || place >= REPLICA_MAX_VOTERS) {
			i++;
			continue;
		}
		next->voters[place] = learner;
		if ((uint32_t)place == next->voter_count)
			next->voter_count++;
		remove_peer(next->learners, &next->learner_count, i);
		changed = true;
	}
	return changed;
}

static bool
drop_learners(const struct roster *roster, const struct replica *r,
    int64_t now_us, struct replica_config *next)
{
	bool changed = false;
	uint32_t i = 0;

	while (i < next->learner_count) {
		const struct replica_peer *learner = &next->learners[i];

		if (!is_displaced(roster, learner, now_us) &&
		    !is_leaving(roster, learner->id, now_us) &&
		    !is_silent(r, learner->id, LEARNER_FORGET_US, now_us)) {
			i++;
			continue;
		}
		remove_peer(next->learners, &next->learner_count, i);
		changed = true;
	}
	return changed;
}

static bool
add_learners(
    const struct roster *roster, int64_t now_us, struct replica_config *next)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < roster->candidate_count; i++) {
		const struct roster_candidate *c = &roster->candidates[i];

		// A replica whose disk is lost may have asked a moment ago.
		if (c->leaving || now_us - c->heard_us >= CANDIDATE_US ||
		    is_displaced(roster, &c->peer, now_us) ||
		    replica_config_find(next, c->peer.id) != NULL ||
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
	changed = drop_learners(roster, r, now_us, next);
	changed |= add_learners(roster, now_us, next);
	return changed;
}
