/// @file
/// State of the egress and its requests, shared by the files of the egress.
#ifndef MV_PROXY_EGRESS_EGRESS_REQUEST_H
#define MV_PROXY_EGRESS_EGRESS_REQUEST_H

#include "core/memory_account.h"
#include "core/requests/answer_size.h"
#include "core/requests/collector.h"
#include "core/requests/link_schedule.h"
#include "core/requests/outcome.h"
#include "core/requests/server_terms.h"
#include "core/requests/work_left.h"
#include "io/dialect.h"
#include "io/http/httpc.h"
#include "proxy/egress/egress.h"
#include "proxy/egress/once_client.h"
#include "proxy/headers.h"
#include "wire/request_copy.h"

enum request_state {
	REQUEST_COLLECTING,	 ///< Its body is in transfer, or waits for it.
	REQUEST_QUEUED,		 ///< In the admission queue.
	REQUEST_CLAIMING,	 ///< Has a slot; its key is being claimed.
	REQUEST_RUNNING,	 ///< Sent to the backend server.
	REQUEST_AWAITING_RESULT, ///< Another attempt holds its key.
};

struct egress_request {
	struct admission_item item;
	struct memory_holder holder;
	struct httpc_call call;
	struct egress *egress;
	struct egress_sink *sink; ///< NULL after its stream is closed.
	struct egress_request *next;
	struct egress_request *prev;
	struct message_request *message;
	struct once_claim *claim;
	enum request_state state;
	uint64_t fence_key;
	int64_t deadline_us; ///< Of its caller. That of item is earlier if its
			     ///< ingress ends before.
	struct bytes caller_id; ///< The caller's id of the request, or empty.
	char method[HEADERS_METHOD_BYTES];
	char *url;
	char rank_text[RULES_NAME_BYTES];
	char expected[BACKEND_ID_BYTES]; ///< Id of the target backend server.
	char deadline_text[24];
	struct message_header *headers;
	// Request body, if parts follow the request message.
	char *upload;
	size_t upload_bytes;
	uint32_t upload_credit_bytes; ///< Granted while it is collected.
	bool collected; ///< The whole body arrived before it got a slot.
	bool upload_last;
	bool upload_failed;
	// Response.
	struct header_list response_headers;
	struct header_list connection_options; ///< Its Connection headers.
	uint32_t status;
	int64_t total_bytes; ///< Announced length; -1 if unknown.
	char *body;
	size_t body_bytes;
	size_t body_held_bytes; ///< Counted in held_bytes.
	size_t upload_held_bytes;
	int64_t window_bytes;
	bool streaming;
	bool shed; ///< The backend server reported that it did not run it.
	bool head_states_not_run; ///< So far in the current response head.
	bool reached_backend; ///< The backend server is believed to have it.
	bool has_signature;
	bool has_content_encoding; ///< Body not as the backend server made it.
	bool attempt_echoed;
	bool attempt_mismatched; ///< The response names another attempt.
	// What the server states in the response, until its head is accepted.
	uint64_t server; ///< Process of the server that it was sent to.
	struct server_load load;
	uint32_t limit_milli; ///< 0: none.
	bool limit_unreadable;
	bool leaving;
	bool abort_marked;
	struct link_flow answer; ///< Expected, while answer_expected.
	bool answer_expected;
	int64_t answer_bytes; ///< Of the body of the response so far.
	bool evict_marked;
	bool key_was_free; ///< As the ledger reported to this attempt.
};

/// Counts of the server that runs now.
struct egress_watch {
	struct egress_counts sent;
	int64_t sent_us;
	bool changed; ///< Since they were sent.
};

struct egress {
	struct loop *loop;
	struct memory_account *account;
	const struct dialect *dialect;
	struct httpc *httpc;
	struct once_client *once;
	struct admission admission;
	struct link_schedule *link; ///< NULL: its capacity is not known.
	struct answer_size_table answer_sizes;
	struct work_left work_left;
	struct fence fence;
	struct egress_backend backend;
	struct server_terms_state terms; ///< Of that backend server.
	struct rules *rules;
	struct rollout_table rollouts;
	struct rollout_filter rollout_filter; ///< Of the server's service.
	struct egress_watch watch;
	struct egress_request *first;
	struct collector collector;
	/// Called when a call ends and frees its slot.
	void (*on_slot_free)(struct egress *egress);
	/// Called once requests were told to give way; gets the egress.
	void (*on_evicted)(void *arg);
	struct loop_timer sweep_timer;
	struct loop_timer start_timer;	    ///< Next start that a limit allows.
	void (*on_pace_changed)(void *arg); ///< May be NULL.
	void *pace_arg;
	/// Called when the backend server states that it leaves. May be NULL.
	void (*on_leaving)(void *arg, const struct egress_backend *backend);
	void *leaving_arg;
	int64_t announced_pace_permille;   ///< 0: none yet.
	int64_t announce_pace_deadline_us; ///< Earliest next announcement.
	bool draining;
	bool abort_deferred;
	bool evict_deferred;
	bool leave_deferred;
	bool server_echoes; ///< Its responses name the attempts of callers.
	/// Until then its connections may carry bytes of an earlier request.
	int64_t separate_until_deadline_us;
};

