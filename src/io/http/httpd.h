/// @file
/// HTTP server on an event loop, with bodies streamed in both directions.
#ifndef MV_IO_HTTP_HTTPD_H
#define MV_IO_HTTP_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "io/loop.h"
#include "io/net/address.h"
#include "wire/codec.h"

/// Request bodies up to this size are buffered and delivered with on_request.
#define HTTPD_BUFFERED_BODY_BYTES (512u * 1024)

struct httpd;
struct http_exchange;
struct memory_account;

/// How an exchange ended.
enum http_end {
	HTTP_END_SENT,	      ///< The response was sent in full.
	HTTP_END_CUT,	      ///< The owner ended its response incomplete.
	HTTP_END_CALLER_LEFT, ///< The caller closed the connection.
	HTTP_END_EVICTED,     ///< The connection gave way to others.
	HTTP_END_IDLE,	      ///< Nothing moved within the idle timeout.
	HTTP_END_CLOSED,      ///< The server was closed.
	HTTP_END_FAILED,      ///< The connection failed.
};

/// Returns a description, for logs.
const char *http_end_name(enum http_end end);

/// Callbacks of a server. All run in the loop's thread.
struct httpd_ops {
	/// Requests whose callers have closed the connection before they were
	/// read are dropped: what they ask for is of no use any more.
	bool drops_abandoned;
	/// A request arrived. If more is set, its body continues in on_body.
	void (*on_request)(void *owner, struct http_exchange *exchange);
	/// A part of a streamed request body; last marks its end. If NULL,
	/// bodies of any size are buffered.
	void (*on_body)(struct http_exchange *exchange, const char *data,
	    size_t size_bytes, bool last);
	/// The library took bytes of a streamed response to send them.
	void (*on_drained)(struct http_exchange *exchange, size_t size_bytes);
	/// The exchange ended; its headers can still be read. It is freed on
	/// return. May be NULL.
	void (*on_end)(struct http_exchange *exchange, enum http_end end);
};

/// A request and its response.
struct http_exchange {
	struct httpd *httpd;
	void *state; ///< Set and used by the owner.
	const char *method;
	char *target; ///< Path and query.
	char *body;
	size_t body_bytes;
	bool more; ///< The body is longer than body_bytes.
	int64_t arrival_us;
};

struct httpd_limits {
	int64_t max_body_bytes;	  ///< Larger bodies get status 413.
	int64_t max_header_bytes; ///< Larger heads get status 431; 0: no limit.
	int64_t max_connections;  ///< Cannot be changed later.
	int64_t idle_timeout_s;	  ///< Of an idle connection.
	/// Timeout from the request line to the last header; 0: none. The
	/// connection is closed when it passes.
	int64_t header_timeout_us;
};

/// Opens a server and starts listening.
///
/// @param bound  receives the bound address; port 0 lets the kernel choose
/// @return the server, or NULL with err set
struct httpd *httpd_open(struct loop *loop, const struct address *at,
    const struct httpd_ops *ops, void *owner, const struct httpd_limits *limits,
    struct address *bound, struct error *err);

/// Sets the account of the memory that callers hold. Call it before the loop runs;
/// the account outlives the server.
void httpd_set_account(struct httpd *httpd, struct memory_account *account);

/// Changes the limits, but for max_connections. Open connections use them from
/// their next request on.
void httpd_set_limits(struct httpd *httpd, const struct httpd_limits *limits);

/// Starts a graceful shutdown: closes connections after their current response.
void httpd_drain(struct httpd *httpd);

/// Processes what has arrived by now, without waiting for the loop: connections
/// that are to be accepted, and requests that nobody has read.
void httpd_run(struct httpd *httpd);

/// Accepts no more connections, but for those that have been established.
void httpd_stop_accepting(struct httpd *httpd);

/// Returns the owner given to httpd_open.
void *httpd_get_owner(const struct httpd *httpd);

/// Number of exchanges that have not ended.
uint32_t httpd_active_count(const struct httpd *httpd);

/// Ends all exchanges, closes all connections and frees the server.
void httpd_close(struct httpd *httpd);

/// Looks up a request header. Names are case-insensitive.
///
/// @return its value, or NULL if absent
const char *http_exchange_get_header(
    const struct http_exchange *exchange, const char *name);

/// Calls a function for each request header, in order.
void http_exchange_visit_headers(const struct http_exchange *exchange,
    void (*fn)(void *arg, const char *name, const char *value), void *arg);

/// Returns whether a Connection header names a header, which then is of this
/// connection only.
bool http_exchange_connection_names(
    const struct http_exchange *exchange, const char *name);

/// A response header.
struct http_header {
	const char *name;
	const char *value;
};

/// Returns whether a response head fits the memory of the connection, beside the
/// head of the request. The connection would be closed without a response.
bool http_exchange_head_fits(const struct http_exchange *exchange,
    const struct http_header *headers, size_t header_count);

/// Responds with a complete body, which is copied.
void http_exchange_respond(struct http_exchange *exchange, uint32_t status,
    const struct http_header *headers, size_t header_count, const char *body,
    size_t body_bytes);

/// Responds with a plain text body.
void http_exchange_respond_text(
    struct http_exchange *exchange, uint32_t status, const char *text);

/// Starts a streamed response.
///
/// @param total_bytes  length of the body, or -1 if unknown
void http_exchange_respond_start(struct http_exchange *exchange,
    uint32_t status, const struct http_header *headers, size_t header_count,
    int64_t total_bytes);

/// Appends to the body of a streamed response.
void http_exchange_respond_body(
    struct http_exchange *exchange, const char *data, size_t size_bytes);

/// Ends a streamed response. If it is incomplete, the connection is closed so
/// that the caller detects the truncation.
void http_exchange_respond_end(struct http_exchange *exchange, bool complete);

/// Adds a part of a streamed request body to the body that is kept, in place of
/// forwarding it. After the last part the body is complete.
void http_exchange_keep_body(struct http_exchange *exchange, const char *data,
    size_t size_bytes, bool last);

/// Adds credit: the number of bytes of a streamed request body that may be
/// received before the upload is suspended again.
void http_exchange_add_credit(
    struct http_exchange *exchange, size_t size_bytes);

#endif
