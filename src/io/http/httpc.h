/// @file
/// HTTP client on an event loop, with streamed bodies in both directions and
/// kept connections.
///
/// It never sends a request twice by itself unless the request allows that,
/// and tells whether any byte of one can have reached the server.
#ifndef MV_IO_HTTP_HTTPC_H
#define MV_IO_HTTP_HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "io/loop.h"
#include "io/net/address.h"
#include "wire/codec.h"

struct httpc;
struct httpc_call;
struct httpc_conn;

/// What is done with a response.
enum httpc_verdict {
	HTTPC_TAKE,
	HTTPC_SKIP, ///< It answers an earlier request: the own one follows.
	HTTPC_FAIL, ///< Ends the call and the connection.
};

/// What the owner of a call is told.
struct httpc_ops {
	/// Status and headers have arrived.
	/// @param total_bytes  length of the body, or -1 if not announced
	enum httpc_verdict (*on_head)(
	    struct httpc_call *call, uint32_t status, int64_t total_bytes);
	/// A header of the response; comes before on_head. May be NULL.
	void (*on_header)(
	    struct httpc_call *call, struct bytes name, struct bytes value);
	/// A part of the response body.
	/// @return false to pause; what follows comes after
	/// httpc_call_resume
	bool (*on_body)(
	    struct httpc_call *call, const char *data, size_t size_bytes);
	/// The call ended; err is NULL if the response was whole. The call
	/// may be reused or freed.
	void (*on_done)(struct httpc_call *call, const struct error *err);
	/// Fills the next part of a streamed request body.
	/// @param last  set to true with the end of the body
	/// @return its length; 0 without last pauses the upload
	size_t (*on_read)(
	    struct httpc_call *call, char *out, size_t out_bytes, bool *last);
};

/// A request to a server. Zero it, fill the public part, start it.
struct httpc_call {
	const struct httpc_ops *ops;
	void *owner;
	const char *method;
	const char *url;		  ///< "http://IP:port/target"
	const struct bytes (*headers)[2]; ///< Name and value.
	size_t header_count;
	const char *body; ///< Whole body; must outlive the call.
	size_t body_bytes;
	bool streamed;	     ///< The body comes from on_read instead.
	int64_t total_bytes; ///< Length of a streamed body, or -1.
	int64_t deadline_us;
	bool repeatable; ///< May be sent again if a kept connection is dead.
	uint32_t status; ///< Of the response; 0 until its head is in.
	// Private.
	struct httpc *httpc;
	struct httpc_conn *conn; ///< NULL while it waits for one.
	struct address to;
	const char *target; ///< Inside url.
	struct loop_timer timer;
	bool active;   ///< Between its start and its end.
	bool sent_any; ///< The request may have reached the server.
	bool repeated;
	struct httpc_call *next;
	struct httpc_call *prev;
};

/// @param max_connections  to any one server; 0: no bound
/// @return the client, or NULL with err set
struct httpc *httpc_open(
    struct loop *loop, uint32_t max_connections, struct error *err);

/// Changes the bound on connections to one server.
void httpc_set_max_connections(struct httpc *httpc, uint32_t max_connections);

/// Starts a call; its callbacks never come from inside this function.
///
/// @return 0, or -1 with err set
int httpc_call_start(
    struct httpc *httpc, struct httpc_call *call, struct error *err);

/// Goes on after on_body or on_read paused the call.
void httpc_call_resume(struct httpc_call *call);

/// Drops a call and its connection without any callback.
void httpc_call_cancel(struct httpc_call *call);

/// Tells whether any byte of the request can have reached the server.
bool httpc_call_was_sent(const struct httpc_call *call);

/// Closes the kept connections that no call uses.
void httpc_drop_idle(struct httpc *httpc);

void httpc_close(struct httpc *httpc);

#endif
