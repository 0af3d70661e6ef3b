// Processing of gossip messages and merging of records.
#include <string.h>

#include "core/membership/membership_internal.h"

/// Members of a data centre that send a change in it to the others, beside the
/// changed one.
#define CHANGE_SENDERS 1

void
membership_mark_changed(struct membership *m, struct peer *peer)
{
	peer->transmits_left = membership_transmit_limit(m);
	peer->transmits = 0;
	if (peer->distance == DISTANCE_DC &&
	    membership_draw_dc_push(m, CHANGE_SENDERS))
		membership_push_to_dcs(m, &peer->member);
	m->ops->changed(m, &peer->member);
}

void
membership_raise_revision(struct membership *m)
{
	if (m->self.revision < MEMBER_MAX_REVISION)
		m->self.revision++;
	else if (m->self.incarnation < MEMBER_MAX_INCARNATION) {
		m->self.incarnation++;
		m->self.revision = 0;
	}
	m->self_transmits_left = membership_transmit_limit(m);
	m->push_self_to_dcs = true;
}

/// Applies what is known of the backend server of a record. A proxy that has
/// restarted may take a server for ready that has left before.
static void
apply_departure(struct peer *peer)
{
	struct member *member = &peer->member;

	if (member->server == 0)
		return;
	if (member->backend == BACKEND_DRAINING)
		peer->left_server = member->server;
	else if (member->server == peer->left_server &&
	    backend_state_takes_work(member->backend))
		member->backend = BACKEND_DRAINING;
}

/// Merges a record of this member. Refutes it with a higher revision if it
/// supersedes the local record.
static void
merge_self(struct membership *m, const struct member *record)
{
	if (record->version > m->version_floor)
		m->version_floor = record->version;
	if (record->server != 0 && record->backend == BACKEND_DRAINING)
		m->ops->server_left(m, record->server);
	if (record->incarnation > m->self.incarnation)
		m->self.incarnation =
		    record->incarnation < MEMBER_MAX_INCARNATION
		    ? record->incarnation + 1
		    : MEMBER_MAX_INCARNATION;
	if (m->leaving || !member_supersedes(record, &m->self))
		return;
	if (record->revision > m->self.revision)
		m->self.revision = record->revision;
	membership_raise_revision(m);
}

void
membership_set_deadlines(
    struct membership *m, struct peer *peer, int64_t now_us)
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
	m->ops->version_advertised(m, &peer->member);
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
	apply_departure(peer);
	peer->distance = membership_distance(m, &peer->member);
	membership_set_deadlines(m, peer, now_us);
	membership_mark_changed(m, peer);
	raise_version(m, peer, record->version);
}

/// Merges the sender's own record, including its load.
static void
merge_sender(struct membership *m, const struct member *from, int64_t now_us)
{
	struct peer *peer;

	membership_merge(m, from, now_us);
	peer = membership_peer_find(m, from->name);
	if (peer == NULL)
		return;
	if (peer->member.incarnation == from->incarnation &&
	    peer->member.revision == from->revision)
		peer->member.load_pct = from->load_pct;
	if (from->server != 0 && from->server == peer->left_server &&
	    backend_state_takes_work(from->backend)) {
		peer->transmits_left = 1;
		membership_send_to_member(m, from, GOSSIP_NOTICE, 0);
	}
	// Queues the record again so that a sender that is suspected or dead
	// here receives and refutes it.
	if (peer->member.status != MEMBER_ALIVE &&
	    peer->member.incarnation == from->incarnation &&
	    peer->transmits_left == 0)
		peer->transmits_left = 1;
}

static void
finish_probe(struct membership *m)
{
	m->probe_name[0] = '\0';
	m->indirect_deadline_us = DEADLINE_NONE;
}

static void
forward_ack(struct membership *m, uint64_t sequence, int64_t now_us)
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

/// Acknowledges a probe of this member. One of another name means that this
/// process has its address now: the prober gets the local record, and finds out
/// by the missing acknowledgement that the other member is gone.
static void
receive_probe(struct membership *m, const struct gossip *g)
{
	bool is_target =
	    g->target[0] == '\0' || strcmp(g->target, m->self.name) == 0;

	membership_send_to_member(
	    m, &g->from, is_target ? GOSSIP_ACK : GOSSIP_NOTICE, g->sequence);
}

static void
receive_ack(struct membership *m, uint64_t sequence, int64_t now_us)
{
	if (m->probe_name[0] != '\0' && sequence == m->probe_sequence)
		finish_probe(m);
	forward_ack(m, sequence, now_us);
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
		membership_send_to_member(
		    m, &target->member, GOSSIP_PROBE, r->sequence);
		return;
	}
}

/// Exchanges tables with a member whose digest differs although neither side
/// has pending updates: none here, and none in the received message.
static void
sync_on_digest_mismatch(
    struct membership *m, const struct gossip *g, int64_t now_us)
{
	if (g->digest == membership_digest(m) ||
	    membership_has_pending_updates(m) || g->update_count > 0 ||
	    now_us < m->digest_sync_deadline_us)
		return;
	m->digest_sync_deadline_us = now_us + m->settings.probe_period_us +
	    random_time_us(&m->random, m->settings.probe_period_us);
	m->ops->sync(m, g->from.host, g->from.control_port);
}

void
membership_receive(struct membership *m, const struct gossip *g, int64_t now_us)
{
	uint32_t i;

	if (strcmp(g->from.name, m->self.name) != 0)
		merge_sender(m, &g->from, now_us);
	else
		merge_self(m, &g->from);
	for (i = 0; i < g->update_count; i++)
		membership_merge(m, &g->updates[i], now_us);
	switch (g->kind) {
	case GOSSIP_PROBE:
		receive_probe(m, g);
		break;
	case GOSSIP_ACK:
		receive_ack(m, g->sequence, now_us);
		sync_on_digest_mismatch(m, g, now_us);
		break;
	case GOSSIP_PROBE_REQUEST:
		receive_probe_request(m, g, now_us);
		break;
	case GOSSIP_NOTICE:
		break;
	}
}
