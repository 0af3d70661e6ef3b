// Admission by rank with reserved shares of slot time.
#include <assert.h>
#include <string.h>

#include "core/requests/admission.h"
#include "core/requests/admission_queue.h"

#define EMA_DIVISOR	     16
#define IDLE_CREDIT_REQUESTS 2
#define CREDIT_MAX_US	     2000000LL
#define PERCENT		     100
#define PERMILLE	     1000

/// Share of slot time for which calls of begun work go before all ranks. More
/// could starve a rank of high worth.
#define BEGUN_SHARE_PCT 25

/// Slot time that begun work may save up while it needs less than its share.
#define BEGUN_CREDIT_MAX_US 500000LL

/// A request may wait for the time left beside its service, divided by this.
#define WAIT_DIVISOR 2

/// Starts that the limit allows within this time may come at once. Short, so that
/// the limit holds within each second.
#define LIMIT_BURST_US 250000LL

/// A server that takes fewer requests, or none, is tried this often: only its
/// responses tell when it takes more.
#define MIN_LIMIT_MILLI	 500
#define LIMIT_COST_MILLI 1000000000LL

void
admission_init(struct admission *a, const struct admission_policy *policy,
    uint32_t max_queued, uint32_t max_queued_bytes)
{
	memset(a, 0, sizeof(*a));
	a->policy = policy;
	a->slots = 1;
	a->max_queued = max_queued;
	a->max_queued_bytes = max_queued_bytes;
}

static struct admission_rank *
find_rank_by_name(struct admission *a, const char *name)
{
	uint32_t i;

	for (i = 0; i < a->rank_count; i++)
		if (strcmp(a->ranks[i].name, name) == 0)
			return &a->ranks[i];
	return NULL;
}

/// Finds an entry for a new rank: an unused one, or that of an idle rank which
/// is no longer configured. Returns NULL if there is none.
static struct admission_rank *
claim_rank_entry(struct admission *a)
{
	uint32_t i;

	if (a->rank_count < ADMISSION_MAX_RANKS)
		return &a->ranks[a->rank_count++];
	for (i = 0; i < a->rank_count; i++) {
		struct admission_rank *r = &a->ranks[i];

		if (!r->configured && r->running == 0 && r->queued == 0)
			return r;
	}
	return NULL;
}

void
admission_configure(struct admission *a, uint32_t slots,
    const struct rule_rank *ranks, uint32_t rank_count)
{
	uint32_t i;

	a->slots = slots > 0 ? slots : 1;
	for (i = 0; i < a->rank_count; i++) {
		a->ranks[i].configured = false;
		a->ranks[i].worth = 0;
		a->ranks[i].keep_pct = 0;
	}
	for (i = 0; i < rank_count; i++) {
		struct admission_rank *r = find_rank_by_name(a, ranks[i].name);

		if (r == NULL) {
			r = claim_rank_entry(a);
			if (r == NULL)
				continue;
			memset(r, 0, sizeof(*r));
			memcpy(r->name, ranks[i].name, sizeof(r->name));
		}
		r->configured = true;
		r->worth = ranks[i].worth;
		r->keep_pct = ranks[i].keep_pct;
		r->target_us = ranks[i].target_us;
	}
}

void
admission_set_limit(struct admission *a, uint32_t limit_milli, int64_t now_us)
{
	if (limit_milli == 0) {
		a->start_cost_us = 0;
		return;
	}
	if (limit_milli < MIN_LIMIT_MILLI)
		limit_milli = MIN_LIMIT_MILLI;
	if (a->start_cost_us == 0)
		a->starts.due_deadline_us = now_us;
	a->start_cost_us = LIMIT_COST_MILLI / limit_milli;
}

int64_t
admission_limit_wait_us(const struct admission *a, int64_t now_us)
{
	if (a->start_cost_us == 0)
		return 0;
	return rate_limit_wait_us(&a->starts, LIMIT_BURST_US, now_us);
}

int64_t
admission_backlog_us(const struct admission *a, int64_t now_us)
{
	return admission_limit_wait_us(a, now_us) +
	    a->queued * a->start_cost_us;
}

uint32_t
admission_find_rank(const struct admission *a, const char *name)
{
	uint32_t lowest = 0;
	uint32_t i;

	for (i = 0; i < a->rank_count; i++) {
		if (strcmp(a->ranks[i].name, name) == 0)
			return i;
		if (a->ranks[i].worth < a->ranks[lowest].worth)
			lowest = i;
	}
	return lowest;
}

