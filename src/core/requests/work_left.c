// Slot time that the requests at a backend server still need.
#include <string.h>

#include "core/requests/work_left.h"

void
work_left_record(
    struct work_left *work, const struct work_left_item *item, int64_t now_us)
{
	struct work_left_route *r =
	    &work->routes[item->route % WORK_LEFT_ROUTES];

	if (r->route != item->route) {
		memset(r, 0, sizeof(*r));
		r->route = item->route;
	}
	work_cost_record(
	    &r->cost, now_us - item->start_us, item->expected_us, now_us);
}

int64_t
work_left_of_item_us(const struct work_left *work,
    const struct work_left_item *item, int64_t now_us)
{
	static const struct work_cost unknown;
	const struct work_left_route *r =
	    &work->routes[item->route % WORK_LEFT_ROUTES];

	if (item->start_us == 0)
		return item->expected_us;
	return work_cost_remainder_us(
	    r->route == item->route ? &r->cost : &unknown, item->expected_us,
	    now_us - item->start_us, now_us);
}

int64_t
work_left_wait_us(int64_t work_left_us, int64_t load, int64_t ahead,
    int64_t slots, int64_t mean_us)
{
	int64_t each_us =
	    work_left_us > 0 && load > 0 ? work_left_us / load : mean_us;

	return ahead * each_us / slots;
}
