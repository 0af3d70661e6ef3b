// Fuzz targets of the HTTP server and the HTTP client.
#include <apr_general.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fuzz/fuzz_http.h"
#include "io/clock.h"
#include "io/http/httpc.h"
#include "io/http/httpd.h"
#include "wire/head.h"

/// An input that leaves the peer waiting ends after this time.
#define WAIT_US 2000

#define CALLS_PER_INPUT 2

/// The input of the request that is being tested.
static struct bytes input;

/// Server under test, and the connection that sends the input.
struct server_case {
	struct loop *loop;
	struct httpd *httpd;
	struct address bound;
	struct loop_watch client;
	struct loop_timer timer;
};

/// Client under test, and the connection that answers with the input.
struct client_case {
	struct loop *loop;
	struct httpc *httpc;
	struct loop_watch listener;
	struct loop_watch server;
	char url[64];
	const char *bytes;
	size_t size_bytes;
	struct httpc_call call;
	struct loop_timer next_timer;
	uint32_t calls_left;
	int64_t total_bytes;
	int64_t received_bytes;
	bool has_head;
};

static void
expect(bool holds, const char *what)
{
	if (holds)
		return;
	fprintf(stderr, "fuzz: %s\n", what);
	abort();
}

static struct loop *
open_loop(void)
{
	struct error err;
	struct loop *loop;

	apr_initialize();
	loop = loop_create("fuzz", &err);
	expect(loop != NULL, "no loop");
	return loop;
}

/// Reads and drops what has arrived. Returns false at the end of the connection.
static bool
drop_input(int fd)
{
	char buffer[4096];
	ssize_t n;

	do
		n = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	while (n > 0);
	return n < 0;
}

static void
close_watch(struct loop *loop, struct loop_watch *watch)
{
	int fd = watch->fd;

	if (watch->events == 0)
		return;
	loop_watch_set(loop, watch, fd, 0);
	close(fd);
}

// Requests.

/// Returns whether a line of the input, from CRLF to CRLF, is a field.
static bool
is_line_of_input(size_t at, const char *name, const char *value)
{
	size_t name_bytes = strlen(name);
	size_t value_bytes = strlen(value);

	if (at + name_bytes >= input.size_bytes ||
	    memcmp(input.data + at, name, name_bytes) != 0 ||
	    input.data[at + name_bytes] != ':')
		return false;
	at += name_bytes + 1;
	while (at < input.size_bytes &&
	    (input.data[at] == ' ' || input.data[at] == '\t'))
		at++;
	return at + value_bytes + 2 <= input.size_bytes &&
	    memcmp(input.data + at, value, value_bytes) == 0 &&
	    memcmp(input.data + at + value_bytes, "\r\n", 2) == 0;
}

/// A field is a line of the input as it stands, in a form that is read in one way.
static void
check_field(void *arg, const char *name, const char *value)
{
	uint32_t *hosts = arg;
	struct error err;
	bool found = false;
	size_t i;

	*hosts += strcasecmp(name, "Host") == 0;
	expect(head_check_field(bytes_from_string(name),
		   bytes_from_string(value), &err) == 0,
	    "a field that is read in two ways");
	for (i = 2; i < input.size_bytes && !found; i++)
		found = memcmp(input.data + i - 2, "\r\n", 2) == 0 &&
		    is_line_of_input(i, name, value);
	expect(found, "a field that is no line of the input");
}

static void
on_request(void *owner, struct http_exchange *exchange)
{
	uint32_t hosts = 0;

	(void)owner;
	expect(exchange->method != NULL && exchange->method[0] != '\0',
	    "a request without method");
	expect(exchange->target != NULL && exchange->target[0] != '\0',
	    "a request without target");
	expect(exchange->state == NULL, "a request arrived twice");
	exchange->state = exchange;
	http_exchange_visit_headers(exchange, check_field, &hosts);
	expect(hosts <= 1, "a request with two hosts");
	if (!exchange->more)
		http_exchange_respond_text(exchange, 200, exchange->target);
}

static void
on_request_body(struct http_exchange *exchange, const char *data,
    size_t size_bytes, bool last)
{
	(void)data;
	expect(exchange->state == exchange, "a body before its request");
	if (last)
		http_exchange_respond_text(exchange, 200, "");
	else
		http_exchange_add_credit(exchange, size_bytes);
}

static void
on_end(struct http_exchange *exchange, enum http_end end)
{
	(void)end;
	expect(exchange->state == exchange, "an end before its request");
	exchange->state = NULL;
}

static const struct httpd_ops server_ops = {
    .on_request = on_request,
    .on_body = on_request_body,
    .on_end = on_end,
};

static void
on_client_readable(void *arg, uint32_t events)
{
	struct server_case *c = arg;

	(void)events;
	if (!drop_input(c->client.fd))
		loop_stop(c->loop);
}

static void
on_server_timer(void *arg)
{
	struct server_case *c = arg;

	loop_stop(c->loop);
}

