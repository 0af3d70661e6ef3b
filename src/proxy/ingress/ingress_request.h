/// @file
/// State of one request at the ingress, shared by the files of the ingress.
#ifndef MV_PROXY_INGRESS_INGRESS_REQUEST_H
#define MV_PROXY_INGRESS_INGRESS_REQUEST_H

#include "core/requests/balancer.h"
#include "core/requests/retry.h"
#include "io/clock.h"
#include "io/http/httpd.h"
#include "proxy/egress/egress.h"
#include "proxy/ingress/ingress.h"
#include "proxy/ingress/link.h"
#include "wire/request_copy.h"

/// After a proxy could not be reached, others know of that within about this
/// time.
#define UNREACHED_RETRY_US (200 * US_PER_MS)

/// A caller that is turned away by a proxy that leaves finds another at once.
#define LEAVING_RETRY_US (20 * US_PER_MS)

#define INGRESS_BUCKETS	     1024
#define INGRESS_MAX_ATTEMPTS 4
#define INGRESS_LENGTHS	     1024 ///< Routes whose lengths are kept.
#define INGRESS_NAME_BYTES   72	  ///< Of a request; longer names are cut.

enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_SENT,	   ///< Awaits the response.
	ATTEMPT_FENCED,	   ///< Its stream broke; awaits the fence's answer.
	ATTEMPT_STREAMING, ///< The response has begun to reach the caller.
};

/// One of the two listeners.
struct ingress_door {
	struct ingress *ingress;
	struct httpd *httpd;
	bool trusted; ///< Rank and deadline headers are believed.
};

struct ingress_request {
	struct ingress *ingress;
	struct ingress_request *next; ///< In the bucket of the attempt's id.
	struct ingress_request *all_next;
	struct ingress_request *all_prev;
	struct http_exchange *exchange; ///< NULL once the caller is gone.
	struct rules *rules;
	const struct rule_route *route;
	const struct rule_rank *rank;
	struct header_list headers;
	char key[256];
	char name
	    [INGRESS_NAME_BYTES]; ///< The caller's for it, or one given here.
	bool safe;		  ///< The backend server may run it again.
	bool repeatable;	  ///< It may be sent again.
	size_t bulk_sent_bytes;	  ///< Of a body that the egress asks for.
	bool bulk;		  ///< The body goes only as the egress asks.
	bool upload_passed_on;	  ///< Parts of the body are no longer kept.
	bool upload_ended;
	bool cancel_sent;
	bool may_have_run; ///< The outcome of an earlier attempt is unknown.
	bool broken;	   ///< The stream of its attempt just broke.
	bool counted;	   ///< It has earned its part of a retry.
	bool trusted;	   ///< It came in by the trusted listener.
	bool parked;	   ///< Waits for this proxy to know the mesh.
	bool marked;	   ///< Is to be looked at in this round.
	int64_t deadline_us;
	int64_t target_deadline_us; ///< Until then it earns its full worth.
	uint32_t service;	    ///< Drawn from the targets of the route.
	uint32_t arrivals;	    ///< Backend servers that it reached.
	struct loop_timer timer;
	// The attempt in progress.
	enum attempt_state state;
	uint64_t id;
	int64_t first_sent_us; ///< Of the first attempt; 0: none yet.
	int64_t sent_us;
	struct balancer *balancer;
	struct endpoint *endpoint;
	struct link *link; ///< NULL for the own egress.
	uint32_t attempts;
	// Refusal of the last attempt, told if no other can be made.
	uint32_t refused_status;
	enum outcome refused_outcome;
	int64_t refused_retry_us;
	char refused_why[96];
	char tried[INGRESS_MAX_ATTEMPTS][MEMBER_NAME_BYTES];
};

/// Time that requests of a route take against the mean of the service.
struct route_length {
	uint64_t key;		 ///< Hash of the route's name.
	struct histogram *times; ///< Of its answers; NULL until there is one.
	double permille;	 ///< 0: not known.
};

