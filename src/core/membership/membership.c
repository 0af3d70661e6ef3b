// Membership by gossip.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/membership/membership_internal.h"

#define NOTICE_FANOUT	   3
#define VERSION_FANOUT	   4
#define REGION_PROBE_EVERY 4
#define FAR_PROBE_EVERY	   8
#define DEADLINE_NONE	   INT64_MAX

static void
mark_changed(struct membership *m, struct peer *peer)
{
	peer->transmits_left = membership_transmit_limit(m);
	peer->sends = 0;
	if (peer->distance == DISTANCE_DC && membership_draw_crossing(m))
		membership_push_across(m, &peer->member);
	m->ops->changed(m, &peer->member);
}

/// Raises the own revision, which overrides what others say of this member.
static void
bump_self(struct membership *m)
{
	m->self.revision++;
	m->self_transmits_left = membership_transmit_limit(m);
	m->push_self = true;
}

/// Refutes a record that calls this member anything but alive.
static void
merge_self(struct membership *m, const struct member *record)
{
	if (record->version > m->version_floor)
		m->version_floor = record->version;
	if (record->incarnation > m->self.incarnation)
		m->self.incarnation = record->incarnation + 1;
	if (m->leaving || !member_supersedes(record, &m->self))
		return;
	if (record->revision > m->self.revision)
		m->self.revision = record->revision;
	bump_self(m);
}

static void
set_deadlines(struct membership *m, struct peer *peer, int64_t now_us)
{
	uint32_t digits = 1;
	uint32_t n;

	for (n = m->peer_count; n >= 10; n /= 10)
		digits++;
	peer->suspect_deadline_us = DEADLINE_NONE;
	peer->forget_deadline_us = DEADLINE_NONE;
	if (peer->member.status == MEMBER_SUSPECT)
		peer->suspect_deadline_us = now_us +
		    m->settings.probe_period_us *
			m->settings.suspicion_periods * digits;
	if (!membership_is_up(&peer->member))
		peer->forget_deadline_us = now_us + m->settings.forget_us;
}

static void
raise_version(struct membership *m, struct peer *peer, uint64_t version)
{
	if (version <= peer->member.version)
		return;
	peer->member.version = version;
	m->ops->version_heard(m, &peer->member);
}

void
membership_merge(
    struct membership *m, const struct member *record, int64_t now_us)
{
	struct peer *peer;
	uint64_t version;

	if (strcmp(record->name, m->self.name) == 0) {
		merge_self(m, record);
		return;
	}
	peer = membership_peer_find(m, record->name);
	if (peer == NULL) {
		if (!membership_is_up(record))
			return;
		peer = membership_peer_insert(m, record->name);
		peer->member = *record;
		peer->member.version = 0;
	} else {
		if (!member_supersedes(record, &peer->member)) {
			raise_version(m, peer, record->version);
			return;
		}
		version = peer->member.version;
		peer->member = *record;
		peer->member.version = version;
	}
	peer->distance = membership_distance(m, &peer->member);
	set_deadlines(m, peer, now_us);
	mark_changed(m, peer);
	raise_version(m, peer, record->version);
}

/// Takes what a member says of itself, its load included.
static void
hear_sender(struct membership *m, const struct member *from, int64_t now_us)
{
	struct peer *peer;

	membership_merge(m, from, now_us);
	peer = membership_peer_find(m, from->name);
	if (peer == NULL)
		return;
	if (peer->member.incarnation == from->incarnation &&
	    peer->member.revision == from->revision)
		peer->member.load_pct = from->load_pct;
	// A member thought dead must learn it, or it cannot refute.
	if (peer->member.status != MEMBER_ALIVE &&
	    peer->member.incarnation == from->incarnation &&
	    peer->transmits_left == 0)
		peer->transmits_left = 1;
}

static void
probe_succeeded(struct membership *m)
{
	m->probe_name[0] = '\0';
	m->indirect_deadline_us = DEADLINE_NONE;
}

static void
answer_relays(struct membership *m, uint64_t sequence, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < GOSSIP_MAX_RELAYS; i++) {
		struct relay *r = &m->relays[i];
		struct gossip g = {.kind = GOSSIP_ACK};

		if (r->deadline_us < now_us || r->sequence != sequence)
			continue;
		r->deadline_us = 0;
		g.sequence = r->origin_sequence;
		membership_send_gossip(m, r->origin_host, r->origin_port, &g);
	}
}

static void
receive_ack(struct membership *m, uint64_t sequence, int64_t now_us)
{
	if (m->probe_name[0] != '\0' && sequence == m->probe_sequence)
		probe_succeeded(m);
	answer_relays(m, sequence, now_us);
}

