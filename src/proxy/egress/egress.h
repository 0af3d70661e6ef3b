/// @file
/// Egress: the only door to the backend server beside this proxy.
#ifndef MV_PROXY_EGRESS_EGRESS_H
#define MV_PROXY_EGRESS_EGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/requests/admission.h"
#include "core/requests/backend.h"
#include "core/requests/fence.h"
#include "core/rules/rules.h"
#include "io/loop.h"
#include "wire/messages.h"

struct egress;
struct egress_request;
struct egress_sink;
struct dialect;
struct once_client;

/// Takes what the egress has to say of a request.
struct egress_sink_ops {
	void (*respond)(struct egress_sink *sink, uint64_t id,
	    const struct message_response *response);
	void (*body)(struct egress_sink *sink, uint64_t id,
	    const struct message_body *body);
	void (*window)(
	    struct egress_sink *sink, uint64_t id, uint32_t credit_bytes);
};

/// Way back to the ingress of a request.
struct egress_sink {
	const struct egress_sink_ops *ops;
	char origin[MEMBER_NAME_BYTES];
	uint64_t origin_incarnation;
};

/// The backend server beside this proxy, as it announced itself.
struct egress_backend {
	char id[BACKEND_ID_BYTES];
	char address[BACKEND_ADDRESS_BYTES]; ///< "IP:port"; empty for none.
	char service[MEMBER_NAME_BYTES];
	enum backend_state state;
	uint32_t slots; ///< 0: as the rules say.
	uint64_t born;	///< Start of its process.
	int64_t cold_deadline_us;
};

struct egress_settings {
	const struct dialect *dialect;
	uint32_t max_queued;
	uint32_t max_queued_bytes;
};

struct egress *egress_create(struct loop *loop,
    const struct egress_settings *settings, struct error *err);

void egress_destroy(struct egress *egress);

/// Service of the backend server beside; "" while none is known.
const char *egress_service(const struct egress *egress);

/// Sets the client of the ledger; NULL while there is none.
void egress_set_once_client(struct egress *egress, struct once_client *once);

void egress_set_backend(
    struct egress *egress, const struct egress_backend *backend);

void egress_set_rules(struct egress *egress, struct rules *rules);

/// Stops to take new requests for good.
void egress_drain(struct egress *egress);

/// Takes a request. The sink may be told of its end before this returns.
///
/// @return the request, or NULL if it has ended already
struct egress_request *egress_submit(struct egress *egress,
    struct egress_sink *sink, const struct message_request *message);

/// Finds a request of a sink by its id; NULL if it has ended.
struct egress_request *egress_find(
    struct egress *egress, const struct egress_sink *sink, uint64_t id);

/// A further part of a request's body came in.
void egress_request_body(
    struct egress_request *request, const struct message_body *body);

/// The ingress can take more of the response body.
void egress_request_window(
    struct egress_request *request, uint32_t credit_bytes);

/// The ingress gave up; the sink is told of the outcome.
///
/// @param queued_only  what runs goes on
void egress_request_cancel(struct egress_request *request, bool queued_only);

/// Refuses all that waits.
void egress_refuse_waiting(struct egress *egress);

/// The way back is gone: ends all that waits, without a word. What runs is
/// aborted if that is safe, and else runs to its end.
void egress_drop_sink(struct egress *egress, struct egress_sink *sink);

/// Fence of this egress.
struct fence *egress_fence(struct egress *egress);

/// Mean time of a request in a slot; 0 if it is not known.
int64_t egress_service_us(struct egress *egress);

/// Requests waiting and running.
void egress_load(const struct egress *egress, uint32_t *queued,
    uint32_t *running, uint32_t *load_pct);

#endif
