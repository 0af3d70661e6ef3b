// Schemas of all messages: the order of the fields is the wire format.
#include "wire/messages.h"

#define F(s, k, m)     CODEC_FIELD(struct s, CODEC_##k, m)
#define N(s, k, m, sc) CODEC_NESTED(struct s, CODEC_##k, m, sc)

static const struct codec_field member_fields[] = {
    F(message_member, BYTES, name),
    F(message_member, BYTES, host),
    F(message_member, BYTES, region),
    F(message_member, BYTES, dc),
    F(message_member, BYTES, service),
    F(message_member, U32, control_port),
    F(message_member, U32, peer_port),
    F(message_member, COUNT, incarnation),
    F(message_member, U32, revision),
    F(message_member, U32, status),
    F(message_member, U32, backend),
    F(message_member, U64, server),
    F(message_member, U32, slots),
    F(message_member, U32, load_pct),
    F(message_member, COUNT, version),
    F(message_member, BYTES, server_version),
};
const struct codec_schema message_member_schema =
    CODEC_SCHEMA(struct message_member, member_fields);

static const struct codec_field gossip_fields[] = {
    F(message_gossip, U32, kind),
    F(message_gossip, U64, sequence),
    F(message_gossip, U64, digest),
    F(message_gossip, BYTES, target),
    N(message_gossip, STRUCT, from, &message_member_schema),
    N(message_gossip, LIST, updates, &message_member_schema),
};
static const struct codec_schema gossip_schema =
    CODEC_SCHEMA(struct message_gossip, gossip_fields);

static const struct codec_field rollout_fields[] = {
    F(message_rollout, BYTES, service),
    F(message_rollout, BYTES, version),
    F(message_rollout, U32, state),
    F(message_rollout, U32, share_permille),
    F(message_rollout, COUNT, order),
    F(message_rollout, COUNT, revision),
};
static const struct codec_schema rollout_schema =
    CODEC_SCHEMA(struct message_rollout, rollout_fields);

static const struct codec_field rollout_bucket_fields[] = {
    F(message_rollout_bucket, U32, bucket),
    F(message_rollout_bucket, U32, count),
};
static const struct codec_schema rollout_bucket_schema =
    CODEC_SCHEMA(struct message_rollout_bucket, rollout_bucket_fields);

static const struct codec_field rollout_route_fields[] = {
    F(message_rollout_route, U64, route),
    F(message_rollout_route, U32, answers),
    F(message_rollout_route, U32, failures),
    N(message_rollout_route, LIST, runs, &rollout_bucket_schema),
};
static const struct codec_schema rollout_route_schema =
    CODEC_SCHEMA(struct message_rollout_route, rollout_route_fields);

static const struct codec_field rollout_counts_fields[] = {
    F(message_rollout_counts, BYTES, name),
    F(message_rollout_counts, COUNT, incarnation),
    F(message_rollout_counts, U64, server),
    F(message_rollout_counts, BYTES, service),
    F(message_rollout_counts, BYTES, version),
    F(message_rollout_counts, COUNT, order),
    F(message_rollout_counts, U32, running),
    N(message_rollout_counts, LIST, routes, &rollout_route_schema),
};
static const struct codec_schema rollout_counts_schema =
    CODEC_SCHEMA(struct message_rollout_counts, rollout_counts_fields);

static const struct codec_field summary_fields[] = {
    F(message_summary, U64, name_hash),
    F(message_summary, COUNT, incarnation),
    F(message_summary, U32, revision),
    F(message_summary, U32, status),
};
static const struct codec_schema summary_schema =
    CODEC_SCHEMA(struct message_summary, summary_fields);

static const struct codec_field sync_fields[] = {
    F(message_sync, U64, digest),
    N(message_sync, LIST, members, &message_member_schema),
    N(message_sync, LIST, summaries, &summary_schema),
    N(message_sync, LIST, wanted, &summary_schema),
    N(message_sync, LIST, rollouts, &rollout_schema),
};
static const struct codec_schema sync_schema =
    CODEC_SCHEMA(struct message_sync, sync_fields);