static void
receive_probe_request(
    struct membership *m, const struct gossip *g, int64_t now_us)
{
	const struct peer *target = membership_peer_find(m, g->target);
	uint32_t i;

	if (target == NULL)
		return;
	for (i = 0; i < GOSSIP_MAX_RELAYS; i++) {
		struct relay *r = &m->relays[i];

		if (r->deadline_us >= now_us)
			continue;
		r->sequence = ++m->next_sequence;
		r->origin_sequence = g->sequence;
		memcpy(r->origin_host, g->from.host, sizeof(r->origin_host));
		r->origin_port = g->from.control_port;
		r->deadline_us = now_us + m->settings.probe_period_us;
		membership_send_simple(
		    m, &target->member, GOSSIP_PROBE, r->sequence);
		return;
	}
}

/// Exchanges tables with a member whose table differs although neither this
/// one nor, by the messages that went between, that one has news to tell.
static void
repair_difference(struct membership *m, const struct gossip *g, int64_t now_us)
{
	if (g->digest == membership_digest(m) || membership_has_news(m) ||
	    g->update_count > 0 || now_us < m->repair_deadline_us)
		return;
	m->repair_deadline_us = now_us + m->settings.probe_period_us +
	    random_time_us(&m->random, m->settings.probe_period_us);
	m->ops->sync(m, g->from.host, g->from.control_port);
}

void
membership_receive(struct membership *m, const struct gossip *g, int64_t now_us)
{
	uint32_t i;

	if (strcmp(g->from.name, m->self.name) != 0)
		hear_sender(m, &g->from, now_us);
	else
		merge_self(m, &g->from);
	for (i = 0; i < g->update_count; i++)
		membership_merge(m, &g->updates[i], now_us);
	switch (g->kind) {
	case GOSSIP_PROBE:
		membership_send_simple(m, &g->from, GOSSIP_ACK, g->sequence);
		break;
	case GOSSIP_ACK:
		receive_ack(m, g->sequence, now_us);
		repair_difference(m, g, now_us);
		break;
	case GOSSIP_PROBE_REQUEST:
		receive_probe_request(m, g, now_us);
		break;
	case GOSSIP_NOTICE:
		break;
	}
}

/// Next member at a distance, in turn, that is up or down as asked.
static struct peer *
next_peer(struct membership *m, enum distance distance)
{
	uint32_t i;

	for (i = 0; i < m->peer_count; i++) {
		uint32_t at = (m->cursor[distance] + i) % m->peer_count;
		struct peer *peer = m->peers[at];

		if (peer->distance != distance ||
		    !membership_is_up(&peer->member))
			continue;
		m->cursor[distance] = at + 1;
		return peer;
	}
	return NULL;
}

/// Random member that is up at a distance; NULL if there is none.
static struct peer *
random_peer(struct membership *m, enum distance distance)
{
	struct peer *found = NULL;
	uint32_t seen = 0;
	uint32_t i;

	for (i = 0; i < m->peer_count; i++) {
		struct peer *peer = m->peers[i];

		if (peer->distance != distance ||
		    !membership_is_up(&peer->member))
			continue;
		if (random_below(&m->random, ++seen) == 0)
			found = peer;
	}
	return found;
}

/// Distance at which round n looks; nearer ones come up more often.
static enum distance
distance_of_round(uint64_t n)
{
	if (n % FAR_PROBE_EVERY == FAR_PROBE_EVERY - 1)
		return DISTANCE_FAR;
	if (n % REGION_PROBE_EVERY == 1)
		return DISTANCE_REGION;
	return DISTANCE_DC;
}

static struct peer *
choose_peer(struct membership *m, enum distance first,
    struct peer *(*pick)(struct membership *, enum distance))
{
	struct peer *peer = pick(m, first);
	int d;

	for (d = DISTANCE_DC; peer == NULL && d < DISTANCE_COUNT; d++)
		peer = pick(m, (enum distance)d);
	return peer;
}

static void
suspect_probed(struct membership *m, int64_t now_us)
{
	struct peer *peer = membership_peer_find(m, m->probe_name);

	m->probe_name[0] = '\0';
	m->indirect_deadline_us = DEADLINE_NONE;
	if (peer == NULL || peer->member.status != MEMBER_ALIVE)
		return;
	peer->member.status = MEMBER_SUSPECT;
	set_deadlines(m, peer, now_us);
	mark_changed(m, peer);
}