/// Adds to a credit within its limits. Slot time used beyond the share is not
/// a debt. While a rank has no queue, it saves up two requests' worth at most.
static void
add_credit(struct admission_rank *r, int64_t time_us)
{
	int64_t max_us = r->queued > 0
	    ? CREDIT_MAX_US
	    : IDLE_CREDIT_REQUESTS * admission_rank_service_us(r);

	r->credit_us += time_us;
	if (r->credit_us < 0)
		r->credit_us = 0;
	if (r->credit_us > max_us)
		r->credit_us = max_us;
}

/// Adds to the credit of begun work within its limits.
static void
add_begun_credit(struct admission *a, int64_t time_us)
{
	a->begun_credit_us += time_us;
	if (a->begun_credit_us < 0)
		a->begun_credit_us = 0;
	if (a->begun_credit_us > BEGUN_CREDIT_MAX_US)
		a->begun_credit_us = BEGUN_CREDIT_MAX_US;
}

/// Updates the slot-time credit of each rank. A rank earns its reserved share
/// of all slot time, and pays for each request that it starts.
static void
update_credits(struct admission *a, int64_t now_us)
{
	int64_t elapsed_us = now_us - a->credits_updated_us;
	uint32_t i;

	a->credits_updated_us = now_us;
	if (elapsed_us <= 0)
		return;
	add_begun_credit(a, elapsed_us * BEGUN_SHARE_PCT * a->slots / PERCENT);
	for (i = 0; i < a->rank_count; i++) {
		struct admission_rank *r = &a->ranks[i];

		add_credit(r, elapsed_us * r->keep_pct * a->slots / PERCENT);
	}
}

/// Picks the rank of the highest worth that has begun work queued while that
/// is below its share; -1 if there is none.
static int
pick_begun(const struct admission *a)
{
	int best = -1;
	uint32_t i;

	for (i = 0; i < a->rank_count; i++) {
		const struct admission_rank *r = &a->ranks[i];

		if (r->begun_queued > 0 &&
		    a->begun_credit_us >=
			admission_item_service_us(r, r->head) &&
		    (best < 0 || r->worth > a->ranks[best].worth))
			best = (int)i;
	}
	return best;
}

static int
pick_by_share(struct admission *a, int64_t now_us)
{
	int best = pick_begun(a);
	bool best_below_share = false;
	uint32_t i;

	(void)now_us;
	if (best >= 0)
		return best;
	for (i = 0; i < a->rank_count; i++) {
		const struct admission_rank *r = &a->ranks[i];
		bool below_share = r->credit_us >= admission_rank_service_us(r);

		if (r->queued == 0 || (best_below_share && !below_share))
			continue;
		if (best < 0 || (below_share && !best_below_share) ||
		    r->worth > a->ranks[best].worth) {
			best = (int)i;
			best_below_share = below_share;
		}
	}
	return best;
}

const struct admission_policy admission_reserved_shares = {
    .pick = pick_by_share,
    .name = "keep",
};

static int64_t
update_ema(int64_t mean, int64_t sample)
{
	if (mean == 0)
		return sample;
	return mean + (sample - mean) / EMA_DIVISOR;
}

static void
start_item(struct admission *a, struct admission_item *item, int64_t now_us)
{
	struct admission_rank *r = &a->ranks[item->rank];

	item->running = true;
	if (!item->begun)
		fair_queue_start(&r->fair,
		    admission_queue_least_tag_us(r, item),
		    item->fair_charged_us, r->running + r->queued + 1);
	item->start_us = now_us;
	item->charged_us = r->credit_us < admission_rank_service_us(r)
	    ? r->credit_us
	    : admission_rank_service_us(r);
	add_credit(r, -item->charged_us);
	if (item->begun) {
		item->begun_charged_us = admission_item_service_us(r, item);
		if (item->begun_charged_us > a->begun_credit_us)
			item->begun_charged_us = a->begun_credit_us;
		add_begun_credit(a, -item->begun_charged_us);
	}
	if (a->start_cost_us > 0)
		rate_limit_charge(&a->starts, a->start_cost_us, now_us);
	r->running++;
	a->running++;
	flow_enter(&a->slot_time, now_us);
}

/// Estimates the time between starts of a rank while its queue is not empty.
static int64_t
estimate_interval_us(const struct admission *a, const struct admission_rank *r)
{
	int64_t interval_us = r->interval_us > 0
	    ? r->interval_us
	    : admission_rank_service_us(r) / a->slots;

	return interval_us > a->start_cost_us ? interval_us : a->start_cost_us;
}

