// HTTP server on libmicrohttpd with external polling.
#include <assert.h>
#include <errno.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "io/clock.h"
#include "io/held.h"
#include "io/http/httpd_exchange.h"
#include "io/log/counters.h"
#include "io/log/log.h"

#define CALLER_SCAN_US	       (100 * US_PER_MS)
#define MAX_RUNS_PER_ITERATION 16

COUNTER_DEFINE(count_bad_heads, "http_heads_refused",
    "Requests whose heads can be read in more than one way");

/// Creates an exchange with the request target, query included.
static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *connection)
{
	struct httpd *httpd = cls;
	struct exchange *x = calloc(1, sizeof(*x));

	assert(x != NULL);
	x->pub.httpd = httpd;
	x->pub.target = strdup(uri);
	assert(x->pub.target != NULL);
	x->pub.arrival_us = clock_now_us();
	x->max_body_bytes = httpd->limits.max_body_bytes;
	x->header_deadline_us = httpd->limits.header_timeout_us > 0
	    ? x->pub.arrival_us + httpd->limits.header_timeout_us
	    : DEADLINE_NEVER_US;
	upload_begin(x);
	x->connection = connection;
	x->uri = uri;
	x->next = httpd->exchanges;
	if (x->next != NULL)
		x->next->prev = x;
	httpd->exchanges = x;
	httpd->active_count++;
	caller_begin(caller_find(connection), x);
	return x;
}

static void
exchange_free(struct exchange *x)
{
	struct httpd *httpd = x->pub.httpd;

	if (x->prev != NULL)
		x->prev->next = x->next;
	else
		httpd->exchanges = x->next;
	if (x->next != NULL)
		x->next->prev = x->prev;
	httpd->active_count--;
	upload_end(x);
	if (x->response != NULL)
		MHD_destroy_response(x->response);
	free(x->pub.target);
	free(x->pub.body);
	free(x->out);
	held_update(HELD_CALLER_BODY, &x->body_held_bytes, 0);
	held_update(HELD_CALLER_ANSWER, &x->out_held_bytes, 0);
	x->caller->exchange = NULL;
	memory_holder_set_waits(
	    &x->caller->holder, true, loop_now_us(httpd->loop));
	memory_holder_set_waits(
	    &x->caller->holder, false, loop_now_us(httpd->loop));
	caller_update(x->caller);
	free(x);
}

const char *
http_end_name(enum http_end end)
{
	switch (end) {
	case HTTP_END_SENT:
		return "sent";
	case HTTP_END_CUT:
		return "its answer ended incomplete";
	case HTTP_END_CALLER_LEFT:
		return "the caller left";
	case HTTP_END_EVICTED:
		return "it gave way to others";
	case HTTP_END_IDLE:
		return "idle timeout";
	case HTTP_END_CLOSED:
		return "this process stops";
	case HTTP_END_FAILED:
		return "the connection failed";
	}
	return "";
}

static enum http_end
end_of(const struct exchange *x, enum MHD_RequestTerminationCode code)
{
	if (x->caller->holder.leaving)
		return HTTP_END_EVICTED;
	if (x->abandoned)
		return HTTP_END_CALLER_LEFT;
	if (x->out_ended && !x->out_complete)
		return HTTP_END_CUT;
	switch (code) {
	case MHD_REQUEST_TERMINATED_COMPLETED_OK:
		return HTTP_END_SENT;
	case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
		return HTTP_END_IDLE;
	case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
		return HTTP_END_CLOSED;
	case MHD_REQUEST_TERMINATED_READ_ERROR:
	case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
		return HTTP_END_CALLER_LEFT;
	default:
		return HTTP_END_FAILED;
	}
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct httpd *httpd = cls;
	struct exchange *x = *con_cls;

	(void)connection;
	if (x == NULL)
		return;
	x->suspended = false;
	if (x->dispatched && httpd->ops->on_end != NULL)
		httpd->ops->on_end(&x->pub, end_of(x, code));
	exchange_free(x);
	*con_cls = NULL;
}

/// Queues an error response with a plain text body, which is copied. The outcome of
/// a request with an idempotency key is "refused", since an earlier attempt may have
/// run.
///
/// @param close  what follows on the connection may not be a request
static enum MHD_Result
queue_error_response(struct MHD_Connection *connection, unsigned int status,
    const char *text, bool close)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(response, "Magnolia-Outcome",
	    MHD_lookup_connection_value(
		connection, MHD_HEADER_KIND, "Idempotency-Key") == NULL
		? "not-run"
		: "refused");
	if (close)
		MHD_add_response_header(response, "Connection", "close");
	rc = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return rc;
}

static enum MHD_Result
queue_response(struct exchange *x)
{
	if (x->response_queued)
		return MHD_YES;
	x->response_queued = true;
	return MHD_queue_response(x->connection, x->status, x->response);
}

static enum MHD_Result
finish_upload(struct exchange *x)
{
	if (!x->upload_done) {
		x->upload_done = true;
		if (!x->dispatched && !x->discarding)
			exchange_dispatch(x, false);
		else if (!x->discarding)
			upload_deliver(x, true);
	}
	if (x->response != NULL)
		return queue_response(x);
	if (!x->suspended)
		exchange_suspend(x);
	return MHD_YES;
}

