// Queues of the ranks, and what workspaces are charged for slot time.
#include <assert.h>
#include <stddef.h>

#include "core/requests/admission_queue.h"

#define DEFAULT_SERVICE_US 5000LL

int64_t
admission_rank_service_us(const struct admission_rank *r)
{
	return r->service_us > 0 ? r->service_us : DEFAULT_SERVICE_US;
}

int64_t
admission_item_service_us(
    const struct admission_rank *r, const struct admission_item *item)
{
	return item->service_us > 0 ? item->service_us
				    : admission_rank_service_us(r);
}

struct admission_item *
admission_queue_find_place(const struct admission_rank *r,
    const struct admission_item *item, uint32_t *passed)
{
	struct admission_item *prev = r->tail;

	*passed = 0;
	while (prev != NULL && !prev->begun && prev->over_share &&
	    prev->workspace != item->workspace &&
	    prev->fair_tag_us > item->fair_tag_us) {
		prev = prev->prev;
		(*passed)++;
	}
	return prev;
}

bool
admission_queue_has_room(
    const struct admission *a, const struct admission_item *item)
{
	const struct admission_rank *r = &a->ranks[item->rank];

	return r->queued < a->max_queued - a->queued &&
	    (uint64_t)r->queued_bytes + item->size_bytes <=
	    a->max_queued_bytes - a->queued_bytes;
}

int64_t
admission_queue_least_tag_us(
    const struct admission_rank *r, const struct admission_item *item)
{
	int64_t least_us = item->fair_tag_us;
	const struct admission_item *i;

	// Those of one workspace only: the first has the least tag.
	if (item->workspace == 0)
		return least_us;
	for (i = r->head; i != NULL; i = i->next)
		if (!i->begun && i->fair_tag_us < least_us)
			least_us = i->fair_tag_us;
	return least_us;
}

void
admission_queue_push(struct admission *a, struct admission_item *item)
{
	struct admission_rank *r = &a->ranks[item->rank];
	uint32_t passed = 0;

	item->queued = true;
	item->prev = item->begun ? r->begun_tail
				 : admission_queue_find_place(r, item, &passed);
	item->went_ahead = passed > 0;
	if (item->went_ahead)
		r->tail->overtaken = true;
	item->next = item->prev == NULL ? r->head : item->prev->next;
	if (item->prev != NULL)
		item->prev->next = item;
	else
		r->head = item;
	if (item->next != NULL)
		item->next->prev = item;
	else
		r->tail = item;
	if (item->begun)
		r->begun_tail = item;
	r->begun_queued += item->begun;
	r->queued++;
	r->queued_bytes += item->size_bytes;
	a->queued++;
	a->queued_bytes += item->size_bytes;
}

void
admission_queue_remove(struct admission *a, struct admission_item *item)
{
	struct admission_rank *r = &a->ranks[item->rank];

	assert(item->queued);
	if (r->begun_tail == item)
		r->begun_tail = item->prev;
	r->begun_queued -= item->begun;
	if (item->prev != NULL)
		item->prev->next = item->next;
	else
		r->head = item->next;
	if (item->next != NULL)
		item->next->prev = item->prev;
	else
		r->tail = item->prev;
	item->next = item->prev = NULL;
	item->queued = false;
	r->queued--;
	r->queued_bytes -= item->size_bytes;
	a->queued--;
	a->queued_bytes -= item->size_bytes;
}

int64_t
admission_fair_cost_us(
    const struct admission *a, const struct admission_item *item)
{
	return fair_queue_cost_us(
	    admission_item_service_us(&a->ranks[item->rank], item),
	    item->weight);
}

void
admission_charge_workspace(struct admission *a, struct admission_item *item)
{
	item->fair_charged_us = admission_fair_cost_us(a, item);
	fair_queue_charge(&a->ranks[item->rank].fair, item->workspace,
	    item->fair_tag_us, item->fair_charged_us);
}

void
admission_settle_workspace(
    struct admission *a, struct admission_item *item, int64_t used_us)
{
	int64_t cost_us = fair_queue_cost_us(used_us, item->weight);

	fair_queue_correct(&a->ranks[item->rank].fair, item->workspace,
	    cost_us - item->fair_charged_us);
	item->fair_charged_us = cost_us;
}
