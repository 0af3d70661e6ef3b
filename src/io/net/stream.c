// Framed TCP streams and their listeners.
#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/held.h"
#include "io/log/log.h"
#include "io/net/deflate.h"
#include "io/net/dial.h"
#include "io/net/net.h"
#include "io/net/volume.h"

#define READ_BYTES	 (64 * 1024)
#define MORE_BYTES	 (8 * 1024)
#define MAX_QUEUED_BYTES (16u * 1024 * 1024)
#define ACCEPT_BATCH	 64

/// Less than this is not moved within the output buffer.
#define MIN_MOVED_BYTES (64u * 1024)

/// Smaller frames are not compressed: they gain too little.
#define DEFLATE_MIN_BYTES 2048

static void
stream_free(void *arg)
{
	struct stream *stream = arg;

	msgpack_sbuffer_destroy(&stream->out);
	held_update(HELD_STREAM_OUT, &stream->out_held_bytes, 0);
	free(stream->in);
	held_update(HELD_STREAM_IN, &stream->in_held_bytes, 0);
	free(stream);
}

static void
listener_add(struct listener *listener, struct stream *stream)
{
	stream->listener = listener;
	stream->next = listener->first;
	if (stream->next != NULL)
		stream->next->prev = stream;
	listener->first = stream;
}

static void
listener_remove(struct stream *stream)
{
	if (stream->listener == NULL)
		return;
	if (stream->prev != NULL)
		stream->prev->next = stream->next;
	else
		stream->listener->first = stream->next;
	if (stream->next != NULL)
		stream->next->prev = stream->prev;
	stream->listener = NULL;
}

/// Closes the descriptor and defers the release of memory, so that callers on
/// the stack can still check stream->closed.
static void
stream_release(struct stream *stream)
{
	int fd = stream->watch.fd;

	if (stream->closed)
		return;
	stream->closed = true;
	listener_remove(stream);
	if (stream->pacer != NULL)
		stream->pacer->ops->on_closed(stream->pacer, stream);
	loop_watch_set(stream->loop, &stream->watch, fd, 0);
	close(fd);
	loop_defer(stream->loop, stream_free, stream);
}

static void
stream_fail(struct stream *stream, const char *step, const char *text)
{
	struct error err;

	if (stream->closed)
		return;
	error_set(&err, ERR_IO, step, stream->peer, "%s", text);
	stream_release(stream);
	stream->ops->on_closed(stream, &err);
}

static void
update_watch(struct stream *stream)
{
	uint32_t events = LOOP_READ;

	if (stream->closed)
		return;
	if (stream->connecting || stream_queued_bytes(stream) > 0)
		events |= LOOP_WRITE;
	loop_watch_set(stream->loop, &stream->watch, stream->watch.fd, events);
}

/// Most streams are idle most of the time, so that they keep no buffer.
static void
reset_out(struct stream *stream)
{
	stream->out_sent_bytes = 0;
	msgpack_sbuffer_destroy(&stream->out);
	msgpack_sbuffer_init(&stream->out);
}

/// Drops what was sent from the front of the output buffer, once it is as much as
/// what is queued. A busy stream may never be empty.
static void
drop_sent_bytes(struct stream *stream)
{
	msgpack_sbuffer *out = &stream->out;
	size_t queued_bytes = stream_queued_bytes(stream);

	if (stream->out_sent_bytes < MIN_MOVED_BYTES ||
	    stream->out_sent_bytes < queued_bytes)
		return;
	memmove(out->data, out->data + stream->out_sent_bytes, queued_bytes);
	out->size = queued_bytes;
	stream->out_sent_bytes = 0;
	// Gives back what a longer queue needed.
	if (out->alloc / 4 > queued_bytes + MIN_MOVED_BYTES) {
		out->alloc = 2 * (queued_bytes + MIN_MOVED_BYTES);
		out->data = realloc(out->data, out->alloc);
		assert(out->data != NULL);
	}
}