static const struct codec_field report_fields[] = {
    N(message_report, STRUCT, member, &message_member_schema),
    F(message_report, U32, leaving),
    F(message_report, U32, members_known),
    F(message_report, U64, sources_hash),
    F(message_report, COUNT, rollout_revision),
    F(message_report, COUNT, rollout_stopped),
};
static const struct codec_schema report_schema =
    CODEC_SCHEMA(struct message_report, report_fields);

static const struct codec_field address_fields[] = {
    F(message_address, BYTES, text),
};
static const struct codec_schema address_schema =
    CODEC_SCHEMA(struct message_address, address_fields);

static const struct codec_field report_answer_fields[] = {
    F(message_report_answer, COUNT, accepted_version),
    F(message_report_answer, COUNT, version_seen),
    F(message_report_answer, BYTES, host),
    F(message_report_answer, U32, control_port),
    F(message_report_answer, BYTES, region),
    F(message_report_answer, BYTES, dc),
    F(message_report_answer, BYTES, leader),
    N(message_report_answer, LIST, sources, &address_schema),
    N(message_report_answer, LIST, members, &address_schema),
    N(message_report_answer, LIST, rollouts, &rollout_schema),
};
static const struct codec_schema report_answer_schema =
    CODEC_SCHEMA(struct message_report_answer, report_answer_fields);

static const struct codec_field block_fields[] = {
    F(message_block, U32, hash),
    F(message_block, U32, line_count),
};
static const struct codec_schema block_schema =
    CODEC_SCHEMA(struct message_block, block_fields);

static const struct codec_field pull_fields[] = {
    F(message_pull, BYTES, from),
    F(message_pull, COUNT, have_version),
    F(message_pull, U64, have_hash),
    F(message_pull, U32, mean_lines),
    N(message_pull, LIST, blocks, &block_schema),
    F(message_pull, U32, confirm),
};
static const struct codec_schema pull_schema =
    CODEC_SCHEMA(struct message_pull, pull_fields);

static const struct codec_field rules_fields[] = {
    F(message_rules, COUNT, version),
    F(message_rules, U64, hash),
    F(message_rules, BYTES, text),
    N(message_rules, LIST, rollouts, &rollout_schema),
};
static const struct codec_schema rules_schema =
    CODEC_SCHEMA(struct message_rules, rules_fields);

static const struct codec_field delta_step_fields[] = {
    F(message_delta_step, U32, copy_from),
    F(message_delta_step, U32, copy_count),
    F(message_delta_step, BYTES, insert),
};
static const struct codec_schema delta_step_schema =
    CODEC_SCHEMA(struct message_delta_step, delta_step_fields);

static const struct codec_field delta_fields[] = {
    F(message_delta, COUNT, from_version),
    F(message_delta, U64, from_hash),
    F(message_delta, COUNT, version),
    F(message_delta, U64, hash),
    N(message_delta, LIST, steps, &delta_step_schema),
};
static const struct codec_schema delta_schema =
    CODEC_SCHEMA(struct message_delta, delta_fields);

static const struct codec_field busy_fields[] = {
    F(message_busy, TIME, retry_left_us),
};
static const struct codec_schema busy_schema =
    CODEC_SCHEMA(struct message_busy, busy_fields);

static const struct codec_field hello_fields[] = {
    F(message_hello, BYTES, name),
    F(message_hello, COUNT, incarnation),
    F(message_hello, COUNT, sequence),
};
static const struct codec_schema hello_schema =
    CODEC_SCHEMA(struct message_hello, hello_fields);

static const struct codec_field header_fields[] = {
    F(message_header, BYTES, name),
    F(message_header, BYTES, value),
};
static const struct codec_schema header_schema =
    CODEC_SCHEMA(struct message_header, header_fields);

static const struct codec_field request_fields[] = {
    F(message_request, U64, id),
    F(message_request, COUNT, egress_incarnation),
    F(message_request, TIME, deadline_left_us),
    F(message_request, TIME, target_left_us),
    F(message_request, U32, repeatable),
    F(message_request, U32, begun),
    F(message_request, U32, repeat),
    F(message_request, U32, service_permille),
    F(message_request, U64, server),
    F(message_request, U32, limit_milli),
    F(message_request, U32, leaving),
    F(message_request, BYTES, rank),
    F(message_request, BYTES, service),
    F(message_request, BYTES, method),
    F(message_request, BYTES, target),
    F(message_request, BYTES, key),
    F(message_request, U32, once),
    F(message_request, U32, more),
    F(message_request, SIZE, total_bytes),
    N(message_request, LIST, headers, &header_schema),
    F(message_request, BYTES, body),
    F(message_request, U64, route),
    F(message_request, BYTES, workspace),
    F(message_request, SIZE, answer_bytes),
};
static const struct codec_schema request_schema =
    CODEC_SCHEMA(struct message_request, request_fields);

