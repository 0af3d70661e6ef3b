// Table of members, and dissemination of records.
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/membership/membership_internal.h"

#define TRANSMIT_FACTOR 3
#define MAX_DCS		32
#define DEADLINE_NONE	INT64_MAX

static uint32_t
log2_ceil(uint32_t n)
{
	uint32_t bits = 1;

	while (n > (1u << bits))
		bits++;
	return bits;
}

uint32_t
membership_transmit_limit(const struct membership *m)
{
	return TRANSMIT_FACTOR * log2_ceil(m->peer_count + 2);
}

uint32_t
membership_peer_position(const struct membership *m, const char *name)
{
	uint32_t low = 0;
	uint32_t high = m->peer_count;

	while (low < high) {
		uint32_t mid = (low + high) / 2;

		if (strcmp(m->peers[mid]->member.name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

struct peer *
membership_peer_find(const struct membership *m, const char *name)
{
	uint32_t i = membership_peer_position(m, name);

	if (i == m->peer_count || strcmp(m->peers[i]->member.name, name) != 0)
		return NULL;
	return m->peers[i];
}

struct peer *
membership_peer_insert(struct membership *m, const char *name)
{
	uint32_t at = membership_peer_position(m, name);
	struct peer *peer = calloc(1, sizeof(*peer));

	assert(peer != NULL);
	if (m->peer_count == m->peer_capacity) {
		m->peer_capacity = m->peer_capacity ? m->peer_capacity * 2 : 32;
		m->peers =
		    realloc(m->peers, m->peer_capacity * sizeof(*m->peers));
		assert(m->peers != NULL);
	}
	memmove(m->peers + at + 1, m->peers + at,
	    (m->peer_count - at) * sizeof(*m->peers));
	m->peers[at] = peer;
	m->peer_count++;
	peer->forget_deadline_us = DEADLINE_NONE;
	return peer;
}

void
membership_peer_remove(struct membership *m, uint32_t at)
{
	free(m->peers[at]);
	m->peer_count--;
	memmove(m->peers + at, m->peers + at + 1,
	    (m->peer_count - at) * sizeof(*m->peers));
}

bool
membership_is_up(const struct member *member)
{
	return member->status <= MEMBER_SUSPECT;
}

enum distance
membership_distance(const struct membership *m, const struct member *member)
{
	if (strcmp(m->self.region, member->region) != 0)
		return DISTANCE_FAR;
	if (strcmp(m->self.dc, member->dc) != 0)
		return DISTANCE_REGION;
	return DISTANCE_DC;
}

const struct member *
membership_find(const struct membership *m, const char *name)
{
	const struct peer *peer = membership_peer_find(m, name);

	if (peer != NULL)
		return &peer->member;
	return strcmp(name, m->self.name) == 0 ? &m->self : NULL;
}

uint32_t
membership_alive_count(const struct membership *m)
{
	uint32_t count = 1;
	uint32_t i;

	for (i = 0; i < m->peer_count; i++)
		count += membership_is_up(&m->peers[i]->member);
	return count;
}

static uint64_t
hash_member(const struct member *member)
{
	struct {
		uint64_t name;
		uint64_t incarnation;
		uint32_t revision;
		uint32_t status;
	} key;

	key.name = XXH3_64bits(member->name, strlen(member->name));
	key.incarnation = member->incarnation;
	key.revision = member->revision;
	key.status = member->status;
	return XXH3_64bits(&key, sizeof(key));
}

uint64_t
membership_name_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

uint64_t
membership_digest(const struct membership *m)
{
	uint64_t digest = hash_member(&m->self);
	uint32_t i;

	for (i = 0; i < m->peer_count; i++)
		if (membership_is_up(&m->peers[i]->member))
			digest ^= hash_member(&m->peers[i]->member);
	return digest;
}

/// Returns the pending record with the fewest transmissions that is not in this
/// message yet, or NULL.
static struct peer *
next_pending_update(const struct membership *m)
{
	struct peer *best = NULL;
	uint32_t i;

	for (i = 0; i < m->peer_count; i++) {
		struct peer *p = m->peers[i];

		if (p->transmits_left == 0 || p->pack_round == m->pack_round)
			continue;
		if (best == NULL || p->transmits < best->transmits)
			best = p;
	}
	return best;
}

static void
add_updates(struct membership *m, struct gossip *g)
{
	m->pack_round++;
	while (g->update_count < GOSSIP_MAX_UPDATES) {
		struct peer *peer = next_pending_update(m);

		if (peer == NULL)
			return;
		g->updates[g->update_count++] = peer->member;
		peer->pack_round = m->pack_round;
		peer->transmits++;
		peer->transmits_left--;
	}
}

void
membership_send_gossip(
    struct membership *m, const char *host, uint32_t port, struct gossip *g)
{
	g->from = m->self;
	g->digest = membership_digest(m);
	add_updates(m, g);
	m->ops->send(m, host, port, g);
}

bool
membership_has_pending_updates(const struct membership *m)
{
	uint32_t i;

	if (m->self_transmits_left > 0)
		return true;
	for (i = 0; i < m->peer_count; i++)
		if (m->peers[i]->transmits_left > 0)
			return true;
	return false;
}

void
membership_send_to_member(struct membership *m, const struct member *to,
    enum gossip_kind kind, uint64_t sequence)
{
	struct gossip g = {.kind = kind, .sequence = sequence};

	if (kind == GOSSIP_PROBE)
		memcpy(g.target, to->name, sizeof(g.target));
	membership_send_gossip(m, to->host, to->control_port, &g);
}

/// Random sample of the members of one data centre that are up.
struct dc_sample {
	const char *region;
	const char *dc;
	struct peer *peer;
	uint32_t seen;
};

static struct dc_sample *
find_sample(
    struct dc_sample *samples, uint32_t *count, const struct member *member)
{
	uint32_t i;

	for (i = 0; i < *count; i++)
		if (strcmp(samples[i].dc, member->dc) == 0 &&
		    strcmp(samples[i].region, member->region) == 0)
			return &samples[i];
	if (*count == MAX_DCS)
		return NULL;
	samples[*count].region = member->region;
	samples[*count].dc = member->dc;
	samples[*count].peer = NULL;
	samples[*count].seen = 0;
	return &samples[(*count)++];
}

static uint32_t
sample_dcs(struct membership *m, struct dc_sample samples[MAX_DCS])
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < m->peer_count; i++) {
		struct peer *peer = m->peers[i];
		struct dc_sample *s;

		if (peer->distance == DISTANCE_DC ||
		    !membership_is_up(&peer->member))
			continue;
		s = find_sample(samples, &count, &peer->member);
		if (s != NULL && random_below(&m->random, ++s->seen) == 0)
			s->peer = peer;
	}
	return count;
}

void
membership_push_to_dcs(struct membership *m, const struct member *record)
{
	struct dc_sample samples[MAX_DCS];
	uint32_t count = sample_dcs(m, samples);
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct gossip g = {.kind = GOSSIP_NOTICE};
		const struct member *to = &samples[i].peer->member;

		if (record != NULL)
			g.updates[g.update_count++] = *record;
		g.from = m->self;
		g.digest = membership_digest(m);
		m->ops->send(m, to->host, to->control_port, &g);
	}
}

bool
membership_draw_dc_push(struct membership *m, uint32_t senders)
{
	uint32_t dc_members = 1;
	uint32_t i;

	for (i = 0; i < m->peer_count; i++)
		dc_members += m->peers[i]->distance == DISTANCE_DC &&
		    membership_is_up(&m->peers[i]->member);
	return random_below(&m->random, dc_members) < senders;
}
