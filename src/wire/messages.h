/// @file
/// Messages between processes, one typed struct each.
///
/// Clocks of different VMs are never compared: a message carries the remaining
/// time (`*_left_us`), from which the receiver computes a local deadline.
#ifndef MV_WIRE_MESSAGES_H
#define MV_WIRE_MESSAGES_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "wire/codec.h"

/// Length prefix of a frame, big-endian.
#define FRAME_HEADER_BYTES 4

/// Bit of the length prefix: the frame is deflated.
#define FRAME_DEFLATED 0x80000000u

#define FRAME_MAX_BYTES	   (8u * 1024 * 1024)
#define DATAGRAM_MAX_BYTES 1400

enum message_type {
	// Membership, over UDP and TCP.
	MESSAGE_GOSSIP = 1,
	MESSAGE_SYNC = 2,
	MESSAGE_SYNC_ANSWER = 3,
	// Distribution of rules.
	MESSAGE_REPORT = 10,
	MESSAGE_REPORT_ANSWER = 11,
	MESSAGE_PULL = 12,
	MESSAGE_RULES = 13,
	MESSAGE_DELTA = 14,
	MESSAGE_BUSY = 15,
	// Requests between ingress and egress.
	MESSAGE_HELLO = 20,
	MESSAGE_REQUEST = 21,
	MESSAGE_RESPONSE = 22,
	MESSAGE_BODY = 23,
	MESSAGE_WINDOW = 24,
	MESSAGE_CANCEL = 25,
	MESSAGE_FENCE = 26,
	MESSAGE_FENCE_ANSWER = 27,
	MESSAGE_HEARTBEAT = 28,
	MESSAGE_LEAVING = 29,
	// Replicated log.
	MESSAGE_RAFT = 40,
	MESSAGE_REPLICA_QUERY = 41,
	MESSAGE_REPLICA_ANSWER = 42,
	MESSAGE_JOIN = 43,
	MESSAGE_JOIN_ANSWER = 44,
	// Operator requests, forwarded to the leader.
	MESSAGE_OPERATOR = 45,
	MESSAGE_OPERATOR_ANSWER = 46,
	// Ledger of idempotency keys.
	MESSAGE_CLAIM = 50,
	MESSAGE_CLAIM_ANSWER = 51,
	MESSAGE_RECORD = 52,
	MESSAGE_RELEASE = 53,
	MESSAGE_SETTLED = 54,
	// Roll-outs of new versions.
	MESSAGE_ROLLOUT_COUNTS = 60,
	// Quotas of workspaces, over UDP.
	MESSAGE_QUOTA_ASK = 63,
	MESSAGE_QUOTA_ANSWER = 64,
};

/// Gossip record of one member. See core/membership/member.h.
struct message_member {
	struct bytes name;
	struct bytes host;
	struct bytes region;
	struct bytes dc;
	struct bytes service;
	uint32_t control_port;
	uint32_t peer_port;
	uint64_t incarnation;
	uint32_t revision;
	uint32_t status;
	uint32_t backend;
	uint64_t server;
	uint32_t slots;
	uint32_t load_pct;
	uint64_t version;
	struct bytes server_version; ///< Software of the backend server, or "".
};

/// Probe, acknowledgement, probe request or notice between members.
struct message_gossip {
	uint32_t kind;
	uint64_t sequence;
	uint64_t digest;
	struct bytes target; ///< Name of the member to probe indirectly.
	struct message_member from;
	struct list updates; ///< of struct message_member
};

/// Summary of a member record in a membership table.
struct message_summary {
	uint64_t name_hash;
	uint64_t incarnation;
	uint32_t revision;
	uint32_t status;
};

/// Record of a roll-out. See core/rollout/rollout.h.
struct message_rollout {
	struct bytes service;
	struct bytes version;
	uint32_t state;
	uint32_t share_permille;
	uint64_t order;
	uint64_t revision;
};

/// Requests of a run time. See core/rollout/rollout_counts.h.
struct message_rollout_bucket {
	uint32_t bucket;
	uint32_t count;
};

struct message_rollout_route {
	uint64_t route;
	uint32_t answers;
	uint32_t failures;
	struct list runs; ///< of struct message_rollout_bucket
};

/// What a backend server has answered since the order of a roll-out; sent by the
/// proxy next to it to the leading source.
struct message_rollout_counts {
	struct bytes name;
	uint64_t incarnation;
	uint64_t server; ///< Its process.
	struct bytes service;
	struct bytes version;
	uint64_t order;
	uint32_t running;   ///< Requests that run or wait there.
	struct list routes; ///< of struct message_rollout_route
};