struct ingress {
	struct egress_sink local_sink;
	struct loop *loop;
	const struct dialect *dialect;
	struct random random;
	int64_t start_deadline_us; ///< Until then requests may be parked.
	struct loop_timer parked_timer;
	int64_t drain_deadline_us; ///< End of the drain; 0 for none.
	bool ending;		   ///< Nothing is tried again.
	struct egress *egress;
	struct links *links;
	struct ingress_settings settings;
	struct ingress_door outer;
	struct ingress_door inner;
	struct rules *rules;
	struct balancer **balancers;
	uint32_t balancer_count;
	struct route_length lengths[INGRESS_LENGTHS];
	struct ingress_request *buckets[INGRESS_BUCKETS];
	struct ingress_request *all;
	uint64_t next_id;
	uint64_t named; ///< Requests that were given a name.
};

// Layers of the ingress, lowest first: a file calls only what stands above it.

// ingress_request.c

/// Takes up a request of a listener.
struct ingress_request *ingress_request_create(
    struct ingress_door *door, struct http_exchange *exchange);

/// Frees a request whose exchange has ended or been answered.
void ingress_request_free(struct ingress_request *r);

/// Value of a header that the dialect may not have; NULL if there is none.
const char *ingress_find_header(
    const struct ingress_request *r, const char *name);

/// Outcome of a request that this proxy did not let run: with a key, only
/// the ledger could tell whether an earlier attempt did.
enum outcome ingress_not_run_outcome(const struct ingress_request *r);

/// What is known of the requests of a route.
struct route_length *ingress_length_of(struct ingress_request *r);

/// Learns how long requests of a route take against the mean of the service.
void ingress_note_length(
    struct ingress_request *r, const struct message_response *m);

// conclude.c

/// The request ended for this ingress: answers, unless the answer began.
void ingress_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why);

// park.c

/// Lets a request wait while this process has just started and cannot serve it
/// yet.
///
/// @return false if it has waited long enough, or the process has
bool ingress_park(struct ingress_request *r);

// attempt.c

/// Request whose attempt in progress has an id on a link; NULL if none has.
struct ingress_request *ingress_find_attempt(
    struct ingress *ingress, const struct link *link, uint64_t id);

/// Sends the request to the endpoint chosen for it. Its answer may come, and
/// the request end, before this returns.
///
/// @return 0, or -1 if nothing could be sent
int ingress_attempt_send(struct ingress_request *r);

/// Ends the attempt in progress; answers to it are dropped from now on.
void ingress_attempt_end(struct ingress_request *r, bool failed);

/// Tells the egress of the attempt in progress to give up.
///
/// @param queued_only  unless it runs already
void ingress_send_cancel(struct ingress_request *r, bool queued_only);

/// Takes an attempt back that cannot have run, since its body has not been sent.
///
/// @return whether it was one
bool ingress_withdraw(struct ingress_request *r);

/// Sends a part of the body to the egress of the attempt in progress.
void ingress_send_body(
    struct ingress_request *r, const struct message_body *body);

/// Lets the egress send more of the response.
void ingress_send_window(struct ingress_request *r, uint32_t credit_bytes);

// tries.c

/// Sends the request to an endpoint, or answers it if there is none.
void ingress_attempt_start(struct ingress_request *r);

/// Decides whether to try again, and counts it.
bool ingress_may_retry(
    struct ingress_request *r, uint32_t status, enum outcome outcome);

/// Keeps what is told if no other attempt can be made.
void ingress_note_last(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why);

/// Tries again if that is safe and within the budget, else answers.
void ingress_retry_or_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why);

/// The deadline of the request, or the grace after it, passed.
void ingress_on_deadline(void *arg);

// broken.c

/// A stream ended: handles all attempts on it.
///
/// @param opened  whether it ever came to be
void ingress_on_broken(void *owner, struct link *link, bool opened);

// answer.c

/// Callbacks of the links and of the own egress.
extern const struct links_ops ingress_links_ops;
extern const struct egress_sink_ops ingress_sink_ops;

// route.c

/// Finds what the rules say of a request, and lets it be served.
void ingress_route(struct ingress_request *r);

/// Takes over how long the caller waits.
void ingress_read_deadline(struct ingress_request *r);

// waiting.c

/// Tries again what waits for this proxy to know the mesh.
void ingress_resume_parked(void *arg);

#endif
