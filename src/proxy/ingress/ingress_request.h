/// @file
/// State of one request at the ingress, shared by the files of the ingress.
#ifndef MV_PROXY_INGRESS_INGRESS_REQUEST_H
#define MV_PROXY_INGRESS_INGRESS_REQUEST_H

#include "core/requests/answer_size.h"
#include "core/requests/balancer.h"
#include "core/requests/caller_age.h"
#include "core/requests/retry.h"
#include "core/workspace/quota_share.h"
#include "io/clock.h"
#include "io/http/httpd.h"
#include "io/net/net.h"
#include "proxy/egress/egress.h"
#include "proxy/ingress/ingress.h"
#include "proxy/ingress/link.h"
#include "wire/request_copy.h"

/// Retry hint after an egress could not be reached: the other members detect
/// that within about this time.
#define UNREACHABLE_RETRY_US (200 * US_PER_MS)

/// Retry hint of a draining proxy: the caller can use another proxy at once.
#define DRAINING_RETRY_US (20 * US_PER_MS)

/// Requests have to end this long before the end of a drain.
#define INGRESS_DRAIN_MARGIN_US (500 * US_PER_MS)

#define INGRESS_BUCKETS		 1024
#define INGRESS_MAX_SOURCES	 14
#define INGRESS_MAX_ATTEMPTS	 4
#define INGRESS_ROUTE_STATS	 1024 ///< Slots in the table of routes.
#define INGRESS_REQUEST_ID_BYTES 72   ///< Longer request ids are cut.

enum attempt_state {
	ATTEMPT_NONE,
	ATTEMPT_SENT,	   ///< Awaits the response.
	ATTEMPT_FENCED,	   ///< Its stream was lost; awaits the fence answer.
	ATTEMPT_STREAMING, ///< Part of the response has been forwarded.
};

/// The outer or inner listener.
struct ingress_listener {
	struct ingress *ingress;
	struct httpd *httpd;
	bool trusted; ///< Rank and deadline headers are obeyed.
};

struct ingress_request {
	struct ingress *ingress;
	struct ingress_request *next; ///< In the bucket of the attempt id.
	struct ingress_request *all_next;
	struct ingress_request *all_prev;
	struct http_exchange *exchange; ///< NULL once the caller is gone.
	struct rules *rules;
	const struct rule_route *route;
	const struct rule_rank *rank;
	struct header_list headers;
	char key[256]; ///< Idempotency key, or empty.
	/// The caller's id of the request, or a generated one.
	char request_id[INGRESS_REQUEST_ID_BYTES];
	char workspace[RULES_LABEL_BYTES]; ///< Its workspace, or "".
	bool keyed;	    ///< Its caller's key named the workspace.
	bool states_parent; ///< Its id names the request it is a call of.
	bool safe;	    ///< May run more than once.
	bool repeatable;    ///< Safe, or guarded by a key.
	size_t windowed_sent_bytes; ///< Part of a windowed body sent so far.
	bool body_windowed;	    ///< The body is sent on credit only.
	bool upload_forwarded;	    ///< Sent parts of the body are not kept.
	bool upload_ended;
	bool cancel_sent;
	bool may_have_run;    ///< An earlier attempt's outcome is unknown.
	bool stream_lost;     ///< Still to visit in ingress_on_stream_lost.
	bool budget_credited; ///< It has been added to the retry budget.
	bool trusted;	      ///< It came from the trusted listener.
	bool begun; ///< A call of a request that a backend server runs.
	bool parent_repeats; ///< That run repeats an earlier one.
	bool quota_waiting;  ///< Waits for a token of its workspace's quota.
	struct ingress_request *quota_next; ///< In the order of arrival.
	struct ingress_request *quota_prev;
	bool parked;	       ///< Waits for rules or endpoints after a start.
	bool parked_before;    ///< It has been parked at least once.
	bool refused_for_room; ///< An egress had no room for it.
	bool visit_pending;    ///< Still to visit in a loop of waiting.c.
	int64_t deadline_us;
	int64_t target_deadline_us; ///< A later response loses worth.
	int64_t stated_left_us; ///< Until the caller's deadline; 0: not stated.
	bool returned;		///< The caller was refused before.
	int64_t answer_bytes;	///< Of the body of the response, received.
	bool answer_unsized;	///< Its head does not tell its length.
	uint32_t service;	///< Index; drawn from the route's targets.
	/// Decides between the versions of the service; see rollout_table.h.
	uint32_t rollout_draw_permille;
	uint32_t arrivals; ///< Backend servers that may have got it.
	struct loop_timer timer;
	// The attempt in progress.
	enum attempt_state state;
	uint64_t attempt_id;
	int64_t first_sent_us; ///< Of the first attempt; 0: none yet.
	int64_t sent_us;
	struct balancer *balancer;
	struct endpoint *endpoint;
	struct link *link; ///< NULL for the own egress.
	uint32_t attempts;
	// Response to send if no attempt after the last one can be made.
	uint32_t last_status;
	enum outcome last_outcome;
	int64_t last_retry_us;
	char last_why[96];
	char tried[INGRESS_MAX_ATTEMPTS][MEMBER_NAME_BYTES];
};