/// Step of an anti-entropy exchange of membership tables; the answer has the
/// same layout. See proxy/control/gossip_io.c.
struct message_sync {
	uint64_t digest;       ///< Of the sender's whole table.
	struct list members;   ///< of struct message_member
	struct list summaries; ///< of struct message_summary
	struct list wanted;    ///< of struct message_summary; only names count.
	struct list rollouts;  ///< of struct message_rollout
};

/// Reports the record of a proxy, with its version in force, to a source.
struct message_report {
	struct message_member member;
	uint32_t leaving;
	uint32_t members_known;	   ///< Proxies that it knows to be up.
	uint64_t sources_hash;	   ///< Of the sources that it knows.
	uint64_t rollout_revision; ///< Highest of the roll-outs that it knows.
	/// Order of a roll-out whose version it stopped using by itself; 0: none.
	uint64_t rollout_stopped;
};

struct message_report_answer {
	uint64_t accepted_version; ///< 0: the source cannot confirm any now.
	uint64_t version_seen; ///< Highest version reported under this name.
	struct bytes host;     ///< Host to pull from: the answering replica.
	uint32_t control_port;
	struct bytes region;
	struct bytes dc;
	struct bytes leader; ///< "IP:port" of the leading source, or empty.
	/// Of struct message_address: all replicas. Empty if the reporter has
	/// the same list.
	struct list sources;
	/// Of struct message_address: some proxies. Empty if the reporter knows
	/// as many as the source.
	struct list members;
	/// Of struct message_rollout: the next ones that the reporter lacks.
	struct list rollouts;
};

struct message_address {
	struct bytes text; ///< "IP:port"
};

/// Returns the hash of a list of struct message_address, in its order.
uint64_t message_addresses_hash(const struct list *addresses);

/// A run of lines of the caller's rules; see core/rules/delta.h.
struct message_block {
	uint32_t hash;
	uint32_t line_count;
};

/// Requests the rules if they are newer than those of the caller.
struct message_pull {
	struct bytes from;
	uint64_t have_version;
	uint64_t have_hash;
	uint32_t mean_lines; ///< Of a block; 0: the whole file is wanted.
	struct list blocks;  ///< of struct message_block
	/// Only queries the newest version, as confirmed by a quorum. The
	/// answer has no text.
	uint32_t confirm;
};

struct message_rules {
	uint64_t version; ///< 0: the sender has nothing newer.
	uint64_t hash;
	struct bytes text;    ///< Empty in the answer to a confirm query.
	struct list rollouts; ///< of struct message_rollout; in that answer.
};

/// One step of a line delta: copies old lines, then inserts text.
struct message_delta_step {
	uint32_t copy_from; ///< First old line, from 0.
	uint32_t copy_count;
	struct bytes insert; ///< Text inserted after the copied lines.
};

struct message_delta {
	uint64_t from_version;
	uint64_t from_hash;
	uint64_t version;
	uint64_t hash;
	struct list steps; ///< of struct message_delta_step
};

/// Refuses a pull; the caller retries after the given time.
struct message_busy {
	int64_t retry_left_us;
};

/// First frame of each side on a stream.
struct message_hello {
	struct bytes name;
	uint64_t incarnation;
	uint64_t sequence; ///< Number of this stream at the sender.
};

struct message_header {
	struct bytes name;
	struct bytes value;
};

struct message_request {
	uint64_t id;
	uint64_t egress_incarnation; ///< Of the egress process that may run it.
	int64_t deadline_left_us;
	int64_t target_left_us; ///< Until the target response time.
	uint32_t repeatable;	///< May be executed more than once.
	uint32_t begun; ///< A call of a request that a backend server runs.
	/// Not its first arrival at a backend server, or a call of such a run.
	uint32_t repeat;
	/// Usual service time relative to the mean of the service; 0: unknown.
	uint32_t service_permille;
	// Terms of the backend server there, as the ingress knows them.
	uint64_t server; ///< See core/requests/server_terms.h; 0: not known.
	uint32_t limit_milli;
	uint32_t leaving;
	struct bytes rank;
	struct bytes service;
	struct bytes method;
	struct bytes target; ///< Path and query.
	struct bytes key;    ///< Idempotency key, or empty.
	uint32_t once;
	uint32_t more;	     ///< Body frames follow.
	int64_t total_bytes; ///< Size of a framed body; -1 if unknown.
	struct list headers; ///< of struct message_header
	struct bytes body;
	uint64_t route; ///< Hash of the route's name; 0: none.
	struct bytes workspace;
	int64_t answer_bytes; ///< Usual size of the response body; -1: unknown.
};

