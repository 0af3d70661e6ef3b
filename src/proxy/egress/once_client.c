// Client of the ledger: finds the leader and resends until a reply arrives.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/net/net.h"
#include "proxy/egress/once_client.h"
#include "wire/request_copy.h"

#define RESEND_INTERVAL_US (150 * US_PER_MS)
#define POLL_INTERVAL_US   (40 * US_PER_MS)
#define TICK_INTERVAL_US   (10 * US_PER_MS)
#define SETTLE_TIMEOUT_US  (10 * US_PER_S)
#define CLAIM_MARGIN_US	   (50 * US_PER_MS)
#define CLAIM_TIMEOUT_US   (3 * US_PER_S)
#define MAX_RECORD_BYTES   (64u * 1024)

COUNTER_DEFINE(count_claims, "once_claims", "Claims sent to the ledger");
COUNTER_DEFINE(count_resends, "once_resends", "Messages sent again");

enum claim_state {
	CLAIM_PENDING, ///< No verdict yet.
	CLAIM_POLLING, ///< Another attempt holds the key; polls for its result.
	CLAIM_HELD,    ///< Granted; the caller settles it.
	CLAIM_RELEASING,
	CLAIM_RECORDING,
	CLAIM_ENDED, ///< Freed on the next tick.
};

struct once_claim {
	struct once_client *client;
	struct once_claim *next;
	struct once_claim *prev;
	enum claim_state state;
	uint64_t id;
	uint64_t sequence; ///< Of the message that awaits a reply.
	uint64_t body_hash;
	int64_t request_deadline_us;
	int64_t deadline_us;	  ///< Deadline of the current state.
	int64_t send_deadline_us; ///< Time of the next send.
	once_verdict_fn *fn;
	void *arg;
	char *scope;
	uint32_t scope_bytes;
	char *key;
	uint32_t key_bytes;
	msgpack_sbuffer record; ///< Encoded MESSAGE_RECORD.
	bool claim_sent;	///< A claim may have reached the ledger.
};

struct once_client {
	struct loop *loop;
	struct address replicas[ONCE_MAX_REPLICAS];
	uint32_t replica_count;
	uint32_t current_replica; ///< Believed to be the leader.
	struct stream *stream;
	struct once_claim *first;
	struct random random;
	uint64_t next_sequence;
	struct loop_timer timer;
};

static const struct stream_ops stream_ops;

static void
claim_free(struct once_claim *c)
{
	struct once_client *client = c->client;

	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		client->first = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	msgpack_sbuffer_destroy(&c->record);
	free(c->scope);
	free(c->key);
	free(c);
}

static struct once_claim *
claim_find(struct once_client *client, uint64_t sequence)
{
	struct once_claim *c;

	for (c = client->first; c != NULL; c = c->next)
		if (c->sequence == sequence && c->state != CLAIM_ENDED)
			return c;
	return NULL;
}

static struct stream *
get_stream(struct once_client *client)
{
	struct error err;

	if (client->stream != NULL)
		return client->stream;
	client->stream = stream_dial(client->loop,
	    &client->replicas[client->current_replica], &stream_ops, client,
	    &err);
	if (client->stream == NULL)
		client->current_replica =
		    (client->current_replica + 1) % client->replica_count;
	return client->stream;
}

/// Closes the stream and switches to the given leader, or to the next replica.
static void
switch_replica(struct once_client *client, struct bytes leader)
{
	char text[ADDRESS_TEXT_BYTES];
	struct address to;
	uint32_t i;

	if (client->stream != NULL)
		stream_close(client->stream);
	client->stream = NULL;
	client->current_replica =
	    (client->current_replica + 1) % client->replica_count;
	if (leader.size_bytes == 0 ||
	    bytes_copy(leader, text, sizeof(text)) != 0 ||
	    address_parse(text, &to) != 0)
		return;
	for (i = 0; i < client->replica_count &&
	     memcmp(&client->replicas[i].in, &to.in, sizeof(to.in)) != 0;
	     i++)
		;
	// A leader that the settings do not list has replaced another replica.
	if (i == client->replica_count &&
	    client->replica_count < ONCE_MAX_REPLICAS)
		client->replicas[client->replica_count++] = to;
	if (i < client->replica_count)
		client->current_replica = i;
}

static struct bytes
claim_scope(const struct once_claim *c)
{
	struct bytes b = {c->scope, c->scope_bytes};

	return b;
}

static struct bytes
claim_key(const struct once_claim *c)
{
	struct bytes b = {c->key, c->key_bytes};

	return b;
}

static void
send_claim(struct once_claim *c, struct stream *stream)
{
	struct message_claim m = {.claim = c->id,
	    .scope = claim_scope(c),
	    .key = claim_key(c),
	    .body_hash = c->body_hash,
	    .peek = c->state == CLAIM_POLLING,
	    .sequence = c->sequence};

	stream_send(stream, MESSAGE_CLAIM, &m);
	c->claim_sent = true;
	counter_add(&count_claims, 1);
}