/// Estimates the wait of an item of a rank behind some that are queued.
static int64_t
estimate_wait_behind_us(const struct admission *a,
    const struct admission_rank *r, uint32_t ahead, int64_t now_us)
{
	int64_t interval_us = estimate_interval_us(a, r);
	int64_t limit_us = admission_limit_wait_us(a, now_us);

	return ahead * interval_us +
	    (limit_us > interval_us ? limit_us : interval_us);
}

int64_t
admission_wait_us(const struct admission *a, uint32_t rank, int64_t now_us)
{
	const struct admission_rank *r = &a->ranks[rank];

	if (a->running < a->slots && a->queued == 0)
		return admission_limit_wait_us(a, now_us);
	return estimate_wait_behind_us(a, r, r->queued, now_us);
}

/// Scales a learnt time to the pace of the backend server now.
static int64_t
scale_by_pace(const struct admission *a, int64_t time_us, int64_t now_us)
{
	return time_us * pace_ratio_permille(&a->pace, now_us) / PERMILLE;
}

/// Estimates the wait of a new item: begun ones go ahead of the others.
static int64_t
estimate_wait_us(const struct admission *a, const struct admission_item *item,
    int64_t now_us)
{
	const struct admission_rank *r = &a->ranks[item->rank];
	uint32_t passed;
	uint32_t ahead;

	if (item->begun)
		return estimate_wait_behind_us(a, r, r->begun_queued, now_us);
	if (a->running < a->slots && a->queued == 0)
		return admission_limit_wait_us(a, now_us);
	admission_queue_find_place(r, item, &passed);
	ahead = r->queued - passed;
	if (item->over_share)
		ahead = fair_queue_ahead(&r->fair, item->fair_tag_us, ahead);
	return estimate_wait_behind_us(a, r, ahead, now_us);
}

/// Longest expected wait with which an item is accepted: a part of the time that
/// is left beside its service, since the estimate is only a mean. A begun item
/// has until its deadline, since its own target earns nothing. One that is late
/// already may wait as long as its deadline allows.
static int64_t
max_wait_us(const struct admission *a, const struct admission_item *item,
    int64_t now_us)
{
	const struct admission_rank *r = &a->ranks[item->rank];
	int64_t service_us = item->service_us > 0
	    ? item->service_us
	    : scale_by_pace(a, admission_rank_service_us(r), now_us);
	int64_t left_us = item->deadline_us - now_us - service_us;
	int64_t target_left_us;

	if (item->begun)
		return left_us / WAIT_DIVISOR;
	target_left_us = item->target_deadline_us > 0
	    ? item->target_deadline_us - now_us
	    : r->target_us;
	if (target_left_us <= 0)
		return left_us;
	target_left_us = (target_left_us - service_us) / WAIT_DIVISOR;
	return target_left_us < left_us ? target_left_us : left_us;
}

enum admission_verdict
admission_offer(struct admission *a, struct admission_item *item,
    int64_t now_us, int64_t *retry_us)
{
	struct admission_rank *r;
	int64_t wait_us;

	assert(item->rank < a->rank_count);
	r = &a->ranks[item->rank];
	update_credits(a, now_us);
	item->arrival_us = now_us;
	item->fair_tag_us = fair_queue_tag(
	    &r->fair, item->workspace, admission_fair_cost_us(a, item));
	item->over_share = fair_queue_is_over_share(
	    &r->fair, item->fair_tag_us, admission_fair_cost_us(a, item));
	item->overtaken = false;
	*retry_us = 0;
	if (item->deadline_us <= now_us)
		return ADMISSION_REFUSED;
	if (a->running < a->slots && a->queued == 0 &&
	    admission_limit_wait_us(a, now_us) == 0) {
		admission_charge_workspace(a, item);
		start_item(a, item, now_us);
		return ADMISSION_RUN;
	}
	wait_us = scale_by_pace(a, estimate_wait_us(a, item, now_us), now_us);
	// An empty queue always accepts one, so that the estimate of the wait
	// stays current. A limit needs no estimate.
	if (!admission_queue_has_room(a, item) ||
	    ((r->queued > 0 || a->start_cost_us > 0) &&
		wait_us > max_wait_us(a, item, now_us))) {
		*retry_us = wait_us;
		return ADMISSION_REFUSED;
	}
	if (r->queued == 0)
		r->last_start_us = now_us;
	admission_charge_workspace(a, item);
	admission_queue_push(a, item);
	return ADMISSION_QUEUED;
}