static const struct codec_field response_fields[] = {
    F(message_response, U64, id),
    F(message_response, U32, status),
    F(message_response, U32, outcome),
    F(message_response, TIME, retry_left_us),
    F(message_response, U32, queued),
    F(message_response, U32, running),
    F(message_response, U32, reached_backend),
    F(message_response, TIME, service_us),
    F(message_response, TIME, run_us),
    F(message_response, TIME, queue_us),
    F(message_response, U64, server),
    F(message_response, U32, limit_milli),
    F(message_response, TIME, limit_wait_us),
    F(message_response, U32, leaving),
    F(message_response, U32, more),
    F(message_response, SIZE, total_bytes),
    N(message_response, LIST, headers, &header_schema),
    F(message_response, BYTES, body),
    F(message_response, TIME, work_left_us),
    F(message_response, U32, link_full),
};
static const struct codec_schema response_schema =
    CODEC_SCHEMA(struct message_response, response_fields);

static const struct codec_field body_fields[] = {
    F(message_body, U64, id),
    F(message_body, U32, last),
    F(message_body, U32, failed),
    F(message_body, BYTES, data),
};
static const struct codec_schema body_schema =
    CODEC_SCHEMA(struct message_body, body_fields);

static const struct codec_field window_fields[] = {
    F(message_window, U64, id),
    F(message_window, U32, credit_bytes),
};
static const struct codec_schema window_schema =
    CODEC_SCHEMA(struct message_window, window_fields);

static const struct codec_field cancel_fields[] = {
    F(message_cancel, U64, id),
    F(message_cancel, U32, queued_only),
};
static const struct codec_schema cancel_schema =
    CODEC_SCHEMA(struct message_cancel, cancel_fields);

static const struct codec_field fence_fields[] = {
    F(message_fence, U64, id),
    F(message_fence, COUNT, egress_incarnation),
    F(message_fence, TIME, age_us),
};
static const struct codec_schema fence_schema =
    CODEC_SCHEMA(struct message_fence, fence_fields);

static const struct codec_field fence_answer_fields[] = {
    F(message_fence_answer, U64, id),
    F(message_fence_answer, U32, outcome),
};
static const struct codec_schema fence_answer_schema =
    CODEC_SCHEMA(struct message_fence_answer, fence_answer_fields);

static const struct codec_field heartbeat_fields[] = {
    F(message_heartbeat, U32, answer),
    F(message_heartbeat, U32, queued),
    F(message_heartbeat, U32, running),
    F(message_heartbeat, TIME, service_us),
    F(message_heartbeat, U32, limit_milli),
    F(message_heartbeat, TIME, limit_wait_us),
    F(message_heartbeat, TIME, work_left_us),
};
static const struct codec_schema heartbeat_schema =
    CODEC_SCHEMA(struct message_heartbeat, heartbeat_fields);

static const struct codec_field leaving_fields[] = {
    F(message_leaving, TIME, left_us),
};
static const struct codec_schema leaving_schema =
    CODEC_SCHEMA(struct message_leaving, leaving_fields);

static const struct codec_field raft_entry_fields[] = {
    F(message_raft_entry, COUNT, index),
    F(message_raft_entry, COUNT, term),
    F(message_raft_entry, U32, kind),
    F(message_raft_entry, BYTES, data),
};
static const struct codec_schema raft_entry_schema =
    CODEC_SCHEMA(struct message_raft_entry, raft_entry_fields);

static const struct codec_field raft_fields[] = {
    F(message_raft, U32, kind),
    F(message_raft, U64, cluster),
    F(message_raft, U64, from),
    F(message_raft, U64, to),
    F(message_raft, COUNT, term),
    F(message_raft, COUNT, index),
    F(message_raft, COUNT, log_term),
    F(message_raft, COUNT, commit),
    F(message_raft, U64, context),
    F(message_raft, U32, reject),
    F(message_raft, BYTES, snapshot),
    N(message_raft, LIST, entries, &raft_entry_schema),
};
static const struct codec_schema raft_schema =
    CODEC_SCHEMA(struct message_raft, raft_fields);

