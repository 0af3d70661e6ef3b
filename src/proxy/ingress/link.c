// Connections to egresses: dialling, heartbeats, detection of silence.
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/net/net.h"
#include "proxy/ingress/link.h"

#define SCAN_PERIOD_US	   (50 * US_PER_MS)
#define HEARTBEAT_AFTER_US (250 * US_PER_MS)
#define SILENCE_LIMIT_US   (750 * US_PER_MS)

/// Added to the silence limit for each byte sent: a link of 4 Mbit/s, both ways.
#define ROUND_TRIP_PER_BYTE_US 4
#define IDLE_TIMEOUT_US	       (15 * US_PER_S)

COUNTER_DEFINE(count_silent, "link_silent", "Streams dropped for silence");
COUNTER_DEFINE(count_dialled, "link_dialled", "Streams dialled");

struct link {
	struct links *links;
	struct link *next;
	struct link_target target;
	struct stream *stream; ///< NULL while not connected.
	uint32_t request_count;
	int64_t idle_since_us;
	int64_t unanswered_since_us; ///< First send since a receive; 0: none.
	uint64_t sent_at_receive_bytes; ///< Sent before the last receive.
	int64_t heartbeat_us;		///< Last heartbeat sent.
	bool received_any;		///< A message arrived on the stream.
};

struct links {
	struct loop *loop;
	struct bulk_link *bulk; ///< Of this VM; NULL: not known.
	const struct links_ops *ops;
	void *owner;
	struct link *first;
	struct loop_timer scan_timer;
	char name[MEMBER_NAME_BYTES];
	uint64_t incarnation;
	uint64_t next_sequence;
	int64_t leave_deadline_us; ///< End of this process; 0: not known.
};

static const struct stream_ops stream_ops;

const struct link_target *
link_target(const struct link *link)
{
	return &link->target;
}

struct link *
links_get(struct links *links, const struct link_target *target)
{
	struct link *link;

	for (link = links->first; link != NULL; link = link->next)
		if (link->target.incarnation == target->incarnation &&
		    strcmp(link->target.name, target->name) == 0)
			return link;
	link = calloc(1, sizeof(*link));
	assert(link != NULL);
	link->links = links;
	link->target = *target;
	link->next = links->first;
	links->first = link;
	return link;
}

static int
send_leaving(struct link *link)
{
	const struct links *links = link->links;
	struct message_leaving leaving = {
	    links->leave_deadline_us - loop_now_us(links->loop)};

	return stream_send(link->stream, MESSAGE_LEAVING, &leaving);
}

void
links_leave(struct links *links, int64_t deadline_us)
{
	struct link *link;

	links->leave_deadline_us = deadline_us;
	for (link = links->first; link != NULL; link = link->next)
		if (link->stream != NULL)
			send_leaving(link);
}

static int
dial(struct link *link)
{
	struct links *links = link->links;
	struct message_hello hello = {.incarnation = links->incarnation};
	struct address to;
	struct error err;

	if (address_make(link->target.host, link->target.port, &to) != 0)
		return -1;
	link->stream = stream_dial(links->loop, &to, &stream_ops, link, &err);
	if (link->stream == NULL) {
		log_error(
		    LOG_INFO, "link", "Cannot connect to an egress", &err);
		return -1;
	}
	bulk_link_attach(links->bulk, link->stream);
	counter_add(&count_dialled, 1);
	hello.name = bytes_from_string(links->name);
	hello.sequence = ++links->next_sequence;
	if (stream_send(link->stream, MESSAGE_HELLO, &hello) != 0)
		return -1;
	return links->leave_deadline_us == 0 ? 0 : send_leaving(link);
}

int
link_send(struct link *link, enum message_type type, const void *value)
{
	if (link->stream == NULL && dial(link) != 0)
		return -1;
	if (link->unanswered_since_us == 0)
		link->unanswered_since_us = loop_now_us(link->links->loop);
	return stream_send(link->stream, type, value);
}

void
link_hold(struct link *link)
{
	link->request_count++;
}

void
link_release(struct link *link)
{
	assert(link->request_count > 0);
	link->request_count--;
	if (link->request_count > 0)
		return;
	link->idle_since_us = loop_now_us(link->links->loop);
	link->unanswered_since_us = 0;
}

static void
on_message(struct stream *stream, struct message *message)
{
	struct link *link = stream->owner;
	const struct links_ops *ops = link->links->ops;
	void *owner = link->links->owner;

	if (!link->received_any) {
		struct log_line line;

		link->received_any = true;
		log_begin(&line, LOG_INFO, "link", "Connected to an egress.");
		log_text(&line, "to", link->target.name);
		log_end(&line);
	}
	link->unanswered_since_us = 0;
	link->sent_at_receive_bytes = stream->sent_bytes;
	switch (message->type) {
	case MESSAGE_RESPONSE:
		ops->on_response(owner, link, &message->u.response);
		break;
	case MESSAGE_BODY:
		ops->on_body(owner, link, &message->u.body);
		break;
	case MESSAGE_WINDOW:
		ops->on_window(owner, link, &message->u.window);
		break;
	case MESSAGE_FENCE_ANSWER:
		ops->on_fence_answer(owner, link, &message->u.fence_answer);
		break;
	case MESSAGE_HEARTBEAT:
		ops->on_load(owner, link, &message->u.heartbeat);
		break;
	default:
		log_write(LOG_WARN, "link",
		    "Ignored a message of unexpected type %d from %s.",
		    message->type, link->target.name);
		break;
	}
}