struct message_response {
	uint64_t id;
	uint32_t status;
	uint32_t outcome;	  ///< enum outcome
	int64_t retry_left_us;	  ///< Earliest retry; 0 for no hint.
	uint32_t queued;	  ///< Requests waiting at the egress.
	uint32_t running;	  ///< Requests executing at the egress.
	uint32_t reached_backend; ///< The request reached the backend server.
	int64_t service_us;	  ///< Mean slot time at the egress; 0: unknown.
	int64_t run_us;		  ///< Time this request held its slot; 0: none.
	int64_t queue_us;	  ///< Time this request waited for its slot.
	uint64_t server;	  ///< Process of the server whose terms follow.
	uint32_t limit_milli;  ///< Requests in 1,000 s that it takes; 0: any.
	int64_t limit_wait_us; ///< Wait of a next request for that limit.
	uint32_t leaving;      ///< It states that it leaves.
	uint32_t more;	       ///< Body frames follow.
	int64_t total_bytes;   ///< Size of a framed body; -1 if unknown.
	struct list headers;   ///< of struct message_header
	struct bytes body;
	int64_t work_left_us; ///< Slot time that the server still has to give.
	uint32_t link_full;   ///< Refused: its link has no room for the answer.
};

/// A part of the body of a request or response.
struct message_body {
	uint64_t id;
	uint32_t last;
	uint32_t failed; ///< The body ends here incomplete.
	struct bytes data;
};

/// Flow control: permits the peer to send more of a body.
struct message_window {
	uint64_t id;
	uint32_t credit_bytes;
};

/// Cancels a request.
struct message_cancel {
	uint64_t id;
	/// Cancels the request only if it is queued; a running one continues.
	uint32_t queued_only;
};

/// Queries the outcome of a request, and fences off older streams.
struct message_fence {
	uint64_t id;
	uint64_t egress_incarnation;
	int64_t age_us; ///< Time since the request was sent.
};

struct message_fence_answer {
	uint64_t id;
	uint32_t outcome; ///< enum outcome
};

struct message_heartbeat {
	uint32_t answer; ///< 0: requests an answer; 1: is the answer.
	uint32_t queued;
	uint32_t running;
	int64_t service_us;   ///< Mean slot time; 0: unknown.
	uint32_t limit_milli; ///< As in struct message_response.
	int64_t limit_wait_us;
	int64_t work_left_us;
};

/// The ingress leaves: what it has not got by its end does not reach its callers.
struct message_leaving {
	int64_t left_us; ///< Until the end of its process.
};

struct message_raft_entry {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	struct bytes data;
};

/// Any message of the replicated log. See core/replica/replica.h.
struct message_raft {
	uint32_t kind;
	uint64_t cluster;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	uint64_t index;
	uint64_t log_term;
	uint64_t commit;
	uint64_t context;
	uint32_t reject;
	struct bytes snapshot;
	struct list entries; ///< of struct message_raft_entry
};

/// Queries the state of the log of a replica.
struct message_replica_query {
	uint64_t cluster;
};

struct message_replica_answer {
	uint64_t cluster;
	uint64_t id;
	uint64_t term;
	uint64_t commit;
	uint64_t data_index; ///< Index of the last data entry applied, or 0.
};

struct message_peer {
	uint64_t id;
	struct bytes address; ///< "IP:port"
};

/// Requests that the sending replica joins the cluster, or leaves it.
struct message_join {
	uint64_t cluster;
	struct message_peer self;
	uint32_t leaving;
};

/// Members of the cluster and their leader.
struct message_join_answer {
	uint64_t cluster;
	uint64_t leader;   ///< Id; 0 if none is known.
	struct list peers; ///< of struct message_peer
};

/// An operator request, with method, target and body as over HTTP.
struct message_operator {
	struct bytes method;
	struct bytes target;
	struct bytes body;
};

struct message_operator_answer {
	uint32_t status;
	int64_t retry_left_us;
	struct bytes body;
};

