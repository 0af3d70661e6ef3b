/// @file
/// Admission to the slots of one backend server, by rank.
///
/// Each rank has a queue: first the calls of work that is begun already, then
/// the other requests, each in order of arrival. A free slot goes first to calls
/// of begun work while these have used less than their share of slot time, then
/// to a rank that has used less than its reserved share, then to the rank of the
/// highest worth. A rank may queue no more than the free space that is left, so
/// that a flood of one rank cannot fill the whole queue.
///
/// Answers the load of more requests than the slots can serve in time: a
/// request waits only if it is likely to meet its own target, and is refused at
/// once otherwise. A limit that the backend server states bounds the starts of all
/// ranks together; the same queues, shares and estimates apply.
#ifndef MV_CORE_REQUESTS_ADMISSION_H
#define MV_CORE_REQUESTS_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "core/rate_limit.h"
#include "core/requests/fair_queue.h"
#include "core/requests/flow.h"
#include "core/requests/pace.h"
#include "core/rules/rules.h"

#define ADMISSION_MAX_RANKS 32

struct admission;

enum admission_verdict {
	ADMISSION_RUN, ///< Has a slot; the caller starts it.
	ADMISSION_QUEUED,
	ADMISSION_REFUSED, ///< Cannot finish in time, or the queue is full.
};

/// A request in admission control. Zero it before the first use.
struct admission_item {
	struct admission_item *next;
	struct admission_item *prev;
	uint32_t rank;
	uint32_t size_bytes; ///< Memory that it uses while it is queued.
	int64_t deadline_us;
	/// Until then it has its full worth; 0: the target of its rank applies.
	int64_t target_deadline_us;
	int64_t service_us; ///< Its expected time in a slot; 0: not known.
	/// A call of a request that a backend server has begun: refusing it
	/// wastes that work as well.
	bool begun;
	uint64_t workspace;	 ///< Hash of its name; 0: none.
	uint32_t weight;	 ///< Of its workspace; see fair_queue.h.
	int64_t fair_tag_us;	 ///< Its place among the workspaces.
	int64_t fair_charged_us; ///< Charged to its workspace.
	bool over_share;	 ///< Its workspace used more than its share.
	bool went_ahead; ///< Of requests of other workspaces, when it arrived.
	bool overtaken;	 ///< A request of another workspace went ahead of it.
	int64_t arrival_us;
	int64_t start_us;
	int64_t charged_us;	  ///< Slot time charged to the credit at start.
	int64_t begun_charged_us; ///< The same, to that of begun work.
	bool queued;
	bool running;
};

/// State of one rank.
struct admission_rank {
	char name[RULES_NAME_BYTES];
	uint32_t worth;
	uint32_t keep_pct;
	int64_t target_us;
	/// Begun items first by arrival, then the others in the order of
	/// fair_queue.h, those of one workspace by arrival.
	struct admission_item *head;
	struct admission_item *tail;
	struct admission_item *begun_tail; ///< Last begun item, or NULL.
	uint32_t queued;
	uint32_t begun_queued;
	uint32_t queued_bytes;
	uint32_t running;
	int64_t credit_us;  ///< Unused slot time of the reserved share.
	int64_t service_us; ///< Moving average of the service time.
	/// Moving average of the time between starts while the queue was not
	/// empty.
	int64_t interval_us;
	int64_t last_start_us;
	bool configured;
	struct fair_queue fair;
};

/// Order in which free slots are assigned.
struct admission_policy {
	/// Chooses the rank whose oldest queued item runs next.
	/// @return its index, or -1 if nothing may run
	int (*pick)(struct admission *a, int64_t now_us);
	const char *name;
};

struct admission {
	const struct admission_policy *policy;
	uint32_t slots;
	uint32_t running;
	uint32_t queued;
	uint32_t queued_bytes;
	uint32_t max_queued;
	uint32_t max_queued_bytes;
	struct flow slot_time;
	struct pace pace;	  ///< Set by the owner.
	struct rate_limit starts; ///< Of the limit below.
	int64_t
	    start_cost_us; ///< Time for each start by the limit; 0: no limit.
	int64_t credits_updated_us; ///< Time of the last update of credits.
	int64_t begun_credit_us;    ///< Unused slot time of begun work's share.
	uint32_t rank_count;
	struct admission_rank ranks[ADMISSION_MAX_RANKS];
};

/// Policy of the product: ranks below their reserved share first, then by
/// worth.
extern const struct admission_policy admission_reserved_shares;

void admission_init(struct admission *a, const struct admission_policy *policy,
    uint32_t max_queued, uint32_t max_queued_bytes);

/// Applies the slots and ranks of a new version. Queued and running items stay.
void admission_configure(struct admission *a, uint32_t slots,
    const struct rule_rank *ranks, uint32_t rank_count);

/// Limits the starts of all ranks together.
///
/// @param limit_milli  starts in 1,000 s; 0: no limit
void admission_set_limit(
    struct admission *a, uint32_t limit_milli, int64_t now_us);

/// Returns the time until the limit allows another start; 0: now.
int64_t admission_limit_wait_us(const struct admission *a, int64_t now_us);

/// Returns the wait of a new request that the limit alone causes: until it allows
/// a start behind all that are queued. 0 without a limit.
int64_t admission_backlog_us(const struct admission *a, int64_t now_us);

/// Returns the index of a rank by name; that of the lowest worth if unknown.
uint32_t admission_find_rank(const struct admission *a, const char *name);

/// Offers a request whose rank, size and deadlines are set.
///
/// @param retry_us  if refused: time after which a free place is expected, or
///                  0 if the deadline has passed
enum admission_verdict admission_offer(struct admission *a,
    struct admission_item *item, int64_t now_us, int64_t *retry_us);

/// Releases the slot of a running item.
void admission_finish(
    struct admission *a, struct admission_item *item, int64_t now_us);

/// Releases the slot of an item that did not run. Its time in the slot is no
/// sample of the service time.
void admission_abandon(
    struct admission *a, struct admission_item *item, int64_t now_us);

/// Removes a queued item.
void admission_cancel(struct admission *a, struct admission_item *item);

/// Removes the next queued item that can start or can no longer meet its
/// deadline.
///
/// @param verdict   ADMISSION_RUN, or ADMISSION_REFUSED if it cannot meet its
///                  deadline any more
/// @return the item, or NULL if there is none now
struct admission_item *admission_next(
    struct admission *a, int64_t now_us, enum admission_verdict *verdict);

/// Estimates the wait of a new request of a rank.
int64_t admission_wait_us(
    const struct admission *a, uint32_t rank, int64_t now_us);

/// Returns the expected service time of a request now; 0 if it is not known.
int64_t admission_service_us(struct admission *a, int64_t now_us);

/// Returns the running and queued items as a percentage of the slots.
uint32_t admission_load_pct(const struct admission *a);

#endif
