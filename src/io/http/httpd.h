/// @file
/// HTTP server on an event loop, with streamed bodies in both directions.
#ifndef MV_IO_HTTP_HTTPD_H
#define MV_IO_HTTP_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "io/loop.h"
#include "io/net/address.h"
#include "wire/codec.h"

/// Bodies up to this size are handed over whole, with the request.
#define HTTPD_WHOLE_BODY_BYTES (512u * 1024)

struct httpd;
struct http_exchange;

/// What the owner of a server is told. All calls come from the loop's thread.
struct httpd_ops {
	/// A request arrived. If more is true its body continues in on_body.
	void (*on_request)(void *owner, struct http_exchange *exchange);
	/// A part of a streamed body; last ends it. NULL if never streamed.
	void (*on_body)(struct http_exchange *exchange, const char *data,
	    size_t size_bytes, bool last);
	/// The caller took bytes of a streamed response.
	void (*on_drained)(struct http_exchange *exchange, size_t size_bytes);
	/// The exchange ended; complete is false if the caller did not get
	/// the whole response. The exchange is freed on return. May be NULL.
	void (*on_end)(struct http_exchange *exchange, bool complete);
};

/// A request and the response to it.
struct http_exchange {
	struct httpd *httpd;
	void *state; ///< For the owner's use.
	const char *method;
	char *target; ///< Path and query.
	char *body;
	size_t body_bytes;
	bool more; ///< The body goes on past body_bytes.
	int64_t arrival_us;
};

struct httpd_limits {
	int64_t max_body_bytes;	  ///< Larger requests get status 413.
	int64_t max_header_bytes; ///< Larger heads get status 431; 0: no limit.
	int64_t max_connections;  ///< Fixed when the server is opened.
	int64_t idle_timeout_s;	  ///< Of a connection without a request.
	/// From the request line to the last header; 0: no limit. The
	/// connection of a slower caller is closed.
	int64_t header_timeout_us;
};

/// Starts to listen.
///
/// @param bound  receives the address in use; port 0 lets the kernel choose
/// @return the server, or NULL with err set
struct httpd *httpd_open(struct loop *loop, const struct address *at,
    const struct httpd_ops *ops, void *owner, const struct httpd_limits *limits,
    struct address *bound, struct error *err);

/// Takes other limits; connections that are open get them with their next
/// request.
void httpd_set_limits(struct httpd *httpd, const struct httpd_limits *limits);

/// Stops to accept connections; those that are open are served and then
/// closed after the response in progress.
void httpd_drain(struct httpd *httpd);

/// Number of requests without a whole response.
uint32_t httpd_active_count(const struct httpd *httpd);

void httpd_close(struct httpd *httpd);

/// Looks up a request header, without regard to case.
///
/// @return its value, or NULL
const char *http_exchange_header(
    const struct http_exchange *exchange, const char *name);

/// Visits the request headers in order.
void http_exchange_each_header(const struct http_exchange *exchange,
    void (*fn)(void *arg, const char *name, const char *value), void *arg);

/// A response header.
struct http_header {
	const char *name;
	const char *value;
};

/// Answers with a whole body.
void http_exchange_respond(struct http_exchange *exchange, uint32_t status,
    const struct http_header *headers, size_t header_count, const char *body,
    size_t body_bytes);

/// Answers with a plain text body.
void http_exchange_respond_text(
    struct http_exchange *exchange, uint32_t status, const char *text);

/// Starts a streamed response.
///
/// @param total_bytes  length of the body, or -1 if it is not known
void http_exchange_respond_start(struct http_exchange *exchange,
    uint32_t status, const struct http_header *headers, size_t header_count,
    int64_t total_bytes);

/// Adds a part to a streamed response.
void http_exchange_respond_body(
    struct http_exchange *exchange, const char *data, size_t size_bytes);

/// Ends a streamed response; if it is not complete the caller sees a
/// broken connection.
void http_exchange_respond_end(struct http_exchange *exchange, bool complete);

/// Lets the caller send more of a streamed request body.
void http_exchange_grant(struct http_exchange *exchange, size_t size_bytes);

#endif