static const struct codec_field replica_query_fields[] = {
    F(message_replica_query, U64, cluster),
};
static const struct codec_schema replica_query_schema =
    CODEC_SCHEMA(struct message_replica_query, replica_query_fields);

static const struct codec_field replica_answer_fields[] = {
    F(message_replica_answer, U64, cluster),
    F(message_replica_answer, U64, id),
    F(message_replica_answer, COUNT, term),
    F(message_replica_answer, COUNT, commit),
    F(message_replica_answer, COUNT, data_index),
};
static const struct codec_schema replica_answer_schema =
    CODEC_SCHEMA(struct message_replica_answer, replica_answer_fields);

static const struct codec_field peer_fields[] = {
    F(message_peer, U64, id),
    F(message_peer, BYTES, address),
};
static const struct codec_schema peer_schema =
    CODEC_SCHEMA(struct message_peer, peer_fields);

static const struct codec_field join_fields[] = {
    F(message_join, U64, cluster),
    N(message_join, STRUCT, self, &peer_schema),
    F(message_join, U32, leaving),
};
static const struct codec_schema join_schema =
    CODEC_SCHEMA(struct message_join, join_fields);

static const struct codec_field join_answer_fields[] = {
    F(message_join_answer, U64, cluster),
    F(message_join_answer, U64, leader),
    N(message_join_answer, LIST, peers, &peer_schema),
};
static const struct codec_schema join_answer_schema =
    CODEC_SCHEMA(struct message_join_answer, join_answer_fields);

static const struct codec_field operator_fields[] = {
    F(message_operator, BYTES, method),
    F(message_operator, BYTES, target),
    F(message_operator, BYTES, body),
};
static const struct codec_schema operator_schema =
    CODEC_SCHEMA(struct message_operator, operator_fields);

static const struct codec_field operator_answer_fields[] = {
    F(message_operator_answer, U32, status),
    F(message_operator_answer, TIME, retry_left_us),
    F(message_operator_answer, BYTES, body),
};
static const struct codec_schema operator_answer_schema =
    CODEC_SCHEMA(struct message_operator_answer, operator_answer_fields);

static const struct codec_field claim_fields[] = {
    F(message_claim, U64, claim),
    F(message_claim, BYTES, scope),
    F(message_claim, BYTES, key),
    F(message_claim, U64, body_hash),
    F(message_claim, U32, peek),
    F(message_claim, U64, sequence),
};
static const struct codec_schema claim_schema =
    CODEC_SCHEMA(struct message_claim, claim_fields);

static const struct codec_field claim_answer_fields[] = {
    F(message_claim_answer, U64, sequence),
    F(message_claim_answer, U32, verdict),
    F(message_claim_answer, U32, status),
    N(message_claim_answer, LIST, headers, &header_schema),
    F(message_claim_answer, BYTES, body),
    F(message_claim_answer, BYTES, leader),
};
static const struct codec_schema claim_answer_schema =
    CODEC_SCHEMA(struct message_claim_answer, claim_answer_fields);

static const struct codec_field record_fields[] = {
    F(message_record, U64, claim),
    F(message_record, BYTES, scope),
    F(message_record, BYTES, key),
    F(message_record, U64, sequence),
    F(message_record, U32, status),
    N(message_record, LIST, headers, &header_schema),
    F(message_record, BYTES, body),
};
static const struct codec_schema record_schema =
    CODEC_SCHEMA(struct message_record, record_fields);

static const struct codec_field release_fields[] = {
    F(message_release, U64, claim),
    F(message_release, BYTES, scope),
    F(message_release, BYTES, key),
    F(message_release, U64, sequence),
};
static const struct codec_schema release_schema =
    CODEC_SCHEMA(struct message_release, release_fields);

static const struct codec_field settled_fields[] = {
    F(message_settled, U64, sequence),
    F(message_settled, U32, ok),
    F(message_settled, BYTES, leader),
};
static const struct codec_schema settled_schema =
    CODEC_SCHEMA(struct message_settled, settled_fields);

