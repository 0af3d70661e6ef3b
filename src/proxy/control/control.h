/// @file
/// Control thread of a proxy: membership, rules, the backend server's lease.
#ifndef MV_PROXY_CONTROL_CONTROL_H
#define MV_PROXY_CONTROL_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/membership.h"
#include "core/membership/pull_share.h"
#include "core/membership/version_sync.h"
#include "core/requests/backend.h"
#include "core/rollout/rollout_table.h"
#include "core/rules/rules.h"
#include "io/dialect.h"
#include "io/http/httpd.h"
#include "io/loop.h"
#include "io/net/net.h"
#include "proxy/traffic.h"

#define CONTROL_MAX_SOURCES 7

struct control_settings {
	struct member self;	///< Ports are set when the sockets are open.
	struct address control; ///< UDP gossip and TCP control messages.
	struct address admin;
	uint32_t advertised_peer_port; ///< Overrides the bound port; 0: none.
	struct address ready; ///< Separate address for readiness checks.
	bool has_ready;
	const struct dialect *dialect;
	/// Of the backend server on this VM; empty: as it announces.
	char service[MEMBER_NAME_BYTES];
	struct address backend;
	bool has_backend; ///< Its address is set.
	int64_t lease_us; ///< Default for announcements without a lease.
	struct membership_settings membership;
	struct address sources[CONTROL_MAX_SOURCES];
	uint32_t source_count;
	int64_t report_period_us;
	int64_t drain_announce_us; ///< From the announcement to refusing.
	int64_t drain_limit_us;	   ///< Longest wait for requests in progress.
	double link_mbps; ///< Capacity of the link of this VM; 0: not known.
	uint64_t seed;
};

/// Startup state until the rules are recent enough to serve requests.
struct floor {
	bool ready;
	/// Newest version that a quorum of sources has confirmed; 0: none.
	uint64_t confirmed_version;
	uint32_t tables_read; ///< Table exchanges completed since the start.
	int64_t started_us;
	bool confirmation_pending; ///< A request to the leader is in progress.
};

struct control {
	struct loop *loop;
	struct control_settings settings;
	struct traffic *traffic;
	struct membership membership;
	struct version_sync sync;
	uint64_t pull_sequence;
	struct pull_share pull_share;
	bool refused_delta; ///< Invalid rules were pulled; pull no delta.
	struct rules *rules;
	struct rollout_table rollouts;
	/// Order of a roll-out whose version this proxy stopped using; 0: none.
	uint64_t rollout_stopped;
	struct datagram_socket udp;
	struct listener listener;
	struct httpd *admin;
	struct httpd *ready; ///< NULL without a separate address.
	struct loop_timer tick_timer;
	struct loop_timer report_timer;
	struct loop_timer floor_timer;
	struct loop_timer lease_timer;
	struct loop_timer drain_timer;
	struct floor floor;
	/// Sources listed in the answers of sources, which may have replaced
	/// those in the settings.
	struct address discovered_sources[CONTROL_MAX_SOURCES];
	uint32_t discovered_count;
	uint64_t discovered_hash; ///< Of their list, as received.
	/// Leader of the sources, as they state it.
	struct address leader;
	bool has_leader;
	int64_t leader_answered_us; ///< Time of its last answer to a report.
	uint32_t report_turn;	    ///< Source that gets the next report too.
	int64_t source_answered_us; ///< Time of the last answer from a source.
	bool sources_reachable;
	struct backend backend;
	uint64_t left_server; ///< Process that others know to leave; 0: none.
	struct address bound_control;
	struct address bound_admin;
	struct traffic_bound bound_traffic;
	uint64_t traffic_incarnation; ///< Last posted to traffic thread.
	bool view_deferred;
	bool leaving;
	bool shed_queued; ///< Queued requests were refused near the end.
	int64_t drain_deadline_us;
};

/// Opens the sockets of the control thread.
///
/// @return 0, or -1 with err set
int control_open(struct control *control, struct error *err);

/// Runs the event loop until the process has left the mesh.
void control_run(struct control *control);

void control_close(struct control *control);

/// Begins a graceful shutdown.
void control_leave(struct control *control);

/// Runs the membership and version sync ticks, and sets the timer for the next.
void control_tick(void *arg);

/// Posts a new view to the traffic thread at the end of the loop iteration.
void control_publish_view(struct control *control);

// Gossip, in gossip_io.c.
extern const struct membership_ops control_membership_ops;
void gossip_io_receive(
    void *owner, const struct address *from, struct message *message);
void gossip_io_answer_sync(struct control *control, struct stream *stream,
    const struct message_sync *sync);

// Distribution of rules, in distribution.c.
extern const struct version_sync_ops control_sync_ops;
void distribution_report(void *arg);
void distribution_answer_pull(struct control *control, struct stream *stream,
    const struct message_pull *pull);
void distribution_receive_answer(
    struct control *control, const struct message_report_answer *answer);
void distribution_check_floor(void *arg);
/// Passes the addresses of the sources to the traffic thread.
void distribution_post_sources(struct control *control);
void distribution_send_report(struct control *control, bool leaving);

// Backend server and admin requests, in announce.c.
extern const struct httpd_ops control_admin_ops;
void announce_lease_expired(void *arg);
void announce_publish(struct control *control);
/// Handles a report by the traffic thread that nothing listens at the backend
/// server's address.
void announce_backend_unreachable(struct control *control, const char *id);
/// Handles a report by the traffic thread that the backend server states in its
/// responses that it leaves.
void announce_backend_leaving(
    void *arg, const char *id, uint64_t process_start);
/// Applies the service and the address of the backend server that the settings
/// name. An announcement of another one ends.
void announce_settings_changed(struct control *control);
/// Handles what other members know from before a restart of this proxy: a process
/// of the backend server leaves.
void announce_server_left(struct control *control, uint64_t server);

#endif
