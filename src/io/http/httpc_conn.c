// Connections of the HTTP client.
#include <assert.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/clock.h"
#include "io/held.h"
#include "io/http/httpc_conn.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/net/dial.h"

#define READ_BYTES	 (32 * 1024)
#define UPLOAD_BYTES	 (32 * 1024)
#define CHUNK_HEAD_BYTES 12

/// Connect timeout; allows for the loss of several SYN packets.
#define DIAL_TIMEOUT_US (2 * US_PER_S)

/// Servers that send no Keep-Alive header are assumed to keep idle connections
/// for at least this time.
#define DEFAULT_KEEP_ALIVE_US (5 * US_PER_S)

#define KEEP_ALIVE_MAX_S 3600

/// Interim responses and late ones to other requests that a server may send before
/// the response to a call, and the bytes of their bodies. A late copy of a long
/// response is worth reading: the response to the call follows it.
#define MAX_SKIPPED_RESPONSES 32
#define MAX_SKIPPED_BYTES     (1024 * 1024)

COUNTER_DEFINE(count_flooded, "http_calls_flooded",
    "Calls ended since the bytes of the server cannot become an answer");
COUNTER_DEFINE(count_excess, "http_excess_bytes",
    "Connections closed since a server sent bytes that belong to no call");

static void
conn_free(void *arg)
{
	struct httpc_conn *conn = arg;

	msgpack_sbuffer_destroy(&conn->out);
	msgpack_sbuffer_destroy(&conn->header);
	held_update(HELD_CALL, &conn->held_bytes, 0);
	free(conn);
}

void
httpc_conn_close(struct httpc_conn *conn)
{
	int fd = conn->watch.fd;

	if (conn->closed)
		return;
	conn->closed = true;
	loop_timer_clear(conn->loop, &conn->timer);
	loop_watch_set(conn->loop, &conn->watch, fd, 0);
	close(fd);
	loop_defer(conn->loop, conn_free, conn);
}

static void
conn_fail(struct httpc_conn *conn, enum error_code code, const char *step,
    const char *text)
{
	struct error err;
	char peer[ADDRESS_TEXT_BYTES];

	if (conn->closed)
		return;
	address_format(&conn->to, peer);
	error_set(&err, code, step, peer, "%s", text);
	conn->ops->on_failed(conn, &err);
}

static bool
has_output(const struct httpc_conn *conn)
{
	const struct httpc_call *call = conn->call;

	if (call == NULL)
		return false;
	return conn->out.size > conn->out_sent_bytes ||
	    (!call->streamed && conn->body_sent_bytes < call->body_bytes);
}

static void
update_watch(struct httpc_conn *conn)
{
	uint32_t events = conn->paused ? 0 : LOOP_READ;

	held_update(
	    HELD_CALL, &conn->held_bytes, conn->out.alloc + conn->header.alloc);
	if (conn->closed)
		return;
	if (conn->connecting || has_output(conn))
		events |= LOOP_WRITE;
	loop_watch_set(conn->loop, &conn->watch, conn->watch.fd, events);
}

/// Appends the next part of a streamed body to the output buffer.
static void
fill_upload(struct httpc_conn *conn)
{
	struct httpc_call *call = conn->call;
	char head[CHUNK_HEAD_BYTES];
	char part[UPLOAD_BYTES];
	bool last = false;
	size_t n;
	int h;

	n = call->ops->on_read(call, part, sizeof(part), &last);
	if (n > 0 && conn->chunked) {
		h = snprintf(head, sizeof(head), "%zx\r\n", n);
		msgpack_sbuffer_write(&conn->out, head, (size_t)h);
	}
	msgpack_sbuffer_write(&conn->out, part, n);
	if (n > 0 && conn->chunked)
		msgpack_sbuffer_write(&conn->out, "\r\n", 2);
	if (last) {
		conn->upload_ended = true;
		if (conn->chunked)
			msgpack_sbuffer_write(&conn->out, "0\r\n\r\n", 5);
	}
}

/// Sends bytes to the server.
///
/// @return the number sent; 0 if the send buffer is full, or -1 on failure
static ssize_t
send_bytes(struct httpc_conn *conn, const char *data, size_t size_bytes)
{
	ssize_t n = send(conn->watch.fd, data, size_bytes, MSG_NOSIGNAL);

	if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
		return 0;
	if (n < 0 && errno == EINTR)
		return send_bytes(conn, data, size_bytes);
	if (n < 0) {
		// A response received before the reset can still be read, but
		// its end can no longer: send() took the error of the socket,
		// so that recv() returns 0 after a reset too.
		if (errno == EPIPE || errno == ECONNRESET) {
			conn->send_failed = true;
			return 0;
		}
		conn_fail(conn, ERR_IO, "send request", strerror(errno));
		return -1;
	}
	conn->call->sent_any = true;
	return n;
}

