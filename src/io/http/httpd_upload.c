// Request bodies of the HTTP server.
//
// The library gives each chunk of a body by itself, however small. Parts are joined, so
// that cost grows with bytes, and long bodies take turns, so that they do not delay
// other connections.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/http/httpd_exchange.h"
#include "io/log/counters.h"

/// Joined parts of this size are delivered at once.
#define JOINED_BYTES (32 * 1024)

/// Share of a long body in a turn. The first one of each body is not counted.
#define SHARE_BYTES (32 * 1024)

/// What the library takes for a part, in bytes of the share.
#define PART_COST_BYTES 64

/// Read of a body that is too large, so that its caller gets the response.
#define MAX_EXCESS_BYTES (1024 * 1024)

const char httpd_body_too_large_text[] = "request body is too large\n";

COUNTER_DEFINE(count_cut, "http_uploads_cut",
    "Uploads whose connections were closed, being larger than the limit");

static void
take_share(void *arg)
{
	struct exchange *x = arg;

	loop_charge_bulk(x->pub.httpd->loop, SHARE_BYTES);
	x->share_bytes = SHARE_BYTES;
	exchange_resume(x);
}

void
upload_begin(struct exchange *x)
{
	x->share_bytes = SHARE_BYTES;
	x->job.fn = take_share;
	x->job.arg = x;
}

/// Tells whether a part of the body can be taken now.
static bool
may_take(struct exchange *x, size_t size_bytes)
{
	struct loop *loop = x->pub.httpd->loop;
	int64_t cost_bytes = (int64_t)size_bytes + PART_COST_BYTES;

	if (x->suspended)
		return false;
	if (x->share_bytes <= 0 && !x->job.queued &&
	    loop_take_bulk(loop, SHARE_BYTES))
		x->share_bytes = SHARE_BYTES;
	if (x->share_bytes <= 0) {
		loop_queue_bulk(loop, &x->job);
		exchange_suspend(x);
		return false;
	}
	x->share_bytes -= cost_bytes;
	return true;
}

static void
unlink_joined(struct exchange *x)
{
	if (x->parts == NULL)
		return;
	if (x->joined_prev != NULL)
		x->joined_prev->joined_next = x->joined_next;
	else
		x->pub.httpd->joined = x->joined_next;
	if (x->joined_next != NULL)
		x->joined_next->joined_prev = x->joined_prev;
	x->parts = NULL;
	x->parts_bytes = 0;
}

void
upload_deliver(struct exchange *x, bool last)
{
	size_t size_bytes = x->parts_bytes;
	char *parts = x->parts;

	if (parts == NULL && !last)
		return;
	unlink_joined(x);
	x->pub.httpd->ops->on_body(&x->pub, parts, size_bytes, last);
	free(parts);
}

void
upload_deliver_joined(struct httpd *httpd)
{
	while (httpd->joined != NULL)
		upload_deliver(httpd->joined, false);
}

void
upload_end(struct exchange *x)
{
	char *parts = x->parts;

	loop_cancel_bulk(x->pub.httpd->loop, &x->job);
	unlink_joined(x);
	free(parts);
}

static void
join(struct exchange *x, const char *data, size_t size_bytes)
{
	struct httpd *httpd = x->pub.httpd;

	if (size_bytes >= JOINED_BYTES ||
	    x->parts_bytes + size_bytes > JOINED_BYTES)
		upload_deliver(x, false);
	if (size_bytes >= JOINED_BYTES) {
		httpd->ops->on_body(&x->pub, data, size_bytes, false);
		return;
	}
	if (x->parts == NULL) {
		x->parts = malloc(JOINED_BYTES);
		assert(x->parts != NULL);
		x->joined_prev = NULL;
		x->joined_next = httpd->joined;
		if (x->joined_next != NULL)
			x->joined_next->joined_prev = x;
		httpd->joined = x;
	}
	memcpy(x->parts + x->parts_bytes, data, size_bytes);
	x->parts_bytes += size_bytes;
}

/// Buffers a part of a body before its request is passed on.
static void
buffer_part(struct exchange *x, const char *data, size_t size_bytes)
{
	const struct httpd *httpd = x->pub.httpd;

	if (x->received_bytes > x->max_body_bytes) {
		http_exchange_respond_text(
		    &x->pub, 413, httpd_body_too_large_text);
		exchange_drop_body(x);
		return;
	}
	if (!memory_holder_ask(&x->caller->holder,
		(int64_t)exchange_body_growth_bytes(x, size_bytes),
		loop_now_us(httpd->loop))) {
		if (!x->caller->holder.leaving)
			memory_holder_evict(&x->caller->holder);
		return;
	}
	http_exchange_keep_body(&x->pub, data, size_bytes, false);
	if (x->pub.body_bytes > HTTPD_BUFFERED_BODY_BYTES &&
	    httpd->ops->on_body != NULL)
		exchange_dispatch(x, true);
}

enum MHD_Result
upload_receive(struct exchange *x, const char *data, size_t *size_bytes)
{
	const struct httpd *httpd = x->pub.httpd;
	bool streamed = x->dispatched && !x->discarding;
	size_t n = *size_bytes;

	if (streamed && (int64_t)n > x->credit_bytes)
		n = (size_t)x->credit_bytes;
	if (n == 0 && !x->suspended)
		exchange_suspend(x);
	if (n == 0 || !may_take(x, n))
		return MHD_YES;
	*size_bytes -= n;
	memory_holder_progress(
	    &x->caller->holder, (int64_t)n, loop_now_us(httpd->loop));
	*(x->discarding ? &x->discarded_bytes : &x->received_bytes) +=
	    (int64_t)n;
	if (streamed) {
		x->credit_bytes -= (int64_t)n;
		join(x, data, n);
	} else if (!x->discarding) {
		buffer_part(x, data, n);
		return MHD_YES;
	}
	if (x->discarding
		? x->discarded_bytes <= x->max_body_bytes + MAX_EXCESS_BYTES
		: x->received_bytes <= x->max_body_bytes)
		return MHD_YES;
	counter_add(&count_cut, 1);
	return MHD_NO;
}
