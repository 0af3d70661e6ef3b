// Request heads of the HTTP client.
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
		if (call->headers[i].name.size_bytes == n &&
		    strncasecmp(call->headers[i].name.data, name, n) == 0)
			return true;
	return false;
}

static void
append(struct httpc_conn *conn, const char *data, size_t size_bytes)
{
	msgpack_sbuffer_write(&conn->out, data, size_bytes);
}

static void
append_text(struct httpc_conn *conn, const char *text)
{
	append(conn, text, strlen(text));
}

/// Appends Transfer-Encoding or Content-Length. GET and HEAD requests without a
/// body get neither.
static void
append_framing(struct httpc_conn *conn, const struct httpc_call *call)
{
	char line[48];
	int64_t total_bytes =
	    call->streamed ? call->total_bytes : (int64_t)call->body_bytes;
	bool bodiless = strcmp(call->method, "GET") == 0 ||
	    strcmp(call->method, "HEAD") == 0;

	conn->chunked = total_bytes < 0;
	if (conn->chunked)
		append_text(conn, "Transfer-Encoding: chunked\r\n");
	else if (total_bytes > 0 || !bodiless) {
		snprintf(line, sizeof(line), "Content-Length: %" PRId64 "\r\n",
		    total_bytes);
		append_text(conn, line);
	}
}

void
httpc_conn_append_head(struct httpc_conn *conn, const struct httpc_call *call)
{
	char host[ADDRESS_TEXT_BYTES];
	size_t i;

	append_text(conn, call->method);
	append_text(conn, " ");
	append_text(conn, call->target);
	append_text(conn, " HTTP/1.1\r\n");
	if (!has_header(call, "Host")) {
		address_format(&conn->to, host);
		append_text(conn, "Host: ");
		append_text(conn, host);
		append_text(conn, "\r\n");
	}
	for (i = 0; i < call->header_count; i++) {
		append(conn, call->headers[i].name.data,
		    call->headers[i].name.size_bytes);
		append_text(conn, ": ");
		append(conn, call->headers[i].value.data,
		    call->headers[i].value.size_bytes);
		append_text(conn, "\r\n");
	}
	append_framing(conn, call);
	append_text(conn, "\r\n");
}
