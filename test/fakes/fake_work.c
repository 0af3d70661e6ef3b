// Requests of the fake backend server: count, serve, shed and nested calls.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fakes/fake_backend.h"
#include "io/clock.h"
#include "io/log/log.h"

/// A request in progress.
struct work {
	struct fake_backend *backend;
	struct http_exchange *exchange;
	struct loop_timer timer;
	struct httpc_call nested;
	char nested_url[512];
	struct message_header headers[2];
	char rank[64];
	char deadline[32];
	size_t body_bytes;
	uint64_t body_sum;
	bool body_done;
	bool responded;	 ///< It has been responded to.
	bool shed;	 ///< It is responded to without a run.
	bool holds_slot; ///< It occupies a slot and counts as a run.
};

static struct fake_key_count *
find_or_add_key(struct fake_backend *b, const char *key)
{
	uint32_t i;

	for (i = 0; i < b->key_count; i++)
		if (strcmp(b->keys[i].key, key) == 0)
			return &b->keys[i];
	assert(b->key_count < FAKE_MAX_KEYS);
	snprintf(b->keys[b->key_count].key, sizeof(b->keys[0].key), "%s", key);
	return &b->keys[b->key_count++];
}

static void
count_run(struct work *w)
{
	struct fake_backend *b = w->backend;
	const char *key =
	    http_exchange_get_header(w->exchange, "Idempotency-Key");

	b->runs++;
	if (key == NULL && strcmp(w->exchange->method, "POST") == 0)
		key = http_exchange_get_header(
		    w->exchange, "Magnolia-Request-Id");
	if (key != NULL)
		find_or_add_key(b, key)->runs++;
	log_write(LOG_INFO, "fake", "Ran %s %s key %s rank %s deadline %s.",
	    w->exchange->method, w->exchange->target, key == NULL ? "-" : key,
	    w->rank, w->deadline);
	if (b->settings.behaviour.die_after_run > 0 &&
	    --b->settings.behaviour.die_after_run == 0) {
		log_flush();
		_exit(9);
	}
}

/// What the server states of itself in a response.
struct statement {
	char limit[32];
	struct http_header headers[5];
	size_t count;
};

static void
make_statement(const struct work *w, struct statement *statement)
{
	const struct fake_behaviour *b = &w->backend->settings.behaviour;
	const char *id =
	    http_exchange_get_header(w->exchange, "Magnolia-Request-Id");
	struct http_header *next = statement->headers;

	*next++ =
	    (struct http_header){"Content-Type", "text/plain; charset=utf-8"};
	if (id != NULL)
		*next++ = (struct http_header){"Magnolia-Request-Id", id};
	if (b->limit > 0) {
		snprintf(statement->limit, sizeof(statement->limit),
		    "%" PRId64 ".0", b->limit);
		*next++ =
		    (struct http_header){"Magnolia-Limit", statement->limit};
	}
	if (b->leaving)
		*next++ = (struct http_header){"Magnolia-Leaving", "1"};
	if (w->shed)
		*next++ = (struct http_header){"Magnolia-Shed", "1"};
	statement->count = (size_t)(next - statement->headers);
}

static void
respond_text(struct work *w, uint32_t status, const char *text)
{
	struct statement statement;

	make_statement(w, &statement);
	http_exchange_respond(w->exchange, status, statement.headers,
	    statement.count, text, strlen(text));
}

static void
respond_long(struct work *w)
{
	struct fake_backend *b = w->backend;
	int64_t total = b->settings.behaviour.response_bytes;
	int64_t cut = b->settings.behaviour.cut_at_bytes;
	int64_t pause = b->settings.behaviour.pause_at_bytes;
	int64_t n = cut > 0 && cut < total ? cut : total;
	char *body = malloc((size_t)n);
	struct statement statement;
	int64_t i;

	assert(body != NULL);
	if (pause > 0 && pause < n)
		n = pause;
	for (i = 0; i < n; i++)
		body[i] = (char)('a' + i % 23);
	make_statement(w, &statement);
	http_exchange_respond_start(
	    w->exchange, 200, statement.headers, statement.count, total);
	http_exchange_respond_body(w->exchange, body, (size_t)n);
	if (n == pause)
		w->responded = false;
	else
		http_exchange_respond_end(w->exchange, n == total);
	free(body);
}

/// Responds with what the caller can check: service, request and body checksum.
static void
respond(struct work *w)
{
	struct fake_backend *b = w->backend;
	char text[1024];

	if (w->exchange == NULL)
		return;
	w->responded = true;
	if (b->settings.behaviour.fail) {
		respond_text(w, 500, "failed\n");
		return;
	}
	if (b->settings.behaviour.response_bytes > 0) {
		respond_long(w);
		return;
	}
	snprintf(text, sizeof(text),
	    "%s %s %s bytes=%zu sum=%" PRIu64 " rank=%s\n", b->settings.service,
	    w->exchange->method, w->exchange->target, w->body_bytes,
	    w->body_sum, w->rank);
	respond_text(w, 200, text);
}