static void
send_release(struct once_claim *c, struct stream *stream)
{
	struct message_release m = {.claim = c->id,
	    .scope = claim_scope(c),
	    .key = claim_key(c),
	    .sequence = c->sequence};

	stream_send(stream, MESSAGE_RELEASE, &m);
}

static void
send_record(struct once_claim *c, struct stream *stream)
{
	struct message m;
	struct error err;

	if (message_unpack(&m, c->record.data, c->record.size, &err) != 0)
		return;
	m.u.record.sequence = c->sequence;
	stream_send(stream, MESSAGE_RECORD, &m.u.record);
	message_free(&m);
}

static void
send_claim_message(struct once_claim *c)
{
	struct once_client *client = c->client;
	struct stream *stream = get_stream(client);

	c->send_deadline_us = loop_now_us(client->loop) + RESEND_INTERVAL_US;
	if (stream == NULL)
		return;
	if (c->sequence != 0)
		counter_add(&count_resends, 1);
	c->sequence = ++client->next_sequence;
	switch (c->state) {
	case CLAIM_PENDING:
	case CLAIM_POLLING:
		send_claim(c, stream);
		break;
	case CLAIM_RELEASING:
		send_release(c, stream);
		break;
	case CLAIM_RECORDING:
		send_record(c, stream);
		break;
	case CLAIM_HELD:
	case CLAIM_ENDED:
		break;
	}
}

/// Applies a verdict to a claim and passes it to the caller.
static void
deliver_verdict(struct once_claim *c, enum once_verdict verdict,
    const struct message_response *answer)
{
	once_verdict_fn *fn = c->fn;

	if (verdict == ONCE_GRANTED) {
		c->state = CLAIM_HELD;
		c->send_deadline_us = DEADLINE_NEVER_US;
	} else if (verdict == ONCE_IN_PROGRESS) {
		c->state = CLAIM_POLLING;
		c->deadline_us = c->request_deadline_us;
		c->send_deadline_us =
		    loop_now_us(c->client->loop) + POLL_INTERVAL_US;
	} else {
		c->state = CLAIM_ENDED;
		c->send_deadline_us = 0;
	}
	fn(c->arg, verdict, answer);
}

/// Handles a deadline that passed without a verdict. The ledger may have
/// granted a sent claim. It is released, which is safe since the request did
/// not run.
static void
expire_claim(struct once_claim *c)
{
	once_verdict_fn *fn = c->fn;
	bool polling = c->state == CLAIM_POLLING;

	if (!polling && c->claim_sent) {
		c->state = CLAIM_RELEASING;
		c->deadline_us =
		    loop_now_us(c->client->loop) + SETTLE_TIMEOUT_US;
		c->send_deadline_us = 0;
	} else {
		c->state = CLAIM_ENDED;
	}
	fn(c->arg, polling ? ONCE_UNKNOWN : ONCE_UNAVAILABLE, NULL);
}

static void
advance_claim(struct once_claim *c, int64_t now_us)
{
	if (c->state == CLAIM_ENDED) {
		claim_free(c);
		return;
	}
	if (c->state == CLAIM_HELD)
		return;
	if (now_us >= c->deadline_us) {
		if (c->state == CLAIM_PENDING || c->state == CLAIM_POLLING) {
			expire_claim(c);
			return;
		}
		log_write(LOG_WARN, "once",
		    "The ledger did not confirm a record or release in time; "
		    "the key may stay claimed until it expires.");
		claim_free(c);
		return;
	}
	if (now_us >= c->send_deadline_us)
		send_claim_message(c);
}

static void
on_tick(void *arg)
{
	struct once_client *client = arg;
	int64_t now_us = loop_now_us(client->loop);
	struct once_claim *c = client->first;

	while (c != NULL) {
		struct once_claim *next = c->next;

		advance_claim(c, now_us);
		c = next;
	}
	loop_timer_set(client->loop, &client->timer,
	    now_us + (client->first == NULL ? US_PER_S : TICK_INTERVAL_US));
}

static void
on_claim_answer(
    struct once_client *client, const struct message_claim_answer *m)
{
	struct once_claim *c = claim_find(client, m->sequence);
	struct message_response answer = {0};

	if (c == NULL)
		return;
	if (m->verdict == ONCE_UNAVAILABLE) {
		switch_replica(client, m->leader);
		c->send_deadline_us =
		    loop_now_us(client->loop) + TICK_INTERVAL_US;
		return;
	}
	if (c->state == CLAIM_RELEASING)
		return;
	if (m->verdict == ONCE_IN_PROGRESS && c->state == CLAIM_POLLING) {
		c->send_deadline_us =
		    loop_now_us(client->loop) + POLL_INTERVAL_US;
		return;
	}
	answer.status = m->status;
	answer.headers = m->headers;
	answer.body = m->body;
	deliver_verdict(c, (enum once_verdict)m->verdict, &answer);
}

