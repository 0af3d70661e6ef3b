/// @file
/// State of one request at the egress, shared by the files of the egress.
#ifndef MV_PROXY_EGRESS_EGRESS_REQUEST_H
#define MV_PROXY_EGRESS_EGRESS_REQUEST_H

#include "core/requests/collector.h"
#include "core/requests/outcome.h"
#include "io/dialect.h"
#include "io/http/httpc.h"
#include "proxy/egress/egress.h"
#include "proxy/egress/once_client.h"
#include "wire/request_copy.h"

enum request_state {
	REQUEST_COLLECTING, ///< Its body is asked for, or soon will be.
	REQUEST_WAITING,    ///< In the admission's queue.
	REQUEST_CLAIMING,   ///< Has a slot; its key is being claimed.
	REQUEST_RUNNING,    ///< Sent to the backend server.
	REQUEST_ATTENDING,  ///< Its key is in progress; waits for the answer.
};

struct egress_request {
	struct admission_item item;
	struct httpc_call call;
	struct egress *egress;
	struct egress_sink *sink; ///< NULL once the way back is gone.
	struct egress_request *next;
	struct egress_request *prev;
	struct message_request *message;
	struct once_claim *claim;
	enum request_state state;
	uint64_t fence_key;
	char *url;
	char rank_text[RULES_NAME_BYTES];
	char expected[BACKEND_ID_BYTES]; ///< Server that it is meant for.
	char deadline_text[24];
	struct bytes (*headers)[2];
	// Request body beyond the first part.
	char *upload;
	size_t upload_bytes;
	uint32_t upload_asked_bytes; ///< While its body is collected.
	bool collected; ///< The body was collected before it got a slot.
	bool upload_last;
	bool upload_failed;
	// Response.
	struct header_list response_headers;
	uint32_t status;
	int64_t total_bytes; ///< Announced length, or -1.
	char *body;
	size_t body_bytes;
	int64_t window_bytes;
	bool streaming;
	bool shed; ///< The backend server said that it did not run it.
	bool
	    reached_backend; ///< The backend server got it, as far as is known.
	bool signed_answer;
	bool encoded_answer; ///< Not as the backend server made it.
	bool attempt_echoed;
	bool crossed; ///< The answer is that of another request.
	bool abort_marked;
	bool key_was_free; ///< The ledger said so to this attempt.
};

struct egress {
	struct loop *loop;
	const struct dialect *dialect;
	struct httpc *httpc;
	struct once_client *once;
	struct admission admission;
	struct fence fence;
	struct egress_backend backend;
	struct rules *rules;
	struct egress_request *first;
	struct collector collector;
	/// A call ended: what waits may have its slot.
	void (*on_slot_free)(struct egress *egress);
	struct loop_timer sweep_timer;
	bool draining;
	bool abort_deferred;
};

// Layers of the egress, lowest first: a file calls only what stands above it.

// egress_collect.c

/// Asks for the bodies of further requests, those of the nearest target first.
void egress_collect_bodies(struct egress *egress);

/// Tells whether the body of a request can be here in time.
///
/// @param service_us  mean time of a request in a slot
/// @param retry_us    if not: time after which it may come back
bool egress_can_collect(struct egress *egress, const struct message_request *m,
    int64_t service_us, int64_t *retry_us);

/// Lets the body of a request be asked for when it is its turn.
void egress_collect_begin(struct egress_request *r);

/// Ends the collection of a body, before the request leaves that state.
void egress_collect_end(struct egress_request *r);

/// Takes a part of a body that was asked for.
///
/// @return whether the body is whole now, and its collection has ended
bool egress_collect_part(
    struct egress_request *r, const struct message_body *body);

// egress_request.c

/// Takes up a request of an ingress.
struct egress_request *egress_request_create(struct egress *egress,
    struct egress_sink *sink, const struct message_request *message);

void egress_request_free(struct egress_request *r);

// refuse.c

void egress_fill_load(struct egress *egress, struct message_response *response);

/// Answers on behalf of the egress, not of the backend server.
void egress_send_refusal(struct egress *egress, struct egress_sink *sink,
    uint64_t id, uint32_t status, enum outcome outcome, int64_t retry_us,
    bool reached_backend, const char *why);

/// Outcome of a request that did not run here. If its key was not claimed
/// for it, an earlier attempt may have run.
enum outcome egress_not_run_outcome(
    const struct message_request *m, bool claimed);

/// Ends a request that never got to the backend server.
void egress_end_not_run(struct egress_request *r, uint32_t status,
    int64_t retry_us, const char *why);

void egress_send_unknown(
    struct egress_request *r, uint32_t status, const char *why);

// egress_call.c

/// Sends a request that holds a slot to the backend server.
void egress_start_call(struct egress_request *r);

/// Ends a call soon, outside of its callbacks.
void egress_mark_abort(struct egress_request *r);

// work.c

/// Offers a request whose body is here to the admission.
void egress_admit(struct egress_request *r);

/// Gives out free slots and drops what can no longer be served in time.
void egress_run_waiting(struct egress *egress);

/// Ends a request that waits for the answer of another attempt.
void egress_end_attending(struct egress_request *r);

#endif
