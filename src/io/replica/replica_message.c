// Wire encoding of the messages between replicas.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/replica/replica_message.h"

/// Encodes a snapshot as the length of its config, the config and the data.
static void
encode_snapshot(const struct replica_snapshot *s, msgpack_sbuffer *out)
{
	char config[REPLICA_CONFIG_TEXT_BYTES];
	uint32_t config_bytes =
	    (uint32_t)replica_config_encode(&s->config, config);

	msgpack_sbuffer_write(
	    out, (const char *)&config_bytes, sizeof(config_bytes));
	msgpack_sbuffer_write(out, config, config_bytes);
	if (s->size_bytes > 0)
		msgpack_sbuffer_write(out, s->data, s->size_bytes);
}

void
replica_message_send(
    struct stream *stream, uint64_t cluster, const struct replica_message *m)
{
	struct message_raft raft = {
	    .kind = m->kind,
	    .cluster = cluster,
	    .from = m->from,
	    .to = m->to,
	    .term = m->term,
	    .index = m->index,
	    .log_term = m->log_term,
	    .commit = m->commit,
	    .context = m->context,
	    .reject = m->reject,
	};
	struct message_raft_entry *entries =
	    calloc(m->entry_count + 1, sizeof(*entries));
	msgpack_sbuffer snapshot;
	uint32_t i;

	assert(entries != NULL);
	msgpack_sbuffer_init(&snapshot);
	for (i = 0; i < m->entry_count; i++) {
		entries[i].index = m->entries[i].index;
		entries[i].term = m->entries[i].term;
		entries[i].kind = m->entries[i].kind;
		entries[i].data.data = m->entries[i].data;
		entries[i].data.size_bytes = m->entries[i].size_bytes;
	}
	raft.entries.items = entries;
	raft.entries.count = m->entry_count;
	if (m->snapshot != NULL) {
		encode_snapshot(m->snapshot, &snapshot);
		raft.snapshot.data = snapshot.data;
		raft.snapshot.size_bytes = (uint32_t)snapshot.size;
	}
	stream_send(stream, MESSAGE_RAFT, &raft);
	msgpack_sbuffer_destroy(&snapshot);
	free(entries);
}

static int
decode_snapshot(const struct message_raft *raft, struct replica_snapshot *s,
    struct error *err)
{
	uint32_t config_bytes;
	const char *cursor = raft->snapshot.data;
	uint32_t remaining_bytes = raft->snapshot.size_bytes;

	if (remaining_bytes < sizeof(config_bytes))
		return error_set(err, ERR_SYNTAX, "read snapshot", "",
		    "it lacks the length of its config");
	memcpy(&config_bytes, cursor, sizeof(config_bytes));
	cursor += sizeof(config_bytes);
	remaining_bytes -= (uint32_t)sizeof(config_bytes);
	if (config_bytes > remaining_bytes ||
	    replica_config_decode(cursor, config_bytes, &s->config, err) != 0)
		return error_set(err, ERR_SYNTAX, "read snapshot", "",
		    "its config is invalid");
	s->index = raft->index;
	s->term = raft->log_term;
	s->data = (char *)(uintptr_t)(cursor + config_bytes);
	s->size_bytes = remaining_bytes - config_bytes;
	return 0;
}

static int
decode_entries(const struct message_raft *raft, struct replica_inbound *in,
    struct error *err)
{
	const struct message_raft_entry *from = raft->entries.items;
	uint32_t i;

	in->entries = calloc(raft->entries.count + 1, sizeof(*in->entries));
	assert(in->entries != NULL);
	for (i = 0; i < raft->entries.count; i++) {
		if (from[i].index != raft->index + 1 + i ||
		    from[i].kind > REPLICA_ENTRY_CONFIG) {
			free(in->entries);
			return error_set(err, ERR_INVALID, "read entries", "",
			    "an entry is out of order or of an unknown kind");
		}
		in->entries[i].index = from[i].index;
		in->entries[i].term = from[i].term;
		in->entries[i].kind = (enum replica_entry_kind)from[i].kind;
		in->entries[i].data = (char *)(uintptr_t)from[i].data.data;
		in->entries[i].size_bytes = from[i].data.size_bytes;
	}
	in->message.entries = in->entries;
	in->message.entry_count = raft->entries.count;
	return 0;
}

int
replica_message_decode(const struct message_raft *raft,
    struct replica_inbound *in, struct error *err)
{
	struct replica_message *m = &in->message;

	memset(in, 0, sizeof(*in));
	if (raft->kind >= REPLICA_MESSAGE_KINDS)
		return error_set(err, ERR_INVALID, "read message", "",
		    "unknown message kind %u", raft->kind);
	m->kind = (enum replica_message_kind)raft->kind;
	m->from = raft->from;
	m->to = raft->to;
	m->term = raft->term;
	m->index = raft->index;
	m->log_term = raft->log_term;
	m->commit = raft->commit;
	m->context = raft->context;
	m->reject = raft->reject != 0;
	if (m->kind == REPLICA_SNAPSHOT) {
		if (decode_snapshot(raft, &in->snapshot, err) != 0)
			return -1;
		m->snapshot = &in->snapshot;
	}
	return decode_entries(raft, in, err);
}

void
replica_inbound_free(struct replica_inbound *in)
{
	free(in->entries);
}
