// Schemas of the messages, and framing.
#include <arpa/inet.h>
#include <string.h>

#include "wire/messages.h"

#define F(s, k, m)     CODEC_FIELD(struct s, CODEC_##k, m)
#define N(s, k, m, sc) CODEC_NESTED(struct s, CODEC_##k, m, sc)

static const struct codec_field MEMBER_FIELDS[] = {
    F(message_member, BYTES, name),
    F(message_member, BYTES, host),
    F(message_member, BYTES, region),
    F(message_member, BYTES, dc),
    F(message_member, BYTES, service),
    F(message_member, U32, control_port),
    F(message_member, U32, peer_port),
    F(message_member, U64, incarnation),
    F(message_member, U32, revision),
    F(message_member, U32, status),
    F(message_member, U32, backend),
    F(message_member, U32, slots),
    F(message_member, U32, load_pct),
    F(message_member, U64, version),
};
const struct codec_schema MESSAGE_MEMBER_SCHEMA =
    CODEC_SCHEMA(struct message_member, MEMBER_FIELDS);

static const struct codec_field GOSSIP_FIELDS[] = {
    F(message_gossip, U32, kind),
    F(message_gossip, U64, sequence),
    F(message_gossip, U64, digest),
    F(message_gossip, BYTES, target),
    N(message_gossip, STRUCT, from, &MESSAGE_MEMBER_SCHEMA),
    N(message_gossip, LIST, updates, &MESSAGE_MEMBER_SCHEMA),
};
static const struct codec_schema GOSSIP_SCHEMA =
    CODEC_SCHEMA(struct message_gossip, GOSSIP_FIELDS);

static const struct codec_field SYNC_FIELDS[] = {
    F(message_sync, U64, digest),
    N(message_sync, LIST, members, &MESSAGE_MEMBER_SCHEMA),
};
static const struct codec_schema SYNC_SCHEMA =
    CODEC_SCHEMA(struct message_sync, SYNC_FIELDS);

static const struct codec_field REPORT_FIELDS[] = {
    N(message_report, STRUCT, member, &MESSAGE_MEMBER_SCHEMA),
    F(message_report, U32, leaving),
};
static const struct codec_schema REPORT_SCHEMA =
    CODEC_SCHEMA(struct message_report, REPORT_FIELDS);

static const struct codec_field REPORT_ANSWER_FIELDS[] = {
    F(message_report_answer, U64, accepted_version),
    F(message_report_answer, U64, version_seen),
    F(message_report_answer, BYTES, host),
    F(message_report_answer, U32, control_port),
    F(message_report_answer, BYTES, region),
    F(message_report_answer, BYTES, dc),
};
static const struct codec_schema REPORT_ANSWER_SCHEMA =
    CODEC_SCHEMA(struct message_report_answer, REPORT_ANSWER_FIELDS);

static const struct codec_field PULL_FIELDS[] = {
    F(message_pull, BYTES, from),
    F(message_pull, U64, have_version),
    F(message_pull, U64, have_hash),
    F(message_pull, U32, allow_delta),
    F(message_pull, U32, confirm),
};
static const struct codec_schema PULL_SCHEMA =
    CODEC_SCHEMA(struct message_pull, PULL_FIELDS);

static const struct codec_field RULES_FIELDS[] = {
    F(message_rules, U64, version),
    F(message_rules, U64, hash),
    F(message_rules, BYTES, text),
};
static const struct codec_schema RULES_SCHEMA =
    CODEC_SCHEMA(struct message_rules, RULES_FIELDS);

static const struct codec_field DELTA_STEP_FIELDS[] = {
    F(message_delta_step, U32, copy_from),
    F(message_delta_step, U32, copy_count),
    F(message_delta_step, BYTES, insert),
};
static const struct codec_schema DELTA_STEP_SCHEMA =
    CODEC_SCHEMA(struct message_delta_step, DELTA_STEP_FIELDS);

static const struct codec_field DELTA_FIELDS[] = {
    F(message_delta, U64, from_version),
    F(message_delta, U64, from_hash),
    F(message_delta, U64, version),
    F(message_delta, U64, hash),
    N(message_delta, LIST, steps, &DELTA_STEP_SCHEMA),
};
static const struct codec_schema DELTA_SCHEMA =
    CODEC_SCHEMA(struct message_delta, DELTA_FIELDS);