static void
on_settled(struct once_client *client, const struct message_settled *m)
{
	struct once_claim *c = claim_find(client, m->sequence);

	if (c == NULL)
		return;
	if (!m->ok) {
		switch_replica(client, m->leader);
		c->send_deadline_us =
		    loop_now_us(client->loop) + TICK_INTERVAL_US;
		return;
	}
	c->state = CLAIM_ENDED;
}

static void
on_message(struct stream *stream, struct message *message)
{
	struct once_client *client = stream->owner;

	if (message->type == MESSAGE_CLAIM_ANSWER)
		on_claim_answer(client, &message->u.claim_answer);
	else if (message->type == MESSAGE_SETTLED)
		on_settled(client, &message->u.settled);
}

/// Resends every message that awaits a reply, to another replica.
static void
on_closed(struct stream *stream, const struct error *err)
{
	struct once_client *client = stream->owner;
	struct once_claim *c;

	log_error(LOG_DEBUG, "once",
	    "Lost a ledger replica, trying the next one", err);
	client->stream = NULL;
	client->current_replica =
	    (client->current_replica + 1) % client->replica_count;
	for (c = client->first; c != NULL; c = c->next)
		if (c->send_deadline_us != DEADLINE_NEVER_US)
			c->send_deadline_us =
			    loop_now_us(client->loop) + TICK_INTERVAL_US;
}

static const struct stream_ops stream_ops = {
    .on_message = on_message,
    .on_closed = on_closed,
};

static char *
copy_bytes(struct bytes b)
{
	char *copy = malloc(b.size_bytes + 1);

	assert(copy != NULL);
	memcpy(copy, b.data, b.size_bytes);
	copy[b.size_bytes] = '\0';
	return copy;
}

struct once_claim *
once_client_claim(struct once_client *client,
    const struct message_request *request, int64_t deadline_us,
    once_verdict_fn *fn, void *arg)
{
	struct once_claim *c = calloc(1, sizeof(*c));

	assert(c != NULL);
	c->client = client;
	c->next = client->first;
	if (c->next != NULL)
		c->next->prev = c;
	client->first = c;
	c->id = random_next(&client->random) | 1;
	c->body_hash = message_request_hash(request);
	c->request_deadline_us = deadline_us - CLAIM_MARGIN_US;
	c->deadline_us = loop_now_us(client->loop) + CLAIM_TIMEOUT_US;
	if (c->deadline_us > c->request_deadline_us)
		c->deadline_us = c->request_deadline_us;
	c->fn = fn;
	c->arg = arg;
	c->scope = copy_bytes(request->service);
	c->scope_bytes = request->service.size_bytes;
	c->key = copy_bytes(request->key);
	c->key_bytes = request->key.size_bytes;
	msgpack_sbuffer_init(&c->record);
	send_claim_message(c);
	loop_timer_set(client->loop, &client->timer,
	    loop_now_us(client->loop) + TICK_INTERVAL_US);
	return c;
}

static void
start_settling(struct once_claim *c, enum claim_state state)
{
	c->state = state;
	c->deadline_us = loop_now_us(c->client->loop) + SETTLE_TIMEOUT_US;
	send_claim_message(c);
}

void
once_claim_release(struct once_claim *c)
{
	if (c->state == CLAIM_POLLING || !c->claim_sent)
		c->state = CLAIM_ENDED;
	else
		start_settling(c, CLAIM_RELEASING);
}

void
once_claim_record(struct once_claim *c, const struct message_response *answer)
{
	struct message_record m = {.claim = c->id,
	    .scope = claim_scope(c),
	    .key = claim_key(c),
	    .status = answer->status,
	    .headers = answer->headers,
	    .body = answer->body};

	assert(c->state == CLAIM_HELD);
	if (answer->body.size_bytes > MAX_RECORD_BYTES) {
		once_claim_abandon(c);
		return;
	}
	message_pack(&c->record, MESSAGE_RECORD, &m);
	start_settling(c, CLAIM_RECORDING);
}

void
once_claim_abandon(struct once_claim *c)
{
	c->state = CLAIM_ENDED;
}

struct once_client *
once_client_create(struct loop *loop, const struct address *replicas,
    uint32_t replica_count, uint64_t seed)
{
	struct once_client *client = calloc(1, sizeof(*client));

	assert(client != NULL && replica_count > 0 &&
	    replica_count <= ONCE_MAX_REPLICAS);
	client->loop = loop;
	memcpy(client->replicas, replicas, replica_count * sizeof(*replicas));
	client->replica_count = replica_count;
	client->random.seed = seed;
	client->current_replica = random_below(&client->random, replica_count);
	client->timer.fn = on_tick;
	client->timer.arg = client;
	loop_timer_set(loop, &client->timer, loop_now_us(loop) + US_PER_S);
	return client;
}

void
once_client_destroy(struct once_client *client)
{
	if (client == NULL)
		return;
	loop_timer_clear(client->loop, &client->timer);
	if (client->stream != NULL)
		stream_close(client->stream);
	while (client->first != NULL)
		claim_free(client->first);
	free(client);
}
