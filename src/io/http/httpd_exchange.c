// Requests and responses of the HTTP server.
#include <assert.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "io/held.h"
#include "io/http/httpd_exchange.h"
#include "io/log/counters.h"
#include "wire/head.h"

COUNTER_DEFINE(count_abandoned, "http_requests_abandoned",
    "Requests whose callers had left before they were read");

#define STREAM_BLOCK_BYTES (32 * 1024)

/// A body that is passed on at this size or before.
#define KEPT_BODY_BYTES (HTTPD_BUFFERED_BODY_BYTES + CONNECTION_MEMORY_BYTES)

/// Memory that the library takes for each header of a request besides its text.
#define HEADER_ENTRY_BYTES 64

/// Request line, status line, and the headers that the library adds to a
/// response, with some space for alignment.
#define LINES_BYTES 192

struct exchange *
exchange_of(struct http_exchange *pub)
{
	return (struct exchange *)pub;
}

void
exchange_suspend(struct exchange *x)
{
	assert(!x->suspended);
	x->suspended = true;
	memory_holder_set_waits(
	    &x->caller->holder, true, loop_now_us(x->pub.httpd->loop));
	MHD_suspend_connection(x->connection);
}

void
exchange_resume(struct exchange *x)
{
	if (!x->suspended)
		return;
	x->suspended = false;
	memory_holder_set_waits(
	    &x->caller->holder, false, loop_now_us(x->pub.httpd->loop));
	x->pub.httpd->run_pending = true;
	loop_wake_hooks(x->pub.httpd->loop);
	MHD_resume_connection(x->connection);
}

const char *
http_exchange_get_header(const struct http_exchange *exchange, const char *name)
{
	const struct exchange *x = (const struct exchange *)exchange;

	return MHD_lookup_connection_value(
	    x->connection, MHD_HEADER_KIND, name);
}

struct visit {
	void (*fn)(void *arg, const char *name, const char *value);
	void *arg;
};

static enum MHD_Result
visit_header(
    void *cls, enum MHD_ValueKind kind, const char *key, const char *value)
{
	struct visit *visit = cls;

	(void)kind;
	visit->fn(visit->arg, key, value == NULL ? "" : value);
	return MHD_YES;
}

void
http_exchange_visit_headers(const struct http_exchange *exchange,
    void (*fn)(void *arg, const char *name, const char *value), void *arg)
{
	const struct exchange *x = (const struct exchange *)exchange;
	struct visit visit = {fn, arg};

	MHD_get_connection_values(
	    x->connection, MHD_HEADER_KIND, visit_header, &visit);
}

/// A name to look for in Connection headers.
struct option_search {
	const char *name;
	bool found;
};

static enum MHD_Result
find_option(
    void *cls, enum MHD_ValueKind kind, const char *key, const char *value)
{
	struct option_search *search = cls;

	(void)kind;
	if (value != NULL && strcasecmp(key, "Connection") == 0)
		search->found |= head_tokens_hold(
		    bytes_from_string(value), bytes_from_string(search->name));
	return search->found ? MHD_NO : MHD_YES;
}

bool
http_exchange_connection_names(
    const struct http_exchange *exchange, const char *name)
{
	const struct exchange *x = (const struct exchange *)exchange;
	struct option_search search = {.name = name};

	if (!x->has_options)
		return false;
	MHD_get_connection_values(
	    x->connection, MHD_HEADER_KIND, find_option, &search);
	return search.found;
}

struct head_size {
	int64_t sum_bytes;
	int64_t per_header_bytes;
};

/// The colon, the space and CRLF.
#define HEADER_FRAME_BYTES 4

static enum MHD_Result
add_header_bytes(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct head_size *size = cls;

	(void)kind;
	size->sum_bytes +=
	    (int64_t)strlen(name) + HEADER_FRAME_BYTES + size->per_header_bytes;
	if (value != NULL)
		size->sum_bytes += (int64_t)strlen(value);
	return MHD_YES;
}

int64_t
exchange_head_bytes(const struct exchange *x, int64_t per_header_bytes)
{
	struct head_size size = {
	    (int64_t)strlen(x->pub.target), per_header_bytes};

	MHD_get_connection_values(
	    x->connection, MHD_HEADER_KIND, add_header_bytes, &size);
	return size.sum_bytes;
}

