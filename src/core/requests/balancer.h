/// @file
/// Choice of a backend server among the endpoints of a service: by the part of
/// a request's worth that is likely to be lost there, through lateness, failure
/// or the way.
#ifndef MV_CORE_REQUESTS_BALANCER_H
#define MV_CORE_REQUESTS_BALANCER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"
#include "core/membership/membership.h"
#include "core/random.h"
#include "core/requests/flow.h"
#include "core/requests/outcome.h"
#include "core/requests/retry.h"

#define BALANCER_BUSY_MARKS 8

/// A rank that an egress has no room for until a time. Each rank has its own
/// queue and share there, so one says nothing of another.
struct busy_mark {
	uint32_t worth;
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
	bool own;     ///< Beside this ingress: no link on the way.
	bool present; ///< In the newest view.
	// As last told by its egress.
	uint32_t reported; ///< Running and queued there.
	uint32_t outstanding_at_report;
	int64_t reported_us;	 ///< When it was told; 0: never.
	int64_t service_us;	 ///< Mean time in a slot; 0: not known.
	int64_t service_told_us; ///< When it was told.
	// Own observations.
	uint32_t outstanding; ///< Requests sent and not answered.
	struct flow answers;  ///< Time from sending to the answer.
	double failed;	      ///< Answers that were failures, faded.
	double answered;      ///< All answers, faded.
	int64_t faded_us;     ///< Up to when the two have faded.
	uint32_t failures_in_row;
	uint32_t ejections;
	int64_t ejected_until_deadline_us;
	struct busy_mark busy[BALANCER_BUSY_MARKS];
	int64_t warm_deadline_us; ///< End of the slow start.
};

/// Endpoints of one service.
struct balancer {
	char service[MEMBER_NAME_BYTES];
	const char *own_name; ///< Of the endpoint beside; may be NULL.
	struct random random;
	struct endpoint **endpoints;
	uint32_t count;
	uint32_t capacity;
	struct retry_budget retries;
	int64_t warm_us; ///< Length of the slow start.
	bool warmed;	 ///< The first view is taken as warm.
};

/// What a choice depends on.
struct balancer_request {
	uint32_t worth;		  ///< Of its rank.
	int64_t target_left_us;	  ///< Until it is late; 0: not known.
	int64_t deadline_left_us; ///< Until it is worth nothing.
	uint32_t size_bytes;	  ///< Of its body.
	/// Its time in a slot against the mean of the service, in a thousand;
	/// 0: not known.
	uint32_t length_permille;
	const char (*tried)[MEMBER_NAME_BYTES]; ///< Endpoints to avoid.
	uint32_t tried_count;
};

/// Why an endpoint was chosen or not, for the log.
struct balancer_choice {
	struct endpoint *endpoint;	///< NULL if none can be used.
	int64_t busy_until_deadline_us; ///< If all are busy: first one free.
	uint32_t candidates;
	int64_t cost_permille; ///< Of its worth, likely to be lost.
	int64_t expected_us;   ///< Until the answer.
};

void balancer_init(
    struct balancer *b, const char *service, uint64_t seed, int64_t warm_us);

void balancer_free(struct balancer *b);

/// Begins a new view: every endpoint not added again is dropped by
/// balancer_end_view once it has no request in progress.
void balancer_begin_view(struct balancer *b);

/// Adds or updates an endpoint of the new view.
void balancer_add(struct balancer *b, const struct member *member,
    enum distance distance, int64_t now_us);

void balancer_end_view(struct balancer *b);

/// Chooses an endpoint and counts a request as sent to it.
struct balancer_choice balancer_choose(
    struct balancer *b, const struct balancer_request *q, int64_t now_us);

/// Ends a request that balancer_choose counted.
///
/// @param sent_us  when it was chosen
/// @param failed   the endpoint did not do its work: broken connection,
///                 silence, no backend server, or an error answer
void balancer_finish(struct balancer *b, struct endpoint *endpoint,
    int64_t sent_us, bool failed, int64_t now_us);

/// Notes the load that an endpoint told.
///
/// @param service_us  mean time in a slot; 0 if it is not known there
void balancer_report(struct endpoint *endpoint, uint32_t running,
    uint32_t queued, int64_t service_us, int64_t now_us);

/// Avoids an endpoint until a time, for requests of the rank of a worth.
void balancer_set_busy(
    struct endpoint *endpoint, uint32_t worth, int64_t until_deadline_us);

/// Finds an endpoint by name; NULL if unknown.
struct endpoint *balancer_find(const struct balancer *b, const char *name);

#endif
