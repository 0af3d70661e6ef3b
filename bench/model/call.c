// Way of a call: ingress, egress, slot, answer, another try.
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/retry.h"
#include "model/world.h"

#define MS_US 1000

/// Refused without a time, or failed: a caller comes back after about this.
#define CALLER_PAUSE_US (100 * MS_US)

/// Longest time for which an endpoint is avoided that had no room.
#define BUSY_MAX_US (100 * MS_US)

#define MAX_ARRIVALS 3

/// Work of a kind is spread: a part that all have, and an exponential one.
#define WORK_FIXED 0.4

struct call {
	struct admission_item item;
	struct world *world;
	uint32_t kind;
	struct call *parent; ///< Whose server made it; NULL for a caller's.
	struct node *ingress;
	struct node *egress;
	uint64_t born; ///< Of the egress that it was sent to.
	uint32_t refs;
	struct call *next; ///< Among those that run at the egress.
	struct call *prev;
	bool holds_slot;
	uint32_t children; ///< Calls of the server that are not answered.
	bool child_failed;
	bool concluded;
	int64_t first_us;
	int64_t deadline_us;
	int64_t target_deadline_us;
	uint32_t repeats_left;
	// Attempt.
	struct balancer *balancer;
	struct endpoint *endpoint;
	char tried[WORLD_MAX_ATTEMPTS][MEMBER_NAME_BYTES];
	uint32_t attempts;
	uint32_t arrivals;
	int64_t sent_us;
	// Its answer, on the way back.
	enum outcome outcome;
	bool failed;
	bool reached; ///< The egress told its load.
	int64_t retry_us;
	uint32_t told_running;
	uint32_t told_queued;
	int64_t told_service_us;
};

static void try(void *arg);

static int64_t
now_of(const struct call *c)
{
	return c->world->events.now_us;
}

static const struct mix_kind *
kind_of(const struct call *c)
{
	return &c->world->mix->kinds[c->kind];
}

static void
unref(struct call *c)
{
	assert(c->refs > 0);
	if (--c->refs > 0)
		return;
	if (c->parent != NULL)
		unref(c->parent);
	free(c);
}

/// Schedules a step; the event holds the call.
static void
later(struct call *c, int64_t at_us, void (*fn)(void *arg))
{
	c->refs++;
	events_add(&c->world->events, at_us, fn, c);
}

static struct call *
create(struct world *world, uint32_t kind, struct node *ingress)
{
	struct call *c = calloc(1, sizeof(*c));

	assert(c != NULL);
	c->world = world;
	c->kind = kind;
	c->ingress = ingress;
	return c;
}

// The caller.

static void
tally(struct call *c, double earned)
{
	struct world *w = c->world;
	const struct mix_kind *k = kind_of(c);
	uint32_t second = (uint32_t)(c->first_us / 1000000);

	assert(second < w->window_count);
	w->windows[second].offered += k->worth;
	w->windows[second].earned += earned;
	w->kinds[c->kind].offered += k->worth;
	w->kinds[c->kind].earned += earned;
	w->callers++;
}

static void
caller_hears(void *arg)
{
	struct call *c = arg;
	const struct mix_kind *k = kind_of(c);
	int64_t now_us = now_of(c);
	int64_t pause_us = c->retry_us > 0 ? c->retry_us : CALLER_PAUSE_US;

	if (c->outcome == OUTCOME_ANSWERED && !c->failed) {
		if (now_us <= c->first_us + k->target_us)
			tally(c, k->worth);
		else
			tally(c,
			    now_us <= c->first_us + k->deadline_us
				? k->worth_late
				: 0);
	} else if (c->repeats_left > 0 &&
	    (k->safe || outcome_is_not_run(c->outcome)) &&
	    now_us + pause_us < c->first_us + k->deadline_us) {
		struct call *again = create(c->world, c->kind, NULL);

		again->first_us = c->first_us;
		again->repeats_left = c->repeats_left - 1;
		later(again, now_us + pause_us, try);
	} else {
		tally(c, 0);
		c->world->refused += outcome_is_not_run(c->outcome);
		c->world->failed += !outcome_is_not_run(c->outcome);
	}
	unref(c);
}

// The server.

static void answer(
    struct call *c, enum outcome outcome, bool failed, int64_t retry_us);

static void
slot_take(struct call *c)
{
	c->holds_slot = true;
	c->prev = NULL;
	c->next = c->egress->running;
	if (c->next != NULL)
		c->next->prev = c;
	c->egress->running = c;
	c->refs++;
}

static void
slot_leave(struct call *c)
{
	c->holds_slot = false;
	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		c->egress->running = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
}

static void
end_work(struct call *c, bool failed)
{
	struct node *node = c->egress;

	slot_leave(c);
	admission_finish(&node->admission, &c->item, now_of(c));
	answer(c, OUTCOME_ANSWERED, failed, 0);
	unref(c);
	call_run_waiting(node);
}