// Layers of the egress, lowest first: a file calls only functions listed above
// its own.

// egress_load.c

/// Calls the pace listener after a marked change, at a limited rate.
void egress_announce_pace(struct egress *egress, int64_t now_us);

/// Learns from a request whose call has ended how long such requests take.
void egress_record_cost(struct egress_request *r, int64_t now_us);

/// Fills in the load that each response reports to the ingress.
void egress_fill_load(struct egress *egress, struct message_response *response);

// egress_link.c

/// Decides whether the link has room for the answer of a request, and reserves
/// it.
///
/// @param wait_us  receives the time until there is room, if it has none
bool egress_link_accepts(struct egress_request *r, int64_t *wait_us);

/// Ends the reservation of a request: its answer begins, or there is none.
void egress_link_end_expected(struct egress_request *r);

/// Records the size of an answer that has arrived whole.
void egress_link_record_answer(struct egress_request *r);

// egress_terms.c

/// Reads a response header if it states something of the server.
///
/// @return whether it does
bool egress_read_statement(
    struct egress_request *r, struct bytes name, struct bytes value);

/// Drops what the headers of a skipped response state.
void egress_forget_statements(struct egress_request *r);

/// Applies what the headers state, once the response is known to be the
/// server's answer to this request.
void egress_apply_statements(struct egress_request *r);

/// Takes over terms that the ingress of a request knows.
void egress_learn_terms(
    struct egress *egress, const struct message_request *m, const char *origin);

/// Drops the terms of an earlier process. Call it before egress->backend is
/// set.
void egress_set_server(
    struct egress *egress, const struct egress_backend *backend);

// egress_rollout.c

/// Follows a change of the server or of the roll-outs.
void egress_follow_rollouts(struct egress *egress);

/// Tells whether the server's version was rolled back.
bool egress_is_rolled_back(const struct egress *egress);

/// Counts a call that has ended.
void egress_count_answer(struct egress_request *r, const struct error *err);

// egress_collect.c

/// Starts the transfer of further bodies, those of the nearest target first.
void egress_collect_bodies(struct egress *egress);

/// Returns true if the body of a request is expected to arrive in time.
///
/// @param service_us  mean time of a request in a slot
/// @param retry_us    receives the retry delay if it is not
bool egress_can_collect(struct egress *egress, const struct message_request *m,
    int64_t service_us, int64_t *retry_us);

/// Queues the body of a request for transfer.
void egress_collect_begin(struct egress_request *r);

/// Ends the collection of a body. Call it before the request leaves
/// REQUEST_COLLECTING.
void egress_collect_end(struct egress_request *r);

/// Counts a received part of a body and grants credit for the next one.
///
/// @return true if the body is complete and its collection has ended
bool egress_receive_body_part(
    struct egress_request *r, const struct message_body *body);

// egress_memory.c

/// Adds a new request to the account of memory.
void egress_memory_add(struct egress_request *r);

/// Counts what a request holds, and whether it can still give way. Call it after
/// each change of either.
void egress_memory_update(struct egress_request *r);

/// Tells whether a request can give way: one that waits can be refused, and a call
/// whose body is not complete cannot have been understood. Any other is at work.
bool egress_memory_can_give_way(const struct egress_request *r);

// egress_request.c

/// Creates a request from a copy of the message and adds it to the egress.
struct egress_request *egress_request_create(struct egress *egress,
    struct egress_sink *sink, const struct message_request *message);

/// Moves the deadline of a request that does not run yet before the end of its
/// sink.
void egress_request_apply_end(struct egress_request *r);

void egress_request_free(struct egress_request *r);

// refuse.c

/// Sends a response that the egress produces itself.
void egress_send_error(struct egress *egress, struct egress_sink *sink,
    uint64_t id, uint32_t status, enum outcome outcome, int64_t retry_us,
    bool reached_backend, const char *why);

/// Returns the outcome of a request that did not run here. If its key was not
/// claimed for it, an earlier attempt may have run.
enum outcome egress_not_run_outcome(
    const struct message_request *m, bool claimed);

/// Ends a request that did not run, and frees it.
void egress_end_not_run(struct egress_request *r, uint32_t status,
    int64_t retry_us, const char *why);

/// Ends a request whose answer has no room on the link, and frees it.
void egress_end_link_full(struct egress_request *r, int64_t retry_us);

/// Responds that the outcome is unknown, and abandons the claim of the key.
void egress_send_unknown(
    struct egress_request *r, uint32_t status, const char *why);

// egress_call.c

/// Sends a request that holds a slot to the backend server.
void egress_start_call(struct egress_request *r);

/// Marks a call to be aborted soon, outside of its callbacks.
void egress_mark_abort(struct egress_request *r);

// egress_evict.c

/// Ends the requests that were told to give way.
///
/// @param arg  the egress
void egress_refuse_evicted(void *arg);

// work.c

/// Offers a request to the admission. A body to collect must be complete.
void egress_admit(struct egress_request *r);

/// Starts queued requests in free slots and refuses those that can no longer
/// meet their deadline.
void egress_run_queued(struct egress *egress);

/// Ends a request that waits for the result of another attempt.
void egress_stop_awaiting_result(struct egress_request *r);

#endif