static bool
head_is_too_large(const struct exchange *x)
{
	int64_t max_bytes = x->pub.httpd->limits.max_header_bytes;

	return max_bytes != 0 && exchange_head_bytes(x, 0) > max_bytes;
}

/// Refuses a request whose head can be read in more than one way.
static enum MHD_Result
refuse_head(struct exchange *x, const struct error *err)
{
	char text[ERROR_TEXT_BYTES + 2];

	counter_add(&count_bad_heads, 1);
	log_error(LOG_INFO, "http", "Refused a request", err);
	snprintf(text, sizeof(text), "%s\n", err->text);
	return queue_error_response(x->connection, 400, text, true);
}

static enum MHD_Result
begin_request(struct exchange *x, const char *version)
{
	const struct httpd *httpd = x->pub.httpd;
	struct error err;
	const char *length = MHD_lookup_connection_value(
	    x->connection, MHD_HEADER_KIND, "Content-Length");

	MHD_set_connection_option(x->connection, MHD_CONNECTION_OPTION_TIMEOUT,
	    (unsigned int)httpd->limits.idle_timeout_s);
	if (exchange_check_head(x, x->pub.method, version, &err) != 0)
		return refuse_head(x, &err);
	if (head_is_too_large(x))
		return queue_error_response(
		    x->connection, 431, "request head is too large\n", false);

	if (length != NULL)
		x->announced_bytes = strtoll(length, NULL, 10);
	if (x->announced_bytes > x->max_body_bytes)
		return queue_error_response(
		    x->connection, 413, httpd_body_too_large_text, false);
	return MHD_YES;
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload_data,
    size_t *upload_data_size, void **con_cls)
{
	struct exchange *x = *con_cls;

	(void)cls;
	(void)connection;
	(void)url;
	if (x->pub.method == NULL) {
		x->pub.method = method;
		return begin_request(x, version);
	}
	if (*upload_data_size > 0)
		return upload_receive(x, upload_data, upload_data_size);
	return finish_upload(x);
}

static void
run_daemon(struct httpd *httpd)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;
	int i;

	for (i = 0; i < MAX_RUNS_PER_ITERATION; i++) {
		httpd->run_pending = false;
		MHD_run(httpd->daemon);
		upload_deliver_joined(httpd);
		memory_account_relieve(
		    httpd->account, loop_now_us(httpd->loop));
		if (httpd->run_pending)
			continue;
		if (MHD_get_timeout(httpd->daemon, &timeout_ms) != MHD_YES ||
		    timeout_ms > 0)
			return;
	}
	httpd->run_pending = true;
}

static void
on_epoll_ready(void *arg, uint32_t events)
{
	struct httpd *httpd = arg;

	(void)events;
	httpd->run_pending = true;
}

static int64_t
before_wait(void *arg)
{
	struct httpd *httpd = arg;

	if (httpd->run_pending)
		run_daemon(httpd);
	memory_account_relieve(httpd->account, loop_now_us(httpd->loop));
	return httpd->run_pending ? 0 : DEADLINE_NEVER_US;
}

/// Shuts down a connection whose request head is not complete in time. No
/// error response is sent: the library can queue one only after the head.
static void
abort_slow_head(struct exchange *x)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	x->header_deadline_us = DEADLINE_NEVER_US;
	if (info != NULL)
		shutdown(info->connect_fd, SHUT_RDWR);
}

/// Ends the exchanges whose callers have left. Needed because the library does
/// not poll connections that are suspended until there is more to send.
static void
end_all_abandoned(struct httpd *httpd, int64_t now_us)
{
	struct pollfd *pollfds =
	    calloc(httpd->active_count + 1, sizeof(*pollfds));
	struct exchange **polled =
	    calloc(httpd->active_count + 1, sizeof(struct exchange *));
	struct exchange *x;
	nfds_t count = 0;
	nfds_t i;

	assert(pollfds != NULL && polled != NULL);
	for (x = httpd->exchanges; x != NULL; x = x->next) {
		if (!x->suspended ||
		    now_us - x->pub.arrival_us < CALLER_SCAN_US)
			continue;
		exchange_watch_for_close(x, &pollfds[count]);
		polled[count++] = x;
	}
	if (count > 0 && poll(pollfds, count, 0) > 0)
		for (i = 0; i < count; i++)
			if (pollfds[i].revents != 0)
				exchange_end_abandoned(polled[i]);
	free(polled);
	free(pollfds);
}

static void
scan_callers(void *arg)
{
	struct httpd *httpd = arg;
	int64_t now_us = loop_now_us(httpd->loop);
	struct exchange *x;

	for (x = httpd->exchanges; x != NULL; x = x->next) {
		if (x->pub.method == NULL && now_us >= x->header_deadline_us)
			abort_slow_head(x);
		// Nobody reads it after a complete response.
		if (x->discarding && x->response_bytes > 0 &&
		    x->pub.body != NULL)
			exchange_drop_body(x);
	}
	end_all_abandoned(httpd, now_us);
	caller_close_strangers(httpd, now_us);
	// Also lets the library process its own timeouts.
	httpd->run_pending = true;
	loop_timer_set(
	    httpd->loop, &httpd->scan_timer, now_us + CALLER_SCAN_US);
}