static void
on_service_end(void *arg)
{
	struct work *w = arg;

	respond(w);
}

static void
start_service(struct work *w)
{
	struct fake_backend *b = w->backend;
	const struct fake_behaviour *behaviour = &b->settings.behaviour;

	if (behaviour->shed || b->running >= behaviour->slots) {
		w->responded = w->shed = true;
		respond_text(w, 503, "shed\n");
		return;
	}
	b->running++;
	w->holds_slot = true;
	count_run(w);
	if (behaviour->stall)
		return;
	if (behaviour->service_us == 0) {
		respond(w);
		return;
	}
	w->timer.fn = on_service_end;
	w->timer.arg = w;
	loop_timer_set(
	    b->loop, &w->timer, loop_now_us(b->loop) + behaviour->service_us);
}

static void
on_nested_done(struct httpc_call *call, const struct error *err)
{
	struct work *w = call->owner;

	if (w->exchange == NULL) {
		free(w);
		return;
	}
	if (err != NULL || call->status != 200) {
		w->responded = true;
		respond_text(w, 502, "nested call failed\n");
		return;
	}
	start_service(w);
}

static const struct httpc_ops nested_ops = {
    .on_head = fake_ignore_head,
    .on_body = fake_ignore_body,
    .on_done = on_nested_done,
};

/// Calls PATH through the local proxy before a request "?call=PATH" is served.
///
/// @return whether a nested call was started
static bool
start_nested(struct work *w)
{
	struct fake_backend *b = w->backend;
	const char *call = strstr(w->exchange->target, "?call=");
	struct error err;

	if (call == NULL || b->settings.proxy_inner[0] == '\0')
		return false;
	snprintf(w->nested_url, sizeof(w->nested_url), "http://%s%s",
	    b->settings.proxy_inner, call + strlen("?call="));
	w->headers[0].name = bytes_from_string("Magnolia-Rank");
	w->headers[0].value = bytes_from_string(w->rank);
	w->headers[1].name = bytes_from_string("Magnolia-Deadline-Ms");
	w->headers[1].value = bytes_from_string(w->deadline);
	w->nested.ops = &nested_ops;
	w->nested.owner = w;
	w->nested.method = "GET";
	w->nested.url = w->nested_url;
	w->nested.headers = w->headers;
	w->nested.header_count = 2;
	w->nested.deadline_us = clock_now_us() + 10 * US_PER_S;
	w->nested.repeatable = true;
	return httpc_call_start(b->httpc, &w->nested, &err) == 0;
}

static void
add_body(struct work *w, const char *data, size_t size_bytes)
{
	size_t i;

	for (i = 0; i < size_bytes; i++)
		w->body_sum = w->body_sum * 31 + (unsigned char)data[i];
	w->body_bytes += size_bytes;
}

static void
copy_header(const struct http_exchange *x, const char *name, char *out,
    size_t out_bytes)
{
	const char *value = http_exchange_get_header(x, name);

	snprintf(out, out_bytes, "%s", value == NULL ? "-" : value);
}

static void
begin_work(struct work *w)
{
	if (!start_nested(w))
		start_service(w);
}

static void
on_request(void *owner, struct http_exchange *exchange)
{
	struct fake_backend *b = owner;
	struct work *w;

	if (strncmp(exchange->target, "/_fake/", 7) == 0) {
		fake_control_handle(b, exchange);
		return;
	}
	w = calloc(1, sizeof(*w));
	assert(w != NULL);
	w->backend = b;
	w->exchange = exchange;
	exchange->state = w;
	copy_header(exchange, "Magnolia-Rank", w->rank, sizeof(w->rank));
	copy_header(
	    exchange, "Magnolia-Deadline-Ms", w->deadline, sizeof(w->deadline));
	add_body(w, exchange->body, exchange->body_bytes);
	if (exchange->more)
		http_exchange_add_credit(exchange, 1u << 20);
	else
		begin_work(w);
}

static void
on_body(struct http_exchange *exchange, const char *data, size_t size_bytes,
    bool last)
{
	struct work *w = exchange->state;

	add_body(w, data, size_bytes);
	http_exchange_add_credit(exchange, size_bytes);
	if (last)
		begin_work(w);
}

static void
on_end(struct http_exchange *exchange, enum http_end end)
{
	struct work *w = exchange->state;

	(void)end;
	if (w == NULL)
		return;
	if (!w->responded && w->holds_slot)
		log_write(LOG_INFO, "fake", "Cancelled %s %s.",
		    exchange->method, exchange->target);
	if (w->holds_slot)
		w->backend->running--;
	loop_timer_clear(w->backend->loop, &w->timer);
	w->exchange = NULL;
	if (!w->nested.active)
		free(w);
}

const struct httpd_ops fake_httpd_ops = {
    .on_request = on_request,
    .on_body = on_body,
    .on_end = on_end,
};
