// Table of the connections to other replicas: dialling, silence, reuse.
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/replica/replica_streams.h"

#define REDIAL_INTERVAL_US (200 * US_PER_MS)

/// Time without an acknowledgement until a stream is closed. Acknowledgements
/// take one round trip. A replica that is blocked on its disk sends none, but
/// one blocked for this long does not contribute to a quorum either.
#define ACK_TIMEOUT_US (500 * US_PER_MS)

COUNTER_DEFINE(count_silent, "replica_silent", "Streams dropped for silence");
COUNTER_DEFINE(count_reused, "replica_streams_reused",
    "Streams closed in favour of another replica");
GAUGE_DEFINE(gauge_used, "replica_streams_used",
    "Entries of the table of streams to replicas in use, of 25");
_Static_assert(REPLICA_STREAM_COUNT == 25, "the help of the gauge names it");

static void
on_message(struct stream *stream, struct message *message)
{
	struct replica_stream *rs = stream->owner;

	rs->unacked_since_us = 0;
	if (message->type != MESSAGE_HEARTBEAT)
		rs->streams->receive(rs->streams->owner, stream, message);
}

static void
on_closed(struct stream *stream, const struct error *err)
{
	struct replica_stream *rs = stream->owner;

	log_error(
	    LOG_DEBUG, "replica", "Lost the connection to a replica", err);
	rs->stream = NULL;
	rs->redial_deadline_us =
	    loop_now_us(rs->streams->loop) + REDIAL_INTERVAL_US;
}

static const struct stream_ops stream_ops = {
    .on_message = on_message,
    .on_closed = on_closed,
};

void
replica_streams_init(struct replica_streams *streams, struct loop *loop,
    void *owner,
    void (*receive)(
	void *owner, struct stream *stream, const struct message *message))
{
	uint32_t i;

	memset(streams, 0, sizeof(*streams));
	streams->loop = loop;
	streams->owner = owner;
	streams->receive = receive;
	for (i = 0; i < REPLICA_STREAM_COUNT; i++)
		streams->items[i].streams = streams;
}

static void
close_stream(struct replica_stream *rs)
{
	if (rs->stream != NULL)
		stream_close(rs->stream);
	rs->stream = NULL;
	rs->unacked_since_us = 0;
}

void
replica_streams_close(struct replica_streams *streams)
{
	uint32_t i;

	for (i = 0; i < REPLICA_STREAM_COUNT; i++)
		close_stream(&streams->items[i]);
}

/// Counts an unused entry as used from now on.
static void
note_used(struct replica_streams *streams)
{
	counter_set(&gauge_used, ++streams->used_count);
	if (streams->used_count == REPLICA_STREAM_COUNT)
		log_write(LOG_INFO, "replica",
		    "The last free entry for a stream to a replica is taken; "
		    "from now on the one used least recently makes room.");
}

/// Frees an entry for another replica.
static void
release(struct replica_stream *rs)
{
	struct log_line line;

	log_begin(&line, LOG_INFO, "replica",
	    "Dropped the stream of a replica that is no longer used.");
	log_number(&line, "to", (int64_t)rs->id);
	log_end(&line);
	counter_add(&count_reused, 1);
	close_stream(rs);
}

/// Returns the entry of a replica, else an unused one, else the one used least
/// recently: the leader uses those of all members with each heartbeat.
static struct replica_stream *
find_entry(struct replica_streams *streams, uint64_t id)
{
	struct replica_stream *oldest = &streams->items[0];
	uint32_t i;

	for (i = 0; i < REPLICA_STREAM_COUNT; i++) {
		struct replica_stream *rs = &streams->items[i];

		if (rs->id == id)
			return rs;
		if (rs->last_use < oldest->last_use)
			oldest = rs;
	}
	if (oldest->id == 0)
		note_used(streams);
	else
		release(oldest);
	oldest->id = id;
	oldest->redial_deadline_us = 0;
	return oldest;
}

/// Closes a stream that stopped delivering acknowledgements. A middlebox may
/// have lost the state of the connection, while a new one works.
static void
close_if_unresponsive(struct replica_stream *rs, int64_t now_us)
{
	struct log_line line;

	if (rs->stream == NULL || rs->unacked_since_us == 0 ||
	    now_us - rs->unacked_since_us <= ACK_TIMEOUT_US)
		return;
	log_begin(&line, LOG_WARN, "replica", "Closed an unresponsive stream.");
	log_number(&line, "to", (int64_t)rs->id);
	log_ms(&line, "silent_ms", now_us - rs->unacked_since_us);
	log_end(&line);
	counter_add(&count_silent, 1);
	close_stream(rs);
}

static void
dial(struct replica_stream *rs, const char *address, int64_t now_us)
{
	struct address to;
	struct error err;

	if (now_us < rs->redial_deadline_us || address_parse(address, &to) != 0)
		return;
	rs->stream = stream_dial(rs->streams->loop, &to, &stream_ops, rs, &err);
	rs->unacked_since_us = 0;
	rs->redial_deadline_us = now_us + REDIAL_INTERVAL_US;
}

struct stream *
replica_streams_get(
    struct replica_streams *streams, const struct replica_peer *peer)
{
	int64_t now_us = loop_now_us(streams->loop);
	struct replica_stream *rs = find_entry(streams, peer->id);

	rs->last_use = ++streams->use_count;
	close_if_unresponsive(rs, now_us);
	if (rs->stream == NULL)
		dial(rs, peer->address, now_us);
	if (rs->stream != NULL && rs->unacked_since_us == 0)
		rs->unacked_since_us = now_us;
	return rs->stream;
}

void
replica_streams_note_response(struct replica_streams *streams, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < REPLICA_STREAM_COUNT; i++)
		if (streams->items[i].id == id)
			streams->items[i].unacked_since_us = 0;
}