/// Claims an idempotency key, or queries it.
struct message_claim {
	uint64_t claim;	    ///< Chosen by the egress; the same in resends.
	struct bytes scope; ///< Route that the key belongs to.
	struct bytes key;
	uint64_t body_hash;
	uint32_t peek;	   ///< Only query; do not claim a free key.
	uint64_t sequence; ///< Matches the answer with this message.
};

struct message_claim_answer {
	uint64_t sequence;
	uint32_t verdict; ///< enum once_verdict
	uint32_t status;
	struct list headers; ///< of struct message_header
	struct bytes body;
	struct bytes leader; ///< "host:port" to ask instead, or empty.
};

/// Stores the response of a claimed key.
struct message_record {
	uint64_t claim;
	struct bytes scope;
	struct bytes key;
	uint64_t sequence;
	uint32_t status;
	struct list headers; ///< of struct message_header
	struct bytes body;
};

/// Releases a claim whose request is proved not to have run.
struct message_release {
	uint64_t claim;
	struct bytes scope;
	struct bytes key;
	uint64_t sequence;
};

/// Answers MESSAGE_RECORD and MESSAGE_RELEASE.
struct message_settled {
	uint64_t sequence;
	uint32_t ok;
	struct bytes leader;
};

/// Tokens that a proxy asks for, for one workspace.
struct message_quota_item {
	uint64_t workspace; ///< Hash of its name.
	uint32_t wanted;
	uint32_t spare;
	uint32_t refused;
};

/// Ask of a proxy to the accountant of the quotas.
struct message_quota_ask {
	uint64_t sender; ///< Incarnation of the proxy; echoed.
	uint32_t sequence;
	struct list items; ///< of struct message_quota_item
};

/// Tokens that the accountant grants. See core/workspace/quota_ledger.h.
struct message_quota_grant {
	uint64_t workspace;
	uint32_t asked;
	uint32_t tokens;
	int64_t life_us; ///< Since the ask was sent.
	int64_t wait_us;
};

struct message_quota_answer {
	uint64_t sender;
	uint32_t sequence;
	uint32_t refused;    ///< The answering source is not the accountant.
	struct bytes leader; ///< "IP:port" of the one that is, or empty.
	struct list grants;  ///< of struct message_quota_grant
	uint64_t clock_us;   ///< Monotonic clock of the accountant.
};

/// A decoded message. Its bytes and lists are valid until message_free().
struct message {
	enum message_type type;
	union {
		struct message_gossip gossip;
		struct message_sync sync;
		struct message_report report;
		struct message_report_answer report_answer;
		struct message_pull pull;
		struct message_rules rules;
		struct message_delta delta;
		struct message_busy busy;
		struct message_hello hello;
		struct message_request request;
		struct message_response response;
		struct message_body body;
		struct message_window window;
		struct message_cancel cancel;
		struct message_fence fence;
		struct message_fence_answer fence_answer;
		struct message_heartbeat heartbeat;
		struct message_leaving leaving;
		struct message_raft raft;
		struct message_replica_query replica_query;
		struct message_replica_answer replica_answer;
		struct message_join join;
		struct message_join_answer join_answer;
		struct message_operator operator_request;
		struct message_operator_answer operator_answer;
		struct message_claim claim;
		struct message_claim_answer claim_answer;
		struct message_record record;
		struct message_release release;
		struct message_settled settled;
		struct message_rollout_counts rollout_counts;
		struct message_quota_ask quota_ask;
		struct message_quota_answer quota_answer;
	} u;
	struct codec_decoder decoder;
};

/// Reports whether messages of a type hold text that compresses well. Bodies of
/// requests are excluded: their encoding is up to the callers.
bool message_is_compressible(enum message_type type);

/// Appends an encoded message, without a frame header, to a buffer.
void message_pack(
    msgpack_sbuffer *out, enum message_type type, const void *value);

/// Appends an encoded message with its frame header to a buffer.
void message_pack_frame(
    msgpack_sbuffer *out, enum message_type type, const void *value);

/// Decodes a message.
///
/// @param bytes       encoded message; must outlive the result
/// @param size_bytes  its length
/// @return 0, or -1 with err set; call message_free() only after 0
int message_unpack(struct message *message, const char *bytes,
    size_t size_bytes, struct error *err);

void message_free(struct message *message);

/// Finds the schema of a received message type.
///
/// @return the schema, or NULL if the type is unknown
const struct codec_schema *message_find_schema(int64_t type);

/// Schema of the records that durable state reuses.
extern const struct codec_schema message_member_schema;

#endif
