/// @file
/// Control thread of a proxy: membership, rules, the backend server's lease.
#ifndef MV_PROXY_CONTROL_CONTROL_H
#define MV_PROXY_CONTROL_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/membership.h"
#include "core/membership/version_sync.h"
#include "core/requests/backend.h"
#include "core/rules/rules.h"
#include "io/dialect.h"
#include "io/http/httpd.h"
#include "io/loop.h"
#include "io/net/net.h"
#include "proxy/traffic.h"

#define CONTROL_MAX_SOURCES 7

struct control_settings {
	struct member self;	///< Without ports that the kernel chooses.
	struct address control; ///< UDP gossip and TCP control.
	struct address admin;
	uint32_t told_peer_port; ///< In place of the one in use; 0: none.
	struct address ready;	 ///< For questions whether it takes requests.
	bool has_ready;
	const struct dialect *dialect;
	int64_t lease_us; ///< Of announcements that name none.
	struct membership_settings membership;
	struct address sources[CONTROL_MAX_SOURCES];
	uint32_t source_count;
	int64_t report_period_us;
	int64_t drain_announce_us; ///< Between announcing and refusing.
	int64_t drain_limit_us;	   ///< Longest wait for requests in progress.
	uint64_t seed;
};

/// Progress of a start until the proxy may serve.
struct floor {
	bool ready;
	/// Newest version that a quorum of sources has confirmed; 0: none.
	uint64_t confirmed_version;
	uint32_t tables_read; ///< Tables got from other members.
	int64_t started_us;
	bool asking; ///< The source that leads.
	bool has_leader;
	struct address leader;
};

struct control {
	struct loop *loop;
	struct control_settings settings;
	struct traffic *traffic;
	struct membership membership;
	struct version_sync sync;
	uint64_t pull_sequence;
	bool refused_delta; ///< The last difference could not be applied.
	struct rules *rules;
	struct rule_signatures signatures; ///< To make deltas from.
	struct datagram_socket udp;
	struct listener listener;
	struct httpd *admin;
	struct httpd *ready; ///< NULL if it has no address of its own.
	struct loop_timer tick_timer;
	struct loop_timer report_timer;
	struct loop_timer floor_timer;
	struct loop_timer lease_timer;
	struct loop_timer drain_timer;
	struct floor floor;
	/// Sources as the sources tell them, which may have been replaced
	/// since the settings were written.
	struct address learned_sources[CONTROL_MAX_SOURCES];
	uint32_t learned_count;
	int64_t source_heard_us; ///< Last answer of a source.
	bool source_answers;
	struct backend backend;
	struct address bound_control;
	struct address bound_admin;
	struct traffic_bound bound_traffic;
	uint64_t traffic_incarnation; ///< Known to the traffic thread.
	bool view_deferred;
	bool leaving;
	bool gave_up; ///< Refused what waited, near the end of the drain.
	int64_t drain_deadline_us;
};

/// Opens the sockets of the control thread.
///
/// @return 0, or -1 with err set
int control_open(struct control *control, struct error *err);

/// Runs until the process has left the mesh.
void control_run(struct control *control);

void control_close(struct control *control);

/// Begins a graceful shutdown.
void control_leave(struct control *control);

/// Calls membership and version sync, and sets the timer for the next call.
void control_tick(void *arg);

/// Hands a new view to the traffic thread at the end of the round.
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
void distribution_heard_source(
    struct control *control, const struct message_report_answer *answer);
void distribution_check_floor(void *arg);
void distribution_send_report(struct control *control, bool leaving);

// Backend server and admin requests, in announce.c.
extern const struct httpd_ops control_admin_ops;
void announce_lease_expired(void *arg);
void announce_publish(struct control *control);
/// The traffic thread found that nothing listens at the server's address.
void announce_backend_gone(struct control *control, const char *id);

#endif
