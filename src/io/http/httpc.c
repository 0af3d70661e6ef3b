// HTTP client: calls and the connection pool.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/http/httpc_conn.h"
#include "wire/head.h"

#define URL_SCHEME "http://"

struct httpc {
	struct loop *loop;
	struct httpc_conn *conns;
	struct httpc_call *calls; ///< All calls, newest first.
	uint32_t max_connections;
	bool dispatch_deferred;
};

static void dispatch_waiting(void *arg);

static void
defer_dispatch(struct httpc *httpc)
{
	if (httpc->dispatch_deferred)
		return;
	httpc->dispatch_deferred = true;
	loop_defer(httpc->loop, dispatch_waiting, httpc);
}

static void
conn_remove(struct httpc_conn *conn)
{
	struct httpc *httpc = conn->httpc;

	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		httpc->conns = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	conn->next = conn->prev = NULL;
	if (conn->call != NULL)
		conn->call->conn = NULL;
	conn->call = NULL;
	httpc_conn_close(conn);
	defer_dispatch(httpc);
}

static void
call_remove(struct httpc_call *call)
{
	struct httpc *httpc = call->httpc;

	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		httpc->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	call->next = call->prev = NULL;
	call->active = false;
	loop_timer_clear(httpc->loop, &call->timer);
}

static void
call_end(struct httpc_call *call, const struct error *err)
{
	call_remove(call);
	call->ops->on_done(call, err);
}

static void
on_complete(struct httpc_conn *conn)
{
	struct httpc_call *call = conn->call;

	call->conn = NULL;
	conn->call = NULL;
	if (conn->reusable) {
		conn->reused = true;
		loop_timer_set(
		    conn->loop, &conn->timer, conn->idle_deadline_us);
		defer_dispatch(conn->httpc);
	} else
		conn_remove(conn);
	call_end(call, NULL);
}

/// Returns true if a failed call is resent on another connection. A reused
/// connection that fails before any response byte was probably closed while
/// idle, which does not mean that the server is down.
static bool
can_retry(const struct httpc_conn *conn, const struct httpc_call *call)
{
	return conn->reused && !conn->response_started && !call->retried &&
	    (!call->sent_any || (call->repeatable && !call->streamed));
}

static void
on_failed(struct httpc_conn *conn, const struct error *err)
{
	struct httpc_call *call = conn->call;
	bool retry = call != NULL && can_retry(conn, call);

	conn_remove(conn);
	if (call == NULL)
		return;
	if (retry) {
		call->retried = true;
		return;
	}
	call_end(call, err);
}

static const struct httpc_conn_ops conn_ops = {
    .on_complete = on_complete,
    .on_failed = on_failed,
};

/// Returns the most recently used idle connection, so that the others reach
/// their idle timeout.
static struct httpc_conn *
find_idle(struct httpc *httpc, const struct address *to, uint32_t *open_count)
{
	struct httpc_conn *best = NULL;
	struct httpc_conn *conn;

	*open_count = 0;
	for (conn = httpc->conns; conn != NULL; conn = conn->next) {
		if (!address_equals(&conn->to, to))
			continue;
		(*open_count)++;
		if (conn->call == NULL &&
		    (best == NULL || conn->idle_since_us > best->idle_since_us))
			best = conn;
	}
	return best;
}

/// Returns whether a call leaves an idle connection to others.
static bool
needs_new_conn(const struct httpc *httpc, const struct httpc_call *call,
    uint32_t open_count)
{
	return call->first &&
	    (httpc->max_connections == 0 ||
		open_count < httpc->max_connections);
}

/// Assigns an idle or a new connection to a call.
///
/// @return 0 on success, 1 if the connection limit is reached, -1 with err set
static int
assign_conn(struct httpc *httpc, struct httpc_call *call, struct error *err)
{
	struct httpc_conn *conn;
	uint32_t open_count;

	for (;;) {
		conn = find_idle(httpc, &call->to, &open_count);
		if (conn == NULL || needs_new_conn(httpc, call, open_count))
			break;
		if (!call->retried && !call->first &&
		    httpc_conn_is_alive(conn)) {
			httpc_conn_begin(conn, call);
			return 0;
		}
		conn_remove(conn);
	}
	if (httpc->max_connections > 0 && open_count >= httpc->max_connections)
		return 1;
	conn = httpc_conn_dial(httpc, httpc->loop, &call->to, &conn_ops, err);
	if (conn == NULL)
		return -1;
	conn->next = httpc->conns;
	if (conn->next != NULL)
		conn->next->prev = conn;
	httpc->conns = conn;
	httpc_conn_begin(conn, call);
	return 0;
}

static struct httpc_call *
oldest_call(const struct httpc *httpc)
{
	struct httpc_call *call = httpc->calls;

	while (call != NULL && call->next != NULL)
		call = call->next;
	return call;
}