/// Sends the next bytes of the request.
///
/// @return 1 if some were sent, 0 if there are none or the send buffer is
/// full, or -1 on failure
static int
send_next(struct httpc_conn *conn)
{
	struct httpc_call *call = conn->call;
	size_t *sent_bytes = &conn->out_sent_bytes;
	const char *data = conn->out.data;
	size_t size_bytes = conn->out.size;
	ssize_t n;

	if (conn->out.size == conn->out_sent_bytes && !call->streamed) {
		sent_bytes = &conn->body_sent_bytes;
		data = call->body;
		size_bytes = call->body_bytes;
	}
	if (*sent_bytes == size_bytes)
		return 0;
	n = send_bytes(conn, data + *sent_bytes, size_bytes - *sent_bytes);
	if (n > 0)
		*sent_bytes += (size_t)n;
	return n > 0 ? 1 : (int)n;
}

static void
send_request(struct httpc_conn *conn)
{
	int rc;

	do {
		if (conn->call->streamed && !conn->upload_ended &&
		    conn->out.size == conn->out_sent_bytes) {
			msgpack_sbuffer_clear(&conn->out);
			conn->out_sent_bytes = 0;
			fill_upload(conn);
		}
		rc = send_next(conn);
	} while (rc > 0);
	if (rc == 0)
		update_watch(conn);
}

/// Parses "timeout=N" of a Keep-Alive header. Uses 3/4 of that time, to
/// allow for the server's clock and for network delay.
static void
read_keep_alive(struct httpc_conn *conn, struct bytes value)
{
	char text[64];
	const char *at;
	int64_t seconds;

	if (bytes_copy(value, text, sizeof(text)) != 0)
		return;
	at = strstr(text, "timeout=");
	if (at == NULL)
		return;
	seconds = strtoll(at + strlen("timeout="), NULL, 10);
	if (seconds > KEEP_ALIVE_MAX_S)
		seconds = KEEP_ALIVE_MAX_S;
	if (seconds < 0)
		seconds = 0;
	conn->idle_deadline_us =
	    loop_now_us(conn->loop) + seconds * US_PER_S * 3 / 4;
}

static bool
name_equals(struct bytes name, const char *known)
{
	return name.size_bytes == strlen(known) &&
	    strncasecmp(name.data, known, name.size_bytes) == 0;
}

static void
read_coding(struct httpc_conn *conn, struct bytes value)
{
	conn->codings++;
	conn->coding_known = name_equals(value, "chunked");
}

/// Delivers the header that has been parsed, if any.
static void
deliver_header(struct httpc_conn *conn)
{
	struct bytes name = {
	    conn->header.data, (uint32_t)conn->header_name_bytes};
	struct bytes value;

	if (conn->in_header_value) {
		value.data = conn->header.data + conn->header_name_bytes;
		value.size_bytes =
		    (uint32_t)(conn->header.size - conn->header_name_bytes);
		if (name_equals(name, "Keep-Alive"))
			read_keep_alive(conn, value);
		else if (name_equals(name, "Transfer-Encoding"))
			read_coding(conn, value);
		if (conn->call->ops->on_header != NULL)
			conn->call->ops->on_header(conn->call, name, value);
	}
	msgpack_sbuffer_clear(&conn->header);
	conn->header_name_bytes = 0;
	conn->in_header_value = false;
}

static int
on_message_begin(http_parser *parser)
{
	struct httpc_conn *conn = parser->data;

	// Rejects a response that belongs to no request.
	if (conn->call == NULL || conn->response_complete)
		return 1;
	conn->idle_deadline_us = 0;
	conn->codings = 0;
	return 0;
}

static int
on_header_field(http_parser *parser, const char *at, size_t size_bytes)
{
	struct httpc_conn *conn = parser->data;

	if (conn->in_header_value)
		deliver_header(conn);
	msgpack_sbuffer_write(&conn->header, at, size_bytes);
	conn->header_name_bytes = conn->header.size;
	return 0;
}

static int
on_header_value(http_parser *parser, const char *at, size_t size_bytes)
{
	struct httpc_conn *conn = parser->data;

	conn->in_header_value = true;
	msgpack_sbuffer_write(&conn->header, at, size_bytes);
	return 0;
}