static void
on_work_done(void *arg)
{
	struct call *c = arg;

	if (c->holds_slot)
		end_work(c, world_random(c->world) < c->egress->failing);
	unref(c);
}

static void
work(struct call *c)
{
	struct node *node = c->egress;
	double spread =
	    WORK_FIXED - (1 - WORK_FIXED) * log(1 - world_random(c->world));
	double time_us =
	    (double)kind_of(c)->work_us * spread * node->slowed / node->speed;

	if (now_of(c) < node->cold_until_us)
		time_us *= 2;
	later(c, now_of(c) + (int64_t)time_us, on_work_done);
}

/// Makes a call on behalf of the server that runs a request.
static void
call_on(struct call *c)
{
	uint32_t kind = (uint32_t)kind_of(c)->calls;
	const struct mix_kind *called = &c->world->mix->kinds[kind];
	struct call *child = create(c->world, kind, c->egress);

	child->parent = c;
	c->refs++;
	child->first_us = now_of(c);
	child->deadline_us = now_of(c) + called->deadline_us;
	if (child->deadline_us > c->deadline_us)
		child->deadline_us = c->deadline_us;
	child->target_deadline_us = now_of(c) + called->target_us;
	later(child, now_of(c), try);
}

static void
begin_work(struct call *c)
{
	const struct mix_kind *k = kind_of(c);

	c->world->runs += c->parent == NULL;
	c->world->first_runs += c->parent == NULL && c->arrivals == 0;
	c->arrivals++;
	c->child_failed = false;
	slot_take(c);
	if (k->calls < 0 ||
	    world_random(c->world) * 100 >= (double)k->calls_pct) {
		work(c);
		return;
	}
	for (c->children = 0; c->children < k->calls_count; c->children++)
		call_on(c);
}

void
call_run_waiting(struct node *node)
{
	int64_t now_us = node->world->events.now_us;
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(&node->admission, now_us, &verdict)) !=
	    NULL) {
		struct call *c = (struct call *)item;

		if (verdict == ADMISSION_RUN)
			begin_work(c);
		else
			answer(c, OUTCOME_NOT_RUN, false,
			    admission_wait_us(&node->admission, item->rank));
		unref(c);
	}
}

// The egress.

static void
on_egress(void *arg)
{
	struct call *c = arg;
	struct node *node = c->egress;
	int64_t retry_us;

	if (node->down || node->member.incarnation != c->born) {
		answer(c, OUTCOME_NOT_RUN, true, 0);
		unref(c);
		return;
	}
	memset(&c->item, 0, sizeof(c->item));
	c->item.rank = kind_of(c)->rank;
	c->item.deadline_us = c->deadline_us;
	c->item.target_deadline_us = c->target_deadline_us;
	switch (
	    admission_offer(&node->admission, &c->item, now_of(c), &retry_us)) {
	case ADMISSION_RUN:
		begin_work(c);
		break;
	case ADMISSION_QUEUED:
		c->refs++; // Of the queue.
		break;
	case ADMISSION_REFUSED:
		answer(c, OUTCOME_NOT_RUN, false, retry_us);
		break;
	}
	unref(c);
}

static void
on_cancel(void *arg)
{
	struct call *c = arg;

	if (c->item.queued) {
		admission_cancel(&c->egress->admission, &c->item);
		answer(c, OUTCOME_NOT_RUN, false, 0);
		unref(c);
	}
	unref(c);
}

void
call_lose_all(struct node *node)
{
	struct admission *a = &node->admission;
	uint32_t i;

	while (node->running != NULL) {
		struct call *c = node->running;

		slot_leave(c);
		answer(c, OUTCOME_UNKNOWN, true, 0);
		unref(c);
	}
	for (i = 0; i < a->rank_count; i++)
		while (a->ranks[i].head != NULL) {
			struct call *c = (struct call *)a->ranks[i].head;

			admission_cancel(a, &c->item);
			answer(c, OUTCOME_UNKNOWN, true, 0);
			unref(c);
		}
}

// The ingress.

/// The request ended here: tells whoever made it.
static void
conclude(struct call *c, enum outcome outcome, bool failed, int64_t retry_us)
{
	struct call *parent = c->parent;

	c->concluded = true;
	c->outcome = outcome;
	c->failed = failed;
	c->retry_us = retry_us;
	if (parent == NULL) {
		later(c, now_of(c) + c->world->mix->caller_us, caller_hears);
		return;
	}
	parent->children--;
	parent->child_failed |= outcome != OUTCOME_ANSWERED || failed;
	if (!parent->holds_slot || parent->children > 0)
		return;
	if (parent->child_failed)
		end_work(parent, true);
	else
		work(parent);
}

