// HTTP client: libcurl's multi interface on the event loop.
#include <assert.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "io/clock.h"
#include "io/httpc.h"

#define MAX_IDLE_HANDLES   256
#define DIAL_TIMEOUT_MS	   2000L
#define CACHED_CONNECTIONS 256L

/// Registration of one of the library's descriptors.
struct socket_watch {
	struct httpc *httpc;
	struct loop_watch watch;
};

struct httpc {
	struct loop *loop;
	CURLM *multi;
	struct loop_timer timer;
	struct loop_hook hook;
	struct httpc_call *first;
	CURL *idle[MAX_IDLE_HANDLES];
	uint32_t idle_count;
	bool run_now; ///< The library asked for a timeout of 0 ms.
	bool check_done;
};

static void
handle_release(struct httpc *httpc, CURL *easy)
{
	if (httpc->idle_count == MAX_IDLE_HANDLES) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	httpc->idle[httpc->idle_count++] = easy;
}

static CURL *
handle_take(struct httpc *httpc)
{
	if (httpc->idle_count > 0)
		return httpc->idle[--httpc->idle_count];
	return curl_easy_init();
}

/// Detaches a call from the library.
static void
call_release(struct httpc_call *call)
{
	struct httpc *httpc = call->httpc;

	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		httpc->first = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	call->next = call->prev = NULL;
	curl_multi_remove_handle(httpc->multi, call->easy);
	handle_release(httpc, call->easy);
	curl_slist_free_all(call->list);
	call->easy = NULL;
	call->list = NULL;
}

static void
finish_call(struct httpc_call *call, CURLcode code)
{
	struct error err;
	const char *step = call->head_seen ? "read response" : "call";
	char url[ERROR_PEER_BYTES];

	snprintf(url, sizeof(url), "%.*s", (int)sizeof(url) - 1, call->url);
	if (code != CURLE_OK)
		error_set(&err,
		    code == CURLE_OPERATION_TIMEDOUT ? ERR_TIMEOUT : ERR_IO,
		    step, url, "%s", curl_easy_strerror(code));
	call_release(call);
	call->ops->on_done(call, code == CURLE_OK ? NULL : &err);
}

static void
collect_done(struct httpc *httpc)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(httpc->multi, &left)) != NULL) {
		char *private = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &private);
		finish_call((struct httpc_call *)private, msg->data.result);
	}
}

static void
run_library(struct httpc *httpc, curl_socket_t fd, int events)
{
	int running;

	curl_multi_socket_action(httpc->multi, fd, events, &running);
	httpc->check_done = true;
}

static int64_t
before_wait(void *arg)
{
	struct httpc *httpc = arg;

	if (httpc->run_now) {
		httpc->run_now = false;
		run_library(httpc, CURL_SOCKET_TIMEOUT, 0);
	}
	if (httpc->check_done) {
		httpc->check_done = false;
		collect_done(httpc);
	}
	return httpc->run_now || httpc->check_done ? 0 : DEADLINE_NEVER_US;
}

static void
on_timer(void *arg)
{
	run_library(arg, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_set_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct httpc *httpc = arg;

	(void)multi;
	loop_timer_clear(httpc->loop, &httpc->timer);
	httpc->run_now = timeout_ms == 0;
	if (httpc->run_now)
		loop_wake_hooks(httpc->loop);
	if (timeout_ms > 0)
		loop_timer_set(httpc->loop, &httpc->timer,
		    loop_now_us(httpc->loop) + timeout_ms * US_PER_MS);
	return 0;
}

static void
on_socket_ready(void *arg, uint32_t events)
{
	struct socket_watch *sw = arg;
	int mask = 0;

	if (events & LOOP_READ)
		mask |= CURL_CSELECT_IN;
	if (events & LOOP_WRITE)
		mask |= CURL_CSELECT_OUT;
	if (events & LOOP_ERROR)
		mask |= CURL_CSELECT_ERR;
	run_library(sw->httpc, sw->watch.fd, mask);
}

static void
socket_watch_free(void *arg)
{
	free(arg);
}

static int
on_set_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *socket)
{
	struct httpc *httpc = arg;
	struct socket_watch *sw = socket;
	uint32_t events = 0;

	(void)easy;
	if (sw == NULL && what == CURL_POLL_REMOVE)
		return 0;
	if (sw == NULL) {
		sw = calloc(1, sizeof(*sw));
		assert(sw != NULL);
		sw->httpc = httpc;
		sw->watch.fn = on_socket_ready;
		sw->watch.arg = sw;
		sw->watch.fd = fd;
		curl_multi_assign(httpc->multi, fd, sw);
	}
	if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
		events |= LOOP_READ;
	if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
		events |= LOOP_WRITE;
	loop_watch_set(httpc->loop, &sw->watch, fd, events);
	if (what == CURL_POLL_REMOVE) {
		curl_multi_assign(httpc->multi, fd, NULL);
		loop_defer(httpc->loop, socket_watch_free, sw);
	}
	return 0;
}