/// Assigns connections to waiting calls, oldest first.
static void
dispatch_waiting(void *arg)
{
	struct httpc *httpc = arg;
	struct httpc_call *call = oldest_call(httpc);
	struct error err;

	httpc->dispatch_deferred = false;
	while (call != NULL) {
		struct httpc_call *newer = call->prev;

		if (call->conn == NULL && assign_conn(httpc, call, &err) < 0) {
			// The on_done callback may start or cancel calls.
			call_end(call, &err);
			newer = oldest_call(httpc);
		}
		call = newer;
	}
}

static void
on_deadline(void *arg)
{
	struct httpc_call *call = arg;
	char peer[ADDRESS_TEXT_BYTES];
	struct error err;

	address_format(&call->to, peer);
	error_set(&err, ERR_TIMEOUT,
	    call->conn != NULL && !call->conn->connecting ? "read response"
							  : "connect",
	    peer, "deadline passed");
	if (call->conn != NULL)
		conn_remove(call->conn);
	call_end(call, &err);
}

/// Splits "http://IP:port/target".
static int
parse_url(struct httpc_call *call, struct error *err)
{
	char host[ADDRESS_TEXT_BYTES];
	const char *at = call->url;
	size_t n = 0;

	if (strncmp(at, URL_SCHEME, strlen(URL_SCHEME)) == 0) {
		at += strlen(URL_SCHEME);
		n = strcspn(at, "/");
	}
	if (n == 0 || n >= sizeof(host) || at[n] != '/')
		return error_set(err, ERR_INVALID, "call", "",
		    "the URL must be http://IP:port/target");
	memcpy(host, at, n);
	host[n] = '\0';
	call->target = at + n;
	if (address_parse(host, &call->to) != 0)
		return error_set(
		    err, ERR_INVALID, "call", host, "the host must be IP:port");
	return 0;
}

/// Checks that the server reads the head as it is meant, whoever made it.
static int
check_head(const struct httpc_call *call, struct error *err)
{
	if (!head_is_token(bytes_from_string(call->method)) ||
	    !head_is_target(bytes_from_string(call->target)))
		return error_set(err, ERR_INVALID, "head", "",
		    "the request line is not valid");
	return head_check(call->headers, call->header_count,
	    call->internal_prefix == NULL ? "" : call->internal_prefix, err);
}

int
httpc_call_start(
    struct httpc *httpc, struct httpc_call *call, struct error *err)
{
	if (parse_url(call, err) != 0 || check_head(call, err) != 0)
		return -1;
	call->httpc = httpc;
	call->conn = NULL;
	call->sent_any = call->retried = false;
	call->status = 0;
	call->active = true;
	call->timer.fn = on_deadline;
	call->timer.arg = call;
	call->prev = NULL;
	call->next = httpc->calls;
	if (call->next != NULL)
		call->next->prev = call;
	httpc->calls = call;
	if (call->deadline_us != DEADLINE_NEVER_US)
		loop_timer_set(httpc->loop, &call->timer, call->deadline_us);
	defer_dispatch(httpc);
	return 0;
}

void
httpc_call_resume(struct httpc_call *call)
{
	if (call->active && call->conn != NULL)
		httpc_conn_resume(call->conn);
}

void
httpc_call_cancel(struct httpc_call *call)
{
	if (!call->active)
		return;
	if (call->conn != NULL)
		conn_remove(call->conn);
	call_remove(call);
}

bool
httpc_call_was_sent(const struct httpc_call *call)
{
	return call->sent_any;
}

void
httpc_call_set_last(struct httpc_call *call)
{
	if (call->conn != NULL)
		call->conn->last = true;
}

bool
httpc_call_is_first(const struct httpc_call *call)
{
	return call->conn != NULL && !call->conn->reused;
}

struct httpc *
httpc_open(struct loop *loop, uint32_t max_connections, struct error *err)
{
	struct httpc *httpc = calloc(1, sizeof(*httpc));

	(void)err;
	assert(httpc != NULL);
	httpc->loop = loop;
	httpc->max_connections = max_connections;
	return httpc;
}

void
httpc_set_max_connections(struct httpc *httpc, uint32_t max_connections)
{
	httpc->max_connections = max_connections;
	defer_dispatch(httpc);
}

void
httpc_close_idle(struct httpc *httpc)
{
	struct httpc_conn *conn = httpc->conns;

	while (conn != NULL) {
		struct httpc_conn *next = conn->next;

		if (conn->call == NULL)
			conn_remove(conn);
		conn = next;
	}
}

static void
httpc_free(void *arg)
{
	free(arg);
}

void
httpc_close(struct httpc *httpc)
{
	if (httpc == NULL)
		return;
	while (httpc->calls != NULL)
		httpc_call_cancel(httpc->calls);
	httpc_close_idle(httpc);
	// A deferred dispatch_waiting may still use the client.
	loop_defer(httpc->loop, httpc_free, httpc);
}
