// Bodies that leave this VM over streams, paced to its link.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/held.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/net/bulk.h"

/// How often bodies are looked for that cannot arrive in time.
#define SWEEP_INTERVAL_US (50 * US_PER_MS)

/// Less than this is not moved within the buffer of a body.
#define MIN_MOVED_BYTES (32u * 1024)

COUNTER_DEFINE(count_pieces, "bulk_pieces", "Pieces of bodies sent");
COUNTER_DEFINE(count_late, "bulk_bodies_late",
    "Bodies ended since their deadline had passed");
COUNTER_DEFINE(
    count_dropped, "bulk_bodies_dropped", "Bodies ended since nobody waits");
GAUGE_DEFINE(gauge_queued, "bulk_queued_bytes",
    "Bytes of bodies that wait for the link");

struct bulk_body {
	struct link_flow flow; ///< Must be first.
	struct bulk_link *link;
	struct stream *stream;
	uint64_t id;
	void (*on_late)(void *arg, uint64_t id); ///< May be NULL.
	void *arg;
	char *data; ///< Parts that were queued, sent ones at the front.
	size_t sent_bytes;
	size_t used_bytes;
	size_t capacity_bytes;
	size_t held_bytes; ///< Counted in held_bytes.
	int64_t opened_us;
	uint64_t total_bytes; ///< Sent so far.
	bool last_queued;
	uint32_t failed; ///< enum body_failure.
};

struct bulk_link {
	struct stream_pacer pacer; ///< Must be first.
	struct loop *loop;
	struct link_schedule schedule;
	struct loop_timer timer;
	int64_t sweep_deadline_us; ///< Next search for late bodies.
	bool pump_deferred;
};

static void
body_free(struct bulk_body *body)
{
	link_schedule_remove(&body->link->schedule, &body->flow);
	counter_set(&gauge_queued, body->link->schedule.queued_bytes);
	held_update(HELD_STREAM_OUT, &body->held_bytes, 0);
	free(body->data);
	free(body);
}

/// Drops what was sent from the front of the buffer of a body, once it is as
/// much as what is left.
static void
drop_sent_bytes(struct bulk_body *body)
{
	size_t left_bytes = body->used_bytes - body->sent_bytes;

	if (left_bytes == 0) {
		body->sent_bytes = body->used_bytes = 0;
		return;
	}
	if (body->sent_bytes < MIN_MOVED_BYTES || body->sent_bytes < left_bytes)
		return;
	memmove(body->data, body->data + body->sent_bytes, left_bytes);
	body->sent_bytes = 0;
	body->used_bytes = left_bytes;
}

/// Time left until a deadline; 0 if there is none.
static int64_t
left_us(const struct bulk_body *body, int64_t deadline_us)
{
	return deadline_us == 0 ? 0
				: deadline_us - loop_now_us(body->link->loop);
}

static void
log_sent(const struct bulk_body *body)
{
	const struct link_schedule *s = &body->link->schedule;
	struct log_line line;

	log_begin(&line, LOG_INFO, "bulk", "Sent a body in pieces.");
	log_text(&line, "to", body->stream->peer);
	log_number(&line, "bytes", (int64_t)body->total_bytes);
	log_ms(
	    &line, "took_ms", loop_now_us(body->link->loop) - body->opened_us);
	log_ms(&line, "target_left_ms",
	    left_us(body, body->flow.target_deadline_us));
	log_ms(&line, "left_ms", left_us(body, body->flow.deadline_us));
	log_number(&line, "queued_bytes", s->queued_bytes);
	log_number(&line, "expected_bytes", s->expected_bytes);
	log_end(&line);
}

/// Sends one piece, and frees the body after the last one.
static void
send_piece(struct bulk_body *body)
{
	struct message_body piece = {.id = body->id};
	int64_t max_bytes = link_schedule_piece_bytes(&body->link->schedule);
	int64_t size_bytes = body->flow.queued_bytes;

	if (size_bytes > max_bytes)
		size_bytes = max_bytes;
	piece.data.data = body->data + body->sent_bytes;
	piece.data.size_bytes = (uint32_t)size_bytes;
	link_schedule_take(&body->link->schedule, &body->flow, size_bytes);
	body->sent_bytes += (size_t)size_bytes;
	body->total_bytes += (uint64_t)size_bytes;
	piece.last = body->last_queued && body->flow.queued_bytes == 0;
	piece.failed = piece.last ? body->failed : BODY_WHOLE;
	counter_add(&count_pieces, 1);
	stream_send(body->stream, MESSAGE_BODY, &piece);
	if (piece.last) {
		log_sent(body);
		body_free(body);
		return;
	}
	drop_sent_bytes(body);
	counter_set(&gauge_queued, body->link->schedule.queued_bytes);
}

