// Framed streams whose peer does not read.
#include <apr_general.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/net/net.h"
#include "unit/support.h"

#define PART_BYTES (1024u * 1024)
#define PARTS	   64

struct sender {
	struct loop *loop;
	struct stream *stream;
	struct loop_timer timer;
	char *part;
	uint32_t taken;
	uint32_t refused;
	bool closed;
	struct error err;
};

static void
ignore_message(struct stream *stream, struct message *message)
{
	(void)stream;
	(void)message;
}

static void
on_closed(struct stream *stream, const struct error *err)
{
	struct sender *s = stream->owner;

	s->closed = true;
	s->err = *err;
	loop_stop(s->loop);
}

static const struct stream_ops ops = {
    .on_message = ignore_message,
    .on_closed = on_closed,
};

static void
send_parts(void *arg)
{
	struct sender *s = arg;
	struct message_body body = {.id = 1};
	uint32_t i;

	body.data.data = s->part;
	body.data.size_bytes = PART_BYTES;
	for (i = 0; i < PARTS; i++)
		if (stream_send(s->stream, MESSAGE_BODY, &body) == 0)
			s->taken++;
		else
			s->refused++;
}

static void
on_timeout(void *arg)
{
	loop_stop(arg);
}

/// A message that is not queued ends the stream: the peer must not take what
/// follows for the whole.
static void
test_full_queue_ends_stream(void **state)
{
	struct sender s = {.timer = {.fn = send_parts, .arg = &s}};
	struct loop_timer timeout = {.fn = on_timeout};
	struct sockaddr_in bound;
	socklen_t len = sizeof(bound);
	struct address to;
	struct error err;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	(void)state;
	assert_int_equal(address_make("127.0.0.1", 0, &to), 0);
	assert_int_equal(
	    bind(fd, (const struct sockaddr *)&to.in, sizeof(to.in)), 0);
	assert_int_equal(listen(fd, 1), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&bound, &len), 0);
	to.in = bound;
	s.part = calloc(1, PART_BYTES);
	s.loop = loop_create("test", &err);
	assert_non_null(s.loop);
	s.stream = stream_dial(s.loop, &to, &ops, &s, &err);
	assert_non_null(s.stream);
	loop_timer_set(s.loop, &s.timer, loop_now_us(s.loop));
	timeout.arg = s.loop;
	loop_timer_set(s.loop, &timeout, loop_now_us(s.loop) + 2000000);
	loop_run(s.loop);
	assert_true(s.refused > 0);
	assert_true(s.closed);
	assert_string_equal(s.err.step, "send");
	loop_destroy(s.loop);
	close(fd);
	free(s.part);
}

#define QUEUED_BYTES (256u * 1024)
#define READ_BYTES   (128u * 1024)
#define SENT_BYTES   (64u * 1024 * 1024)
#define BODY_BYTES   1000
#define SOCKET_BYTES (32 * 1024) ///< Less than is queued.
#define INTERVAL_US  200

/// A stream whose queue is refilled before it is empty.
struct filler {
	struct loop *loop;
	struct stream *stream;
	struct loop_timer timer;
	int listener;
	int peer;
	size_t max_held_bytes;
};

static void
read_and_fill(void *arg)
{
	struct filler *f = arg;
	static char bytes[READ_BYTES];
	struct message_body body = {.id = 1};

	if (f->peer < 0)
		f->peer = accept4(f->listener, NULL, NULL, SOCK_NONBLOCK);
	body.data.data = bytes;
	body.data.size_bytes = BODY_BYTES;
	while (stream_queued_bytes(f->stream) < QUEUED_BYTES)
		assert_int_equal(
		    stream_send(f->stream, MESSAGE_BODY, &body), 0);
	if (f->peer >= 0)
		(void)!read(f->peer, bytes, sizeof(bytes));
	if (f->stream->out.alloc > f->max_held_bytes)
		f->max_held_bytes = f->stream->out.alloc;
	if (f->stream->sent_bytes >= SENT_BYTES)
		loop_stop(f->loop);
	loop_timer_set(f->loop, &f->timer, loop_now_us(f->loop) + INTERVAL_US);
}

