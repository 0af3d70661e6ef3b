/// @file
/// One connection of the HTTP client: a request out, responses in.
#ifndef MV_IO_HTTP_HTTPC_CONN_H
#define MV_IO_HTTP_HTTPC_CONN_H

#include <http_parser.h>
#include <msgpack/sbuffer.h>

#include "io/http/httpc.h"

/// What the pool is told of a connection. It may free it inside.
struct httpc_conn_ops {
	/// The response is whole. The connection can be kept if its field
	/// reusable says so.
	void (*on_whole)(struct httpc_conn *conn);
	/// It failed, or was closed: with a call or without.
	void (*on_failed)(struct httpc_conn *conn, const struct error *err);
};

struct httpc_conn {
	const struct httpc_conn_ops *ops;
	struct httpc *httpc;
	struct loop *loop;
	struct address to;
	struct httpc_call *call; ///< NULL while idle.
	struct httpc_conn *next; ///< Among all of the pool.
	struct httpc_conn *prev;
	struct loop_watch watch;
	struct loop_timer timer; ///< Of the dial, then of idleness.
	bool connecting;
	bool closed;
	bool kept; ///< It has served a call before.
	bool reusable;
	int64_t idle_deadline_us; ///< The server closes it about then.
	int64_t idle_since_us;
	// Request.
	msgpack_sbuffer out; ///< Head, and parts of a streamed body.
	size_t out_sent_bytes;
	size_t body_sent_bytes; ///< Of a body that is given whole.
	bool upload_ended;
	bool chunked;
	// Response.
	http_parser parser;
	msgpack_sbuffer header; ///< Name and value of the header that is read.
	size_t header_name_bytes;
	bool in_value;
	enum httpc_verdict verdict;
	bool answered; ///< Bytes of a response have come in.
	bool whole;
	bool paused;
	msgpack_sbuffer held; ///< Received while paused.
};

/// Starts to connect.
///
/// @return the connection, or NULL with err set
struct httpc_conn *httpc_conn_dial(struct httpc *httpc, struct loop *loop,
    const struct address *to, const struct httpc_conn_ops *ops,
    struct error *err);

/// Gives the connection a call, which is sent at once if it is open.
void httpc_conn_begin(struct httpc_conn *conn, struct httpc_call *call);

/// Sends more of a streamed body, or reads what was held back.
void httpc_conn_resume(struct httpc_conn *conn);

/// Tells whether an idle connection still looks open and has no bytes waiting.
bool httpc_conn_is_alive(const struct httpc_conn *conn);

/// Appends the head of a call's request to the output.
void httpc_conn_put_head(
    struct httpc_conn *conn, const struct httpc_call *call);

/// Closes and frees it at the end of the round; nothing more is told.
void httpc_conn_close(struct httpc_conn *conn);

#endif
