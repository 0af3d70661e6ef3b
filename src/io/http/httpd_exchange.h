/// @file
/// Server and exchange structs, private to the files of the HTTP server.
#ifndef MV_IO_HTTP_HTTPD_EXCHANGE_H
#define MV_IO_HTTP_HTTPD_EXCHANGE_H

#include <microhttpd.h>
#include <poll.h>

#include "core/memory_account.h"
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
	struct caller *callers;
	uint32_t caller_count;
	struct memory_account *account;
	struct memory_account own_account; ///< Without a limit; by default.
	struct exchange *joined; ///< Exchanges that hold joined parts.
	uint32_t active_count;
	bool draining;
	bool run_pending; ///< MHD_run must be called before the next wait.
};

/// A connection of a caller.
struct caller {
	struct memory_holder holder;
	struct httpd *httpd;
	struct exchange *exchange; ///< In progress; NULL: none.
	struct caller *next;
	struct caller *prev;
	int fd;
	int64_t close_deadline_us; ///< After a refusal.
};

/// Private part of an exchange.
struct exchange {
	struct http_exchange pub;
	struct MHD_Connection *connection;
	struct caller *caller;
	const char *uri; ///< Where the library read the target; not to be read.
	struct exchange *next;
	struct exchange *prev;
	struct MHD_Response *response;
	uint32_t status;
	int64_t credit_bytes;
	int64_t received_bytes;	 ///< Of the request body.
	int64_t discarded_bytes; ///< Of it, after an early response.
	int64_t announced_bytes; ///< Content-Length; 0: none.
	int64_t max_body_bytes;	 ///< Limit in force when it began.
	size_t body_capacity_bytes;
	char *parts; ///< Joined, not yet delivered; NULL: none.
	size_t parts_bytes;
	struct exchange *joined_next;
	struct exchange *joined_prev;
	struct loop_job job;	    ///< Next share of a long upload.
	int64_t share_bytes;	    ///< What is left of the last share.
	int64_t header_deadline_us; ///< For the complete request head.
	char *out;		    ///< Streamed response bytes not yet sent.
	size_t out_bytes;
	size_t out_capacity_bytes;
	size_t out_held_bytes; ///< Counted in held_bytes.
	size_t body_held_bytes;
	size_t response_bytes; ///< Of a response that is not streamed.
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

/// Fills in a poll for the close of a caller's connection, or of its side of it,
/// whether or not bytes that it sent are unread.
void exchange_watch_for_close(const struct exchange *x, struct pollfd *pollfd);

/// Passes a request on to the owner.
///
/// @param more  its body continues
void exchange_dispatch(struct exchange *x, bool more);

/// Suspends reading and writing on the connection of an exchange.
void exchange_suspend(struct exchange *x);

/// Resumes the connection of an exchange if it is suspended.
void exchange_resume(struct exchange *x);

/// Ends an exchange whose caller has closed the connection, or loses it.
void exchange_end_abandoned(struct exchange *x);

/// Returns by how much the kept body has to grow for a further part.
size_t exchange_body_growth_bytes(const struct exchange *x, size_t size_bytes);

/// Frees the body that is kept.
void exchange_drop_body(struct exchange *x);

// Connections of callers, in httpd_caller.c.

/// Adds a connection that was accepted.
struct caller *caller_open(struct httpd *httpd,
    struct MHD_Connection *connection, const struct memory_holder_ops *ops);

void caller_free(struct caller *caller);

/// Finds the caller of a connection.
struct caller *caller_find(struct MHD_Connection *connection);

/// Links a new exchange to its caller.
void caller_begin(struct caller *caller, struct exchange *x);

/// Counts what a caller makes the server hold now.
void caller_update(struct caller *caller);

// Connections that give way, in httpd_evict.c.

extern const struct memory_holder_ops caller_holder_ops;

/// Closes the connections that hold up others: those refused that still stay, and
/// near the limit on connections those that give least.
void caller_close_strangers(struct httpd *httpd, int64_t now_us);

// Request bodies, in httpd_upload.c.

extern const char httpd_body_too_large_text[];

/// Prepares a new exchange.
void upload_begin(struct exchange *x);

/// Buffers a part of the body, or joins it to those to deliver, up to the available
/// credit. Long bodies take turns.
enum MHD_Result upload_receive(
    struct exchange *x, const char *data, size_t *size_bytes);

/// Delivers the joined parts of a body.
///
/// @param last  the body is complete
void upload_deliver(struct exchange *x, bool last);

/// Delivers the joined parts of all bodies.
void upload_deliver_joined(struct httpd *httpd);

/// Drops what is not delivered.
void upload_end(struct exchange *x);

#endif
