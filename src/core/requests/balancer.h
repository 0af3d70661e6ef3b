/// @file
/// Chooses a backend server among the endpoints of a service. The cost of an
/// endpoint is the part of a request's worth that is likely to be lost there,
/// through lateness, failure or network distance.
#ifndef MV_CORE_REQUESTS_BALANCER_H
#define MV_CORE_REQUESTS_BALANCER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"
#include "core/membership/membership.h"
#include "core/random.h"
#include "core/requests/flow.h"
#include "core/requests/link_cost.h"
#include "core/requests/outcome.h"
#include "core/requests/retry.h"
#include "core/requests/server_speed.h"
#include "core/requests/server_terms.h"
#include "core/rollout/rollout_own.h"

#define BALANCER_BUSY_MARKS 8

/// Requests for which an egress has no room until a time: those of a rank, as
/// each has its own queue there, with no more time than one that was refused.
struct busy_mark {
	uint32_t worth;
	bool begun;
	int64_t target_left_us;
	int64_t until_deadline_us;
};

/// One backend server as seen from this ingress.
struct endpoint {
	char name[MEMBER_NAME_BYTES];
	char host[MEMBER_HOST_BYTES];
	uint32_t peer_port;
	uint64_t incarnation;
	enum distance distance;
	enum backend_state state;
	uint32_t slots;
	bool suspect;
	bool local;   ///< On the same VM as this ingress: no network link.
	bool present; ///< In the current view.
	enum rollout_side side; ///< Of its server's version.
	// As last reported by its egress.
	uint32_t reported_load; ///< Requests running and queued there.
	uint32_t outstanding_at_report;
	int64_t work_left_us; ///< Slot time that they need; 0: not known.
	int64_t reported_us;  ///< Time of the last report; 0: never.
	struct server_speed speed;
	uint32_t limit_milli;  ///< Requests in 1,000 s; 0: no limit.
	int64_t limit_wait_us; ///< Wait of a new request for the limit.
	/// Copy of the terms of its server, for a proxy that has forgotten them.
	struct server_terms terms;
	struct link_cost link;	   ///< Of its VM.
	int64_t terms_deadline_us; ///< Until then they outlive its absence.
	// As observed by this ingress.
	uint32_t outstanding;	   ///< Requests sent and not finished.
	uint32_t answers;	   ///< Long answers that have begun.
	struct flow response_time; ///< Time from sending to the response.
	double failures;	   ///< Number of failures, decayed.
	double responses;   ///< Number of responses and failures, decayed.
	int64_t decayed_us; ///< Time of the last decay of the two.
	uint32_t failures_in_row;
	uint32_t ejections;
	int64_t ejected_until_deadline_us;
	struct busy_mark busy[BALANCER_BUSY_MARKS];
	int64_t slow_start_deadline_us; ///< End of the slow start.
};

/// Endpoints of one service.
struct balancer {
	char service[MEMBER_NAME_BYTES];
	const char *local_name; ///< Name of the local endpoint; may be NULL.
	struct random random;
	struct endpoint **endpoints;
	uint32_t count;
	uint32_t capacity;
	struct retry_budget retries;
	/// Set before the endpoints of a view are added.
	struct rollout_filter rollout;
	struct rollout_own rollout_own;
	int64_t slow_start_us; ///< Length of the slow start.
	/// Set after the first view with endpoints, which get no slow start.
	bool slow_start_active;
};

/// Properties of a request that the choice depends on.
struct balancer_request {
	uint32_t worth; ///< Worth of its rank.
	bool begun;	///< A call of a request that a backend server runs.
	int64_t target_left_us;	  ///< Time until it is late; 0: not known.
	int64_t deadline_left_us; ///< Time until its deadline; 0: not known.
	uint32_t size_bytes;	  ///< Size of its body.
	int64_t answer_bytes;	  ///< Usual size of its answer; -1: not known.
	/// Its service time relative to the mean of the service, in permille;
	/// 0: not known.
	uint32_t relative_service_permille;
	/// From 0 to 999: which requests go to a new version at a share.
	uint32_t rollout_draw_permille;
	const char (*tried)[MEMBER_NAME_BYTES]; ///< Endpoints to avoid.
	uint32_t tried_count;
};

/// Result of a choice and the reasons for it, for the log.
struct balancer_choice {
	struct endpoint *endpoint;	///< NULL if none is usable.
	int64_t busy_until_deadline_us; ///< Earliest end of a busy mark;
					///< INT64_MAX: none.
	uint32_t candidates;
	int64_t cost_permille; ///< Part of its worth likely to be lost.
	int64_t expected_us;   ///< Time until the response.
	int64_t service_us;    ///< Part of it in a slot; 0: not known.
};

void balancer_init(struct balancer *b, const char *service, uint64_t seed,
    int64_t slow_start_us);

void balancer_free(struct balancer *b);

/// Begins a new view. balancer_end_view drops each endpoint that is not added
/// again, has no request in progress and whose terms need not be kept.
void balancer_begin_view(struct balancer *b);

/// Adds or updates an endpoint of the new view.
void balancer_add(struct balancer *b, const struct member *member,
    enum distance distance, int64_t now_us);

void balancer_end_view(struct balancer *b, int64_t now_us);

/// Chooses an endpoint and counts a request as outstanding there.
struct balancer_choice balancer_choose(
    struct balancer *b, const struct balancer_request *q, int64_t now_us);

/// Ends a request that balancer_choose counted.
///
/// @param sent_us  time of the choice
/// @param failed   the endpoint failed: broken connection, timeout, no backend
///                 server, or an error response
void balancer_finish(struct balancer *b, struct endpoint *endpoint,
    int64_t sent_us, bool failed, int64_t now_us);

/// A long answer begins: from now on the request is no load on the slots of its
/// endpoint. In place of balancer_finish, with balancer_end_answer at the end.
void balancer_begin_answer(
    struct endpoint *endpoint, int64_t sent_us, int64_t now_us);

void balancer_end_answer(
    struct balancer *b, struct endpoint *endpoint, bool failed, int64_t now_us);

/// Load that an endpoint reports.
struct balancer_report {
	uint32_t running;
	uint32_t queued;
	int64_t service_us; ///< Mean service time; 0 if it is not known there.
	uint32_t limit_milli;
	int64_t limit_wait_us;
	int64_t work_left_us; ///< Of all requests there; 0: not known.
};

/// Records the load that an endpoint reported.
void balancer_report(struct endpoint *endpoint,
    const struct balancer_report *report, int64_t now_us);

/// Keeps a copy of the terms that the server at an endpoint stated, also while
/// its proxy is absent for some time.
void balancer_keep_terms(struct endpoint *endpoint,
    const struct server_terms *terms, int64_t now_us);

/// Marks an endpoint as busy until a time, for requests like a refused one.
void balancer_set_busy(struct endpoint *endpoint,
    const struct balancer_request *refused, int64_t until_deadline_us);

/// Returns the mean service time over all endpoints; 0 if none is known. Newer
/// reports weigh more.
int64_t balancer_mean_service_us(const struct balancer *b, int64_t now_us);

/// Finds an endpoint by name; NULL if unknown.
struct endpoint *balancer_find(const struct balancer *b, const char *name);

#endif