/// Logs a body that is not sent whole.
static void
log_cut(const struct bulk_body *body, const char *text)
{
	struct log_line line;

	log_begin(&line, LOG_INFO, "bulk", text);
	log_text(&line, "to", body->stream->peer);
	log_number(&line, "bytes", (int64_t)body->total_bytes);
	log_number(&line, "left_bytes", body->flow.left_bytes);
	log_ms(
	    &line, "took_ms", loop_now_us(body->link->loop) - body->opened_us);
	log_ms(&line, "left_ms", left_us(body, body->flow.deadline_us));
	log_number(&line, "queued_bytes", body->link->schedule.queued_bytes);
	log_end(&line);
}

static void
end_late_body(struct bulk_body *body)
{
	struct message_body end = {
	    .id = body->id, .last = 1, .failed = BODY_LATE};
	void (*on_late)(void *arg, uint64_t id) = body->on_late;
	void *arg = body->arg;

	counter_add(&count_late, 1);
	log_cut(body, "Ended a body whose deadline has passed.");
	stream_send(body->stream, MESSAGE_BODY, &end);
	body_free(body);
	if (on_late != NULL)
		on_late(arg, end.id);
}

static void
end_late_bodies(struct bulk_link *link, int64_t now_us)
{
	struct link_flow *flow;

	if (now_us < link->sweep_deadline_us)
		return;
	link->sweep_deadline_us = now_us + SWEEP_INTERVAL_US;
	while (
	    (flow = link_schedule_find_late(&link->schedule, now_us)) != NULL)
		end_late_body((struct bulk_body *)flow);
}

/// Sends pieces as long as the link and the streams take them.
static void
pump(struct bulk_link *link)
{
	int64_t now_us = loop_now_us(link->loop);
	int64_t wait_us;
	struct link_flow *flow;

	// Here, since a busy link moves the timer on at each turn.
	end_late_bodies(link, now_us);
	for (flow = link->schedule.first; flow != NULL; flow = flow->next)
		flow->blocked =
		    !stream_is_idle(((struct bulk_body *)flow)->stream);
	while ((flow = link_schedule_next(&link->schedule, now_us)) != NULL) {
		struct bulk_body *body = (struct bulk_body *)flow;
		struct stream *stream = body->stream;

		send_piece(body);
		for (flow = link->schedule.first; flow != NULL;
		     flow = flow->next)
			if (((struct bulk_body *)flow)->stream == stream)
				flow->blocked = true;
	}
	if (link->schedule.first == NULL)
		return;
	wait_us = link_schedule_wait_us(&link->schedule, now_us);
	if (wait_us == 0 || wait_us > SWEEP_INTERVAL_US)
		wait_us = SWEEP_INTERVAL_US;
	loop_timer_set(link->loop, &link->timer, now_us + wait_us);
}

static void
pump_deferred(void *arg)
{
	struct bulk_link *link = arg;

	link->pump_deferred = false;
	pump(link);
}

static void
wake(struct bulk_link *link)
{
	if (link->pump_deferred || link->schedule.first == NULL)
		return;
	link->pump_deferred = true;
	loop_defer(link->loop, pump_deferred, link);
}

static void
on_timer(void *arg)
{
	pump(arg);
}

static void
on_sent(struct stream_pacer *pacer, size_t size_bytes)
{
	struct bulk_link *link = (struct bulk_link *)pacer;

	link_schedule_charge(
	    &link->schedule, (int64_t)size_bytes, loop_now_us(link->loop));
}

static void
on_idle(struct stream_pacer *pacer)
{
	wake((struct bulk_link *)pacer);
}

static void
on_closed(struct stream_pacer *pacer, const struct stream *stream)
{
	struct bulk_link *link = (struct bulk_link *)pacer;
	struct link_flow *flow = link->schedule.first;

	while (flow != NULL) {
		struct bulk_body *body = (struct bulk_body *)flow;

		flow = flow->next;
		if (body->stream != stream)
			continue;
		log_cut(body, "Dropped a body whose stream was closed.");
		body_free(body);
	}
}

static const struct stream_pacer_ops pacer_ops = {
    .on_sent = on_sent,
    .on_idle = on_idle,
    .on_closed = on_closed,
};

