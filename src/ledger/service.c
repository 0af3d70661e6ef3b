// Handles claims, records and releases from clients of the ledger.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "ledger/ledger.h"

COUNTER_DEFINE(count_claims, "ledger_claims", "Claims and polls received");
COUNTER_DEFINE(count_granted, "ledger_granted", "Claims granted");
COUNTER_DEFINE(count_records, "ledger_records", "Answers recorded");
COUNTER_DEFINE(count_releases, "ledger_releases", "Claims released");
COUNTER_DEFINE(count_refused, "ledger_unavailable", "Refused: not leader");
GAUGE_DEFINE(gauge_keys, "ledger_keys", "Keys held");
GAUGE_DEFINE(gauge_memory, "ledger_keys_bytes", "Memory of the keys");

static struct ledger *
get_ledger(struct replica_host *host)
{
	return host->owner;
}

static struct ledger_pending **
get_bucket(struct ledger *ledger, uint64_t number)
{
	return &ledger->pending[number % LEDGER_PENDING_BUCKETS];
}

static struct ledger_pending *
pending_add(struct ledger *ledger, uint64_t number, struct stream *stream,
    uint64_t sequence, bool peek)
{
	struct ledger_pending *p = calloc(1, sizeof(*p));
	struct ledger_pending **bucket = get_bucket(ledger, number);

	assert(p != NULL);
	p->number = number;
	p->term = ledger->host.replica.term;
	p->stream = stream;
	p->sequence = sequence;
	p->peek = peek;
	p->next = *bucket;
	*bucket = p;
	ledger->pending_count++;
	return p;
}

static struct ledger_pending **
get_key_bucket(struct ledger *ledger, uint64_t key_hash)
{
	return &ledger->in_flight[key_hash % LEDGER_PENDING_BUCKETS];
}

static void
add_in_flight(
    struct ledger *ledger, struct ledger_pending *p, const struct once_op *op)
{
	struct ledger_pending **bucket;

	p->key_hash = once_op_hash(op);
	p->claim = op->claim;
	bucket = get_key_bucket(ledger, p->key_hash);
	p->key_next = *bucket;
	*bucket = p;
}

static void
remove_in_flight(struct ledger *ledger, struct ledger_pending *p)
{
	struct ledger_pending **at = get_key_bucket(ledger, p->key_hash);

	while (*at != p)
		at = &(*at)->key_next;
	*at = p->key_next;
}

static struct ledger_pending *
find_in_flight(struct ledger *ledger, const struct once_op *op)
{
	uint64_t key_hash = once_op_hash(op);
	struct ledger_pending *p = *get_key_bucket(ledger, key_hash);

	while (p != NULL && p->key_hash != key_hash)
		p = p->key_next;
	return p;
}

/// Removes a pending operation from its tables. Returns NULL if there is none.
static struct ledger_pending *
pending_remove(struct ledger *ledger, uint64_t number, bool peek)
{
	struct ledger_pending **at = get_bucket(ledger, number);
	struct ledger_pending *p;

	while (*at != NULL && ((*at)->number != number || (*at)->peek != peek))
		at = &(*at)->next;
	p = *at;
	if (p == NULL)
		return NULL;
	*at = p->next;
	ledger->pending_count--;
	if (!p->peek)
		remove_in_flight(ledger, p);
	return p;
}

static void
pending_free(struct ledger_pending *p)
{
	free(p->op);
	free(p);
}

void
ledger_free_pending(struct ledger *ledger)
{
	uint32_t i;

	for (i = 0; i < LEDGER_PENDING_BUCKETS; i++) {
		while (ledger->pending[i] != NULL) {
			struct ledger_pending *p = ledger->pending[i];

			ledger->pending[i] = p->next;
			pending_free(p);
		}
		ledger->in_flight[i] = NULL;
	}
	ledger->pending_count = 0;
}

static struct bytes
get_leader_address(const struct ledger *ledger)
{
	return bytes_from_string(
	    replica_host_get_leader_address(&ledger->host));
}

static void
send_verdict(struct stream *stream, uint64_t sequence,
    enum once_verdict verdict, struct once_bytes recorded)
{
	struct message_claim_answer answer = {
	    .sequence = sequence, .verdict = verdict};
	struct message record;
	struct error err;

	if (verdict != ONCE_DONE ||
	    message_unpack(&record, recorded.data, recorded.size_bytes, &err) !=
		0) {
		stream_send(stream, MESSAGE_CLAIM_ANSWER, &answer);
		return;
	}
	answer.status = record.u.record.status;
	answer.headers = record.u.record.headers;
	answer.body = record.u.record.body;
	stream_send(stream, MESSAGE_CLAIM_ANSWER, &answer);
	message_free(&record);
}

