// Streams from ingresses: requests, bodies, fences and heartbeats.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/log.h"
#include "proxy/egress/egress_peer.h"

#define SILENCE_TIMEOUT_US (3 * US_PER_S)
#define IDLE_TIMEOUT_US	   (60 * US_PER_S)
#define SCAN_INTERVAL_US   (500 * US_PER_MS)

/// An ingress whose last request is older chooses by its next responses.
#define RECENT_REQUEST_US (1 * US_PER_S)

/// A stream from an ingress.
struct egress_conn {
	struct egress_sink sink;
	struct egress_server *server;
	struct stream *stream;
	struct egress_conn *next;
	struct egress_conn *prev;
	uint64_t sequence;
	uint32_t active;      ///< Requests in progress.
	int64_t requested_us; ///< Time of the last request.
	bool hello_received;
};

struct egress_server {
	struct loop *loop;
	struct egress *egress;
	struct bulk_link *link; ///< NULL: nothing is paced.
	struct listener listener;
	struct egress_conn *first;
	struct loop_timer scan_timer;
	uint64_t incarnation;
};

static struct egress_conn *
conn_from_sink(struct egress_sink *sink)
{
	return (struct egress_conn *)sink;
}

/// Closes a stream and detaches it from its requests.
static void
conn_close(struct egress_conn *conn)
{
	struct egress_server *server = conn->server;

	egress_detach_sink(server->egress, &conn->sink);
	stream_close(conn->stream);
	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		server->first = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	free(conn);
}

/// Stops the call whose answer cannot arrive in time, if it goes on.
static void
on_late(void *arg, uint64_t id)
{
	struct egress_conn *conn = arg;
	struct egress_request *r =
	    egress_find_request(conn->server->egress, &conn->sink, id);

	if (r != NULL)
		egress_request_cancel(r, false);
}

/// Begins to send the body of an answer in pieces.
static struct bulk_body *
open_body(struct egress_conn *conn, uint64_t id, int64_t total_bytes)
{
	struct egress *egress = conn->server->egress;
	struct bulk_terms terms = {
	    .total_bytes = total_bytes, .on_late = on_late, .arg = conn};

	egress_get_terms(
	    egress, egress_find_request(egress, &conn->sink, id), &terms);
	return bulk_body_open(conn->server->link, conn->stream, id, &terms);
}

/// Whether the body of an answer is to be sent in pieces. The ingress may retry
/// after a failed one, which it must get whole.
static bool
is_bulk(const struct egress_conn *conn, const struct message_response *response)
{
	return conn->server->link != NULL &&
	    response->outcome == OUTCOME_ANSWERED && response->status < 500 &&
	    response->body.size_bytes > BULK_MIN_BYTES;
}

/// Sends the head of an answer at once, and its body in pieces.
static void
send_in_pieces(struct egress_conn *conn, uint64_t id,
    const struct message_response *response)
{
	struct message_response head = *response;
	struct message_body part = {
	    .id = id, .last = response->more == 0, .data = response->body};

	head.more = 1;
	if (!response->more)
		head.total_bytes = response->body.size_bytes;
	memset(&head.body, 0, sizeof(head.body));
	stream_send(conn->stream, MESSAGE_RESPONSE, &head);
	bulk_body_send(open_body(conn, id, head.total_bytes), &part);
}

static void
sink_respond(struct egress_sink *sink, uint64_t id,
    const struct message_response *response)
{
	struct egress_conn *conn = conn_from_sink(sink);

	if (!response->more && conn->active > 0)
		conn->active--;
	if (is_bulk(conn, response))
		send_in_pieces(conn, id, response);
	else
		stream_send(conn->stream, MESSAGE_RESPONSE, response);
}

static void
sink_body(
    struct egress_sink *sink, uint64_t id, const struct message_body *part)
{
	struct egress_conn *conn = conn_from_sink(sink);
	struct bulk_link *link = conn->server->link;
	struct bulk_body *body;

	if (part->last && conn->active > 0)
		conn->active--;
	if (link == NULL) {
		stream_send(conn->stream, MESSAGE_BODY, part);
		return;
	}
	body = bulk_body_find(link, conn->stream, id);
	if (body == NULL)
		body = open_body(conn, id, -1);
	bulk_body_send(body, part);
}

/// Drops the rest of an answer that nobody waits for.
static void
drop_answer(struct egress_conn *conn, uint64_t id)
{
	struct bulk_link *link = conn->server->link;
	struct bulk_body *body;

	if (link == NULL)
		return;
	body = bulk_body_find(link, conn->stream, id);
	if (body != NULL)
		bulk_body_drop(body);
}

static void
sink_window(struct egress_sink *sink, uint64_t id, uint32_t credit_bytes)
{
	struct message_window window = {id, credit_bytes};

	stream_send(conn_from_sink(sink)->stream, MESSAGE_WINDOW, &window);
}

