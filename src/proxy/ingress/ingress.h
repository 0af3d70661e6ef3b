/// @file
/// Ingress: takes HTTP requests of callers and gets them served.
#ifndef MV_PROXY_INGRESS_INGRESS_H
#define MV_PROXY_INGRESS_INGRESS_H

#include "core/rules/rules.h"
#include "io/loop.h"
#include "io/net/address.h"
#include "proxy/egress/egress.h"
#include "proxy/view.h"

struct ingress;

struct ingress_settings {
	const struct dialect *dialect;
	char name[MEMBER_NAME_BYTES];
	/// Service of the backend server beside, until it announces itself.
	char service[MEMBER_NAME_BYTES];
	uint64_t incarnation;
	struct address outer; ///< For callers.
	struct address inner; ///< For the backend server beside.
	bool has_inner;
	int64_t max_body_bytes;
	int64_t max_connections;
	int64_t slow_start_us;
	uint32_t retry_ratio_pct;
	uint32_t retry_burst; ///< Of all proxies together.
	uint64_t seed;
};

/// @param bound_outer, bound_inner  receive the addresses in use
struct ingress *ingress_open(struct loop *loop, struct egress *egress,
    const struct ingress_settings *settings, struct address *bound_outer,
    struct address *bound_inner, struct error *err);

/// Takes a new view of rules and endpoints.
void ingress_set_view(struct ingress *ingress, const struct view *view);

/// Takes another incarnation of this process.
void ingress_set_incarnation(struct ingress *ingress, uint64_t incarnation);

/// Stops to accept connections; requests in progress go on.
///
/// @param deadline_us  new requests that may last longer are refused
void ingress_drain(struct ingress *ingress, int64_t deadline_us);

/// Ends what no backend server runs yet, with a refusal.
void ingress_give_up_waiting(struct ingress *ingress);

/// Closes all connections of callers; none may have a request in progress.
void ingress_close_doors(struct ingress *ingress);

/// Requests without a whole answer.
uint32_t ingress_active_count(const struct ingress *ingress);

void ingress_close(struct ingress *ingress);

#endif
