/// @file
/// Admission to the slots of one backend server, by rank.
///
/// Each rank has a queue in order of arrival. A free slot goes first to a
/// rank that has got less than its kept share of slot time, then to the rank of
/// highest worth. A rank may queue no more than
/// there is room left, so that no flood takes the whole queue.
#ifndef MV_CORE_REQUESTS_ADMISSION_H
#define MV_CORE_REQUESTS_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "core/requests/flow.h"
#include "core/rules/rules.h"

#define ADMISSION_MAX_RANKS 32

struct admission;

enum admission_verdict {
	ADMISSION_RUN, ///< Has a slot; start it.
	ADMISSION_QUEUED,
	ADMISSION_REFUSED, ///< Cannot be served in time, or no room.
};

/// A request at the admission. Zero it before the first use.
struct admission_item {
	struct admission_item *next;
	struct admission_item *prev;
	uint32_t rank;
	uint32_t size_bytes; ///< Memory that it holds while it waits.
	int64_t deadline_us;
	int64_t target_deadline_us; ///< Until then it earns its full worth.
	int64_t arrival_us;
	int64_t start_us;
	int64_t charged_us; ///< Slot time taken off the credit at the start.
	bool queued;
	bool running;
};

/// State of one rank.
struct admission_rank {
	char name[RULES_NAME_BYTES];
	uint32_t worth;
	uint32_t keep_pct;
	int64_t target_us;
	struct admission_item *head;
	struct admission_item *tail;
	uint32_t queued;
	uint32_t queued_bytes;
	uint32_t running;
	int64_t credit_us;  ///< Slot time owed under the kept share.
	int64_t service_us; ///< Moving mean of the time in a slot.
	int64_t gap_us;	    ///< Moving mean between starts while work waited.
	int64_t last_start_us;
	bool configured;
};

/// Order in which free slots are given out.
struct admission_policy {
	/// Chooses the rank whose first item runs next.
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
	int64_t credit_time_us; ///< When credits were last brought up to date.
	uint32_t rank_count;
	struct admission_rank ranks[ADMISSION_MAX_RANKS];
};

/// Kept share first, then worth: the policy of the product.
extern const struct admission_policy admission_keep;

void admission_init(struct admission *a, const struct admission_policy *policy,
    uint32_t max_queued, uint32_t max_queued_bytes);

/// Takes slots and ranks of a new version over; work in hand is kept.
void admission_configure(struct admission *a, uint32_t slots,
    const struct rule_rank *ranks, uint32_t rank_count);

/// Index of a rank by name; that of the least worth if it is unknown.
uint32_t admission_find_rank(const struct admission *a, const char *name);

/// Offers a request whose rank, size and deadline are set.
///
/// @param retry_us  when refused: time after which a place is expected
enum admission_verdict admission_offer(struct admission *a,
    struct admission_item *item, int64_t now_us, int64_t *retry_us);

/// Gives the slot of a running item back.
void admission_finish(
    struct admission *a, struct admission_item *item, int64_t now_us);

/// The same for an item that did not run: its time in the slot tells nothing of
/// the time that work takes.
void admission_abandon(
    struct admission *a, struct admission_item *item, int64_t now_us);

/// Takes a waiting item out.
void admission_cancel(struct admission *a, struct admission_item *item);

/// Next waiting item to act on, if a slot is free or an item's time is up.
///
/// @param verdict   ADMISSION_RUN, or ADMISSION_REFUSED if it cannot meet its
///                  deadline any more
/// @return the item, or NULL if there is none now
struct admission_item *admission_next(
    struct admission *a, int64_t now_us, enum admission_verdict *verdict);

/// Expected wait of a new request of a rank.
int64_t admission_wait_us(const struct admission *a, uint32_t rank);

/// Mean time of a request in a slot; 0 if nothing is known.
int64_t admission_service_us(struct admission *a, int64_t now_us);

/// Busy slots and queue as a percentage of the slots.
uint32_t admission_load_pct(const struct admission *a);

#endif
