// HTTP client: calls, and the connections that are kept for them.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/http/httpc_conn.h"

#define URL_SCHEME "http://"

struct httpc {
	struct loop *loop;
	struct httpc_conn *conns;
	struct httpc_call *first; ///< All calls, newest first.
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
		httpc->first = call->next;
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
on_whole(struct httpc_conn *conn)
{
	struct httpc_call *call = conn->call;

	call->conn = NULL;
	conn->call = NULL;
	if (conn->reusable) {
		conn->kept = true;
		loop_timer_set(
		    conn->loop, &conn->timer, conn->idle_deadline_us);
		defer_dispatch(conn->httpc);
	} else
		conn_remove(conn);
	call_end(call, NULL);
}

/// A kept connection that is dead before it gave any answer says nothing of
/// the server: what may be repeated is sent once more.
static bool
may_repeat(const struct httpc_conn *conn, const struct httpc_call *call)
{
	return conn->kept && !conn->answered && !call->repeated &&
	    (!call->sent_any || (call->repeatable && !call->streamed));
}

static void
on_failed(struct httpc_conn *conn, const struct error *err)
{
	struct httpc_call *call = conn->call;
	bool again = call != NULL && may_repeat(conn, call);

	conn_remove(conn);
	if (call == NULL)
		return;
	if (again) {
		call->repeated = true;
		return;
	}
	call_end(call, err);
}

static const struct httpc_conn_ops conn_ops = {
    .on_whole = on_whole,
    .on_failed = on_failed,
};

static bool
is_same_address(const struct address *a, const struct address *b)
{
	return a->in.sin_addr.s_addr == b->in.sin_addr.s_addr &&
	    a->in.sin_port == b->in.sin_port;
}

/// The kept connection that was used last; the others go idle and close.
static struct httpc_conn *
find_kept(struct httpc *httpc, const struct address *to, uint32_t *open)
{
	struct httpc_conn *best = NULL;
	struct httpc_conn *conn;

	*open = 0;
	for (conn = httpc->conns; conn != NULL; conn = conn->next) {
		if (!is_same_address(&conn->to, to))
			continue;
		(*open)++;
		if (conn->call == NULL &&
		    (best == NULL || conn->idle_since_us > best->idle_since_us))
			best = conn;
	}
	return best;
}

/// Finds or dials a connection for a call.
///
/// @return 0 if it has one, 1 if it must wait, -1 with err set
static int
assign(struct httpc *httpc, struct httpc_call *call, struct error *err)
{
	struct httpc_conn *conn;
	uint32_t open;

	for (;;) {
		conn = find_kept(httpc, &call->to, &open);
		if (conn == NULL)
			break;
		if (!call->repeated && httpc_conn_is_alive(conn)) {
			httpc_conn_begin(conn, call);
			return 0;
		}
		conn_remove(conn);
	}
	if (httpc->max_connections > 0 && open >= httpc->max_connections)
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
	struct httpc_call *call = httpc->first;

	while (call != NULL && call->next != NULL)
		call = call->next;
	return call;
}

/// Gives connections to the calls that wait for one, oldest first.
static void
dispatch_waiting(void *arg)
{
	struct httpc *httpc = arg;
	struct httpc_call *call = oldest_call(httpc);
	struct error err;

	httpc->dispatch_deferred = false;
	while (call != NULL) {
		struct httpc_call *newer = call->prev;

		if (call->conn == NULL && assign(httpc, call, &err) < 0) {
			// What is told of the end may start or drop calls.
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
		return error_set(
		    err, ERR_INVALID, "call", "", "the URL is not valid");
	memcpy(host, at, n);
	host[n] = '\0';
	call->target = at + n;
	if (address_parse(host, &call->to) != 0)
		return error_set(
		    err, ERR_INVALID, "call", host, "the host must be IP:port");
	return 0;
}

int
httpc_call_start(
    struct httpc *httpc, struct httpc_call *call, struct error *err)
{
	if (parse_url(call, err) != 0)
		return -1;
	call->httpc = httpc;
	call->conn = NULL;
	call->sent_any = call->repeated = false;
	call->status = 0;
	call->active = true;
	call->timer.fn = on_deadline;
	call->timer.arg = call;
	call->prev = NULL;
	call->next = httpc->first;
	if (call->next != NULL)
		call->next->prev = call;
	httpc->first = call;
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
httpc_drop_idle(struct httpc *httpc)
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
	while (httpc->first != NULL)
		httpc_call_cancel(httpc->first);
	httpc_drop_idle(httpc);
	// A round that is deferred may still look at it.
	loop_defer(httpc->loop, httpc_free, httpc);
}
