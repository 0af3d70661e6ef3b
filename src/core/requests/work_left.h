/// @file
/// What a backend server still has to do, in slot time.
///
/// Answers the load of requests of very different cost in one service: how long
/// a queue takes does not follow from the number of requests in it. Holds what its
/// proxy has learned of each route, and sums up the expected remainders of the
/// requests that run and the expected times of those that wait.
#ifndef MV_CORE_REQUESTS_WORK_LEFT_H
#define MV_CORE_REQUESTS_WORK_LEFT_H

#include <stdint.h>

#include "core/requests/work_cost.h"

/// Routes that are kept apart at a server. One that finds its place taken replaces
/// the other.
#define WORK_LEFT_ROUTES 64

struct work_left_route {
	uint64_t route; ///< Hash of its name.
	struct work_cost cost;
};

/// Zero it before the first use.
struct work_left {
	struct work_left_route routes[WORK_LEFT_ROUTES];
};

/// A request that runs or waits.
struct work_left_item {
	uint64_t route;
	int64_t expected_us; ///< Its time in a slot; 0: not known.
	int64_t start_us;    ///< Since when it runs; 0: it waits.
};

/// Records the time of a request that has left its slot.
void work_left_record(
    struct work_left *work, const struct work_left_item *item, int64_t now_us);

/// Returns the slot time that a request still needs.
int64_t work_left_of_item_us(const struct work_left *work,
    const struct work_left_item *item, int64_t now_us);

/// Returns the wait behind a number of requests in a queue.
///
/// @param work_left_us  of all requests that run or wait
/// @param load          their number
/// @param mean_us       usual time of a request, for those of unknown cost
int64_t work_left_wait_us(int64_t work_left_us, int64_t load, int64_t ahead,
    int64_t slots, int64_t mean_us);

#endif
