// Gossip membership: probes, notices, reconnects to dead members.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/membership/membership_internal.h"

#define NOTICE_FANOUT  3
#define VERSION_FANOUT 4

/// Members of a data centre that announce a new version to the others. The
/// leading source notifies each data centre as well.
#define VERSION_SENDERS	   1
#define REGION_PROBE_EVERY 4
#define FAR_PROBE_EVERY	   8

/// Returns the next member at a distance that is up, round robin, or NULL.
static struct peer *
next_peer(struct membership *m, enum distance distance)
{
	uint32_t i;

	for (i = 0; i < m->peer_count; i++) {
		uint32_t at = (m->probe_cursor[distance] + i) % m->peer_count;
		struct peer *peer = m->peers[at];

		if (peer->distance != distance ||
		    !membership_is_up(&peer->member))
			continue;
		m->probe_cursor[distance] = at + 1;
		return peer;
	}
	return NULL;
}

/// Returns a random member at a distance that is up, or NULL.
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

/// Returns the target distance in round n. Near targets are more frequent.
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
suspect_probe_target(struct membership *m, int64_t now_us)
{
	struct peer *peer = membership_peer_find(m, m->probe_name);

	m->probe_name[0] = '\0';
	m->indirect_deadline_us = DEADLINE_NONE;
	if (peer == NULL || peer->member.status != MEMBER_ALIVE)
		return;
	peer->member.status = MEMBER_SUSPECT;
	membership_set_deadlines(m, peer, now_us);
	membership_mark_changed(m, peer);
}