/// Returns whether the body is understood: it is as the server made it once the
/// chunks are joined.
static bool
is_framing_known(const struct httpc_conn *conn)
{
	return conn->parser.http_major == 1 &&
	    (conn->codings == 0 ||
		(conn->codings == 1 && conn->coding_known &&
		    conn->parser.http_minor > 0));
}

/// Counts responses, or bytes of their bodies, that are not the response to the
/// call.
///
/// @return 0, or -1 if there are more than a sound server sends
static int
count_skipped(struct httpc_conn *conn, uint32_t responses, size_t size_bytes)
{
	conn->skipped_count += responses;
	conn->skipped_bytes += size_bytes;
	if (conn->skipped_count <= MAX_SKIPPED_RESPONSES &&
	    conn->skipped_bytes <= MAX_SKIPPED_BYTES)
		return 0;
	counter_add(&count_flooded, 1);
	conn->flooded = true;
	return -1;
}

/// @return 1 if the response has no body even if its headers declare one
static int
on_headers_complete(http_parser *parser)
{
	struct httpc_conn *conn = parser->data;
	int64_t total_bytes = -1;

	deliver_header(conn);
	if (parser->status_code < 200) {
		conn->call->ops->on_head(conn->call, parser->status_code, 0);
		conn->verdict = HTTPC_SKIP;
		return count_skipped(conn, 1, 0);
	}
	if (!is_framing_known(conn)) {
		conn->verdict = HTTPC_FAIL;
		return -1;
	}
	if (parser->content_length != UINT64_MAX)
		total_bytes = (int64_t)parser->content_length;
	conn->verdict = conn->call->ops->on_head(
	    conn->call, parser->status_code, total_bytes);
	if (conn->verdict == HTTPC_FAIL)
		return -1;
	if (conn->verdict == HTTPC_SKIP && count_skipped(conn, 1, 0) != 0)
		return -1;
	if (conn->verdict == HTTPC_ACCEPT)
		conn->call->status = parser->status_code;
	return strcmp(conn->call->method, "HEAD") == 0;
}

/// Joins the parts of a body within the receive buffer, where the parser has been
/// already, so that the cost of a body grows with its bytes, not with its chunks.
static int
on_body(http_parser *parser, const char *at, size_t size_bytes)
{
	struct httpc_conn *conn = parser->data;

	if (conn->verdict != HTTPC_ACCEPT)
		return count_skipped(conn, 0, size_bytes);
	if (conn->part_bytes == 0)
		conn->part = (char *)(uintptr_t)at;
	else
		memmove(conn->part + conn->part_bytes, at, size_bytes);
	conn->part_bytes += size_bytes;
	return 0;
}

