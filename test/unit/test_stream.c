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
	struct sender *s = arg;

	loop_stop(s->loop);
}

/// A message that is not queued ends the stream: the peer must not take what
/// follows for the whole.
static void
test_full_queue_ends_stream(void **state)
{
	struct sender s = {.timer = {.fn = send_parts, .arg = &s}};
	struct loop_timer timeout = {.fn = on_timeout, .arg = &s};
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
	loop_timer_set(s.loop, &timeout, loop_now_us(s.loop) + 2000000);
	loop_run(s.loop);
	assert_true(s.refused > 0);
	assert_true(s.closed);
	assert_string_equal(s.err.step, "send");
	loop_destroy(s.loop);
	close(fd);
	free(s.part);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_full_queue_ends_stream),
	};

	apr_initialize();
	return cmocka_run_group_tests_name("stream", tests, NULL, NULL);
}
