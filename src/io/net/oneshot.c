// Single request and response on a stream of its own.
#include <assert.h>
#include <stdlib.h>

#include "io/net/oneshot.h"

struct oneshot {
	struct loop *loop;
	struct stream *stream;
	struct loop_timer timer;
	oneshot_fn *fn;
	void *arg;
	struct error err;
};

static void
finish(
    struct oneshot *o, const struct message *response, const struct error *err)
{
	loop_timer_clear(o->loop, &o->timer);
	o->fn(o->arg, response, err);
	free(o);
}

static void
on_message(struct stream *stream, struct message *message)
{
	struct oneshot *o = stream->owner;

	stream_close(stream);
	finish(o, message, NULL);
}

static void
on_closed(struct stream *stream, const struct error *err)
{
	finish(stream->owner, NULL, err);
}

static const struct stream_ops stream_ops = {
    .on_message = on_message,
    .on_closed = on_closed,
};

static void
on_timeout(void *arg)
{
	struct oneshot *o = arg;

	if (o->stream != NULL) {
		error_set(&o->err, ERR_UNAVAILABLE, "await response",
		    o->stream->peer, "no response before the deadline");
		stream_close(o->stream);
	}
	finish(o, NULL, &o->err);
}

void
oneshot_call(struct loop *loop, const struct address *to,
    enum message_type type, const void *value, int64_t deadline_us,
    oneshot_fn *fn, void *arg)
{
	struct oneshot *o = calloc(1, sizeof(*o));

	assert(o != NULL);
	o->loop = loop;
	o->fn = fn;
	o->arg = arg;
	o->timer.fn = on_timeout;
	o->timer.arg = o;
	o->stream = stream_dial(loop, to, &stream_ops, o, &o->err);
	if (o->stream == NULL)
		deadline_us = loop_now_us(loop);
	else
		stream_send(o->stream, type, value);
	loop_timer_set(loop, &o->timer, deadline_us);
}
