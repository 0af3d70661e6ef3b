/// @file
/// Traffic thread: ingress and egress on one event loop.
#ifndef MV_PROXY_TRAFFIC_H
#define MV_PROXY_TRAFFIC_H

#include <stdbool.h>
#include <stdint.h>

#include "io/net/address.h"
#include "proxy/egress/egress.h"
#include "proxy/egress/once_client.h"
#include "proxy/ingress/ingress.h"
#include "proxy/view.h"

struct traffic;

struct traffic_settings {
	struct ingress_settings ingress;
	struct egress_settings egress;
	struct address peer; ///< For streams from other proxies.
	struct address ledgers[ONCE_MAX_REPLICAS];
	uint32_t ledger_count;
	int64_t memory_bytes; ///< Of this process.
	double link_mbps; ///< Capacity of the link of this VM; 0: not known.
	int64_t stop_time_us; ///< From the order to stop to the end of a drain.
};

/// Addresses in use once the listeners are open.
struct traffic_bound {
	struct address outer;
	struct address inner;
	struct address peer;
};

/// Opens the listeners; traffic_start begins to serve.
struct traffic *traffic_create(const struct traffic_settings *settings,
    struct traffic_bound *bound, struct error *err);

int traffic_start(struct traffic *traffic, struct error *err);

/// Passes a view to the thread, which frees it. Any thread.
void traffic_post_view(struct traffic *traffic, struct view *view);

/// Changes the incarnation of this process, after other members knew a higher
/// one from before the clock was set back. Any thread.
void traffic_post_incarnation(struct traffic *traffic, uint64_t incarnation);

/// Changes the service of the backend server on this VM, as the settings name it;
/// "": as it announces. Any thread.
void traffic_post_service(struct traffic *traffic, const char *service);

/// Passes the addresses of the sources to the thread. Any thread.
///
/// @param leader  the one that leads; NULL if it is not known
void traffic_post_sources(struct traffic *traffic,
    const struct address *sources, uint32_t count,
    const struct address *leader);

/// Passes the state of the backend server to the thread. Any thread.
void traffic_post_backend(
    struct traffic *traffic, const struct egress_backend *backend);

/// Begins to leave: long answers that may still be on their way at the deadline are
/// not begun any more. Any thread.
///
/// @param deadline_us  end of this process
void traffic_post_leave(struct traffic *traffic, int64_t deadline_us);

/// Stops accepting connections at the ingress and requests at the egress, and
/// closes the connections of callers once none has a request in progress. Any
/// thread.
///
/// @param deadline_us  end of the drain; requests whose deadline is later are
///                     refused
void traffic_post_drain(struct traffic *traffic, int64_t deadline_us);

/// Refuses requests that wait at this egress, and those of this ingress that no
/// backend server runs yet. Any thread.
void traffic_post_refuse_waiting(struct traffic *traffic);

/// Whether a drain has ended: no request is in progress, and none can arrive any
/// more. Any thread.
bool traffic_is_drained(const struct traffic *traffic);

/// Load of the egress as a percentage of its slots. Any thread.
uint32_t traffic_load_pct(const struct traffic *traffic);

/// Requests in progress at the ingress and at the egress, and answers that have not
/// left this VM. Any thread.
uint32_t traffic_active_count(const struct traffic *traffic);

/// Called when the backend server states that it leaves, with its id and the
/// start of its process.
typedef void traffic_leaving_fn(
    void *arg, const char *id, uint64_t process_start);

/// Sets the function to post to another loop when the backend server states
/// that it leaves. Call it before traffic_start.
void traffic_set_leaving_listener(struct traffic *traffic, struct loop *loop,
    traffic_leaving_fn *fn, void *arg);

/// Called with what the backend server has answered during a roll-out.
typedef void traffic_counts_fn(void *arg, const struct egress_counts *counts);

/// Called when this proxy stops using a new version by itself, with the order of
/// its roll-out.
typedef void traffic_stopped_fn(void *arg, uint64_t order);

/// Sets the functions to post to another loop during roll-outs. Call it before
/// traffic_start.
void traffic_set_rollout_listener(struct traffic *traffic, struct loop *loop,
    traffic_counts_fn *counts_fn, traffic_stopped_fn *stopped_fn, void *arg);

/// Ends the thread and frees everything.
void traffic_stop(struct traffic *traffic);

#endif
