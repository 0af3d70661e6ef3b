/// @file
/// A server and its exchanges, shared by the files of the HTTP server.
#ifndef MV_IO_HTTP_HTTPD_EXCHANGE_H
#define MV_IO_HTTP_HTTPD_EXCHANGE_H

#include <microhttpd.h>

#include "io/http/httpd.h"

struct httpd {
	struct loop *loop;
	struct MHD_Daemon *daemon;
	const struct httpd_ops *ops;
	void *owner;
	struct httpd_limits limits;
	struct loop_watch watch;
	struct loop_hook hook;
	struct loop_timer scan_timer;
	struct exchange *first;
	uint32_t active_count;
	bool draining;
	bool ready; ///< The library has work to do.
};

/// Private part of an exchange.
struct exchange {
	struct http_exchange pub;
	struct MHD_Connection *connection;
	struct exchange *next;
	struct exchange *prev;
	struct MHD_Response *response;
	uint32_t status;
	int64_t credit_bytes;
	int64_t received_bytes;	    ///< Of the request's body.
	int64_t header_deadline_us; ///< Until the head must be whole.
	char *out;		    ///< Streamed response bytes not yet taken.
	size_t out_bytes;
	size_t out_capacity_bytes;
	bool dispatched;
	bool upload_done;
	bool suspended;
	bool discarding; ///< Answered early: drop the rest of the upload.
	bool out_ended;
	bool out_complete;
	bool queued;
};

struct exchange *exchange_of(struct http_exchange *pub);

/// Stops the library from reading and writing for an exchange.
void exchange_suspend(struct exchange *x);

/// Lets it go on, if it was suspended.
void exchange_resume(struct exchange *x);

#endif