static const struct codec_field BUSY_FIELDS[] = {
    F(message_busy, I64, retry_left_us),
};
static const struct codec_schema BUSY_SCHEMA =
    CODEC_SCHEMA(struct message_busy, BUSY_FIELDS);

static const struct codec_field HELLO_FIELDS[] = {
    F(message_hello, BYTES, name),
    F(message_hello, U64, incarnation),
    F(message_hello, U64, sequence),
};
static const struct codec_schema HELLO_SCHEMA =
    CODEC_SCHEMA(struct message_hello, HELLO_FIELDS);

static const struct codec_field HEADER_FIELDS[] = {
    F(message_header, BYTES, name),
    F(message_header, BYTES, value),
};
static const struct codec_schema HEADER_SCHEMA =
    CODEC_SCHEMA(struct message_header, HEADER_FIELDS);

static const struct codec_field REQUEST_FIELDS[] = {
    F(message_request, U64, id),
    F(message_request, U64, egress_incarnation),
    F(message_request, I64, deadline_left_us),
    F(message_request, BYTES, rank),
    F(message_request, BYTES, service),
    F(message_request, BYTES, method),
    F(message_request, BYTES, target),
    F(message_request, BYTES, key),
    F(message_request, U32, once),
    F(message_request, U32, more),
    F(message_request, I64, total_bytes),
    N(message_request, LIST, headers, &HEADER_SCHEMA),
    F(message_request, BYTES, body),
};
static const struct codec_schema REQUEST_SCHEMA =
    CODEC_SCHEMA(struct message_request, REQUEST_FIELDS);

static const struct codec_field RESPONSE_FIELDS[] = {
    F(message_response, U64, id),
    F(message_response, U32, status),
    F(message_response, U32, outcome),
    F(message_response, I64, retry_left_us),
    F(message_response, U32, queued),
    F(message_response, U32, running),
    F(message_response, U32, more),
    F(message_response, I64, total_bytes),
    N(message_response, LIST, headers, &HEADER_SCHEMA),
    F(message_response, BYTES, body),
};
static const struct codec_schema RESPONSE_SCHEMA =
    CODEC_SCHEMA(struct message_response, RESPONSE_FIELDS);

static const struct codec_field BODY_FIELDS[] = {
    F(message_body, U64, id),
    F(message_body, U32, last),
    F(message_body, U32, failed),
    F(message_body, BYTES, data),
};
static const struct codec_schema BODY_SCHEMA =
    CODEC_SCHEMA(struct message_body, BODY_FIELDS);

static const struct codec_field WINDOW_FIELDS[] = {
    F(message_window, U64, id),
    F(message_window, U32, credit_bytes),
};
static const struct codec_schema WINDOW_SCHEMA =
    CODEC_SCHEMA(struct message_window, WINDOW_FIELDS);

static const struct codec_field CANCEL_FIELDS[] = {
    F(message_cancel, U64, id),
};
static const struct codec_schema CANCEL_SCHEMA =
    CODEC_SCHEMA(struct message_cancel, CANCEL_FIELDS);

static const struct codec_field FENCE_FIELDS[] = {
    F(message_fence, U64, id),
    F(message_fence, U64, egress_incarnation),
    F(message_fence, I64, age_us),
};
static const struct codec_schema FENCE_SCHEMA =
    CODEC_SCHEMA(struct message_fence, FENCE_FIELDS);

static const struct codec_field FENCE_ANSWER_FIELDS[] = {
    F(message_fence_answer, U64, id),
    F(message_fence_answer, U32, outcome),
};
static const struct codec_schema FENCE_ANSWER_SCHEMA =
    CODEC_SCHEMA(struct message_fence_answer, FENCE_ANSWER_FIELDS);

static const struct codec_field HEARTBEAT_FIELDS[] = {
    F(message_heartbeat, U32, answer),
    F(message_heartbeat, U32, queued),
    F(message_heartbeat, U32, running),
};
static const struct codec_schema HEARTBEAT_SCHEMA =
    CODEC_SCHEMA(struct message_heartbeat, HEARTBEAT_FIELDS);

static const struct codec_field RAFT_ENTRY_FIELDS[] = {
    F(message_raft_entry, U64, index),
    F(message_raft_entry, U64, term),
    F(message_raft_entry, U32, kind),
    F(message_raft_entry, BYTES, data),
};
static const struct codec_schema RAFT_ENTRY_SCHEMA =
    CODEC_SCHEMA(struct message_raft_entry, RAFT_ENTRY_FIELDS);