static void
send_unavailable(
    struct ledger *ledger, struct stream *stream, uint64_t sequence)
{
	struct message_claim_answer answer = {
	    .sequence = sequence, .verdict = ONCE_UNAVAILABLE};

	counter_add(&count_refused, 1);
	answer.leader = get_leader_address(ledger);
	stream_send(stream, MESSAGE_CLAIM_ANSWER, &answer);
}

static void
send_settled(
    struct ledger *ledger, struct stream *stream, uint64_t sequence, bool ok)
{
	struct message_settled settled = {.sequence = sequence, .ok = ok};

	settled.leader = get_leader_address(ledger);
	stream_send(stream, MESSAGE_SETTLED, &settled);
}

/// Returns true if this replica is the leader and has applied all entries
/// committed before its term. Operations proposed since are marked in flight.
static bool
can_serve(const struct ledger *ledger)
{
	const struct replica *r = &ledger->host.replica;

	return replica_is_leader(r) && r->applied >= r->term_start_index;
}

static struct once_bytes
to_once_bytes(struct bytes b)
{
	struct once_bytes out = {b.data == NULL ? "" : b.data, b.size_bytes};

	return out;
}

/// Proposes an operation. A full log rejects it, and the client resends it.
static void
propose(struct ledger *ledger, const struct once_op *op, struct stream *stream,
    uint64_t sequence)
{
	uint32_t size_bytes;
	char *data = once_op_encode(op, &size_bytes);
	struct error err;
	uint64_t index;

	if (replica_propose(&ledger->host.replica, data, size_bytes, &index,
		loop_now_us(ledger->loop), &err) == 0)
		add_in_flight(ledger,
		    pending_add(ledger, index, stream, sequence, false), op);
	else
		log_error(LOG_DEBUG, "ledger",
		    "Cannot append an operation, its client resends it", &err);
	free(data);
}

/// Starts a linearizable read: only a confirmed leader may report a key free.
static void
start_peek(struct ledger *ledger, const struct once_op *op,
    struct stream *stream, uint64_t sequence)
{
	struct ledger_pending *p =
	    pending_add(ledger, ++ledger->next_context, stream, sequence, true);

	p->op = once_op_encode(op, &p->op_bytes);
	replica_start_read(
	    &ledger->host.replica, p->number, loop_now_us(ledger->loop));
}

/// Handles a claim on a key that has an operation in flight. A resent claim
/// replaces its first copy as the receiver of the reply; any other attempt gets
/// ONCE_IN_PROGRESS and polls.
static void
handle_in_flight_claim(struct ledger_pending *p, struct stream *stream,
    const struct message_claim *m)
{
	struct once_bytes none = {"", 0};

	if (p->claim != m->claim) {
		send_verdict(stream, m->sequence, ONCE_IN_PROGRESS, none);
		return;
	}
	p->stream = stream;
	p->sequence = m->sequence;
}

static void
on_claim(
    struct ledger *ledger, struct stream *stream, const struct message_claim *m)
{
	struct once_op op = {.kind = ONCE_CLAIM,
	    .claim = m->claim,
	    .body_hash = m->body_hash,
	    .wall_us = clock_wall_us()};
	struct once_bytes answer = {"", 0};
	struct ledger_pending *p;
	enum once_verdict verdict;

	counter_add(&count_claims, 1);
	if (!can_serve(ledger)) {
		if (!replica_is_leader(&ledger->host.replica))
			send_unavailable(ledger, stream, m->sequence);
		return;
	}
	op.scope = to_once_bytes(m->scope);
	op.key = to_once_bytes(m->key);
	p = find_in_flight(ledger, &op);
	if (p != NULL) {
		handle_in_flight_claim(p, stream, m);
		return;
	}
	verdict = once_check_claim(&ledger->once, &op, &answer);
	if (verdict == ONCE_FREE && m->peek)
		start_peek(ledger, &op, stream, m->sequence);
	else if (verdict == ONCE_FREE)
		propose(ledger, &op, stream, m->sequence);
	else if (verdict != ONCE_VOID)
		send_verdict(stream, m->sequence, verdict, answer);
}

static void
on_record(struct ledger *ledger, struct stream *stream,
    const struct message_record *m)
{
	struct once_op op = {
	    .kind = ONCE_RECORD, .claim = m->claim, .wall_us = clock_wall_us()};
	msgpack_sbuffer packed;

	if (!can_serve(ledger)) {
		send_settled(ledger, stream, m->sequence, false);
		return;
	}
	msgpack_sbuffer_init(&packed);
	message_pack(&packed, MESSAGE_RECORD, m);
	op.scope = to_once_bytes(m->scope);
	op.key = to_once_bytes(m->key);
	op.answer.data = packed.data;
	op.answer.size_bytes = (uint32_t)packed.size;
	propose(ledger, &op, stream, m->sequence);
	msgpack_sbuffer_destroy(&packed);
}

