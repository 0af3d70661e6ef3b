// Converts between core gossip and wire messages.
#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>
#include <unistr.h>

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
	out->server_version = bytes_from_string(m->server_version);
}

/// Copies a text of a member: UTF-8 that fits, without NUL.
static int
read_text(struct bytes text, const char *field, char *out, size_t out_bytes,
    struct error *err)
{
	if (bytes_copy(text, out, out_bytes) != 0)
		return error_set(err, ERR_INVALID, "decode member", "",
		    "%s is too long or holds a NUL", field);
	if (text.size_bytes > 0 &&
	    u8_check((const uint8_t *)text.data, text.size_bytes) != NULL)
		return error_set(err, ERR_INVALID, "decode member", "",
		    "%s is not UTF-8 text", field);
	return 0;
}

static int
check_number(const struct member *m, const char *field, uint64_t value,
    uint64_t min, uint64_t max, struct error *err)
{
	if (value >= min && value <= max)
		return 0;
	return error_set(err, ERR_INVALID, "decode member", m->name,
	    "%s is %" PRIu64 ", not from %" PRIu64 " to %" PRIu64, field, value,
	    min, max);
}

int
member_from_message(
    const struct message_member *in, struct member *out, struct error *err)
{
	struct in_addr host;

	memset(out, 0, sizeof(*out));
#define TEXT(field_) \
	read_text(in->field_, #field_, out->field_, sizeof(out->field_), err)
	if (TEXT(name) != 0 || TEXT(host) != 0 || TEXT(region) != 0 ||
	    TEXT(dc) != 0 || TEXT(service) != 0 || TEXT(server_version) != 0)
		return -1;
#undef TEXT
	if (out->name[0] == '\0')
		return error_set(
		    err, ERR_INVALID, "decode member", "", "name is empty");
	if (inet_pton(AF_INET, out->host, &host) != 1)
		return error_set(err, ERR_INVALID, "decode member", out->name,
		    "host is not an IPv4 address");
#define NUMBER(field_, min_, max_) \
	check_number(out, #field_, in->field_, min_, max_, err)
	if (NUMBER(control_port, 1, UINT16_MAX) != 0 ||
	    NUMBER(peer_port, 1, UINT16_MAX) != 0 ||
	    NUMBER(incarnation, 0, MEMBER_MAX_INCARNATION) != 0 ||
	    NUMBER(revision, 0, MEMBER_MAX_REVISION) != 0 ||
	    NUMBER(status, 0, MEMBER_LEFT) != 0 ||
	    NUMBER(backend, 0, BACKEND_DRAINING) != 0 ||
	    NUMBER(slots, 0, MEMBER_MAX_SLOTS) != 0)
		return -1;
#undef NUMBER
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
