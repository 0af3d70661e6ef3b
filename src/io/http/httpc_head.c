// Heads of requests of the HTTP client.
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "io/http/httpc_conn.h"

static bool
has_header(const struct httpc_call *call, const char *name)
{
	size_t n = strlen(name);
	size_t i;

	for (i = 0; i < call->header_count; i++)
		if (call->headers[i][0].size_bytes == n &&
		    strncasecmp(call->headers[i][0].data, name, n) == 0)
			return true;
	return false;
}

static void
put(struct httpc_conn *conn, const char *data, size_t size_bytes)
{
	msgpack_sbuffer_write(&conn->out, data, size_bytes);
}

static void
put_text(struct httpc_conn *conn, const char *text)
{
	put(conn, text, strlen(text));
}

/// Length of the body, where the method or the body asks for one.
static void
put_framing(struct httpc_conn *conn, const struct httpc_call *call)
{
	char line[48];
	int64_t total_bytes =
	    call->streamed ? call->total_bytes : (int64_t)call->body_bytes;
	bool bare = strcmp(call->method, "GET") == 0 ||
	    strcmp(call->method, "HEAD") == 0;

	conn->chunked = total_bytes < 0;
	if (conn->chunked)
		put_text(conn, "Transfer-Encoding: chunked\r\n");
	else if (total_bytes > 0 || !bare) {
		snprintf(line, sizeof(line), "Content-Length: %" PRId64 "\r\n",
		    total_bytes);
		put_text(conn, line);
	}
}

void
httpc_conn_put_head(struct httpc_conn *conn, const struct httpc_call *call)
{
	char host[ADDRESS_TEXT_BYTES];
	size_t i;

	put_text(conn, call->method);
	put_text(conn, " ");
	put_text(conn, call->target);
	put_text(conn, " HTTP/1.1\r\n");
	if (!has_header(call, "Host")) {
		address_format(&conn->to, host);
		put_text(conn, "Host: ");
		put_text(conn, host);
		put_text(conn, "\r\n");
	}
	for (i = 0; i < call->header_count; i++) {
		put(conn, call->headers[i][0].data,
		    call->headers[i][0].size_bytes);
		put_text(conn, ": ");
		put(conn, call->headers[i][1].data,
		    call->headers[i][1].size_bytes);
		put_text(conn, "\r\n");
	}
	put_framing(conn, call);
	put_text(conn, "\r\n");
}