static struct server_case *
open_server_case(void)
{
	static struct server_case c;
	const struct httpd_limits limits = {.max_body_bytes = 4096,
	    .max_header_bytes = 2048,
	    .max_connections = 1000,
	    .idle_timeout_s = 1};
	struct address at;
	struct error err;

	if (c.loop != NULL)
		return &c;
	c.loop = open_loop();
	address_make("127.0.0.1", 0, &at);
	c.httpd =
	    httpd_open(c.loop, &at, &server_ops, NULL, &limits, &c.bound, &err);
	expect(c.httpd != NULL, "no HTTP server");
	c.client.fn = on_client_readable;
	c.client.arg = &c;
	c.timer.fn = on_server_timer;
	c.timer.arg = &c;
	return &c;
}

void
fuzz_run_request(const char *bytes, size_t size_bytes)
{
	struct server_case *c = open_server_case();
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	input.data = bytes;
	input.size_bytes = (uint32_t)size_bytes;
	expect(connect(fd, (const struct sockaddr *)&c->bound.in,
		   sizeof(c->bound.in)) == 0,
	    "the HTTP server takes no connection");
	(void)!send(fd, bytes, size_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (size_bytes % 2 == 0)
		shutdown(fd, SHUT_WR);
	loop_watch_set(c->loop, &c->client, fd, LOOP_READ);
	loop_timer_set(c->loop, &c->timer, clock_now_us() + WAIT_US);
	loop_run(c->loop);
	loop_timer_clear(c->loop, &c->timer);
	close_watch(c->loop, &c->client);
}

// Answers.

static enum httpc_verdict
on_head(struct httpc_call *call, uint32_t status, int64_t total_bytes)
{
	struct client_case *c = call->owner;

	expect(!c->has_head || c->received_bytes == 0, "a head after a body");
	c->has_head = status >= 200;
	c->total_bytes = total_bytes;
	return HTTPC_ACCEPT;
}

static bool
on_answer_body(struct httpc_call *call, const char *data, size_t size_bytes)
{
	struct client_case *c = call->owner;

	(void)data;
	expect(c->has_head, "a body before its head");
	c->received_bytes += (int64_t)size_bytes;
	return true;
}

static void
on_done(struct httpc_call *call, const struct error *err)
{
	struct client_case *c = call->owner;

	expect(c->calls_left > 0, "a call ended twice");
	if (err == NULL) {
		expect(c->has_head, "complete without a head");
		expect(
		    c->total_bytes < 0 || c->total_bytes == c->received_bytes,
		    "complete with a body of another length");
	}
	c->calls_left--;
	loop_timer_set(c->loop, &c->next_timer, 0);
}

static const struct httpc_ops client_ops = {
    .on_head = on_head,
    .on_body = on_answer_body,
    .on_done = on_done,
};

static void
start_call(void *arg)
{
	struct client_case *c = arg;
	struct error err;

	if (c->calls_left == 0) {
		loop_stop(c->loop);
		return;
	}
	memset(&c->call, 0, sizeof(c->call));
	c->call.ops = &client_ops;
	c->call.owner = c;
	c->call.method = "GET";
	c->call.url = c->url;
	c->call.deadline_us = clock_now_us() + WAIT_US;
	c->total_bytes = -1;
	c->received_bytes = 0;
	c->has_head = false;
	expect(httpc_call_start(c->httpc, &c->call, &err) == 0, "no call");
}

static void
on_server_readable(void *arg, uint32_t events)
{
	struct client_case *c = arg;

	(void)events;
	if (!drop_input(c->server.fd)) {
		close_watch(c->loop, &c->server);
		return;
	}
	(void)!send(
	    c->server.fd, c->bytes, c->size_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (c->size_bytes % 2 == 0)
		shutdown(c->server.fd, SHUT_WR);
}

static void
on_connection(void *arg, uint32_t events)
{
	struct client_case *c = arg;
	int fd = accept(c->listener.fd, NULL, NULL);

	(void)events;
	if (fd < 0)
		return;
	close_watch(c->loop, &c->server);
	loop_watch_set(c->loop, &c->server, fd, LOOP_READ);
}

static struct client_case *
open_client_case(void)
{
	static struct client_case c;
	struct sockaddr_in in = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t in_bytes = sizeof(in);
	struct error err;
	int fd;

	if (c.loop != NULL)
		return &c;
	c.loop = open_loop();
	c.httpc = httpc_open(c.loop, 1, &err);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	expect(c.httpc != NULL &&
		bind(fd, (struct sockaddr *)&in, sizeof(in)) == 0 &&
		listen(fd, 16) == 0 && fcntl(fd, F_SETFL, O_NONBLOCK) == 0 &&
		getsockname(fd, (struct sockaddr *)&in, &in_bytes) == 0,
	    "no listening socket");
	snprintf(
	    c.url, sizeof(c.url), "http://127.0.0.1:%u/a", ntohs(in.sin_port));
	c.listener.fn = on_connection;
	c.listener.arg = &c;
	c.server.fn = on_server_readable;
	c.server.arg = &c;
	c.next_timer.fn = start_call;
	c.next_timer.arg = &c;
	loop_watch_set(c.loop, &c.listener, fd, LOOP_READ);
	return &c;
}

void
fuzz_run_answer(const char *bytes, size_t size_bytes)
{
	struct client_case *c = open_client_case();

	c->bytes = bytes;
	c->size_bytes = size_bytes;
	c->calls_left = CALLS_PER_INPUT;
	loop_timer_set(c->loop, &c->next_timer, 0);
	loop_run(c->loop);
	httpc_close_idle(c->httpc);
	close_watch(c->loop, &c->server);
}