struct httpc *
httpc_open(struct loop *loop, uint32_t max_connections, struct error *err)
{
	struct httpc *httpc = calloc(1, sizeof(*httpc));

	assert(httpc != NULL);
	httpc->loop = loop;
	httpc->multi = curl_multi_init();
	if (httpc->multi == NULL) {
		error_set(err, ERR_IO, "create client", "", "libcurl failed");
		free(httpc);
		return NULL;
	}
	curl_multi_setopt(httpc->multi, CURLMOPT_SOCKETFUNCTION, on_set_socket);
	curl_multi_setopt(httpc->multi, CURLMOPT_SOCKETDATA, httpc);
	curl_multi_setopt(httpc->multi, CURLMOPT_TIMERFUNCTION, on_set_timer);
	curl_multi_setopt(httpc->multi, CURLMOPT_TIMERDATA, httpc);
	curl_multi_setopt(
	    httpc->multi, CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS);
	httpc_set_max_connections(httpc, max_connections);
	httpc->timer.fn = on_timer;
	httpc->timer.arg = httpc;
	httpc->hook.fn = before_wait;
	httpc->hook.arg = httpc;
	loop_hook_add(loop, &httpc->hook);
	return httpc;
}

void
httpc_set_max_connections(struct httpc *httpc, uint32_t max_connections)
{
	curl_multi_setopt(
	    httpc->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)max_connections);
}

static bool
is_line(const char *line, size_t line_bytes, const char *prefix)
{
	size_t n = strlen(prefix);

	return line_bytes >= n && strncasecmp(line, prefix, n) == 0;
}

static void
report_head(struct httpc_call *call)
{
	curl_off_t total_bytes = -1;

	// An interim response is followed by the real one.
	if (call->last_status >= 100 && call->last_status < 200)
		return;
	curl_easy_getinfo(
	    call->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &total_bytes);
	call->head_seen = true;
	call->ops->on_head(call, call->last_status, total_bytes);
}

static size_t
on_header_line(char *line, size_t size, size_t count, void *arg)
{
	struct httpc_call *call = arg;
	size_t line_bytes = size * count;
	const char *colon;
	struct bytes name;
	struct bytes value;

	if (is_line(line, line_bytes, "HTTP/")) {
		const char *space = memchr(line, ' ', line_bytes);

		call->last_status =
		    space == NULL ? 0 : (uint32_t)strtoul(space, NULL, 10);
		return line_bytes;
	}
	if (line_bytes <= 2) {
		report_head(call);
		return line_bytes;
	}
	colon = memchr(line, ':', line_bytes);
	if (colon == NULL || call->ops->on_header == NULL)
		return line_bytes;
	name.data = line;
	name.size_bytes = (uint32_t)(colon - line);
	for (colon++; colon < line + line_bytes && *colon == ' '; colon++)
		;
	value.data = colon;
	value.size_bytes = (uint32_t)(line + line_bytes - colon);
	while (value.size_bytes > 0 &&
	    (colon[value.size_bytes - 1] == '\r' ||
		colon[value.size_bytes - 1] == '\n'))
		value.size_bytes--;
	call->ops->on_header(call, name, value);
	return line_bytes;
}

static size_t
on_body_part(char *data, size_t size, size_t count, void *arg)
{
	struct httpc_call *call = arg;

	if (!call->ops->on_body(call, data, size * count))
		return CURL_WRITEFUNC_PAUSE;
	return size * count;
}

static size_t
on_upload_part(char *out, size_t size, size_t count, void *arg)
{
	struct httpc_call *call = arg;
	size_t room = size * count;
	bool last = false;
	size_t n;

	call->sent_any = true;
	if (!call->streamed) {
		n = call->body_bytes - call->sent_bytes;
		if (n > room)
			n = room;
		if (n > 0)
			memcpy(out, call->body + call->sent_bytes, n);
		call->sent_bytes += n;
		return n;
	}
	n = call->ops->on_read(call, out, room, &last);
	if (n == 0 && !last)
		return CURL_READFUNC_PAUSE;
	return n;
}

