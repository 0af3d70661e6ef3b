/// @file
/// Connection of the HTTP client. It carries one request at a time.
#ifndef MV_IO_HTTP_HTTPC_CONN_H
#define MV_IO_HTTP_HTTPC_CONN_H

#include <http_parser.h>
#include <msgpack/sbuffer.h>

#include "io/http/httpc.h"

/// Callbacks to the connection pool. They may close the connection.
struct httpc_conn_ops {
	/// The response is complete. The connection can serve another call
	/// if its field reusable is set.
	void (*on_complete)(struct httpc_conn *conn);
	/// The connection failed or was closed, with or without a call.
	void (*on_failed)(struct httpc_conn *conn, const struct error *err);
};

struct httpc_conn {
	const struct httpc_conn_ops *ops;
	struct httpc *httpc;
	struct loop *loop;
	struct address to;
	struct httpc_call *call; ///< NULL while idle.
	struct httpc_conn *next; ///< In the list of the pool.
	struct httpc_conn *prev;
	struct loop_watch watch;
	struct loop_timer timer; ///< Connect timeout, then idle timeout.
	bool connecting;
	bool closed;
	bool reused; ///< It has served a call before.
	bool reusable;
	bool last;		  ///< Serves no call after the current one.
	int64_t idle_deadline_us; ///< The server is expected to close it then.
	int64_t idle_since_us;
	// Request.
	msgpack_sbuffer out; ///< Request head and parts of a streamed body.
	size_t out_sent_bytes;
	size_t body_sent_bytes; ///< Of a body that is not streamed.
	bool upload_ended;
	bool send_failed; ///< The server reset or closed the connection.
	bool chunked;
	// Response.
	http_parser parser;
	msgpack_sbuffer header; ///< Name and value of the header being parsed.
	size_t header_name_bytes;
	bool in_header_value;
	uint32_t codings;  ///< Transfer-Encoding headers so far.
	bool coding_known; ///< The last of them is "chunked".
	enum httpc_verdict verdict;
	uint32_t skipped_count; ///< Responses before the one to the call.
	size_t skipped_bytes;	///< Of their bodies.
	bool flooded;		///< There were too many of them.
	bool response_started;	///< Some response bytes have been received.
	bool response_complete;
	bool paused;
	char *part; ///< Of the body, in what was received last.
	size_t part_bytes;
	size_t held_bytes; ///< Counted in held_bytes.
};

/// Starts to connect.
///
/// @return the connection, or NULL with err set
struct httpc_conn *httpc_conn_dial(struct httpc *httpc, struct loop *loop,
    const struct address *to, const struct httpc_conn_ops *ops,
    struct error *err);

/// Assigns a call, and sends its request at once if connected.
void httpc_conn_begin(struct httpc_conn *conn, struct httpc_call *call);

/// Resumes a paused response or a paused upload.
void httpc_conn_resume(struct httpc_conn *conn);

/// Returns true if an idle connection is open and has no unread bytes.
bool httpc_conn_is_alive(const struct httpc_conn *conn);

/// Appends the request head of a call to the output buffer.
void httpc_conn_append_head(
    struct httpc_conn *conn, const struct httpc_call *call);

/// Closes the connection without any callback. A deferred call frees it.
void httpc_conn_close(struct httpc_conn *conn);

#endif