static const struct egress_sink_ops sink_ops = {
    .respond = sink_respond,
    .body = sink_body,
    .window = sink_window,
};

static void
on_hello(struct egress_conn *conn, const struct message_hello *hello)
{
	struct egress_server *server = conn->server;

	if (bytes_copy(hello->name, conn->sink.origin,
		sizeof(conn->sink.origin)) != 0 ||
	    !fence_admit_stream(egress_get_fence(server->egress),
		conn->sink.origin, hello->incarnation, hello->sequence)) {
		log_write(LOG_INFO, "egress",
		    "Refused a stream of %s: a newer stream or process fenced "
		    "it.",
		    conn->sink.origin);
		conn_close(conn);
		return;
	}
	conn->sink.origin_incarnation = hello->incarnation;
	conn->sequence = hello->sequence;
	conn->hello_received = true;
}

/// Refuses a request that was sent to an earlier incarnation of this egress.
static void
refuse_stale_incarnation(
    struct egress_conn *conn, const struct message_request *m)
{
	struct message_response response = {.id = m->id,
	    .status = 503,
	    .outcome =
		m->key.size_bytes > 0 ? OUTCOME_REFUSED : OUTCOME_NOT_RUN};

	response.body = bytes_from_string("this egress was restarted");
	sink_respond(&conn->sink, m->id, &response);
}

static void
on_request(struct egress_conn *conn, const struct message_request *request)
{
	conn->active++;
	conn->requested_us = loop_now_us(conn->server->loop);
	if (request->egress_incarnation != conn->server->incarnation)
		refuse_stale_incarnation(conn, request);
	else
		egress_submit(conn->server->egress, &conn->sink, request);
}

/// Closes older streams from the origin of a fence query.
static void
close_older_streams(const struct egress_conn *requester)
{
	struct egress_conn *conn = requester->server->first;

	while (conn != NULL) {
		struct egress_conn *next = conn->next;

		if (conn != requester && conn->sequence < requester->sequence &&
		    strcmp(conn->sink.origin, requester->sink.origin) == 0)
			conn_close(conn);
		conn = next;
	}
}

static void
on_fence(struct egress_conn *conn, const struct message_fence *m)
{
	struct egress_server *server = conn->server;
	struct message_fence_answer answer = {m->id, OUTCOME_UNKNOWN};

	close_older_streams(conn);
	if (m->egress_incarnation == server->incarnation)
		answer.outcome = fence_query(egress_get_fence(server->egress),
		    conn->sink.origin, conn->sink.origin_incarnation,
		    conn->sequence, m->id, m->age_us,
		    loop_now_us(server->loop));
	log_write(LOG_INFO, "fence",
	    "Fence query for request %" PRIx64 " of %s: %s.", m->id,
	    conn->sink.origin, outcome_name(answer.outcome));
	stream_send(conn->stream, MESSAGE_FENCE_ANSWER, &answer);
}

/// Reports the load to an ingress.
static void
send_load(struct egress_conn *conn)
{
	struct message_heartbeat answer = {.answer = 1};
	uint32_t load_pct;

	egress_get_limit(
	    conn->server->egress, &answer.limit_milli, &answer.limit_wait_us);

	egress_get_load(
	    conn->server->egress, &answer.queued, &answer.running, &load_pct);
	answer.service_us = egress_get_service_us(conn->server->egress);
	answer.work_left_us = egress_get_work_left_us(conn->server->egress);
	stream_send(conn->stream, MESSAGE_HEARTBEAT, &answer);
}

/// The ingress leaves: its answers go first, since those that it lacks when it ends
/// are cut.
static void
on_leaving(struct egress_conn *conn, int64_t left_us)
{
	struct egress_server *server = conn->server;
	int64_t end_us = loop_now_us(server->loop) + left_us;

	bulk_link_set_receiver_end(server->link, conn->stream, end_us);
	egress_set_sink_end(server->egress, &conn->sink, end_us);
}

static void
on_heartbeat(struct egress_conn *conn, const struct message_heartbeat *m)
{
	if (m->answer)
		return;
	if (m->work_left_us > 0)
		on_leaving(conn, m->work_left_us);
	send_load(conn);
}

/// Reports the load to the ingresses that send requests at present.
static void
on_pace_changed(void *arg)
{
	struct egress_server *server = arg;
	int64_t now_us = loop_now_us(server->loop);
	struct egress_conn *conn;

	for (conn = server->first; conn != NULL; conn = conn->next)
		if (conn->hello_received &&
		    now_us - conn->requested_us < RECENT_REQUEST_US)
			send_load(conn);
}