bool
http_exchange_head_fits(const struct http_exchange *exchange,
    const struct http_header *headers, size_t header_count)
{
	const struct exchange *x = (const struct exchange *)exchange;
	int64_t left_bytes = CONNECTION_MEMORY_BYTES - LINES_BYTES -
	    exchange_head_bytes(x, HEADER_ENTRY_BYTES);
	size_t i;

	for (i = 0; i < header_count; i++)
		left_bytes -= (int64_t)(strlen(headers[i].name) +
		    strlen(headers[i].value) + HEADER_FRAME_BYTES);
	return left_bytes >= 0;
}

/// Adds a header. The library drops those without a value; a blank means the same.
static void
add_header(struct MHD_Response *response, const struct http_header *header)
{
	MHD_add_response_header(response, header->name,
	    header->value[0] == '\0' ? " " : header->value);
}

/// Stores the response, which is queued when the library next processes the
/// connection.
static void
set_response(struct exchange *x, uint32_t status, struct MHD_Response *response,
    const struct http_header *headers, size_t header_count)
{
	size_t i;

	assert(response != NULL);
	if (x->response != NULL) {
		// A response to the caller's disconnect is set already.
		MHD_destroy_response(response);
		return;
	}
	for (i = 0; i < header_count; i++)
		add_header(response, &headers[i]);
	if (x->pub.httpd->draining)
		MHD_add_response_header(response, "Connection", "close");
	x->response = response;
	x->status = status;
	if (!x->upload_done)
		x->discarding = true;
	exchange_resume(x);
}

void
http_exchange_respond(struct http_exchange *exchange, uint32_t status,
    const struct http_header *headers, size_t header_count, const char *body,
    size_t body_bytes)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    body_bytes, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

	exchange_of(exchange)->response_bytes = body_bytes;
	caller_update(exchange_of(exchange)->caller);
	set_response(
	    exchange_of(exchange), status, response, headers, header_count);
}

void
http_exchange_respond_text(
    struct http_exchange *exchange, uint32_t status, const char *text)
{
	static const struct http_header plain_text = {
	    "Content-Type", "text/plain; charset=utf-8"};

	http_exchange_respond(
	    exchange, status, &plain_text, 1, text, strlen(text));
}

/// Copies bytes of a streamed response for the library to send.
static ssize_t
read_response_body(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct exchange *x = cls;
	size_t n = x->out_bytes < max ? x->out_bytes : max;

	(void)pos;
	if (n == 0 && x->out_ended)
		return x->out_complete ? MHD_CONTENT_READER_END_OF_STREAM
				       : MHD_CONTENT_READER_END_WITH_ERROR;
	if (n == 0) {
		if (!x->suspended)
			exchange_suspend(x);
		return 0;
	}
	memcpy(buf, x->out, n);
	memmove(x->out, x->out + n, x->out_bytes - n);
	x->out_bytes -= n;
	if (x->out_bytes == 0) {
		free(x->out);
		x->out = NULL;
		x->out_capacity_bytes = 0;
		held_update(HELD_CALLER_ANSWER, &x->out_held_bytes, 0);
	}
	memory_holder_progress(
	    &x->caller->holder, (int64_t)n, loop_now_us(x->pub.httpd->loop));
	caller_update(x->caller);
	if (x->pub.httpd->ops->on_drained != NULL)
		x->pub.httpd->ops->on_drained(&x->pub, n);
	return (ssize_t)n;
}

void
http_exchange_respond_start(struct http_exchange *exchange, uint32_t status,
    const struct http_header *headers, size_t header_count, int64_t total_bytes)
{
	struct exchange *x = exchange_of(exchange);
	uint64_t size_bytes =
	    total_bytes < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)total_bytes;

	set_response(x, status,
	    MHD_create_response_from_callback(
		size_bytes, STREAM_BLOCK_BYTES, read_response_body, x, NULL),
	    headers, header_count);
}

void
http_exchange_respond_body(
    struct http_exchange *exchange, const char *data, size_t size_bytes)
{
	struct exchange *x = exchange_of(exchange);

