/// @file
/// Egress: the only path to the backend server on the same VM.
#ifndef MV_PROXY_EGRESS_EGRESS_H
#define MV_PROXY_EGRESS_EGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/requests/admission.h"
#include "core/requests/backend.h"
#include "core/requests/fence.h"
#include "core/rollout/rollout_counts.h"
#include "core/rollout/rollout_table.h"
#include "core/rules/rules.h"
#include "io/loop.h"
#include "wire/messages.h"

struct egress;
struct memory_account;
struct egress_request;
struct egress_sink;
struct dialect;
struct once_client;

/// Callbacks that send responses, body parts and upload credit to an ingress.
struct egress_sink_ops {
	void (*respond)(struct egress_sink *sink, uint64_t id,
	    const struct message_response *response);
	void (*body)(struct egress_sink *sink, uint64_t id,
	    const struct message_body *body);
	void (*window)(
	    struct egress_sink *sink, uint64_t id, uint32_t credit_bytes);
};

/// Receiver of the responses to the requests of one ingress.
struct egress_sink {
	const struct egress_sink_ops *ops;
	char origin[MEMBER_NAME_BYTES];
	uint64_t origin_incarnation;
	bool local;	///< On this VM: what it gets needs no link.
	int64_t end_us; ///< End of its process, which leaves; 0: it stays.
};

/// The backend server on the same VM, as it announced itself.
struct egress_backend {
	char id[BACKEND_ID_BYTES];
	char address[BACKEND_ADDRESS_BYTES]; ///< "IP:port"; empty for none.
	char service[MEMBER_NAME_BYTES];
	char version[MEMBER_VERSION_BYTES]; ///< Of its software; "": none.
	enum backend_state state;
	uint32_t slots;		///< 0: the rules set the number.
	uint64_t process_start; ///< Start of its process; rises with restarts.
	int64_t slow_start_deadline_us;
};

/// What the backend server has answered during a roll-out of its service.
struct egress_counts {
	uint64_t order;		///< Of the roll-out; 0: none runs.
	uint64_t process_start; ///< Of the server.
	uint32_t running;	///< Requests that run or wait.
	struct rollout_counts counts;
};

struct egress_settings {
	const struct dialect *dialect;
	uint32_t max_queued;
	uint32_t max_queued_bytes;
	struct memory_account *account; ///< Of what ingresses make it hold.
};

struct egress *egress_create(struct loop *loop,
    const struct egress_settings *settings, struct error *err);

void egress_destroy(struct egress *egress);

/// Returns the service of the backend server; "" if none is announced.
const char *egress_get_service_name(const struct egress *egress);

/// Sets the client of the ledger; NULL if there is none.
void egress_set_once_client(struct egress *egress, struct once_client *once);

void egress_set_backend(
    struct egress *egress, const struct egress_backend *backend);

void egress_set_rules(struct egress *egress, struct rules *rules);

/// Sets the roll-outs that are known here. While one of the backend server's
/// service runs, its answers are counted; a version that was rolled back gets no
/// requests.
void egress_set_rollouts(
    struct egress *egress, const struct rollout_table *rollouts);

/// Takes the counts if they are due to be sent.
bool egress_take_counts(struct egress *egress, struct egress_counts *out);

/// Refuses all new requests from now on.
void egress_drain(struct egress *egress);

/// Accepts or refuses a request. The sink may get the final response before
/// this returns.
///
/// @return the request, or NULL if it has ended already
struct egress_request *egress_submit(struct egress *egress,
    struct egress_sink *sink, const struct message_request *message);

/// Finds a request of a sink by its id. Returns NULL if it has ended.
struct egress_request *egress_find_request(
    struct egress *egress, const struct egress_sink *sink, uint64_t id);

struct bulk_link;
struct bulk_terms;

/// Sets the link of this VM, which bounds the answers that are accepted; NULL:
/// its capacity is not known. Call it before the first request.
void egress_set_link(struct egress *egress, struct bulk_link *link);

/// Fills in what the order of answers on the link depends on. Does nothing
/// without a request.
void egress_get_terms(const struct egress *egress,
    const struct egress_request *request, struct bulk_terms *terms);

/// Finds the request with an id if the backend server runs it now.
///
/// @return the message of its ingress, valid until the next call of any function
///         of the egress; NULL if it does not run
const struct message_request *egress_find_running(
    const struct egress *egress, const char *request_id, size_t id_bytes);

/// Receives a further part of a request body.
void egress_request_receive_body(
    struct egress_request *request, const struct message_body *body);

/// Adds credit to send more of the response body.
void egress_request_add_credit(
    struct egress_request *request, uint32_t credit_bytes);

/// Cancels a request for its ingress. The sink gets the outcome.
///
/// @param queued_only  a running request is not cancelled
void egress_request_cancel(struct egress_request *request, bool queued_only);

/// Refuses all requests that wait for a body or a slot, so that their ingresses
/// can retry them elsewhere.
void egress_refuse_waiting(struct egress *egress, const char *why);

/// Sets when the process of a sink ends, which leaves. Its requests have to be
/// answered a while before.
void egress_set_sink_end(
    struct egress *egress, struct egress_sink *sink, int64_t end_us);

/// Detaches a closed sink from its requests. Requests that are not running end
/// without a response. A running one is aborted if that is safe, and otherwise
/// runs to completion.
void egress_detach_sink(struct egress *egress, struct egress_sink *sink);

/// Reports the limit that the backend server states, in requests in 1,000 s (0:
/// none), and the wait of a new request for it.
void egress_get_limit(
    const struct egress *egress, uint32_t *limit_milli, int64_t *wait_us);

/// Returns the fence that knows the requests of this egress.
struct fence *egress_get_fence(struct egress *egress);

/// Returns the expected time of a request in a slot now; 0 if unknown.
int64_t egress_get_service_us(struct egress *egress);

/// Returns the slot time that the requests here still need; see
/// core/requests/work_left.h.
int64_t egress_get_work_left_us(struct egress *egress);

/// Sets the callback for a marked change of the pace of the backend server,
/// which ingresses should know of at once.
void egress_set_pace_listener(
    struct egress *egress, void (*fn)(void *arg), void *arg);

/// Sets the callback for a backend server that states that it leaves.
void egress_set_leaving_listener(struct egress *egress,
    void (*fn)(void *arg, const struct egress_backend *backend), void *arg);

/// Reports queued and running requests, and the load on the slots.
void egress_get_load(const struct egress *egress, uint32_t *queued,
    uint32_t *running, uint32_t *load_pct);

#endif