static void
forget_stream(struct link *link)
{
	bool opened = !link->stream->connecting;

	link->stream = NULL;
	link->unanswered_since_us = 0;
	link->sent_at_receive_bytes = 0;
	link->heartbeat_us = 0;
	link->received_any = false;
	link->links->ops->on_stream_lost(link->links->owner, link, opened);
}

static void
log_stream_closed(const struct link *link, const struct error *err)
{
	struct log_line line;

	log_begin(&line, LOG_INFO, "link",
	    link->stream->connecting ? "Could not connect to an egress."
				     : "Lost the connection to an egress.");
	log_text(&line, "to", link->target.name);
	log_text(&line, "step", err->step);
	log_text(&line, "why", err->text);
	log_number(&line, "requests", link->request_count);
	log_end(&line);
}

static void
on_closed(struct stream *stream, const struct error *err)
{
	struct link *link = stream->owner;

	log_stream_closed(link, err);
	forget_stream(link);
}

static const struct stream_ops stream_ops = {
    .on_message = on_message,
    .on_closed = on_closed,
};

static void
log_silent_stream(const struct link *link, int64_t now_us)
{
	struct log_line line;

	log_begin(&line, LOG_WARN, "link",
	    "Closed the connection to an egress that sent nothing.");
	log_text(&line, "to", link->target.name);
	log_ms(&line, "silent_ms", now_us - link->unanswered_since_us);
	log_number(&line, "requests", link->request_count);
	log_end(&line);
}

/// Sends a heartbeat on a quiet stream, and closes a stream on which nothing
/// has arrived within the limit.
static void
check_silence(struct link *link, int64_t now_us)
{
	struct message_heartbeat beat = {0};
	struct stream *stream = link->stream;
	int64_t quiet_us = now_us - stream->last_received_us;

	int64_t limit_us = SILENCE_LIMIT_US +
	    ROUND_TRIP_PER_BYTE_US *
		(int64_t)(stream->sent_bytes - link->sent_at_receive_bytes);

	if (link->unanswered_since_us != 0 &&
	    now_us - link->unanswered_since_us > limit_us) {
		log_silent_stream(link, now_us);
		counter_add(&count_silent, 1);
		stream_close(stream);
		forget_stream(link);
		return;
	}
	if (quiet_us < HEARTBEAT_AFTER_US ||
	    now_us - link->heartbeat_us < HEARTBEAT_AFTER_US)
		return;
	link->heartbeat_us = now_us;
	link_send(link, MESSAGE_HEARTBEAT, &beat);
}

static void
scan(void *arg)
{
	struct links *links = arg;
	int64_t now_us = loop_now_us(links->loop);
	struct link **at = &links->first;

	while (*at != NULL) {
		struct link *link = *at;

		if (link->request_count > 0) {
			if (link->stream != NULL)
				check_silence(link, now_us);
		} else if (now_us - link->idle_since_us > IDLE_TIMEOUT_US) {
			if (link->stream != NULL)
				stream_close(link->stream);
			*at = link->next;
			free(link);
			continue;
		}
		at = &link->next;
	}
	loop_timer_set(
	    links->loop, &links->scan_timer, now_us + SCAN_PERIOD_US);
}

struct links *
links_create(struct loop *loop, struct bulk_link *bulk,
    const struct links_ops *ops, void *owner, const char *name,
    uint64_t incarnation)
{
	struct links *links = calloc(1, sizeof(*links));

	assert(links != NULL);
	links->loop = loop;
	links->bulk = bulk;
	links->ops = ops;
	links->owner = owner;
	links->incarnation = incarnation;
	snprintf(links->name, sizeof(links->name), "%s", name);
	links->scan_timer.fn = scan;
	links->scan_timer.arg = links;
	loop_timer_set(
	    loop, &links->scan_timer, loop_now_us(loop) + SCAN_PERIOD_US);
	return links;
}

void
links_set_incarnation(struct links *links, uint64_t incarnation)
{
	links->incarnation = incarnation;
}

void
links_destroy(struct links *links)
{
	if (links == NULL)
		return;
	loop_timer_clear(links->loop, &links->scan_timer);
	while (links->first != NULL) {
		struct link *link = links->first;

		links->first = link->next;
		if (link->stream != NULL)
			stream_close(link->stream);
		free(link);
	}
	free(links);
}