	if (x->out_bytes + size_bytes > x->out_capacity_bytes) {
		x->out_capacity_bytes = x->out_bytes + size_bytes;
		x->out = realloc(x->out, x->out_capacity_bytes);
		assert(x->out != NULL);
		held_update(HELD_CALLER_ANSWER, &x->out_held_bytes,
		    x->out_capacity_bytes);
		caller_update(x->caller);
	}
	memcpy(x->out + x->out_bytes, data, size_bytes);
	x->out_bytes += size_bytes;
	exchange_resume(x);
}

void
http_exchange_respond_end(struct http_exchange *exchange, bool complete)
{
	struct exchange *x = exchange_of(exchange);

	x->out_ended = true;
	x->out_complete = complete;
	exchange_resume(x);
}

size_t
exchange_body_growth_bytes(const struct exchange *x, size_t size_bytes)
{
	size_t needed_bytes = x->pub.body_bytes + size_bytes + 1;
	size_t capacity_bytes = x->body_capacity_bytes * 2;

	if (needed_bytes <= x->body_capacity_bytes)
		return 0;
	// Doubles, but for a body that comes at once, up to one that is passed on.
	if (capacity_bytes > KEPT_BODY_BYTES)
		capacity_bytes = KEPT_BODY_BYTES;
	if (x->announced_bytes > 0 &&
	    capacity_bytes > (size_t)x->announced_bytes + 1)
		capacity_bytes = (size_t)x->announced_bytes + 1;
	if (capacity_bytes < needed_bytes)
		capacity_bytes = needed_bytes;
	return capacity_bytes - x->body_capacity_bytes;
}

void
http_exchange_keep_body(struct http_exchange *exchange, const char *data,
    size_t size_bytes, bool last)
{
	struct exchange *x = exchange_of(exchange);

	x->body_capacity_bytes += exchange_body_growth_bytes(x, size_bytes);
	if (x->body_capacity_bytes != x->body_held_bytes) {
		exchange->body =
		    realloc(exchange->body, x->body_capacity_bytes);
		assert(exchange->body != NULL);
		held_update(HELD_CALLER_BODY, &x->body_held_bytes,
		    x->body_capacity_bytes);
		caller_update(x->caller);
	}
	if (size_bytes > 0)
		memcpy(exchange->body + exchange->body_bytes, data, size_bytes);
	exchange->body_bytes += size_bytes;
	exchange->body[exchange->body_bytes] = '\0';
	exchange->more &= !last;
}

void
exchange_drop_body(struct exchange *x)
{
	free(x->pub.body);
	x->pub.body = NULL;
	x->pub.body_bytes = x->body_capacity_bytes = 0;
	held_update(HELD_CALLER_BODY, &x->body_held_bytes, 0);
	caller_update(x->caller);
}

void
exchange_end_abandoned(struct exchange *x)
{
	x->abandoned = true;
	if (x->response == NULL)
		http_exchange_respond_text(&x->pub, 499, "");
	else
		http_exchange_respond_end(&x->pub, false);
}

void
http_exchange_add_credit(struct http_exchange *exchange, size_t size_bytes)
{
	struct exchange *x = exchange_of(exchange);

	x->credit_bytes += (int64_t)size_bytes;
	if (!x->upload_done)
		exchange_resume(x);
}

void
exchange_watch_for_close(const struct exchange *x, struct pollfd *pollfd)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	pollfd->fd = info == NULL ? -1 : info->connect_fd;
	pollfd->events = POLLRDHUP;
	pollfd->revents = 0;
}

static bool
caller_has_closed(const struct exchange *x)
{
	struct pollfd pollfd;

	exchange_watch_for_close(x, &pollfd);
	return poll(&pollfd, 1, 0) > 0;
}

void
exchange_dispatch(struct exchange *x, bool more)
{
	if (x->pub.httpd->ops->drops_abandoned && caller_has_closed(x)) {
		counter_add(&count_abandoned, 1);
		http_exchange_respond_text(&x->pub, 499, "");
		return;
	}
	x->dispatched = true;
	x->pub.more = more;
	x->pub.httpd->ops->on_request(x->pub.httpd->owner, &x->pub);
}