static void
start_probe(struct membership *m, int64_t now_us)
{
	struct peer *peer;

	if (m->probe_name[0] != '\0')
		suspect_probe_target(m, now_us);
	m->probe_deadline_us = now_us + m->settings.probe_period_us;
	peer = choose_peer(m, distance_of_round(m->probe_round++), next_peer);
	if (peer == NULL)
		return;
	memcpy(m->probe_name, peer->member.name, sizeof(m->probe_name));
	m->probe_sequence = ++m->next_sequence;
	m->indirect_deadline_us = now_us + m->settings.ack_timeout_us;
	membership_send_to_member(
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
	for (i = 0; i < GOSSIP_INDIRECT_PROBES; i++) {
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

	if (m->push_self_to_dcs && m->peer_count > 0) {
		m->push_self_to_dcs = false;
		membership_push_to_dcs(m, NULL);
	}
	for (i = 0; i < NOTICE_FANOUT && membership_has_pending_updates(m);
	     i++) {
		enum distance d =
		    distance_of_round(random_below(&m->random, 64));
		struct peer *peer = choose_peer(m, d, random_peer);

		if (peer == NULL)
			return;
		if (m->self_transmits_left > 0)
			m->self_transmits_left--;
		membership_send_to_member(m, &peer->member, GOSSIP_NOTICE, 0);
	}
}

/// Declares timed-out suspects dead, and removes expired records.
static void
expire_peers(struct membership *m, int64_t now_us)
{
	uint32_t i;

	for (i = m->peer_count; i-- > 0;) {
		struct peer *peer = m->peers[i];

		if (peer->member.status == MEMBER_SUSPECT &&
		    peer->suspect_deadline_us <= now_us) {
			peer->member.status = MEMBER_DEAD;
			membership_set_deadlines(m, peer, now_us);
			membership_mark_changed(m, peer);
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

/// Known members that are up. Table exchanges with these yield the others.
#define JOINED_MIN_PEERS 3

static bool
has_joined(const struct membership *m)
{
	uint32_t up = 0;
	uint32_t i;

	for (i = 0; i < m->peer_count && up < JOINED_MIN_PEERS; i++)
		up += membership_is_up(&m->peers[i]->member);
	return up == JOINED_MIN_PEERS;
}

void
membership_sync_address(
    struct membership *m, const char *host, uint32_t port, int64_t now_us)
{
	if (now_us < m->address_sync_deadline_us ||
	    is_known_address(m, host, port))
		return;
	m->address_sync_deadline_us = now_us +
	    (has_joined(m) ? m->settings.sync_period_us
			   : m->settings.notice_period_us);
	m->ops->sync(m, host, port);
}

/// Exchanges tables with the next seed, unless it is known and up.
static void
sync_with_seed(struct membership *m)
{
	uint32_t at;

	if (m->settings.seed_count == 0)
		return;
	at = m->reconnect_round % m->settings.seed_count;
	if (!is_known_address(
		m, m->settings.seeds[at].host, m->settings.seeds[at].port))
		m->ops->sync(
		    m, m->settings.seeds[at].host, m->settings.seeds[at].port);
}

/// Returns the reconnect period, with exponential backoff. It is short after a
/// start, when parts of the mesh may have started separately.
static int64_t
reconnect_period_us(const struct membership *m)
{
	int64_t period_us = m->settings.notice_period_us;
	uint32_t i;

	for (i = 0; i < m->reconnect_round &&
	     period_us < m->settings.retry_dead_period_us;
	     i += 2)
		period_us *= 2;
	return period_us < m->settings.retry_dead_period_us
	    ? period_us
	    : m->settings.retry_dead_period_us;
}

/// Probes one dead member and contacts one seed that is not known to be up, so
/// that a partitioned mesh merges again.
static void
reconnect_dead(struct membership *m)
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
		membership_send_to_member(
		    m, &found->member, GOSSIP_PROBE, ++m->next_sequence);
	sync_with_seed(m);
	m->reconnect_round++;
}

static void
start_sync(struct membership *m)
{
	struct peer *peer = choose_peer(
	    m, distance_of_round(random_below(&m->random, 64)), random_peer);

	if (peer != NULL)
		m->ops->sync(m, peer->member.host, peer->member.control_port);
}

/// Returns the deadline after a period, with jitter so that the members are not
/// synchronized.
static int64_t
jitter_deadline_us(struct membership *m, int64_t now_us, int64_t period_us)
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
		    jitter_deadline_us(m, now_us, m->settings.sync_period_us);
		start_sync(m);
	}
	if (now_us >= m->retry_dead_deadline_us) {
		m->retry_dead_deadline_us =
		    jitter_deadline_us(m, now_us, reconnect_period_us(m));
		reconnect_dead(m);
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
	m->sync_deadline_us =
	    jitter_deadline_us(m, now_us, settings->sync_period_us);
	m->retry_dead_deadline_us = now_us;
	m->self_transmits_left = 1;
	m->push_self_to_dcs = true;
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
    enum backend_state state, uint64_t server, uint32_t slots, int64_t now_us)
{
	struct member *self = &m->self;

	if (strcmp(self->service, service) == 0 && self->backend == state &&
	    self->server == server && self->slots == slots)
		return;
	memset(self->service, 0, sizeof(self->service));
	strncpy(self->service, service, sizeof(self->service) - 1);
	self->backend = state;
	self->server = server;
	self->slots = slots;
	membership_raise_revision(m);
	m->notice_deadline_us = now_us;
}

void
membership_set_server_version(
    struct membership *m, const char *version, int64_t now_us)
{
	struct member *self = &m->self;

	if (strcmp(self->server_version, version) == 0)
		return;
	memset(self->server_version, 0, sizeof(self->server_version));
	strncpy(
	    self->server_version, version, sizeof(self->server_version) - 1);
	membership_raise_revision(m);
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
			membership_send_to_member(
			    m, &peer->member, GOSSIP_NOTICE, 0);
	}
	if (membership_draw_dc_push(m, VERSION_SENDERS))
		membership_push_to_dcs(m, NULL);
}

void
membership_leave(struct membership *m, int64_t now_us)
{
	m->leaving = true;
	m->self.status = MEMBER_LEFT;
	m->self.backend = BACKEND_NONE;
	membership_raise_revision(m);
	m->notice_deadline_us = now_us;
	send_notices(m);
}