/// Statistics of the requests of one route.
struct route_stats {
	uint64_t route_hash;	   ///< Of the route's name.
	struct histogram *latency; ///< Until the response; NULL if unused.
	/// Moving average of the time in a slot, relative to the mean of the
	/// service; 0: not known.
	double service_ratio_permille;
	struct answer_size answer_size;
	struct caller_age caller_age;
	int64_t returns_deadline_us; ///< Until then refused callers come back.
};

/// Client of the accountant of quotas. See proxy/ingress/quota.c.
struct quota_client {
	struct quota_share share;
	struct datagram_socket udp; ///< Open once a workspace has a limit.
	struct loop_timer timer;
	struct address sources[INGRESS_MAX_SOURCES];
	uint32_t source_count;
	struct address accountant;
	bool has_accountant;
	struct address clock_of; ///< Source that answered last.
	uint32_t turn; ///< Source that is asked while none is known to lead.
	struct ingress_request *first; ///< Requests that wait for a token.
	struct ingress_request *last;
};

struct ingress {
	struct egress_sink local_sink;
	struct loop *loop;
	const struct dialect *dialect;
	struct random random;
	int64_t start_deadline_us; ///< Until then requests may be parked.
	struct loop_timer parked_timer;
	int64_t leave_deadline_us; ///< End of this process; 0: not known.
	int64_t drain_deadline_us; ///< End of the drain; 0 for none.
	bool retries_disabled;	   ///< Set near the end of a drain.
	bool closing;		   ///< The process ends; nothing is awaited.
	/// Called when it stops using a new version; may be NULL.
	void (*on_stopped)(void *arg, uint64_t order);
	void *stopped_arg;
	struct egress *egress;
	struct links *links;
	struct ingress_settings settings;
	struct ingress_listener outer;
	struct ingress_listener inner;
	struct rules *rules;
	struct balancer **balancers;
	uint32_t balancer_count;
	struct route_stats route_table[INGRESS_ROUTE_STATS];
	struct ingress_request *buckets[INGRESS_BUCKETS];
	struct ingress_request *all;
	struct quota_client quota;
	uint64_t next_id;
	uint64_t generated_ids; ///< Count of request ids generated.
	/// Service that the last request named as its caller's.
	char caller_service[MEMBER_NAME_BYTES];
};

// Layers of the ingress, lowest first: a file calls only functions that are
// declared above its own.

// ingress_request.c

/// Creates the state of a request that arrived at a listener.
struct ingress_request *ingress_request_create(
    struct ingress_listener *listener, struct http_exchange *exchange);

/// Frees a request whose exchange has ended or got its response.
void ingress_request_free(struct ingress_request *r);

/// Takes a request out of those that wait for a token.
void ingress_stop_quota_wait(struct ingress_request *r);

/// Value of a request header; NULL if it is absent, or if name is NULL since
/// the dialect has no such header.
const char *ingress_find_header(
    const struct ingress_request *r, const char *name);

/// Outcome of a request that this proxy did not run. With an idempotency key it
/// is OUTCOME_REFUSED: only the ledger knows of earlier attempts.
enum outcome ingress_not_run_outcome(const struct ingress_request *r);

/// Statistics of the request's route; replaces those of another route that
/// has the same slot.
struct route_stats *ingress_get_route_stats(struct ingress_request *r);

/// Updates the service time ratio of the request's route.
void ingress_record_service_time(
    struct ingress_request *r, const struct message_response *m);

/// Records the size of an answer of the request's route, if its head tells it.
/// Otherwise ingress_record_answer_end does.
void ingress_record_answer_size(
    struct ingress_request *r, const struct message_response *m);

/// Records the size of an answer that has arrived whole, unless its head told it.
void ingress_record_answer_end(struct ingress_request *r);

/// Whether the request is a call of work that the local backend server is at. What it
/// calls for itself comes by the same listener.
bool ingress_is_call_of_work(const struct ingress_request *r);

