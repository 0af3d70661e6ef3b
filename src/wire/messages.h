/// @file
/// Messages between the processes, one typed struct each.
///
/// Clocks of two VMs are never compared: a message carries the time that is
/// left (`*_left_us`), and the receiver turns it into a deadline of its own.
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

/// Bit of the length: the frame is deflated.
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
	// Replicated log.
	MESSAGE_RAFT = 40,
	MESSAGE_REPLICA_QUERY = 41,
	MESSAGE_REPLICA_ANSWER = 42,
	MESSAGE_JOIN = 43,
	MESSAGE_JOIN_ANSWER = 44,
	// Requests of operators, passed on to the leader.
	MESSAGE_OPERATOR = 45,
	MESSAGE_OPERATOR_ANSWER = 46,
	// Ledger of idempotency keys.
	MESSAGE_CLAIM = 50,
	MESSAGE_CLAIM_ANSWER = 51,
	MESSAGE_RECORD = 52,
	MESSAGE_RELEASE = 53,
	MESSAGE_SETTLED = 54,
};

/// What gossip knows of one member. See core/membership.h.
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
	uint32_t slots;
	uint32_t load_pct;
	uint64_t version;
};

/// Probe, answer or notice between members.
struct message_gossip {
	uint32_t kind;
	uint64_t sequence;
	uint64_t digest;
	struct bytes target; ///< Name of the member an indirect probe is for.
	struct message_member from;
	struct list updates; ///< of struct message_member
};

/// What one table holds of a member, in short.
struct message_summary {
	uint64_t name_hash;
	uint64_t incarnation;
	uint32_t revision;
	uint32_t status;
};

/// Step of a table exchange; the answer has the same shape. See
/// proxy/gossip_io.c.
struct message_sync {
	uint64_t digest;       ///< Of the sender's whole table.
	struct list members;   ///< of struct message_member
	struct list summaries; ///< of struct message_summary
	struct list wanted;    ///< of struct message_summary: names only.
};

/// Tells a source which version a proxy has in force.
struct message_report {
	struct message_member member;
	uint32_t leaving;
};

struct message_report_answer {
	uint64_t accepted_version; ///< 0 while the source cannot confirm any.
	uint64_t version_seen;	   ///< Highest version seen at this proxy name.
	struct bytes host;	   ///< Where to pull: the answering replica.
	uint32_t control_port;
	struct bytes region;
	struct bytes dc;
	struct bytes leader; ///< "IP:port" of the source that leads, or empty.
	struct list sources; ///< of struct message_address: all replicas now.
	struct list members; ///< of struct message_address: some proxies.
};

struct message_address {
	struct bytes text; ///< "IP:port"
};

/// Asks for the rules if newer than what the caller has.
struct message_pull {
	struct bytes from;
	uint64_t have_version;
	uint64_t have_hash;
	uint32_t allow_delta;
	/// Only asks which version is the newest, as a quorum confirms. The
	/// answer has no text.
	uint32_t confirm;
};

struct message_rules {
	uint64_t version; ///< 0: nothing newer here.
	uint64_t hash;
	struct bytes text; ///< Empty in the answer to a question to confirm.
};

/// One step of a line delta: copy lines of the old text, or insert new ones.
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

struct message_busy {
	int64_t retry_left_us;
};

/// First frame on a stream, in both directions.
struct message_hello {
	struct bytes name;
	uint64_t incarnation;
	uint64_t sequence; ///< Of this stream among those of the sender.
};

struct message_header {
	struct bytes name;
	struct bytes value;
};

struct message_request {
	uint64_t id;
	uint64_t egress_incarnation; ///< The process this is meant for.
	int64_t deadline_left_us;
	int64_t target_left_us; ///< Until the caller expects the answer.
	uint32_t repeatable;	///< The backend server may run it again.
	struct bytes rank;
	struct bytes service;
	struct bytes method;
	struct bytes target; ///< Path and query.
	struct bytes key;    ///< Idempotency key, or empty.
	uint32_t once;
	uint32_t more;	     ///< Body frames follow.
	int64_t total_bytes; ///< Of a body that goes on; -1 if not known.
	struct list headers; ///< of struct message_header
	struct bytes body;
};

