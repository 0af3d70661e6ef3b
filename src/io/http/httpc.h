/// @file
/// HTTP client on an event loop, with bodies streamed in both directions and
/// a pool of persistent connections.
///
/// The client resends a request only if none of its bytes were sent, or if the
/// call is marked repeatable and its body is not streamed. It reports whether
/// the server may have received any byte of the request.
#ifndef MV_IO_HTTP_HTTPC_H
#define MV_IO_HTTP_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "io/loop.h"
#include "io/net/address.h"
#include "wire/messages.h"

struct httpc;
struct httpc_call;
struct httpc_conn;

/// How to handle a response head.
enum httpc_verdict {
	HTTPC_ACCEPT, ///< Delivers the body and ends the call with it.
	HTTPC_SKIP,   ///< Discards it; the response of this call follows.
	HTTPC_FAIL,   ///< Fails the call and closes the connection.
};

/// Callbacks of a call.
struct httpc_ops {
	/// A response head is complete. The verdict on an interim response
	/// (1xx) has no effect: it is skipped.
	/// @param total_bytes  length of the body, or -1 if unknown
	enum httpc_verdict (*on_head)(
	    struct httpc_call *call, uint32_t status, int64_t total_bytes);
	/// A response header; called before on_head. May be NULL.
	void (*on_header)(
	    struct httpc_call *call, struct bytes name, struct bytes value);
	/// A part of the response body, which the callback takes in any case.
	/// @return false to pause the response after it until
	/// httpc_call_resume
	bool (*on_body)(
	    struct httpc_call *call, const char *data, size_t size_bytes);
	/// The call ended; err is NULL if the response is complete. The
	/// callback may reuse or free the call.
	void (*on_done)(struct httpc_call *call, const struct error *err);
	/// Reads the next part of a streamed request body.
	/// @param last  set to true at the end of the body
	/// @return its length in bytes; 0 without last pauses the upload
	/// until httpc_call_resume
	size_t (*on_read)(
	    struct httpc_call *call, char *out, size_t out_bytes, bool *last);
};

/// A request to a server. Zero it and set the public part before the start.
struct httpc_call {
	const struct httpc_ops *ops;
	void *owner;
	const char *method;
	const char *url; ///< "http://IP:port/target"
	const struct message_header *headers;
	uint32_t header_count;
	const char *internal_prefix; ///< Headers with it stand once.
	const char *body;	     ///< Complete body; must outlive the call.
	size_t body_bytes;
	bool streamed;	     ///< The body is read with on_read instead.
	int64_t total_bytes; ///< Length of a streamed body; -1: chunked.
	int64_t deadline_us;
	bool repeatable; ///< May be resent if a reused connection was stale.
	bool first;	 ///< Needs a connection that has carried no other call.
	uint32_t status; ///< Of the response; 0 until its head is complete.
	// Private.
	struct httpc *httpc;
	struct httpc_conn *conn; ///< NULL while waiting for one.
	struct address to;
	const char *target; ///< Points into url.
	struct loop_timer timer;
	bool active;   ///< Started and not yet ended.
	bool sent_any; ///< The server may have received a part of it.
	bool retried;
	struct httpc_call *next;
	struct httpc_call *prev;
};

/// @param max_connections  to each server; 0: no limit
/// @return the client, or NULL with err set
struct httpc *httpc_open(
    struct loop *loop, uint32_t max_connections, struct error *err);

/// Changes the limit on connections to each server.
void httpc_set_max_connections(struct httpc *httpc, uint32_t max_connections);

/// Starts a call. Never calls its callbacks from inside this function.
///
/// @return 0, or -1 with err set: the URL or the head is not valid
int httpc_call_start(
    struct httpc *httpc, struct httpc_call *call, struct error *err);

/// Resumes a call that on_body or on_read paused.
void httpc_call_resume(struct httpc_call *call);

/// Cancels a call and closes its connection without any callback.
void httpc_call_cancel(struct httpc_call *call);

/// Returns true if the server may have received any byte of the request.
bool httpc_call_was_sent(const struct httpc_call *call);

/// Closes the connection of a call after its response.
void httpc_call_set_last(struct httpc_call *call);

/// Returns true if the connection of a call has carried no other call before.
bool httpc_call_is_first(const struct httpc_call *call);

/// Closes all idle connections.
void httpc_close_idle(struct httpc *httpc);

/// Cancels all calls, closes all connections and frees the client.
void httpc_close(struct httpc *httpc);

#endif