/// Notes that a connection is there, so that bytes may go out.
static int
on_before_send(
    void *arg, char *peer_ip, char *local_ip, int peer_port, int local_port)
{
	struct httpc_call *call = arg;

	(void)peer_ip;
	(void)local_ip;
	(void)peer_port;
	(void)local_port;
	call->sent_any = true;
	return CURL_PREREQFUNC_OK;
}

static int
append_header(struct httpc_call *call, const char *line)
{
	struct curl_slist *grown = curl_slist_append(call->list, line);

	if (grown == NULL)
		return -1;
	call->list = grown;
	return 0;
}

static int
build_headers(struct httpc_call *call)
{
	char line[8192];
	size_t i;

	if (append_header(call, "Expect:") != 0 ||
	    append_header(call, "Accept:") != 0)
		return -1;
	for (i = 0; i < call->header_count; i++) {
		struct bytes name = call->headers[i][0];
		struct bytes value = call->headers[i][1];
		int n;

		// A trailing semicolon is libcurl's form of an empty value.
		if (value.size_bytes == 0)
			n = snprintf(line, sizeof(line), "%.*s;",
			    (int)name.size_bytes, name.data);
		else
			n = snprintf(line, sizeof(line), "%.*s: %.*s",
			    (int)name.size_bytes, name.data,
			    (int)value.size_bytes, value.data);
		if ((size_t)n >= sizeof(line) || append_header(call, line) != 0)
			return -1;
	}
	return 0;
}

/// Sets the request body up.
///
/// libcurl resends a request by itself when a reused connection turns out
/// dead, unless part of the body was read and cannot be rewound. A request
/// that must not run twice therefore never gets a rewindable body, and one
/// without a body never gets a reused connection.
static void
set_body(struct httpc_call *call)
{
	CURL *easy = call->easy;
	bool has_body = call->streamed || call->body_bytes > 0;

	if (strcmp(call->method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	else if (has_body) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload_part);
		curl_easy_setopt(easy, CURLOPT_READDATA, call);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
		    (curl_off_t)(call->streamed ? call->total_bytes
						: (int64_t)call->body_bytes));
	} else if (strcmp(call->method, "GET") != 0) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
	}
	if (!call->repeatable && !has_body)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
}

static int64_t
left_ms(const struct httpc_call *call)
{
	int64_t left_us = call->deadline_us - clock_now_us();

	if (call->deadline_us == DEADLINE_NEVER_US)
		return 0;
	return left_us < US_PER_MS ? 1 : left_us / US_PER_MS;
}

int
httpc_call_start(
    struct httpc *httpc, struct httpc_call *call, struct error *err)
{
	CURL *easy = handle_take(httpc);

	call->httpc = httpc;
	call->easy = easy;
	call->list = NULL;
	call->sent_bytes = 0;
	call->sent_any = false;
	call->head_seen = false;
	call->last_status = 0;
	if (easy == NULL || build_headers(call) != 0) {
		if (easy != NULL)
			handle_release(httpc, easy);
		curl_slist_free_all(call->list);
		call->easy = NULL;
		return error_set(err, ERR_TOO_LARGE, "call", "",
		    "request headers cannot be sent");
	}
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_URL, call->url);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->list);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, DIAL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)left_ms(call));
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header_line);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body_part);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	set_body(call);
	call->prev = NULL;
	call->next = httpc->first;
	if (call->next != NULL)
		call->next->prev = call;
	httpc->first = call;
	curl_multi_add_handle(httpc->multi, easy);
	return 0;
}

void
httpc_call_resume(struct httpc_call *call)
{
	if (call->easy == NULL)
		return;
	curl_easy_pause(call->easy, CURLPAUSE_CONT);
	call->httpc->check_done = true;
	loop_wake_hooks(call->httpc->loop);
}

void
httpc_call_cancel(struct httpc_call *call)
{
	if (call->easy != NULL)
		call_release(call);
}

bool
httpc_call_was_sent(const struct httpc_call *call)
{
	return call->sent_any;
}

void
httpc_close(struct httpc *httpc)
{
	if (httpc == NULL)
		return;
	while (httpc->first != NULL)
		httpc_call_cancel(httpc->first);
	while (httpc->idle_count > 0)
		curl_easy_cleanup(httpc->idle[--httpc->idle_count]);
	curl_multi_cleanup(httpc->multi);
	loop_timer_clear(httpc->loop, &httpc->timer);
	loop_hook_remove(httpc->loop, &httpc->hook);
	free(httpc);
}