struct message_response {
	uint64_t id;
	uint32_t status;
	uint32_t outcome;      ///< enum outcome
	int64_t retry_left_us; ///< Not before; 0 for no hint.
	uint32_t queued;       ///< Requests waiting at the egress.
	uint32_t running;      ///< Requests executing at the egress.
	uint32_t arrived;      ///< The backend server got the request.
	int64_t service_us;    ///< Mean time in a slot there; 0: not known.
	int64_t run_us;	       ///< Time of this request in its slot; 0: none.
	int64_t queue_us;      ///< Time that it waited for the slot.
	uint32_t more;	       ///< Body frames follow.
	int64_t total_bytes;   ///< Of a body that goes on; -1 if not known.
	struct list headers;   ///< of struct message_header
	struct bytes body;
};

/// A part of a request's or response's body.
struct message_body {
	uint64_t id;
	uint32_t last;
	uint32_t failed; ///< The body ends here without being complete.
	struct bytes data;
};

/// Permits the other end to send more of a body.
struct message_window {
	uint64_t id;
	uint32_t credit_bytes;
};

struct message_cancel {
	uint64_t id;
	uint32_t waiting_only; ///< What runs goes on.
};

/// Asks what became of a request, and shuts out older streams.
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
	uint32_t answer; ///< 0: asks for an answer; 1: is the answer.
	uint32_t queued;
	uint32_t running;
	int64_t service_us; ///< Mean time in a slot; 0: not known.
};

struct message_raft_entry {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	struct bytes data;
};

/// Every message of the replicated log. See core/replica.h.
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

/// Asks a replica about its log.
struct message_replica_query {
	uint64_t cluster;
};

struct message_replica_answer {
	uint64_t cluster;
	uint64_t id;
	uint64_t term;
	uint64_t commit;
	uint64_t data_index; ///< Last data entry applied; 0 for none.
};

struct message_peer {
	uint64_t id;
	struct bytes address; ///< "IP:port"
};

/// A replica asks to be taken in, or says that it leaves.
struct message_join {
	uint64_t cluster;
	struct message_peer self;
	uint32_t leaving;
};

/// Who is a member, and which of them leads.
struct message_join_answer {
	uint64_t cluster;
	uint64_t leader;   ///< Id; 0 if none is known.
	struct list peers; ///< of struct message_peer
};

/// An operator's request; the same words as over HTTP.
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

struct message_claim {
	uint64_t claim;	    ///< Chosen by the egress; the same in a resend.
	struct bytes scope; ///< Route that the key belongs to.
	struct bytes key;
	uint64_t body_hash;
	uint32_t peek;	   ///< Only ask; do not claim a key that is free.
	uint64_t sequence; ///< Matches the answer to this message.
};

struct message_claim_answer {
	uint64_t sequence;
	uint32_t verdict; ///< enum once_verdict
	uint32_t status;
	struct list headers; ///< of struct message_header
	struct bytes body;
	struct bytes leader; ///< Where to ask, if not here; "host:port".
};

/// Stores the answer of a claimed key.
struct message_record {
	uint64_t claim;
	struct bytes scope;
	struct bytes key;
	uint64_t sequence;
	uint32_t status;
	struct list headers; ///< of struct message_header
	struct bytes body;
};

/// Gives a claim back whose request is proved not to have run.
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

/// A decoded message. Its bytes and lists live until message_free.
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
	} u;
	struct codec_decoder decoder;
};

/// Tells whether messages of a type consist of text that deflates well. Bodies
/// of requests do not count: they are their callers' own.
bool message_is_text(enum message_type type);

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
/// @return 0, or -1 with err set; message_free only after 0
int message_unpack(struct message *message, const char *bytes,
    size_t size_bytes, struct error *err);

void message_free(struct message *message);

/// Finds the schema of a type as it came in.
///
/// @return NULL if the type is not known
const struct codec_schema *message_find_schema(int64_t type);

/// Schema of the records that durable state reuses.
extern const struct codec_schema message_member_schema;

#endif