static int
on_message_complete(http_parser *parser)
{
	struct httpc_conn *conn = parser->data;

	if (conn->verdict != HTTPC_ACCEPT)
		return 0;
	conn->response_complete = true;
	conn->reusable = http_should_keep_alive(parser) && !conn->last &&
	    !has_output(conn) && (!conn->call->streamed || conn->upload_ended);
	// Bytes after the response belong to no request.
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
log_excess(const struct httpc_conn *conn)
{
	char peer[ADDRESS_TEXT_BYTES];
	struct log_line line;

	counter_add(&count_excess, 1);
	address_format(&conn->to, peer);
	log_begin(&line, LOG_INFO, "http",
	    "Closed a connection on which a server sent more than its answer.");
	log_text(&line, "server", peer);
	log_end(&line);
}

static void
finish_response(struct httpc_conn *conn, bool excess)
{
	int64_t now_us = loop_now_us(conn->loop);

	if (excess)
		log_excess(conn);
	conn->reusable &= !excess;
	conn->idle_since_us = now_us;
	if (conn->idle_deadline_us == 0)
		conn->idle_deadline_us = now_us + DEFAULT_KEEP_ALIVE_US;
	conn->ops->on_complete(conn);
}

/// Delivers the body in what was received.
static void
deliver_part(struct httpc_conn *conn)
{
	size_t size_bytes = conn->part_bytes;

	conn->part_bytes = 0;
	if (size_bytes == 0 ||
	    conn->call->ops->on_body(conn->call, conn->part, size_bytes) ||
	    conn->response_complete)
		return;
	conn->paused = true;
	update_watch(conn);
}

/// Parses received bytes; 0 bytes mean that the server closed the connection.
static void
parse(struct httpc_conn *conn, char *data, size_t size_bytes)
{
	size_t used = http_parser_execute(
	    &conn->parser, &parser_settings, data, size_bytes);
	enum http_errno code = HTTP_PARSER_ERRNO(&conn->parser);

	if (conn->closed)
		return;
	deliver_part(conn);
	if (conn->response_complete) {
		finish_response(conn, used < size_bytes);
		return;
	}
	if (code != HPE_OK)
		conn_fail(conn, ERR_IO, "read response",
		    conn->flooded ? "too much before the response to the call"
			: conn->verdict == HTTPC_FAIL
			? "the response head was rejected"
			: http_errno_description(code));
	else if (size_bytes == 0)
		conn_fail(conn, ERR_IO, "read response",
		    "the server closed the connection mid-response");
}

static void
receive(struct httpc_conn *conn)
{
	char data[READ_BYTES];
	ssize_t n = recv(conn->watch.fd, data, sizeof(data), 0);

	if (n < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (n > 0 && conn->call == NULL)
		log_excess(conn);
	if (n < 0 || conn->call == NULL) {
		// On an idle connection only its close is expected.
		conn_fail(conn, ERR_IO, "read response",
		    n < 0 ? strerror(errno)
			  : "the server closed the connection");
		return;
	}
	if (n == 0 && conn->send_failed) {
		conn_fail(conn, ERR_IO, "read response",
		    "the connection was reset mid-response");
		return;
	}
	conn->response_started |= n > 0;
	parse(conn, data, (size_t)n);
}

static void
finish_connect(struct httpc_conn *conn)
{
	int errnum = dial_result(conn->watch.fd);

	if (errnum != 0) {
		conn_fail(conn, ERR_UNAVAILABLE, "connect", strerror(errnum));
		return;
	}
	conn->connecting = false;
	loop_timer_clear(conn->loop, &conn->timer);
	send_request(conn);
}

static void
on_ready(void *arg, uint32_t events)
{
	struct httpc_conn *conn = arg;

	if (conn->connecting) {
		if (events & (LOOP_WRITE | LOOP_ERROR))
			finish_connect(conn);
		return;
	}
	if (events & (LOOP_READ | LOOP_ERROR))
		receive(conn);
	if (!conn->closed && conn->call != NULL && (events & LOOP_WRITE))
		send_request(conn);
}

/// Closes a connection at its connect or idle timeout.
static void
on_timeout(void *arg)
{
	struct httpc_conn *conn = arg;

	conn_fail(conn, ERR_UNAVAILABLE, conn->connecting ? "connect" : "keep",
	    "timed out");
}

struct httpc_conn *
httpc_conn_dial(struct httpc *httpc, struct loop *loop,
    const struct address *to, const struct httpc_conn_ops *ops,
    struct error *err)
{
	int fd = dial_start(to, err);
	struct httpc_conn *conn;

	if (fd < 0)
		return NULL;
	conn = calloc(1, sizeof(*conn));
	assert(conn != NULL);
	conn->ops = ops;
	conn->httpc = httpc;
	conn->loop = loop;
	conn->to = *to;
	conn->connecting = true;
	conn->watch.fn = on_ready;
	conn->watch.arg = conn;
	conn->watch.fd = fd;
	conn->timer.fn = on_timeout;
	conn->timer.arg = conn;
	msgpack_sbuffer_init(&conn->out);
	msgpack_sbuffer_init(&conn->header);
	loop_timer_set(loop, &conn->timer, loop_now_us(loop) + DIAL_TIMEOUT_US);
	update_watch(conn);
	return conn;
}

void
httpc_conn_begin(struct httpc_conn *conn, struct httpc_call *call)
{
	assert(conn->call == NULL && !conn->closed);
	conn->call = call;
	call->conn = conn;
	conn->response_complete = conn->response_started = conn->paused = false;
	conn->upload_ended = conn->reusable = false;
	conn->part_bytes = conn->skipped_bytes = 0;
	conn->skipped_count = 0;
	conn->verdict = HTTPC_ACCEPT;
	conn->body_sent_bytes = conn->out_sent_bytes = 0;
	conn->idle_deadline_us = 0;
	msgpack_sbuffer_clear(&conn->out);
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	httpc_conn_append_head(conn, call);
	if (conn->connecting)
		return;
	loop_timer_clear(conn->loop, &conn->timer);
	send_request(conn);
}

void
httpc_conn_resume(struct httpc_conn *conn)
{
	if (conn->closed || conn->connecting || conn->call == NULL)
		return;
	if (conn->paused) {
		conn->paused = false;
		update_watch(conn);
	}
	if (!has_output(conn) && conn->call->streamed && !conn->upload_ended)
		send_request(conn);
}

bool
httpc_conn_is_alive(const struct httpc_conn *conn)
{
	char byte;

	return recv(conn->watch.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK);
}