/// A busy stream holds what is queued, not what was sent before.
static void
test_busy_stream_drops_sent_bytes(void **state)
{
	struct filler f = {
	    .timer = {.fn = read_and_fill, .arg = &f}, .peer = -1};
	struct sockaddr_in bound;
	socklen_t len = sizeof(bound);
	struct address to;
	struct error err;
	int socket_bytes = SOCKET_BYTES;

	(void)state;
	f.listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	assert_int_equal(address_make("127.0.0.1", 0, &to), 0);
	assert_int_equal(
	    bind(f.listener, (const struct sockaddr *)&to.in, sizeof(to.in)),
	    0);
	setsockopt(f.listener, SOL_SOCKET, SO_RCVBUF, &socket_bytes,
	    sizeof(socket_bytes));
	assert_int_equal(listen(f.listener, 1), 0);
	assert_int_equal(
	    getsockname(f.listener, (struct sockaddr *)&bound, &len), 0);
	to.in = bound;
	f.loop = loop_create("test", &err);
	assert_non_null(f.loop);
	f.stream = stream_dial(f.loop, &to, &ops, &f, &err);
	assert_non_null(f.stream);
	setsockopt(f.stream->watch.fd, SOL_SOCKET, SO_SNDBUF, &socket_bytes,
	    sizeof(socket_bytes));
	loop_timer_set(f.loop, &f.timer, loop_now_us(f.loop));
	loop_run(f.loop);
	// Twice the queue, in a buffer that doubles.
	assert_true(f.max_held_bytes <= 4 * (size_t)QUEUED_BYTES);
	stream_close(f.stream);
	loop_destroy(f.loop);
	close(f.peer);
	close(f.listener);
}

#define ANSWER_BYTES (256u * 1024)

/// A peer that reads late, and has sent bytes that the stream has not read.
struct late_reader {
	struct loop *loop;
	struct loop_timer timer;
	int fd;
	size_t read_bytes;
	bool reset;
	bool ended; ///< The stream was closed by its peer.
};

static void
note_end(struct stream *stream, const struct error *err)
{
	struct late_reader *r = stream->owner;

	(void)err;
	r->ended = true;
	loop_stop(r->loop);
}

static const struct stream_ops late_ops = {
    .on_message = ignore_message,
    .on_closed = note_end,
};

static void
read_late(void *arg)
{
	struct late_reader *r = arg;
	static char bytes[ANSWER_BYTES];
	ssize_t n = read(r->fd, bytes, sizeof(bytes) / 8);

	if (n > 0) {
		r->read_bytes += (size_t)n;
		loop_timer_set(r->loop, &r->timer, loop_now_us(r->loop) + 1000);
		return;
	}
	r->reset = n < 0;
	close(r->fd);
	r->fd = -1;
}

/// What was sent before a stream is finished arrives, though its peer sends bytes that
/// nobody reads any more.
static void
test_finished_stream_delivers_all(void **state)
{
	struct late_reader r = {.timer = {.fn = read_late, .arg = &r}};
	struct loop_timer timeout = {.fn = on_timeout};
	struct message_body body = {.id = 1, .last = 1};
	static char answer[ANSWER_BYTES];
	static const char unread[] = {0, 0, 0, 9};
	struct stream *stream;
	struct address to;
	struct sockaddr_in bound;
	socklen_t len = sizeof(bound);
	struct error err;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	(void)state;
	assert_int_equal(address_make("127.0.0.1", 0, &to), 0);
	assert_int_equal(
	    bind(fd, (const struct sockaddr *)&to.in, sizeof(to.in)), 0);
	assert_int_equal(listen(fd, 1), 0);
	assert_int_equal(getsockname(fd, (struct sockaddr *)&bound, &len), 0);
	to.in = bound;
	r.loop = loop_create("test", &err);
	assert_non_null(r.loop);
	stream = stream_dial(r.loop, &to, &late_ops, &r, &err);
	assert_non_null(stream);
	r.fd = accept(fd, NULL, NULL);
	body.data.data = answer;
	body.data.size_bytes = ANSWER_BYTES;
	assert_int_equal(stream_send(stream, MESSAGE_BODY, &body), 0);
	assert_int_equal(write(r.fd, unread, sizeof(unread)), sizeof(unread));
	stream_finish(stream);
	assert_int_equal(stream_send(stream, MESSAGE_BODY, &body), -1);
	loop_timer_set(r.loop, &r.timer, loop_now_us(r.loop) + 50000);
	timeout.arg = r.loop;
	loop_timer_set(r.loop, &timeout, loop_now_us(r.loop) + 5000000);
	loop_run(r.loop);
	assert_true(r.read_bytes > ANSWER_BYTES);
	assert_false(r.reset);
	assert_true(r.ended);
	loop_destroy(r.loop);
	close(fd);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_full_queue_ends_stream),
	    cmocka_unit_test(test_busy_stream_drops_sent_bytes),
	    cmocka_unit_test(test_finished_stream_delivers_all),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("stream", tests, NULL, NULL);
}