static void
on_message(struct stream *stream, struct message *message)
{
	struct egress_conn *conn = stream->owner;
	struct egress *egress = conn->server->egress;
	struct egress_request *r;

	if (message->type == MESSAGE_HELLO && !conn->hello_received) {
		on_hello(conn, &message->u.hello);
		return;
	}
	if (!conn->hello_received) {
		conn_close(conn);
		return;
	}
	switch (message->type) {
	case MESSAGE_REQUEST:
		on_request(conn, &message->u.request);
		break;
	case MESSAGE_BODY:
		r = egress_find_request(
		    egress, &conn->sink, message->u.body.id);
		if (r != NULL)
			egress_request_receive_body(r, &message->u.body);
		break;
	case MESSAGE_WINDOW:
		r = egress_find_request(
		    egress, &conn->sink, message->u.window.id);
		if (r != NULL)
			egress_request_add_credit(
			    r, message->u.window.credit_bytes);
		break;
	case MESSAGE_CANCEL:
		r = egress_find_request(
		    egress, &conn->sink, message->u.cancel.id);
		if (r != NULL)
			egress_request_cancel(
			    r, message->u.cancel.queued_only != 0);
		else if (!message->u.cancel.queued_only)
			drop_answer(conn, message->u.cancel.id);
		break;
	case MESSAGE_FENCE:
		on_fence(conn, &message->u.fence);
		break;
	case MESSAGE_HEARTBEAT:
		on_heartbeat(conn, &message->u.heartbeat);
		break;
	default:
		conn_close(conn);
		break;
	}
}

static void
on_closed(struct stream *stream, const struct error *err)
{
	log_error(LOG_DEBUG, "egress", "Stream from an ingress closed", err);
	conn_close(stream->owner);
}

static const struct stream_ops stream_ops = {
    .on_message = on_message,
    .on_closed = on_closed,
};

static void
on_accept(void *owner, struct stream *stream)
{
	struct egress_server *server = owner;
	struct egress_conn *conn = calloc(1, sizeof(*conn));

	assert(conn != NULL);
	conn->sink.ops = &sink_ops;
	conn->server = server;
	conn->stream = stream;
	conn->next = server->first;
	if (conn->next != NULL)
		conn->next->prev = conn;
	server->first = conn;
	stream->owner = conn;
	bulk_link_attach(server->link, stream);
}

/// Closes streams that received nothing within the timeout, which is shorter
/// while requests are in progress.
static void
on_scan(void *arg)
{
	struct egress_server *server = arg;
	int64_t now_us = loop_now_us(server->loop);
	struct egress_conn *conn = server->first;

	while (conn != NULL) {
		struct egress_conn *next = conn->next;
		int64_t limit_us =
		    conn->active > 0 ? SILENCE_TIMEOUT_US : IDLE_TIMEOUT_US;

		if (now_us - conn->stream->last_received_us > limit_us) {
			log_write(LOG_INFO, "egress",
			    "Closed the stream of %s after a receive timeout.",
			    conn->sink.origin);
			conn_close(conn);
		}
		conn = next;
	}
	loop_timer_set(
	    server->loop, &server->scan_timer, now_us + SCAN_INTERVAL_US);
}

struct egress_server *
egress_server_open(struct loop *loop, struct egress *egress,
    struct bulk_link *link, const struct address *at, uint64_t incarnation,
    struct address *bound, struct error *err)
{
	struct egress_server *server = calloc(1, sizeof(*server));

	assert(server != NULL);
	server->loop = loop;
	server->egress = egress;
	server->link = link;
	server->incarnation = incarnation;
	if (listener_open(&server->listener, loop, at, &stream_ops, server,
		on_accept, bound, err) != 0) {
		free(server);
		return NULL;
	}
	egress_set_pace_listener(egress, on_pace_changed, server);
	server->scan_timer.fn = on_scan;
	server->scan_timer.arg = server;
	loop_timer_set(
	    loop, &server->scan_timer, loop_now_us(loop) + SCAN_INTERVAL_US);
	return server;
}

void
egress_server_set_incarnation(
    struct egress_server *server, uint64_t incarnation)
{
	server->incarnation = incarnation;
}

uint32_t
egress_server_finish(struct egress_server *server)
{
	struct egress_conn *conn = server->first;
	uint32_t count = 0;

	// A stream that its peer has reset is closed at once.
	while (conn != NULL) {
		struct egress_conn *next = conn->next;

		stream_finish(conn->stream);
		conn = next;
	}
	for (conn = server->first; conn != NULL; conn = conn->next)
		count++;
	return count;
}

void
egress_server_close(struct egress_server *server)
{
	if (server == NULL)
		return;
	egress_set_pace_listener(server->egress, NULL, NULL);
	loop_timer_clear(server->loop, &server->scan_timer);
	while (server->first != NULL)
		conn_close(server->first);
	listener_close(&server->listener);
	free(server);
}