static const struct codec_field quota_item_fields[] = {
    F(message_quota_item, U64, workspace),
    F(message_quota_item, U32, wanted),
    F(message_quota_item, U32, spare),
    F(message_quota_item, U32, refused),
};
static const struct codec_schema quota_item_schema =
    CODEC_SCHEMA(struct message_quota_item, quota_item_fields);

static const struct codec_field quota_ask_fields[] = {
    F(message_quota_ask, U64, sender),
    F(message_quota_ask, U32, sequence),
    N(message_quota_ask, LIST, items, &quota_item_schema),
};
static const struct codec_schema quota_ask_schema =
    CODEC_SCHEMA(struct message_quota_ask, quota_ask_fields);

static const struct codec_field quota_grant_fields[] = {
    F(message_quota_grant, U64, workspace),
    F(message_quota_grant, U32, asked),
    F(message_quota_grant, U32, tokens),
    F(message_quota_grant, TIME, life_us),
    F(message_quota_grant, TIME, wait_us),
};
static const struct codec_schema quota_grant_schema =
    CODEC_SCHEMA(struct message_quota_grant, quota_grant_fields);

static const struct codec_field quota_answer_fields[] = {
    F(message_quota_answer, U64, sender),
    F(message_quota_answer, U32, sequence),
    F(message_quota_answer, U32, refused),
    F(message_quota_answer, BYTES, leader),
    N(message_quota_answer, LIST, grants, &quota_grant_schema),
    F(message_quota_answer, COUNT, clock_us),
};
static const struct codec_schema quota_answer_schema =
    CODEC_SCHEMA(struct message_quota_answer, quota_answer_fields);

const struct codec_schema *
message_find_schema(int64_t type)
{
	switch (type) {
	case MESSAGE_GOSSIP:
		return &gossip_schema;
	case MESSAGE_SYNC:
	case MESSAGE_SYNC_ANSWER:
		return &sync_schema;
	case MESSAGE_REPORT:
		return &report_schema;
	case MESSAGE_REPORT_ANSWER:
		return &report_answer_schema;
	case MESSAGE_PULL:
		return &pull_schema;
	case MESSAGE_RULES:
		return &rules_schema;
	case MESSAGE_DELTA:
		return &delta_schema;
	case MESSAGE_BUSY:
		return &busy_schema;
	case MESSAGE_HELLO:
		return &hello_schema;
	case MESSAGE_REQUEST:
		return &request_schema;
	case MESSAGE_RESPONSE:
		return &response_schema;
	case MESSAGE_BODY:
		return &body_schema;
	case MESSAGE_WINDOW:
		return &window_schema;
	case MESSAGE_CANCEL:
		return &cancel_schema;
	case MESSAGE_FENCE:
		return &fence_schema;
	case MESSAGE_FENCE_ANSWER:
		return &fence_answer_schema;
	case MESSAGE_HEARTBEAT:
		return &heartbeat_schema;
	case MESSAGE_LEAVING:
		return &leaving_schema;
	case MESSAGE_RAFT:
		return &raft_schema;
	case MESSAGE_REPLICA_QUERY:
		return &replica_query_schema;
	case MESSAGE_REPLICA_ANSWER:
		return &replica_answer_schema;
	case MESSAGE_JOIN:
		return &join_schema;
	case MESSAGE_JOIN_ANSWER:
		return &join_answer_schema;
	case MESSAGE_OPERATOR:
		return &operator_schema;
	case MESSAGE_OPERATOR_ANSWER:
		return &operator_answer_schema;
	case MESSAGE_CLAIM:
		return &claim_schema;
	case MESSAGE_CLAIM_ANSWER:
		return &claim_answer_schema;
	case MESSAGE_RECORD:
		return &record_schema;
	case MESSAGE_RELEASE:
		return &release_schema;
	case MESSAGE_SETTLED:
		return &settled_schema;
	case MESSAGE_ROLLOUT_COUNTS:
		return &rollout_counts_schema;
	case MESSAGE_QUOTA_ASK:
		return &quota_ask_schema;
	case MESSAGE_QUOTA_ANSWER:
		return &quota_answer_schema;
	default:
		return NULL;
	}
}