static void
start_probe(struct membership *m, int64_t now_us)
{
	struct peer *peer;

	if (m->probe_name[0] != '\0')
		suspect_probed(m, now_us);
	m->probe_deadline_us = now_us + m->settings.probe_period_us;
	peer = choose_peer(m, distance_of_round(m->probe_round++), next_peer);
	if (peer == NULL)
		return;
	memcpy(m->probe_name, peer->member.name, sizeof(m->probe_name));
	m->probe_sequence = ++m->next_sequence;
	m->indirect_deadline_us = now_us + m->settings.ack_timeout_us;
	membership_send_simple(
	    m, &peer->member, GOSSIP_PROBE, m->probe_sequence);
}

static void
probe_indirectly(struct membership *m)
{
	struct gossip g = {
	    .kind = GOSSIP_PROBE_REQUEST, .sequence = m->probe_sequence};
	uint32_t i;

	m->indirect_deadline_us = DEADLINE_NONE;
	memcpy(g.target, m->probe_name, sizeof(g.target));
	for (i = 0; i < GOSSIP_INDIRECT; i++) {
		enum distance d = i == 0 ? DISTANCE_REGION : DISTANCE_DC;
		struct peer *via = choose_peer(m, d, random_peer);

		if (via == NULL || strcmp(via->member.name, g.target) == 0)
			continue;
		g.update_count = 0;
		membership_send_gossip(
		    m, via->member.host, via->member.control_port, &g);
	}
}

static void
send_notices(struct membership *m)
{
	uint32_t i;

	if (m->push_self && m->peer_count > 0) {
		m->push_self = false;
		membership_push_across(m, NULL);
	}
	for (i = 0; i < NOTICE_FANOUT && membership_has_news(m); i++) {
		enum distance d =
		    distance_of_round(random_below(&m->random, 64));
		struct peer *peer = choose_peer(m, d, random_peer);

		if (peer == NULL)
			return;
		if (m->self_transmits_left > 0)
			m->self_transmits_left--;
		membership_send_simple(m, &peer->member, GOSSIP_NOTICE, 0);
	}
}

/// Moves suspects whose time is up to dead, and drops the long dead.
static void
expire_peers(struct membership *m, int64_t now_us)
{
	uint32_t i;

	for (i = m->peer_count; i-- > 0;) {
		struct peer *peer = m->peers[i];

		if (peer->member.status == MEMBER_SUSPECT &&
		    peer->suspect_deadline_us <= now_us) {
			peer->member.status = MEMBER_DEAD;
			set_deadlines(m, peer, now_us);
			mark_changed(m, peer);
		} else if (peer->forget_deadline_us <= now_us)
			membership_peer_remove(m, i);
	}
}

static bool
is_known_address(const struct membership *m, const char *host, uint32_t port)
{
	uint32_t i;

	if (m->self.control_port == port && strcmp(m->self.host, host) == 0)
		return true;
	for (i = 0; i < m->peer_count; i++) {
		const struct member *member = &m->peers[i]->member;

		if (membership_is_up(member) && member->control_port == port &&
		    strcmp(member->host, host) == 0)
			return true;
	}
	return false;
}

/// Members that are up and known; with these a table exchange brings the rest.
#define ACQUAINTED 3

static bool
is_acquainted(const struct membership *m)
{
	uint32_t up = 0;
	uint32_t i;

	for (i = 0; i < m->peer_count && up < ACQUAINTED; i++)
		up += membership_is_up(&m->peers[i]->member);
	return up == ACQUAINTED;
}

void
membership_meet(
    struct membership *m, const char *host, uint32_t port, int64_t now_us)
{
	if (now_us < m->meet_deadline_us || is_known_address(m, host, port))
		return;
	m->meet_deadline_us = now_us +
	    (is_acquainted(m) ? m->settings.sync_period_us
			      : m->settings.notice_period_us);
	m->ops->sync(m, host, port);
}

/// Goes to the seeds that are not known to be up, each in its turn.
static void
try_seed(struct membership *m)
{
	uint32_t at;

	if (m->settings.seed_count == 0)
		return;
	at = m->retry_round % m->settings.seed_count;
	if (!is_known_address(
		m, m->settings.seeds[at].host, m->settings.seeds[at].port))
		m->ops->sync(
		    m, m->settings.seeds[at].host, m->settings.seeds[at].port);
}

/// Time between tries: short at the start, when parts of the mesh may have
/// begun without each other.
static int64_t
retry_period_us(const struct membership *m)
{
	int64_t period_us = m->settings.notice_period_us;
	uint32_t i;

	for (i = 0;
	     i < m->retry_round && period_us < m->settings.retry_dead_period_us;
	     i += 2)
		period_us *= 2;
	return period_us < m->settings.retry_dead_period_us
	    ? period_us
	    : m->settings.retry_dead_period_us;
}