/// Whether this process leaves and the answer may still be on its way when it ends. A
/// long answer depends on links as well, so that none is begun from the first sign on.
bool ingress_answer_may_outlast(struct ingress_request *r);

// conclude.c

/// Ends the request: responds unless the caller is gone, and frees it. The
/// outcome becomes unknown if an earlier attempt may have run.
void ingress_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why);

// workspace.c

/// Decides which workspace the request belongs to: the one of its key, or that of
/// the request that it is a call of. Responds if the route needs a key and it has
/// none that is known.
///
/// @return false if the request has ended
bool ingress_set_workspace(struct ingress_request *r);

/// Whether the rules in force now still grant the request's key to its workspace.
bool ingress_key_holds(const struct ingress_request *r);

/// Ends a request that has not run and whose key was withdrawn.
void ingress_conclude_key_withdrawn(struct ingress_request *r);

// park.c

/// Lets a request wait while this process has just started and lacks rules or
/// endpoints for it.
///
/// @return false if its caller is gone, or its or the process's time for
///         parking is over
bool ingress_park(struct ingress_request *r);

// attempt.c

/// Finds the request whose attempt in progress has an id on a link; NULL if
/// there is none.
struct ingress_request *ingress_find_attempt(
    struct ingress *ingress, const struct link *link, uint64_t id);

/// Sends the request to the endpoint chosen for it. The response may arrive, and
/// the request be freed, before this returns.
///
/// @return 0, or -1 if nothing could be sent
int ingress_attempt_send(struct ingress_request *r);

/// Ends the attempt in progress; later responses to it are dropped.
///
/// @param failed  counts as a failure of the endpoint
void ingress_attempt_end(struct ingress_request *r, bool failed);

/// Cancels the attempt in progress at its egress.
///
/// @param queued_only  unless it runs already
void ingress_send_cancel(struct ingress_request *r, bool queued_only);

/// Cancels and ends an attempt that cannot have run, since its body has not
/// been sent whole.
///
/// @return whether the attempt was such a one
bool ingress_withdraw_attempt(struct ingress_request *r);

/// Sends a part of the body to the egress of the attempt in progress.
void ingress_send_body(
    struct ingress_request *r, const struct message_body *body);

/// Grants the egress credit for more of the response body.
void ingress_send_window(struct ingress_request *r, uint32_t credit_bytes);

// tries.c

/// Fills in what the choice of an endpoint depends on.
void ingress_fill_query(
    struct ingress_request *r, struct balancer_request *q, int64_t now_us);

/// Chooses an endpoint and sends the request to it. Without an endpoint, parks
/// the request or responds.
void ingress_attempt_start(struct ingress_request *r);

/// Decides whether to retry, and counts the retry.
bool ingress_may_retry(
    struct ingress_request *r, uint32_t status, enum outcome outcome);

/// Keeps the response to send if no other attempt can be made.
void ingress_record_failure(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why);

/// Retries if that is safe and within the retry budget, else responds.
void ingress_retry_or_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why);

/// Timer: the deadline, the grace after a cancel, or the time for parking is
/// over.
void ingress_on_deadline(void *arg);

// broken.c

/// Handles all attempts on a stream that was lost.
///
/// @param opened  whether the connection was ever established
void ingress_on_stream_lost(void *owner, struct link *link, bool opened);

// answer.c

/// Callbacks of the links and of the own egress.
extern const struct links_ops ingress_links_ops;
extern const struct egress_sink_ops ingress_sink_ops;

// caller_service.c

/// Adds the header that names the service on this VM as the caller's.
void ingress_add_caller_service(struct ingress_request *r);

// quota.c

/// Spends a token of the quota of the request's workspace. Without one the request
/// waits for the accountant's answer, or is refused.
///
/// @return whether it may be sent now
bool ingress_take_quota(struct ingress_request *r);

/// Takes over the limits of the rules in force.
void ingress_quota_set_rules(struct ingress *ingress);

void ingress_quota_open(struct ingress *ingress);

void ingress_quota_close(struct ingress *ingress);

// route.c

/// Routes a request by the rules in force, and starts its first attempt.
void ingress_route(struct ingress_request *r);

/// Applies the deadline header, if it is earlier than the deadline so far.
void ingress_read_deadline(struct ingress_request *r);

// waiting.c

/// Ends all requests that no backend server runs yet and whose key the rules in
/// force have withdrawn.
void ingress_recheck_keys(struct ingress *ingress);

/// Retries all parked requests.
void ingress_resume_parked(void *arg);

#endif