static void
on_release(struct ledger *ledger, struct stream *stream,
    const struct message_release *m)
{
	struct once_op op = {.kind = ONCE_RELEASE,
	    .claim = m->claim,
	    .wall_us = clock_wall_us()};

	if (!can_serve(ledger)) {
		send_settled(ledger, stream, m->sequence, false);
		return;
	}
	op.scope = to_once_bytes(m->scope);
	op.key = to_once_bytes(m->key);
	propose(ledger, &op, stream, m->sequence);
}

static void
on_message(struct stream *stream, struct message *message)
{
	struct ledger *ledger = stream->owner;

	if (replica_host_receive(&ledger->host, stream, message))
		return;
	switch (message->type) {
	case MESSAGE_CLAIM:
		on_claim(ledger, stream, &message->u.claim);
		break;
	case MESSAGE_RECORD:
		on_record(ledger, stream, &message->u.record);
		break;
	case MESSAGE_RELEASE:
		on_release(ledger, stream, &message->u.release);
		break;
	default:
		stream_close(stream);
		break;
	}
}

static void
on_closed(struct stream *stream, const struct error *err)
{
	struct ledger *ledger = stream->owner;
	struct ledger_pending *p;
	uint32_t i;

	(void)err;
	for (i = 0; i < LEDGER_PENDING_BUCKETS; i++)
		for (p = ledger->pending[i]; p != NULL; p = p->next)
			if (p->stream == stream)
				p->stream = NULL;
}

const struct stream_ops ledger_stream_ops = {
    .on_message = on_message,
    .on_closed = on_closed,
};

static void
count_op(const struct ledger *ledger, const struct once_op *op)
{
	if (op->kind == ONCE_CLAIM)
		counter_add(&count_granted, 1);
	else if (op->kind == ONCE_RECORD)
		counter_add(&count_records, 1);
	else
		counter_add(&count_releases, 1);
	counter_set(&gauge_keys, ledger->once.count);
	counter_set(&gauge_memory, (int64_t)ledger->once.memory_bytes);
}

static void
on_apply(struct replica_host *host, const struct replica_entry *entry)
{
	struct ledger *ledger = get_ledger(host);
	struct ledger_pending *p = pending_remove(ledger, entry->index, false);
	struct once_bytes none = {"", 0};
	struct once_op op;
	struct error err;

	if (once_op_decode(entry->data, entry->size_bytes, &op, &err) != 0) {
		log_error(
		    LOG_ERROR, "ledger", "Skipped an invalid log entry", &err);
		if (p != NULL)
			pending_free(p);
		return;
	}
	once_apply(&ledger->once, &op);
	count_op(ledger, &op);
	// Another leader's entry may have replaced the proposed one.
	if (p != NULL && p->stream != NULL && p->term == entry->term) {
		if (op.kind == ONCE_CLAIM)
			send_verdict(
			    p->stream, p->sequence, ONCE_GRANTED, none);
		else
			send_settled(ledger, p->stream, p->sequence, true);
	}
	if (p != NULL)
		pending_free(p);
}

static void
on_applied(struct replica_host *host, uint64_t index)
{
	ledger_compact_expired(get_ledger(host), index);
}

static void
on_restore(struct replica_host *host, const struct replica_snapshot *s)
{
	struct ledger *ledger = get_ledger(host);

	// Entries covered by the snapshot have expired; the log has the rest.
	(void)s;
	once_clear(&ledger->once);
	ledger->sample_count = 0;
}

static void
on_read_done(struct replica_host *host, uint64_t context, bool ok)
{
	struct ledger *ledger = get_ledger(host);
	struct ledger_pending *p = pending_remove(ledger, context, true);
	struct once_bytes answer = {"", 0};
	struct once_op op;
	struct error err;

	if (p == NULL)
		return;
	if (p->stream != NULL && !ok)
		send_unavailable(ledger, p->stream, p->sequence);
	else if (p->stream != NULL &&
	    once_op_decode(p->op, p->op_bytes, &op, &err) == 0)
		send_verdict(p->stream, p->sequence,
		    once_check_claim(&ledger->once, &op, &answer), answer);
	pending_free(p);
}

static void
on_role_changed(struct replica_host *host)
{
	struct ledger *ledger = get_ledger(host);

	// Another leader's entries may replace the proposed ones. Clients
	// resend operations that get no reply.
	if (!replica_is_leader(&host->replica))
		ledger_free_pending(ledger);
}

const struct replica_host_ops ledger_replica_ops = {
    .apply = on_apply,
    .applied = on_applied,
    .restore = on_restore,
    .read_done = on_read_done,
    .role_changed = on_role_changed,
};