/// Tries one dead member and one seed that is not known to be up, so that
/// parts of the mesh that lost each other meet again.
static void
retry_lost(struct membership *m)
{
	struct peer *found = NULL;
	uint32_t seen = 0;
	uint32_t i;

	for (i = 0; i < m->peer_count; i++) {
		struct peer *peer = m->peers[i];

		if (peer->member.status == MEMBER_DEAD &&
		    random_below(&m->random, ++seen) == 0)
			found = peer;
	}
	if (found != NULL)
		membership_send_simple(
		    m, &found->member, GOSSIP_PROBE, ++m->next_sequence);
	try_seed(m);
	m->retry_round++;
}

static void
start_sync(struct membership *m)
{
	struct peer *peer = choose_peer(
	    m, distance_of_round(random_below(&m->random, 64)), random_peer);

	if (peer != NULL)
		m->ops->sync(m, peer->member.host, peer->member.control_port);
}

/// Time of the next periodic action, spread so that the fleet never acts
/// in step.
static int64_t
jittered(struct membership *m, int64_t now_us, int64_t period_us)
{
	return now_us + period_us - period_us / 8 +
	    random_time_us(&m->random, period_us / 4);
}

static int64_t
earliest(int64_t a_us, int64_t b_us)
{
	return a_us < b_us ? a_us : b_us;
}

int64_t
membership_tick(struct membership *m, int64_t now_us)
{
	int64_t next_us;

	if (now_us >= m->indirect_deadline_us)
		probe_indirectly(m);
	if (now_us >= m->probe_deadline_us) {
		start_probe(m, now_us);
		expire_peers(m, now_us);
	}
	if (now_us >= m->notice_deadline_us) {
		m->notice_deadline_us = now_us + m->settings.notice_period_us;
		send_notices(m);
	}
	if (now_us >= m->sync_deadline_us) {
		m->sync_deadline_us =
		    jittered(m, now_us, m->settings.sync_period_us);
		start_sync(m);
	}
	if (now_us >= m->retry_dead_deadline_us) {
		m->retry_dead_deadline_us =
		    jittered(m, now_us, retry_period_us(m));
		retry_lost(m);
	}
	next_us = earliest(m->indirect_deadline_us, m->probe_deadline_us);
	next_us = earliest(next_us, m->sync_deadline_us);
	next_us = earliest(next_us, m->retry_dead_deadline_us);
	return earliest(next_us, m->notice_deadline_us);
}

void
membership_init(struct membership *m, const struct membership_ops *ops,
    void *owner, const struct membership_settings *settings,
    const struct member *self, uint64_t seed, int64_t now_us)
{
	memset(m, 0, sizeof(*m));
	m->ops = ops;
	m->owner = owner;
	m->settings = *settings;
	m->self = *self;
	m->random.seed = seed;
	m->indirect_deadline_us = DEADLINE_NONE;
	m->probe_deadline_us =
	    now_us + random_time_us(&m->random, settings->probe_period_us);
	m->notice_deadline_us = now_us;
	m->sync_deadline_us = jittered(m, now_us, settings->sync_period_us);
	m->retry_dead_deadline_us = now_us;
	m->self_transmits_left = 1;
	m->push_self = true;
}

void
membership_free(struct membership *m)
{
	while (m->peer_count > 0)
		membership_peer_remove(m, m->peer_count - 1);
	free(m->peers);
	m->peers = NULL;
}

void
membership_set_backend(struct membership *m, const char *service,
    enum backend_state state, uint32_t slots, int64_t now_us)
{
	struct member *self = &m->self;

	if (strcmp(self->service, service) == 0 && self->backend == state &&
	    self->slots == slots)
		return;
	memset(self->service, 0, sizeof(self->service));
	strncpy(self->service, service, sizeof(self->service) - 1);
	self->backend = state;
	self->slots = slots;
	bump_self(m);
	m->notice_deadline_us = now_us;
}

void
membership_set_load(struct membership *m, uint32_t load_pct)
{
	m->self.load_pct = load_pct;
}

void
membership_set_version(struct membership *m, uint64_t version)
{
	uint32_t i;

	assert(version > m->self.version);
	m->self.version = version;
	for (i = 0; i < VERSION_FANOUT; i++) {
		struct peer *peer = random_peer(m, DISTANCE_DC);

		if (peer != NULL && peer->member.version < version)
			membership_send_simple(
			    m, &peer->member, GOSSIP_NOTICE, 0);
	}
	if (membership_draw_crossing(m))
		membership_push_across(m, NULL);
}

void
membership_leave(struct membership *m, int64_t now_us)
{
	m->leaving = true;
	m->self.status = MEMBER_LEFT;
	m->self.backend = BACKEND_NONE;
	bump_self(m);
	m->notice_deadline_us = now_us;
	send_notices(m);
}