static void
release_slot(struct admission *a, struct admission_item *item, int64_t now_us)
{
	struct admission_rank *r = &a->ranks[item->rank];

	assert(item->running && r->running > 0 && a->running > 0);
	update_credits(a, now_us);
	item->running = false;
	r->running--;
	a->running--;
	if (item->charged_us > 0)
		add_credit(r, item->charged_us - (now_us - item->start_us));
	if (item->begun_charged_us > 0)
		add_begun_credit(
		    a, item->begun_charged_us - (now_us - item->start_us));
}

void
admission_finish(
    struct admission *a, struct admission_item *item, int64_t now_us)
{
	struct admission_rank *r = &a->ranks[item->rank];

	release_slot(a, item, now_us);
	admission_settle_workspace(a, item, now_us - item->start_us);
	flow_leave(&a->slot_time, now_us - item->start_us, now_us);
	r->service_us = update_ema(r->service_us, now_us - item->start_us + 1);
}

void
admission_abandon(
    struct admission *a, struct admission_item *item, int64_t now_us)
{
	release_slot(a, item, now_us);
	admission_settle_workspace(a, item, 0);
	flow_cancel(&a->slot_time, now_us);
}

void
admission_cancel(struct admission *a, struct admission_item *item)
{
	admission_queue_remove(a, item);
	admission_settle_workspace(a, item, 0);
}

/// Finds a head of a queue that can no longer meet its deadline. The limit is
/// half of the expected service time, since half of the requests take longer.
static struct admission_item *
find_unmeetable(const struct admission *a, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < a->rank_count; i++) {
		const struct admission_rank *r = &a->ranks[i];
		struct admission_item *item = r->head;
		int64_t service_us;

		if (item == NULL)
			continue;
		service_us =
		    item->service_us > 0 ? item->service_us : r->service_us;
		if (item->deadline_us <= now_us + service_us / 2)
			return item;
	}
	return NULL;
}

/// Finds the last item of a queue that has become too long since a limit was
/// stated: it is refused at once, so that it can run elsewhere in time.
static struct admission_item *
find_beyond_limit(const struct admission *a, int64_t now_us)
{
	uint32_t i;

	for (i = 0; a->start_cost_us > 0 && i < a->rank_count; i++) {
		const struct admission_rank *r = &a->ranks[i];
		int64_t wait_us;

		if (r->queued < 2)
			continue;
		wait_us = admission_limit_wait_us(a, now_us) +
		    (r->queued - 1) * a->start_cost_us;
		if (wait_us > max_wait_us(a, r->tail, now_us))
			return r->tail;
	}
	return NULL;
}

/// Finds the last item of a queue if requests of other workspaces went ahead of it,
/// so that it cannot be served any more: it is refused at once.
static struct admission_item *
find_overtaken(const struct admission *a, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < a->rank_count; i++) {
		const struct admission_rank *r = &a->ranks[i];
		struct admission_item *item = r->tail;
		int64_t wait_us;

		if (item == NULL || !item->overtaken)
			continue;
		wait_us = estimate_wait_behind_us(a, r, r->queued - 1, now_us);
		if (now_us + scale_by_pace(a, wait_us, now_us) +
			admission_item_service_us(r, item) >
		    item->deadline_us)
			return item;
	}
	return NULL;
}

struct admission_item *
admission_next(
    struct admission *a, int64_t now_us, enum admission_verdict *verdict)
{
	struct admission_item *item;
	struct admission_rank *r;
	int rank;

	if (a->queued == 0)
		return NULL;
	update_credits(a, now_us);
	item = find_unmeetable(a, now_us);
	if (item == NULL)
		item = find_beyond_limit(a, now_us);
	if (item == NULL)
		item = find_overtaken(a, now_us);
	if (item != NULL) {
		*verdict = ADMISSION_REFUSED;
		admission_queue_remove(a, item);
		admission_settle_workspace(a, item, 0);
		return item;
	}
	if (a->running >= a->slots || admission_limit_wait_us(a, now_us) > 0)
		return NULL;
	rank = a->policy->pick(a, now_us);
	if (rank < 0)
		return NULL;
	r = &a->ranks[rank];
	item = r->head;
	admission_queue_remove(a, item);
	r->interval_us =
	    update_ema(r->interval_us, now_us - r->last_start_us + 1);
	r->last_start_us = now_us;
	fair_queue_note_turn(&r->fair, item->went_ahead);
	start_item(a, item, now_us);
	*verdict = ADMISSION_RUN;
	return item;
}

int64_t
admission_service_us(struct admission *a, int64_t now_us)
{
	return scale_by_pace(a, flow_mean_us(&a->slot_time, now_us), now_us);
}

uint32_t
admission_load_pct(const struct admission *a)
{
	return (a->running + a->queued) * PERCENT / a->slots;
}