struct bulk_link *
bulk_link_create(struct loop *loop, double link_mbps, int64_t stop_time_us)
{
	struct bulk_link *link;

	if (link_mbps <= 0)
		return NULL;
	link = calloc(1, sizeof(*link));
	assert(link != NULL);
	link->pacer.ops = &pacer_ops;
	link->loop = loop;
	link_schedule_init(&link->schedule, link_mbps);
	link->schedule.stop_time_us = stop_time_us;
	link->timer.fn = on_timer;
	link->timer.arg = link;
	return link;
}

void
bulk_link_destroy(struct bulk_link *link)
{
	if (link == NULL)
		return;
	loop_timer_clear(link->loop, &link->timer);
	while (link->schedule.first != NULL)
		body_free((struct bulk_body *)link->schedule.first);
	loop_cancel_deferred(link->loop, link);
	free(link);
}

void
bulk_link_attach(struct bulk_link *link, struct stream *stream)
{
	if (link != NULL)
		stream->pacer = &link->pacer;
}

void
bulk_link_set_end(struct bulk_link *link, int64_t end_us)
{
	if (link != NULL)
		link->schedule.end_us = end_us;
}

void
bulk_link_set_receiver_end(
    struct bulk_link *link, const struct stream *stream, int64_t end_us)
{
	struct link_flow *flow;

	if (link == NULL)
		return;
	for (flow = link->schedule.first; flow != NULL; flow = flow->next)
		if (((struct bulk_body *)flow)->stream == stream)
			flow->receiver_end_us = end_us;
}

struct bulk_body *
bulk_body_open(struct bulk_link *link, struct stream *stream, uint64_t id,
    const struct bulk_terms *terms)
{
	struct bulk_body *body = calloc(1, sizeof(*body));

	assert(body != NULL);
	body->link = link;
	body->stream = stream;
	body->id = id;
	body->opened_us = loop_now_us(link->loop);
	body->on_late = terms->on_late;
	body->arg = terms->arg;
	body->flow.worth = terms->worth;
	body->flow.begun = terms->begun;
	body->flow.target_deadline_us = terms->target_deadline_us;
	body->flow.deadline_us = terms->deadline_us;
	body->flow.receiver_end_us = terms->receiver_end_us;
	if (terms->total_bytes > 0)
		body->flow.left_bytes = terms->total_bytes;
	link_schedule_add(&link->schedule, &body->flow);
	return body;
}

struct bulk_body *
bulk_body_find(
    const struct bulk_link *link, const struct stream *stream, uint64_t id)
{
	struct link_flow *flow;

	for (flow = link->schedule.first; flow != NULL; flow = flow->next) {
		struct bulk_body *body = (struct bulk_body *)flow;

		if (body->stream == stream && body->id == id)
			return body;
	}
	return NULL;
}

static void
append(struct bulk_body *body, const struct bytes *data)
{
	size_t needed_bytes = body->used_bytes + data->size_bytes;

	if (needed_bytes > body->capacity_bytes) {
		body->capacity_bytes = needed_bytes;
		body->data = realloc(body->data, needed_bytes);
		assert(body->data != NULL);
		held_update(HELD_STREAM_OUT, &body->held_bytes, needed_bytes);
	}
	memcpy(body->data + body->used_bytes, data->data, data->size_bytes);
	body->used_bytes = needed_bytes;
	link_schedule_queue(
	    &body->link->schedule, &body->flow, data->size_bytes);
	counter_set(&gauge_queued, body->link->schedule.queued_bytes);
}

void
bulk_body_send(struct bulk_body *body, const struct message_body *part)
{
	struct bulk_link *link = body->link;
	struct message_body end = {.id = body->id, .last = 1};

	if (part->data.size_bytes > 0)
		append(body, &part->data);
	body->last_queued = part->last != 0;
	body->failed = part->failed;
	if (part->last && body->flow.queued_bytes == 0) {
		end.failed = part->failed;
		stream_send(body->stream, MESSAGE_BODY, &end);
		body_free(body);
		return;
	}
	wake(link);
}

void
bulk_body_drop(struct bulk_body *body)
{
	struct message_body end = {
	    .id = body->id, .last = 1, .failed = BODY_UNWANTED};

	counter_add(&count_dropped, 1);
	stream_send(body->stream, MESSAGE_BODY, &end);
	body_free(body);
}

struct link_schedule *
bulk_link_schedule(struct bulk_link *link)
{
	return link == NULL ? NULL : &link->schedule;
}

uint32_t
bulk_link_count_bodies(const struct bulk_link *link)
{
	const struct link_flow *flow;
	uint32_t count = 0;

	if (link == NULL)
		return 0;
	for (flow = link->schedule.first; flow != NULL; flow = flow->next)
		count++;
	return count;
}