static void
log_daemon(void *cls, const char *fmt, va_list ap)
{
	char text[256];

	(void)cls;
	vsnprintf(text, sizeof(text), fmt, ap);
	text[strcspn(text, "\n")] = '\0';
	log_write(LOG_DEBUG, "http", "%s", text);
}

static void
on_connection(void *cls, struct MHD_Connection *connection, void **context,
    enum MHD_ConnectionNotificationCode code)
{
	struct httpd *httpd = cls;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		caller_free(*context);
		*context = NULL;
		return;
	}
	*context = caller_open(httpd, connection, &caller_holder_ops);
	MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
	    (unsigned int)httpd->limits.idle_timeout_s);
}

static int
start_daemon(struct httpd *httpd, const struct address *at)
{
	httpd->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0,
	    NULL, NULL, on_access, httpd, MHD_OPTION_EXTERNAL_LOGGER,
	    log_daemon, NULL, MHD_OPTION_SOCK_ADDR, &at->in,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_URI_LOG_CALLBACK,
	    on_uri, httpd, MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, httpd,
	    MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned int)httpd->limits.max_connections,
	    MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned int)httpd->limits.idle_timeout_s,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_END);
	return httpd->daemon == NULL ? -1 : 0;
}

static void
read_bound_address(const struct httpd *httpd, struct address *bound)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_LISTEN_FD);
	socklen_t len = sizeof(bound->in);

	getsockname(info->listen_fd, (struct sockaddr *)&bound->in, &len);
}

struct httpd *
httpd_open(struct loop *loop, const struct address *at,
    const struct httpd_ops *ops, void *owner, const struct httpd_limits *limits,
    struct address *bound, struct error *err)
{
	struct httpd *httpd = calloc(1, sizeof(*httpd));
	const union MHD_DaemonInfo *info;
	char text[ADDRESS_TEXT_BYTES];

	assert(httpd != NULL);
	httpd->loop = loop;
	httpd->ops = ops;
	httpd->owner = owner;
	httpd->limits = *limits;
	memory_account_init(&httpd->own_account, INT64_MAX);
	httpd->account = &httpd->own_account;
	if (start_daemon(httpd, at) != 0) {
		address_format(at, text);
		error_set(err, ERR_IO, "listen", text, "%s", strerror(errno));
		free(httpd);
		return NULL;
	}
	read_bound_address(httpd, bound);
	info = MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	httpd->watch.fn = on_epoll_ready;
	httpd->watch.arg = httpd;
	loop_watch_set(loop, &httpd->watch, info->epoll_fd, LOOP_READ);
	httpd->hook.fn = before_wait;
	httpd->hook.arg = httpd;
	loop_hook_add(loop, &httpd->hook);
	httpd->scan_timer.fn = scan_callers;
	httpd->scan_timer.arg = httpd;
	loop_timer_set(
	    loop, &httpd->scan_timer, loop_now_us(loop) + CALLER_SCAN_US);
	return httpd;
}

void
httpd_set_limits(struct httpd *httpd, const struct httpd_limits *limits)
{
	int64_t connections = httpd->limits.max_connections;

	httpd->limits = *limits;
	httpd->limits.max_connections = connections;
}

void
httpd_set_account(struct httpd *httpd, struct memory_account *account)
{
	assert(httpd->callers == NULL);
	httpd->account = account;
}

void
httpd_drain(struct httpd *httpd)
{
	httpd->draining = true;
}

void
httpd_run(struct httpd *httpd)
{
	run_daemon(httpd);
}

void
httpd_stop_accepting(struct httpd *httpd)
{
	MHD_socket fd;

	if (httpd->closed_to_callers)
		return;
	httpd->closed_to_callers = true;
	// Connections that wait to be accepted would be reset, with the requests
	// on them.
	run_daemon(httpd);
	fd = MHD_quiesce_daemon(httpd->daemon);
	if (fd != MHD_INVALID_SOCKET)
		shutdown(fd, SHUT_RDWR);
	httpd->run_pending = true;
}

void *
httpd_get_owner(const struct httpd *httpd)
{
	return httpd->owner;
}

uint32_t
httpd_active_count(const struct httpd *httpd)
{
	return httpd->active_count;
}

void
httpd_close(struct httpd *httpd)
{
	struct exchange *x;

	if (httpd == NULL)
		return;
	loop_timer_clear(httpd->loop, &httpd->scan_timer);
	loop_watch_set(httpd->loop, &httpd->watch, httpd->watch.fd, 0);
	for (x = httpd->exchanges; x != NULL; x = x->next)
		exchange_resume(x);
	MHD_stop_daemon(httpd->daemon);
	loop_hook_remove(httpd->loop, &httpd->hook);
	free(httpd);
}