static const struct codec_field RAFT_FIELDS[] = {
    F(message_raft, U32, kind),
    F(message_raft, U64, cluster),
    F(message_raft, U64, from),
    F(message_raft, U64, to),
    F(message_raft, U64, term),
    F(message_raft, U64, index),
    F(message_raft, U64, log_term),
    F(message_raft, U64, commit),
    F(message_raft, U64, context),
    F(message_raft, U32, reject),
    F(message_raft, BYTES, snapshot),
    N(message_raft, LIST, entries, &RAFT_ENTRY_SCHEMA),
};
static const struct codec_schema RAFT_SCHEMA =
    CODEC_SCHEMA(struct message_raft, RAFT_FIELDS);

static const struct codec_field REPLICA_QUERY_FIELDS[] = {
    F(message_replica_query, U64, cluster),
};
static const struct codec_schema REPLICA_QUERY_SCHEMA =
    CODEC_SCHEMA(struct message_replica_query, REPLICA_QUERY_FIELDS);

static const struct codec_field REPLICA_ANSWER_FIELDS[] = {
    F(message_replica_answer, U64, cluster),
    F(message_replica_answer, U64, id),
    F(message_replica_answer, U64, term),
    F(message_replica_answer, U64, commit),
    F(message_replica_answer, U64, data_index),
};
static const struct codec_schema REPLICA_ANSWER_SCHEMA =
    CODEC_SCHEMA(struct message_replica_answer, REPLICA_ANSWER_FIELDS);

static const struct codec_field OPERATOR_FIELDS[] = {
    F(message_operator, BYTES, method),
    F(message_operator, BYTES, target),
    F(message_operator, BYTES, body),
};
static const struct codec_schema OPERATOR_SCHEMA =
    CODEC_SCHEMA(struct message_operator, OPERATOR_FIELDS);

static const struct codec_field OPERATOR_ANSWER_FIELDS[] = {
    F(message_operator_answer, U32, status),
    F(message_operator_answer, I64, retry_left_us),
    F(message_operator_answer, BYTES, body),
};
static const struct codec_schema OPERATOR_ANSWER_SCHEMA =
    CODEC_SCHEMA(struct message_operator_answer, OPERATOR_ANSWER_FIELDS);

static const struct codec_field CLAIM_FIELDS[] = {
    F(message_claim, U64, claim),
    F(message_claim, BYTES, scope),
    F(message_claim, BYTES, key),
    F(message_claim, U64, body_hash),
    F(message_claim, U32, peek),
    F(message_claim, U64, sequence),
};
static const struct codec_schema CLAIM_SCHEMA =
    CODEC_SCHEMA(struct message_claim, CLAIM_FIELDS);

static const struct codec_field CLAIM_ANSWER_FIELDS[] = {
    F(message_claim_answer, U64, sequence),
    F(message_claim_answer, U32, verdict),
    F(message_claim_answer, U32, status),
    N(message_claim_answer, LIST, headers, &HEADER_SCHEMA),
    F(message_claim_answer, BYTES, body),
    F(message_claim_answer, BYTES, leader),
};
static const struct codec_schema CLAIM_ANSWER_SCHEMA =
    CODEC_SCHEMA(struct message_claim_answer, CLAIM_ANSWER_FIELDS);

static const struct codec_field RECORD_FIELDS[] = {
    F(message_record, U64, claim),
    F(message_record, BYTES, scope),
    F(message_record, BYTES, key),
    F(message_record, U64, sequence),
    F(message_record, U32, status),
    N(message_record, LIST, headers, &HEADER_SCHEMA),
    F(message_record, BYTES, body),
};
static const struct codec_schema RECORD_SCHEMA =
    CODEC_SCHEMA(struct message_record, RECORD_FIELDS);

static const struct codec_field RELEASE_FIELDS[] = {
    F(message_release, U64, claim),
    F(message_release, BYTES, scope),
    F(message_release, BYTES, key),
    F(message_release, U64, sequence),
};
static const struct codec_schema RELEASE_SCHEMA =
    CODEC_SCHEMA(struct message_release, RELEASE_FIELDS);

static const struct codec_field SETTLED_FIELDS[] = {
    F(message_settled, U64, sequence),
    F(message_settled, U32, ok),
    F(message_settled, BYTES, leader),
};
static const struct codec_schema SETTLED_SCHEMA =
    CODEC_SCHEMA(struct message_settled, SETTLED_FIELDS);