static void
stream_flush(struct stream *stream)
{
	while (!stream->closed && stream_queued_bytes(stream) > 0) {
		ssize_t n = send(stream->watch.fd,
		    stream->out.data + stream->out_sent_bytes,
		    stream_queued_bytes(stream), MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			break;
		if (n < 0) {
			stream_fail(stream, "send", strerror(errno));
			return;
		}
		stream->out_sent_bytes += (size_t)n;
		stream->sent_bytes += (uint64_t)n;
	}
	if (stream->closed)
		return;
	if (stream_queued_bytes(stream) == 0 && stream->out.size > 0)
		reset_out(stream);
	else
		drop_sent_bytes(stream);
	held_update(
	    HELD_STREAM_OUT, &stream->out_held_bytes, stream->out.alloc);
	update_watch(stream);
	if (stream->finishing && stream_queued_bytes(stream) == 0)
		shutdown(stream->watch.fd, SHUT_WR);
	if (stream->pacer != NULL && stream_queued_bytes(stream) == 0)
		stream->pacer->ops->on_idle(stream->pacer);
}

static void
flush_deferred(void *arg)
{
	struct stream *stream = arg;

	stream->flush_deferred = false;
	if (!stream->closed && !stream->connecting)
		stream_flush(stream);
}

size_t
stream_queued_bytes(const struct stream *stream)
{
	return stream->out.size - stream->out_sent_bytes;
}

bool
stream_is_idle(const struct stream *stream)
{
	return !stream->closed && !stream->connecting &&
	    stream_queued_bytes(stream) == 0;
}

/// Replaces the frame at the end of a buffer with a compressed one: the length
/// with its top bit set, the uncompressed length and the compressed message.
static void
deflate_frame(msgpack_sbuffer *out, size_t start)
{
	const char *message = out->data + start + FRAME_HEADER_BYTES;
	size_t uncompressed_bytes = out->size - start - FRAME_HEADER_BYTES;
	uint32_t head[2];
	char *deflated;
	size_t n = deflate_bytes(message, uncompressed_bytes, &deflated);

	head[0] = htonl((uint32_t)(n + sizeof(uint32_t)) | FRAME_DEFLATED);
	head[1] = htonl((uint32_t)uncompressed_bytes);
	out->size = start;
	msgpack_sbuffer_write(out, (const char *)head, sizeof(head));
	msgpack_sbuffer_write(out, deflated, n);
	free(deflated);
}

/// Ends a stream that lacks a message: what would follow it makes no sense.
static void
fail_overflowed(void *arg)
{
	stream_fail(arg, "send", "the peer does not read what is queued");
}

int
stream_send(struct stream *stream, enum message_type type, const void *value)
{
	size_t start;

	if (stream->closed || stream->overflowed || stream->finishing)
		return -1;
	if (stream_queued_bytes(stream) > MAX_QUEUED_BYTES) {
		stream->overflowed = true;
		loop_defer(stream->loop, fail_overflowed, stream);
		return -1;
	}
	start = stream->out.size;
	message_pack_frame(&stream->out, type, value);
	if (stream->out.size - start > DEFLATE_MIN_BYTES &&
	    message_is_compressible(type))
		deflate_frame(&stream->out, start);
	held_update(
	    HELD_STREAM_OUT, &stream->out_held_bytes, stream->out.alloc);
	volume_count(type, &stream->peer_address,
	    stream->out.size - start + VOLUME_TCP_HEAD_BYTES);
	if (stream->pacer != NULL)
		stream->pacer->ops->on_sent(
		    stream->pacer, stream->out.size - start);
	if (stream->flush_deferred)
		return 0;
	stream->flush_deferred = true;
	loop_defer(stream->loop, flush_deferred, stream);
	return 0;
}

void
stream_finish(struct stream *stream)
{
	if (stream->closed || stream->finishing)
		return;
	stream->finishing = true;
	if (!stream->connecting)
		stream_flush(stream);
}

void
stream_close(struct stream *stream)
{
	if (stream->closed)
		return;
	if (!stream->connecting && stream_queued_bytes(stream) > 0)
		(void)!send(stream->watch.fd,
		    stream->out.data + stream->out_sent_bytes,
		    stream_queued_bytes(stream), MSG_NOSIGNAL | MSG_DONTWAIT);
	stream_release(stream);
}

static void
deliver_message(struct stream *stream, const char *bytes, size_t size_bytes)
{
	struct message message;
	struct error err;

	if (message_unpack(&message, bytes, size_bytes, &err) != 0) {
		stream_fail(stream, err.step, err.text);
		return;
	}
	stream->ops->on_message(stream, &message);
	message_free(&message);
}

static uint32_t
read_u32(const char *bytes)
{
	uint32_t n;

	memcpy(&n, bytes, sizeof(n));
	return ntohl(n);
}

static void
deliver_deflated(struct stream *stream, const char *bytes, uint32_t size_bytes)
{
	uint32_t uncompressed_bytes;
	struct error err;
	char *inflated;

	uncompressed_bytes =
	    size_bytes < sizeof(uint32_t) ? 0 : read_u32(bytes);
	if (uncompressed_bytes == 0 ||
	    uncompressed_bytes > stream->max_frame_bytes) {
		stream_fail(stream, "receive",
		    "deflated frame has an invalid uncompressed length");
		return;
	}
	if (inflate_bytes(bytes + sizeof(uint32_t),
		size_bytes - sizeof(uint32_t), uncompressed_bytes, &inflated,
		&err) != 0) {
		stream_fail(stream, err.step, err.text);
		return;
	}
	deliver_message(stream, inflated, uncompressed_bytes);
	free(inflated);
}

static uint32_t
frame_size(const char *header)
{
	return read_u32(header) & ~FRAME_DEFLATED;
}

static void
deliver_frame(struct stream *stream, const char *header)
{
	const char *bytes = header + FRAME_HEADER_BYTES;

	if (read_u32(header) & FRAME_DEFLATED)
		deliver_deflated(stream, bytes, frame_size(header));
	else
		deliver_message(stream, bytes, frame_size(header));
}

/// Delivers all complete frames.
///
/// @return their number of bytes
static size_t
deliver_frames(struct stream *stream, const char *bytes, size_t size_bytes)
{
	size_t at = 0;

	while (!stream->closed && size_bytes - at >= FRAME_HEADER_BYTES) {
		uint32_t frame_bytes = frame_size(bytes + at);

		if (frame_bytes > stream->max_frame_bytes) {
			stream_fail(stream, "receive", "frame is too large");
			break;
		}
		if (size_bytes - at - FRAME_HEADER_BYTES < frame_bytes)
			break;
		deliver_frame(stream, bytes + at);
		at += FRAME_HEADER_BYTES + frame_bytes;
	}
	return at;
}

/// Grows the input buffer for the current frame, by at most READ_BYTES, or for
/// the next read.
static void
reserve_input(struct stream *stream)
{
	size_t needed_bytes = stream->in_used_bytes + MORE_BYTES;

	if (stream->in_used_bytes >= FRAME_HEADER_BYTES) {
		size_t frame_bytes =
		    frame_size(stream->in) + FRAME_HEADER_BYTES;

		if (frame_bytes > needed_bytes &&
		    frame_bytes <= stream->in_used_bytes + READ_BYTES)
			needed_bytes = frame_bytes;
		else if (frame_bytes > needed_bytes)
			needed_bytes = stream->in_used_bytes + READ_BYTES;
	}
	if (needed_bytes <= stream->in_capacity_bytes)
		return;
	stream->in = realloc(stream->in, needed_bytes);
	assert(stream->in != NULL);
	stream->in_capacity_bytes = needed_bytes;
	held_update(HELD_STREAM_IN, &stream->in_held_bytes, needed_bytes);
}

/// Receives bytes at the end of those kept.
///
/// @return their number; 0 if there are none now or the stream has failed
static size_t
receive_bytes(struct stream *stream, char *to, size_t to_bytes)
{
	ssize_t n = recv(stream->watch.fd, to, to_bytes, 0);

	if (n < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return 0;
	if (n < 0) {
		stream_fail(stream, "receive", strerror(errno));
		return 0;
	}
	if (n == 0) {
		stream_fail(
		    stream, "receive", "the peer closed the connection");
		return 0;
	}
	stream->received_bytes += (uint64_t)n;
	stream->last_received_us = loop_now_us(stream->loop);
	return (size_t)n;
}

/// Receives the rest of a frame into the buffer of the stream, which lasts until
/// the frame is complete.
static void
receive_more(struct stream *stream)
{
	size_t delivered_bytes;

	reserve_input(stream);
	stream->in_used_bytes +=
	    receive_bytes(stream, stream->in + stream->in_used_bytes,
		stream->in_capacity_bytes - stream->in_used_bytes);
	if (stream->closed)
		return;
	delivered_bytes =
	    deliver_frames(stream, stream->in, stream->in_used_bytes);
	if (stream->closed)
		return;
	stream->in_used_bytes -= delivered_bytes;
	memmove(
	    stream->in, stream->in + delivered_bytes, stream->in_used_bytes);
	if (stream->in_used_bytes > 0)
		return;
	free(stream->in);
	stream->in = NULL;
	stream->in_capacity_bytes = 0;
	held_update(HELD_STREAM_IN, &stream->in_held_bytes, 0);
}

/// Receives into a buffer on the stack: there are many streams, and most get
/// whole frames.
static void
stream_receive(struct stream *stream)
{
	char bytes[READ_BYTES];
	size_t size_bytes;
	size_t delivered_bytes;

	if (stream->in_used_bytes > 0) {
		receive_more(stream);
		return;
	}
	size_bytes = receive_bytes(stream, bytes, sizeof(bytes));
	if (size_bytes == 0)
		return;
	delivered_bytes = deliver_frames(stream, bytes, size_bytes);
	size_bytes -= delivered_bytes;
	if (stream->closed || size_bytes == 0)
		return;
	stream->in = malloc(size_bytes);
	assert(stream->in != NULL);
	memcpy(stream->in, bytes + delivered_bytes, size_bytes);
	stream->in_used_bytes = stream->in_capacity_bytes = size_bytes;
	held_update(HELD_STREAM_IN, &stream->in_held_bytes, size_bytes);
}

static void
finish_connect(struct stream *stream)
{
	int errnum = dial_result(stream->watch.fd);

	if (errnum != 0) {
		stream_fail(stream, "connect", strerror(errnum));
		return;
	}
	stream->connecting = false;
	stream->last_received_us = loop_now_us(stream->loop);
	stream_flush(stream);
}

static void
on_ready(void *arg, uint32_t events)
{
	struct stream *stream = arg;

	if (stream->connecting) {
		if (events & (LOOP_WRITE | LOOP_ERROR))
			finish_connect(stream);
		return;
	}
	if (events & (LOOP_READ | LOOP_ERROR))
		stream_receive(stream);
	if (!stream->closed && (events & LOOP_WRITE))
		stream_flush(stream);
}

static struct stream *
stream_create(struct loop *loop, int fd, const struct address *peer,
    const struct stream_ops *ops, void *owner)
{
	struct stream *stream = calloc(1, sizeof(*stream));
	int one = 1;

	assert(stream != NULL);
	stream->ops = ops;
	stream->owner = owner;
	stream->loop = loop;
	stream->max_frame_bytes = FRAME_MAX_BYTES;
	stream->last_received_us = loop_now_us(loop);
	stream->watch.fn = on_ready;
	stream->watch.arg = stream;
	stream->watch.fd = fd;
	msgpack_sbuffer_init(&stream->out);
	address_format(peer, stream->peer);
	stream->peer_address = *peer;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return stream;
}

struct stream *
stream_dial(struct loop *loop, const struct address *to,
    const struct stream_ops *ops, void *owner, struct error *err)
{
	int fd = dial_start(to, err);
	struct stream *stream;

	if (fd < 0)
		return NULL;
	stream = stream_create(loop, fd, to, ops, owner);
	stream->connecting = true;
	update_watch(stream);
	return stream;
}

static void
on_accept_ready(void *arg, uint32_t events)
{
	struct listener *listener = arg;
	struct address from;
	struct stream *stream;
	socklen_t len;
	int fd;
	int i;

	(void)events;
	for (i = 0; i < ACCEPT_BATCH; i++) {
		len = sizeof(from.in);
		fd = accept4(listener->watch.fd, (struct sockaddr *)&from.in,
		    &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		stream = stream_create(
		    listener->loop, fd, &from, listener->ops, listener->owner);
		listener_add(listener, stream);
		update_watch(stream);
		if (listener->on_accept != NULL)
			listener->on_accept(listener->owner, stream);
	}
}

int
listener_open(struct listener *listener, struct loop *loop,
    const struct address *at, const struct stream_ops *ops, void *owner,
    void (*on_accept)(void *owner, struct stream *stream),
    struct address *bound, struct error *err)
{
	char text[ADDRESS_TEXT_BYTES];
	socklen_t len = sizeof(bound->in);
	int one = 1;
	int fd;

	memset(listener, 0, sizeof(*listener));
	listener->watch.fd = -1;
	address_format(at, text);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return error_set(
		    err, ERR_IO, "listen", text, "%s", strerror(errno));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)&at->in, sizeof(at->in)) != 0 ||
	    listen(fd, SOMAXCONN) != 0 ||
	    getsockname(fd, (struct sockaddr *)&bound->in, &len) != 0) {
		error_set(err, ERR_IO, "listen", text, "%s", strerror(errno));
		close(fd);
		return -1;
	}
	listener->loop = loop;
	listener->ops = ops;
	listener->owner = owner;
	listener->on_accept = on_accept;
	listener->watch.fn = on_accept_ready;
	listener->watch.arg = listener;
	loop_watch_set(loop, &listener->watch, fd, LOOP_READ);
	return 0;
}

void
listener_close(struct listener *listener)
{
	int fd = listener->watch.fd;

	if (listener->loop == NULL || fd < 0)
		return;
	while (listener->first != NULL)
		stream_close(listener->first);
	loop_watch_set(listener->loop, &listener->watch, fd, 0);
	close(fd);
	listener->watch.fd = -1;
}
