/// @file
/// Server and exchange structs, private to the files of the HTTP server.
#ifndef MV_IO_HTTP_HTTPD_EXCHANGE_H
#define MV_IO_HTTP_HTTPD_EXCHANGE_H

#include <microhttpd.h>

#include "io/http/httpd.h"

/// Memory of a connection: the heads of a request and its response.
#define CONNECTION_MEMORY_BYTES (32 * 1024)

struct httpd {
	struct loop *loop;
	struct MHD_Daemon *daemon;
	const struct httpd_ops *ops;
	void *owner;
	struct httpd_limits limits;
	struct loop_watch watch;
	struct loop_hook hook;
	struct loop_timer scan_timer;
	struct exchange *exchanges;
	uint32_t active_count;
	bool draining;
	bool run_pending; ///< MHD_run must be called before the next wait.
};

/// Private part of an exchange.
struct exchange {
	struct http_exchange pub;
	struct MHD_Connection *connection;
	const char *uri; ///< Where the library read the target; not to be read.
	struct exchange *next;
	struct exchange *prev;
	struct MHD_Response *response;
	uint32_t status;
	int64_t credit_bytes;
	int64_t received_bytes;	    ///< Of the request body.
	int64_t header_deadline_us; ///< For the complete request head.
	char *out;		    ///< Streamed response bytes not yet sent.
	size_t out_bytes;
	size_t out_capacity_bytes;
	size_t out_held_bytes; ///< Counted in held_bytes.
	size_t body_held_bytes;
	bool dispatched;
	bool upload_done;
	bool suspended;
	bool discarding; ///< Responded early; drops the remaining upload.
	bool out_ended;
	bool out_complete;
	bool response_queued;
	bool has_options; ///< Connection names more than how it ends.
};

/// Returns the exchange that contains a public part.
struct exchange *exchange_of(struct http_exchange *pub);

/// Returns the size of the request head.
///
/// @param per_header_bytes  added for each header
int64_t exchange_head_bytes(const struct exchange *x, int64_t per_header_bytes);

/// Checks that the head of the request can be read in one way only.
///
/// @return 0, or -1 with err set, which names the field
int exchange_check_head(struct exchange *x, const char *method,
    const char *version, struct error *err);

/// Suspends reading and writing on the connection of an exchange.
void exchange_suspend(struct exchange *x);

/// Resumes the connection of an exchange if it is suspended.
void exchange_resume(struct exchange *x);

#endif