static const struct codec_schema *
schema_of(int64_t type)
{
	switch (type) {
	case MESSAGE_GOSSIP:
		return &GOSSIP_SCHEMA;
	case MESSAGE_SYNC:
	case MESSAGE_SYNC_ANSWER:
		return &SYNC_SCHEMA;
	case MESSAGE_REPORT:
		return &REPORT_SCHEMA;
	case MESSAGE_REPORT_ANSWER:
		return &REPORT_ANSWER_SCHEMA;
	case MESSAGE_PULL:
		return &PULL_SCHEMA;
	case MESSAGE_RULES:
		return &RULES_SCHEMA;
	case MESSAGE_DELTA:
		return &DELTA_SCHEMA;
	case MESSAGE_BUSY:
		return &BUSY_SCHEMA;
	case MESSAGE_HELLO:
		return &HELLO_SCHEMA;
	case MESSAGE_REQUEST:
		return &REQUEST_SCHEMA;
	case MESSAGE_RESPONSE:
		return &RESPONSE_SCHEMA;
	case MESSAGE_BODY:
		return &BODY_SCHEMA;
	case MESSAGE_WINDOW:
		return &WINDOW_SCHEMA;
	case MESSAGE_CANCEL:
		return &CANCEL_SCHEMA;
	case MESSAGE_FENCE:
		return &FENCE_SCHEMA;
	case MESSAGE_FENCE_ANSWER:
		return &FENCE_ANSWER_SCHEMA;
	case MESSAGE_HEARTBEAT:
		return &HEARTBEAT_SCHEMA;
	case MESSAGE_RAFT:
		return &RAFT_SCHEMA;
	case MESSAGE_REPLICA_QUERY:
		return &REPLICA_QUERY_SCHEMA;
	case MESSAGE_REPLICA_ANSWER:
		return &REPLICA_ANSWER_SCHEMA;
	case MESSAGE_OPERATOR:
		return &OPERATOR_SCHEMA;
	case MESSAGE_OPERATOR_ANSWER:
		return &OPERATOR_ANSWER_SCHEMA;
	case MESSAGE_CLAIM:
		return &CLAIM_SCHEMA;
	case MESSAGE_CLAIM_ANSWER:
		return &CLAIM_ANSWER_SCHEMA;
	case MESSAGE_RECORD:
		return &RECORD_SCHEMA;
	case MESSAGE_RELEASE:
		return &RELEASE_SCHEMA;
	case MESSAGE_SETTLED:
		return &SETTLED_SCHEMA;
	default:
		return NULL;
	}
}

void
message_pack(msgpack_sbuffer *out, enum message_type type, const void *value)
{
	const struct codec_schema *schema = schema_of(type);
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, schema->field_count + 1);
	msgpack_pack_uint32(&packer, (uint32_t)type);
	codec_pack(&packer, schema, value);
}

void
message_pack_frame(
    msgpack_sbuffer *out, enum message_type type, const void *value)
{
	static const char PLACEHOLDER[FRAME_HEADER_BYTES];
	size_t start = out->size;
	uint32_t size_bytes;

	msgpack_sbuffer_write(out, PLACEHOLDER, sizeof(PLACEHOLDER));
	message_pack(out, type, value);
	size_bytes = htonl((uint32_t)(out->size - start - FRAME_HEADER_BYTES));
	memcpy(out->data + start, &size_bytes, sizeof(size_bytes));
}

int
message_unpack(struct message *message, const char *bytes, size_t size_bytes,
    struct error *err)
{
	const struct codec_schema *schema;
	int64_t type;

	if (codec_decoder_init(&message->decoder, bytes, size_bytes, err) != 0)
		goto fail;
	type = codec_read_type(&message->decoder, err);
	if (type < 0)
		goto fail;
	schema = schema_of(type);
	if (schema == NULL) {
		error_set(err, ERR_SYNTAX, "decode", "",
		    "unknown message type %lld", (long long)type);
		goto fail;
	}
	message->type = (enum message_type)type;
	if (codec_read_fields(&message->decoder, schema, &message->u, err) != 0)
		goto fail;
	return 0;
fail:
	codec_decoder_free(&message->decoder);
	return -1;
}

void
message_free(struct message *message)
{
	codec_decoder_free(&message->decoder);
}