static void
on_answer(void *arg)
{
	struct call *c = arg;
	int64_t now_us = now_of(c);
	struct retry_request q = {.outcome = c->outcome,
	    .repeatable = kind_of(c)->safe,
	    .body_kept = true,
	    .failed = c->failed,
	    .undelivered = c->arrivals == 0,
	    .attempts = c->attempts,
	    .arrivals = c->arrivals,
	    .max_arrivals = MAX_ARRIVALS,
	    .deadline_us = c->deadline_us};

	if (c->reached)
		balancer_report(c->endpoint, c->told_running, c->told_queued,
		    c->told_service_us, now_us);
	balancer_finish(
	    c->balancer, c->endpoint, c->sent_us, c->failed, now_us);
	if (c->outcome == OUTCOME_NOT_RUN && c->retry_us > 0)
		balancer_set_busy(c->endpoint,
		    c->world->ranks[c->item.rank].worth,
		    now_us +
			(c->retry_us < BUSY_MAX_US ? c->retry_us
						   : BUSY_MAX_US));
	if (c->concluded) {
		unref(c);
		return;
	}
	if ((c->outcome == OUTCOME_ANSWERED && !c->failed) ||
	    !c->world->policy->repeats ||
	    !retry_decide(&c->balancer->retries, &q, now_us))
		conclude(c, c->outcome, c->failed, c->retry_us);
	else
		later(c, now_us, try);
	unref(c);
}

static void
answer(struct call *c, enum outcome outcome, bool failed, int64_t retry_us)
{
	struct node *node = c->egress;

	c->outcome = outcome;
	c->failed = failed;
	c->retry_us = retry_us;
	c->reached = !node->down;
	c->told_running = node->admission.running;
	c->told_queued = node->admission.queued;
	c->told_service_us = admission_service_us(&node->admission, now_of(c));
	later(c, now_of(c) + world_way_us(node, c->ingress), on_answer);
}

static void
on_deadline(void *arg)
{
	struct call *c = arg;

	if (!c->concluded) {
		if (c->egress != NULL)
			later(c,
			    now_of(c) + world_way_us(c->ingress, c->egress),
			    on_cancel);
		conclude(c, OUTCOME_UNKNOWN, true, 0);
	}
	unref(c);
}

/// A proxy of the caller's data centre, or of another one if none is up there.
static struct node *
find_ingress(struct world *w)
{
	uint32_t from = random_below(&w->random, w->node_count);
	uint32_t i;

	for (i = 0; i < w->node_count; i++) {
		struct node *node = &w->nodes[(from + i) % w->node_count];

		if (!node->down)
			return node;
	}
	return &w->nodes[from];
}

static struct node *
find_node(struct world *w, const char *name)
{
	uint32_t i;

	for (i = 0; strcmp(w->nodes[i].member.name, name) != 0; i++)
		;
	return &w->nodes[i];
}

/// Begins a caller's request at its ingress.
static void
enter(struct call *c)
{
	const struct mix_kind *k = kind_of(c);

	c->ingress = find_ingress(c->world);
	c->deadline_us = c->first_us + k->deadline_us;
	c->target_deadline_us = c->first_us + k->target_us;
}

static void
try(void *arg)
{
	struct call *c = arg;
	struct world *w = c->world;
	int64_t now_us = now_of(c);
	struct balancer_choice choice;
	struct balancer_request q = {.size_bytes = 1024};

	if (c->concluded) {
		unref(c);
		return;
	}
	if (c->ingress == NULL)
		enter(c);
	if (c->attempts == 0)
		later(c, c->deadline_us, on_deadline);
	c->balancer = &c->ingress->balancers[kind_of(c)->service];
	if (c->attempts == 0)
		retry_budget_earn(&c->balancer->retries);
	q.worth = w->ranks[kind_of(c)->rank].worth;
	q.target_left_us = c->target_deadline_us - now_us;
	q.deadline_left_us = c->deadline_us - now_us;
	q.tried = (const char(*)[MEMBER_NAME_BYTES])c->tried;
	q.tried_count = c->attempts;
	choice.endpoint = NULL;
	choice.busy_until_deadline_us = INT64_MAX;
	if (c->attempts < WORLD_MAX_ATTEMPTS)
		choice = w->policy->choose(c->balancer, &q, now_us);
	if (choice.endpoint == NULL) {
		conclude(c, c->arrivals > 0 ? c->outcome : OUTCOME_NOT_RUN,
		    c->arrivals > 0,
		    choice.busy_until_deadline_us == INT64_MAX
			? c->retry_us
			: choice.busy_until_deadline_us - now_us);
		unref(c);
		return;
	}
	c->endpoint = choice.endpoint;
	memcpy(
	    c->tried[c->attempts++], choice.endpoint->name, MEMBER_NAME_BYTES);
	c->egress = find_node(w, choice.endpoint->name);
	c->born = choice.endpoint->incarnation;
	c->sent_us = now_us;
	later(c, now_us + world_way_us(c->ingress, c->egress), on_egress);
	unref(c);
}

void
call_arrive(
    struct world *world, uint32_t kind, int64_t first_us, uint32_t repeats_left)
{
	struct call *c = create(world, kind, NULL);

	c->first_us = first_us;
	c->repeats_left = repeats_left;
	later(c, first_us + world->mix->caller_us, try);
}
