/// @file
/// Ingress: accepts HTTP requests of callers and forwards them to egresses.
#ifndef MV_PROXY_INGRESS_INGRESS_H
#define MV_PROXY_INGRESS_INGRESS_H

#include "core/rules/rules.h"
#include "io/loop.h"
#include "io/net/address.h"
#include "proxy/egress/egress.h"
#include "proxy/view.h"

struct bulk_link;
struct ingress;
struct memory_account;

struct ingress_settings {
	const struct dialect *dialect;
	char name[MEMBER_NAME_BYTES];
	/// Service of the backend server on this VM; empty: as it announces.
	char service[MEMBER_NAME_BYTES];
	uint64_t incarnation;
	struct address outer; ///< For callers.
	struct address inner; ///< For the backend server on this VM.
	struct address
	    quota; ///< For answers of the accountant of quotas (UDP).
	bool has_inner;
	int64_t max_body_bytes;
	int64_t max_connections;
	int64_t slow_start_us;
	uint32_t retry_ratio_pct;
	uint32_t retry_burst; ///< For all proxies together.
	uint64_t seed;
	struct memory_account *account; ///< Of what callers hold.
};

/// Opens the listeners.
///
/// @param link  of this VM, on which streams count; NULL: not known
/// @param bound_outer, bound_inner  receive the addresses in use
/// @return the ingress, or NULL with err set
struct ingress *ingress_open(struct loop *loop, struct egress *egress,
    struct bulk_link *link, const struct ingress_settings *settings,
    struct address *bound_outer, struct address *bound_inner,
    struct error *err);

/// Sets the callback for a new version that this ingress stops using by itself.
///
/// @param fn  gets the order of its roll-out
void ingress_set_stop_listener(
    struct ingress *ingress, void (*fn)(void *arg, uint64_t order), void *arg);

/// Applies a new view of rules and endpoints.
void ingress_set_view(struct ingress *ingress, const struct view *view);

/// Sets the sources, of which one is the accountant of quotas.
///
/// @param leader  the one that leads, as far as is known; NULL if it is not
void ingress_set_sources(struct ingress *ingress, const struct address *sources,
    uint32_t count, const struct address *leader);

/// Changes the incarnation of this process.
void ingress_set_incarnation(struct ingress *ingress, uint64_t incarnation);

/// Changes the service of the backend server on this VM; "": as it announces.
void ingress_set_service(struct ingress *ingress, const char *service);

/// Begins to leave: callers may still come, but a long answer that may be on its way
/// at the deadline is not begun any more.
void ingress_leave(struct ingress *ingress, int64_t deadline_us);

/// Takes no more requests of callers that may last beyond the end of the drain;
/// requests in progress continue. Where the backend server has a listener of its own,
/// that of the callers accepts no more connections.
///
/// @param deadline_us  end of the drain
void ingress_drain(struct ingress *ingress, int64_t deadline_us);

/// Accepts no more connections. Call it once the backend server is not at work, whose
/// calls come by a listener too.
void ingress_stop_accepting(struct ingress *ingress);

/// Refuses all requests that no backend server runs yet, and disables retries.
void ingress_refuse_waiting(struct ingress *ingress);

/// Takes the requests that have arrived by now, without waiting for the loop.
void ingress_read_arrived(struct ingress *ingress);

/// Closes the listeners and all connections of callers; none may have a
/// request in progress.
void ingress_close_listeners(struct ingress *ingress);

/// Number of requests without a whole response.
uint32_t ingress_active_count(const struct ingress *ingress);

void ingress_close(struct ingress *ingress);

#endif
