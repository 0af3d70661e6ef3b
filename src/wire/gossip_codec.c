// Converts between core gossip and wire messages.
#include <string.h>

#include "wire/gossip_codec.h"

void
member_to_message(const struct member *m, struct message_member *out)
{
	out->name = bytes_from_string(m->name);
	out->host = bytes_from_string(m->host);
	out->region = bytes_from_string(m->region);
	out->dc = bytes_from_string(m->dc);
	out->service = bytes_from_string(m->service);
	out->control_port = m->control_port;
	out->peer_port = m->peer_port;
	out->incarnation = m->incarnation;
	out->revision = m->revision;
	out->status = m->status;
	out->backend = m->backend;
	out->server = m->server;
	out->slots = m->slots;
	out->load_pct = m->load_pct;
	out->version = m->version;
}

int
member_from_message(
    const struct message_member *in, struct member *out, struct error *err)
{
	memset(out, 0, sizeof(*out));
	if (in->name.size_bytes == 0 ||
	    bytes_copy(in->name, out->name, sizeof(out->name)) != 0 ||
	    bytes_copy(in->host, out->host, sizeof(out->host)) != 0 ||
	    bytes_copy(in->region, out->region, sizeof(out->region)) != 0 ||
	    bytes_copy(in->dc, out->dc, sizeof(out->dc)) != 0 ||
	    bytes_copy(in->service, out->service, sizeof(out->service)) != 0)
		return error_set(err, ERR_INVALID, "decode member", "",
		    "name is empty, or a text is too long or holds a NUL");
	if (in->control_port > UINT16_MAX || in->peer_port > UINT16_MAX ||
	    in->status > MEMBER_LEFT || in->backend > BACKEND_DRAINING)
		return error_set(err, ERR_INVALID, "decode member", out->name,
		    "member has a value out of range");
	out->control_port = in->control_port;
	out->peer_port = in->peer_port;
	out->incarnation = in->incarnation;
	out->revision = in->revision;
	out->status = (enum member_status)in->status;
	out->backend = (enum backend_state)in->backend;
	out->server = in->server;
	out->slots = in->slots;
	out->load_pct = in->load_pct;
	out->version = in->version;
	return 0;
}

void
gossip_pack(msgpack_sbuffer *out, const struct gossip *g)
{
	struct message_member updates[GOSSIP_MAX_UPDATES];
	struct message_gossip m = {
	    .kind = g->kind, .sequence = g->sequence, .digest = g->digest};
	uint32_t i;

	m.target = bytes_from_string(g->target);
	member_to_message(&g->from, &m.from);
	for (i = 0; i < g->update_count; i++)
		member_to_message(&g->updates[i], &updates[i]);
	m.updates.items = updates;
	m.updates.count = g->update_count;
	message_pack(out, MESSAGE_GOSSIP, &m);
	while (out->size > DATAGRAM_MAX_BYTES && m.updates.count > 0) {
		m.updates.count--;
		msgpack_sbuffer_clear(out);
		message_pack(out, MESSAGE_GOSSIP, &m);
	}
}

int
gossip_from_message(
    const struct message_gossip *in, struct gossip *out, struct error *err)
{
	const struct message_member *updates = in->updates.items;
	uint32_t i;

	if (in->kind > GOSSIP_NOTICE || in->updates.count > GOSSIP_MAX_UPDATES)
		return error_set(err, ERR_INVALID, "decode gossip", "",
		    "message has a value out of range");
	out->kind = (enum gossip_kind)in->kind;
	out->sequence = in->sequence;
	out->digest = in->digest;
	out->update_count = in->updates.count;
	if (bytes_copy(in->target, out->target, sizeof(out->target)) != 0)
		return error_set(err, ERR_INVALID, "decode gossip", "",
		    "target name is too long or holds a NUL");
	if (member_from_message(&in->from, &out->from, err) != 0)
		return -1;
	for (i = 0; i < out->update_count; i++)
		if (member_from_message(&updates[i], &out->updates[i], err) !=
		    0)
			return -1;
	return 0;
}
