// Life cycle of a call: ingress, egress, slot, response, retry.
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/retry.h"
#include "core/requests/retry_after.h"
#include "model/world.h"

#define US_PER_MS 1000

/// Caller's retry delay after a failure, or a refusal without a retry time.
#define CALLER_BACKOFF_US (100 * US_PER_MS)

/// Upper bound of the time for which an endpoint that refused is avoided.
#define MAX_BUSY_US (100 * US_PER_MS)

#define MAX_ARRIVALS 3
#define PERMILLE     1000

/// Requests over which an ingress averages the ratio of a kind.
#define RATIO_SAMPLES 32

/// Time from the statement of a limit until it is checked.
#define LIMIT_SETTLED_US (1000 * US_PER_MS)

/// The time of work is a fixed share of its mean plus an exponential rest.
#define FIXED_WORK_SHARE 0.4

/// A request of a caller or a server, with its current attempt.
struct call {
	struct admission_item item; ///< First: items are cast to calls.
	struct simulation *sim;
	uint32_t kind;
	struct call *parent; ///< Call whose server made this one, or NULL.
	struct node *ingress;
	struct node *egress;
	uint64_t egress_incarnation; ///< When the attempt was sent.
	uint32_t refs;
	struct call *next; ///< In the list of the egress's running calls.
	struct call *prev;
	bool holds_slot;
	uint32_t children; ///< Pending calls that its server made.
	bool child_failed;
	bool concluded; ///< Its sender has been given a result.
	int64_t first_sent_us;
	int64_t deadline_us;
	int64_t target_deadline_us;
	uint32_t retries_left;
	// The current attempt.
	struct balancer *balancer;
	struct endpoint *endpoint;
	char tried[SIMULATION_MAX_ATTEMPTS][MEMBER_NAME_BYTES];
	uint32_t attempts;
	uint32_t arrivals;
	int64_t sent_us;
	// The response in transit.
	enum outcome outcome;
	bool failed;
	int64_t run_us;	      ///< In its slot; 0: it did not run.
	bool has_load_report; ///< The reported_* fields are set.
	int64_t retry_us;
	struct balancer_report report;
};

static void start_attempt(void *arg);

static int64_t
call_now_us(const struct call *c)
{
	return c->sim->events.now_us;
}

static const struct mix_kind *
call_get_kind(const struct call *c)
{
	return &c->sim->mix->kinds[c->kind];
}

static void
call_unref(struct call *c)
{
	assert(c->refs > 0);
	if (--c->refs > 0)
		return;
	if (c->parent != NULL)
		call_unref(c->parent);
	free(c);
}

/// Schedules a step, which holds a reference to the call until it has run.
static void
call_schedule(struct call *c, int64_t at_us, void (*fn)(void *arg))
{
	c->refs++;
	events_add(&c->sim->events, at_us, fn, c);
}

static struct call *
call_create(struct simulation *sim, uint32_t kind, struct node *ingress)
{
	struct call *c = calloc(1, sizeof(*c));

	assert(c != NULL);
	c->sim = sim;
	c->kind = kind;
	c->ingress = ingress;
	return c;
}

// Caller.

static void
record_result(struct call *c, double earned)
{
	struct simulation *sim = c->sim;
	const struct mix_kind *k = call_get_kind(c);
	uint32_t second = (uint32_t)(c->first_sent_us / 1000000);

	assert(second < sim->second_count);
	sim->seconds[second].offered += k->worth;
	sim->seconds[second].earned += earned;
	sim->kinds[c->kind].offered += k->worth;
	sim->kinds[c->kind].earned += earned;
	sim->completed++;
}

static void
on_caller_response(void *arg)
{
	struct call *c = arg;
	const struct mix_kind *k = call_get_kind(c);
	int64_t now_us = call_now_us(c);
	int64_t backoff_us = c->retry_us > 0 ? c->retry_us : CALLER_BACKOFF_US;

	if (c->outcome == OUTCOME_ANSWERED && !c->failed) {
		if (now_us <= c->first_sent_us + k->target_us)
			record_result(c, k->worth);
		else
			record_result(c,
			    now_us <= c->first_sent_us + k->deadline_us
				? k->worth_late
				: 0);
	} else if (c->retries_left > 0 &&
	    (k->safe || outcome_is_not_run(c->outcome)) &&
	    now_us + backoff_us < c->first_sent_us + k->deadline_us) {
		struct call *retry = call_create(c->sim, c->kind, NULL);

		retry->first_sent_us = c->first_sent_us;
		retry->retries_left = c->retries_left - 1;
		call_schedule(retry, now_us + backoff_us, start_attempt);
	} else {
		record_result(c, 0);
		c->sim->refused += outcome_is_not_run(c->outcome);
		c->sim->failed += !outcome_is_not_run(c->outcome);
	}
	call_unref(c);
}

// Backend server.

static void send_response(
    struct call *c, enum outcome outcome, bool failed, int64_t retry_us);

static void
slot_acquire(struct call *c)
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
slot_release(struct call *c)
{
	c->holds_slot = false;
	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		c->egress->running = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
}

static struct work_left_item
describe_work(const struct call *c, int64_t usual_us)
{
	return (struct work_left_item){.route = c->kind + 1,
	    .expected_us =
		c->item.service_us > 0 ? c->item.service_us : usual_us,
	    .start_us = c->item.running ? c->item.start_us : 0};
}

int64_t
call_get_work_left_us(struct node *node)
{
	struct admission *a = &node->admission;
	int64_t now_us = node->sim->events.now_us;
	int64_t usual_us = admission_service_us(a, now_us);
	struct work_left_item item;
	const struct admission_item *at;
	const struct call *c;
	int64_t sum_us = 0;
	uint32_t i;

	for (c = node->running; c != NULL; c = c->next) {
		item = describe_work(c, usual_us);
		sum_us += work_left_of_item_us(&node->work_left, &item, now_us);
	}
	for (i = 0; i < a->rank_count; i++)
		for (at = a->ranks[i].head; at != NULL; at = at->next) {
			item = describe_work((const struct call *)at, usual_us);
			sum_us += work_left_of_item_us(
			    &node->work_left, &item, now_us);
		}
	return sum_us;
}

static void
finish_work(struct call *c, bool failed)
{
	struct node *node = c->egress;
	struct work_left_item item;

	slot_release(c);
	if (c->sim->mix->services[node->service].neighbour_period_us > 0)
		pace_record(&node->admission.pace,
		    (uint32_t)(node->neighbours * 100), call_now_us(c));
	admission_set_limit(
	    &node->admission, node->limit_milli, call_now_us(c));
	c->run_us = call_now_us(c) - c->item.start_us;
	item = describe_work(c, 0);
	work_left_record(&node->work_left, &item, call_now_us(c));
	admission_finish(&node->admission, &c->item, call_now_us(c));
	send_response(c, OUTCOME_ANSWERED, failed, 0);
	call_unref(c);
	call_dispatch_queued(node);
}

static void
on_work_done(void *arg)
{
	struct call *c = arg;

	if (c->holds_slot)
		finish_work(
		    c, simulation_random(c->sim) < c->egress->failure_rate);
	call_unref(c);
}

static void
schedule_work(struct call *c)
{
	struct node *node = c->egress;
	double work_factor = FIXED_WORK_SHARE -
	    (1 - FIXED_WORK_SHARE) * log(1 - simulation_random(c->sim));
	const struct mix_kind *k = call_get_kind(c);
	double time_us = (double)k->work_us * work_factor * node->slowdown *
	    node->neighbours / node->speed;

	if (simulation_random(c->sim) * 100 < (double)k->heavy_pct)
		time_us *= k->heavy_factor;

	if (call_now_us(c) < node->slow_start_deadline_us)
		time_us *= 2;
	call_schedule(c, call_now_us(c) + (int64_t)time_us, on_work_done);
}

/// Makes a call on behalf of the server that runs a request. It inherits the
/// deadline of the request, if that is earlier than its own.
static void
start_child_call(struct call *c)
{
	uint32_t kind = (uint32_t)call_get_kind(c)->callee;
	const struct mix_kind *called = &c->sim->mix->kinds[kind];
	struct call *child = call_create(c->sim, kind, c->egress);

	child->parent = c;
	c->refs++;
	child->first_sent_us = call_now_us(c);
	child->deadline_us = call_now_us(c) + called->deadline_us;
	if (child->deadline_us > c->deadline_us)
		child->deadline_us = c->deadline_us;
	child->target_deadline_us = call_now_us(c) + called->target_us;
	call_schedule(child, call_now_us(c), start_attempt);
}

/// Counts a run of a server that states a limit.
static void
count_limited_run(struct node *node)
{
	int64_t now_us = node->sim->events.now_us;
	double allowed = (double)node->limit_milli * LIMIT_SPAN_US / 1e9;
	uint32_t old = 0;

	if (node->limit_milli == 0 ||
	    now_us < node->limited_us + LIMIT_SETTLED_US)
		return;
	while (old < node->run_count &&
	    (node->runs_us[old] <= now_us - LIMIT_SPAN_US ||
		node->run_count - old == NODE_RUNS))
		old++;
	memmove(node->runs_us, node->runs_us + old,
	    (node->run_count - old) * sizeof(node->runs_us[0]));
	node->run_count -= old;
	node->runs_us[node->run_count++] = now_us;
	if (node->run_count / allowed > node->sim->limit_share)
		node->sim->limit_share = node->run_count / allowed;
}

static void
start_work(struct call *c)
{
	const struct mix_kind *k = call_get_kind(c);

	count_limited_run(c->egress);
	c->sim->runs += c->parent == NULL;
	c->sim->first_runs += c->parent == NULL && c->arrivals == 0;
	c->arrivals++;
	c->child_failed = false;
	slot_acquire(c);
	if (k->callee < 0 ||
	    simulation_random(c->sim) * 100 >= (double)k->calls_pct) {
		schedule_work(c);
		return;
	}
	for (c->children = 0; c->children < k->calls_count; c->children++)
		start_child_call(c);
}

void
call_dispatch_queued(struct node *node)
{
	int64_t now_us = node->sim->events.now_us;
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(&node->admission, now_us, &verdict)) !=
	    NULL) {
		struct call *c = (struct call *)item;

		if (verdict == ADMISSION_RUN)
			start_work(c);
		else
			send_response(c, OUTCOME_NOT_RUN, false,
			    admission_wait_us(
				&node->admission, item->rank, now_us));
		call_unref(c);
	}
}

// Egress.

static void
on_egress_arrival(void *arg)
{
	struct call *c = arg;
	struct node *node = c->egress;
	int64_t retry_us;

	if (node->down || node->member.incarnation != c->egress_incarnation) {
		send_response(c, OUTCOME_NOT_RUN, true, 0);
		call_unref(c);
		return;
	}
	memset(&c->item, 0, sizeof(c->item));
	c->item.rank = call_get_kind(c)->rank;
	c->item.deadline_us = c->deadline_us;
	c->item.target_deadline_us = c->target_deadline_us;
	c->item.begun = c->parent != NULL;
	c->item.service_us =
	    admission_service_us(&node->admission, call_now_us(c)) *
	    (int64_t)c->ingress->ratios_permille[c->kind] / PERMILLE;
	c->run_us = 0;
	switch (admission_offer(
	    &node->admission, &c->item, call_now_us(c), &retry_us)) {
	case ADMISSION_RUN:
		start_work(c);
		break;
	case ADMISSION_QUEUED:
		c->refs++; // Reference held by the queue.
		break;
	case ADMISSION_REFUSED:
		send_response(c, OUTCOME_NOT_RUN, false, retry_us);
		break;
	}
	call_unref(c);
}

static void
on_cancel(void *arg)
{
	struct call *c = arg;

	if (c->item.queued) {
		admission_cancel(&c->egress->admission, &c->item);
		send_response(c, OUTCOME_NOT_RUN, false, 0);
		call_unref(c);
	}
	call_unref(c);
}

void
call_abort_all(struct node *node)
{
	struct admission *a = &node->admission;
	uint32_t i;

	while (node->running != NULL) {
		struct call *c = node->running;

		slot_release(c);
		send_response(c, OUTCOME_UNKNOWN, true, 0);
		call_unref(c);
	}
	for (i = 0; i < a->rank_count; i++)
		while (a->ranks[i].head != NULL) {
			struct call *c = (struct call *)a->ranks[i].head;

			admission_cancel(a, &c->item);
			send_response(c, OUTCOME_UNKNOWN, true, 0);
			call_unref(c);
		}
}

// Ingress.

/// Ends the request at its ingress and passes the result to its sender.
static void
call_conclude(
    struct call *c, enum outcome outcome, bool failed, int64_t retry_us)
{
	struct call *parent = c->parent;
	int64_t now_us = call_now_us(c);
	struct retry_after_request q = {
	    .target_left_us = c->target_deadline_us - now_us,
	    .deadline_left_us = c->deadline_us - now_us,
	    .service_us = call_get_kind(c)->work_us};

	if (outcome == OUTCOME_NOT_RUN)
		retry_us = retry_after_draw_us(&c->sim->random, &q);
	c->concluded = true;
	c->outcome = outcome;
	c->failed = failed;
	c->retry_us = retry_us;
	if (parent == NULL) {
		call_schedule(c,
		    call_now_us(c) + c->sim->mix->caller_latency_us,
		    on_caller_response);
		return;
	}
	parent->children--;
	parent->child_failed |= outcome != OUTCOME_ANSWERED || failed;
	if (!parent->holds_slot || parent->children > 0)
		return;
	if (parent->child_failed)
		finish_work(parent, true);
	else
		schedule_work(parent);
}

/// Records the time in the slot, as an ingress does.
static void
learn_cost(struct call *c)
{
	double *ratio = &c->ingress->ratios_permille[c->kind];
	double sample;

	if (c->run_us == 0 || c->report.service_us == 0)
		return;
	sample = (double)c->run_us * PERMILLE / (double)c->report.service_us;
	*ratio += *ratio == 0 ? sample : (sample - *ratio) / RATIO_SAMPLES;
}

static void
on_response(void *arg)
{
	struct call *c = arg;
	int64_t now_us = call_now_us(c);
	struct balancer_request refused = {
	    .worth = c->sim->ranks[c->item.rank].worth,
	    .begun = c->parent != NULL,
	    .target_left_us = c->target_deadline_us - now_us};
	struct retry_request q = {.outcome = c->outcome,
	    .repeatable = call_get_kind(c)->safe,
	    .body_kept = true,
	    .failed = c->failed,
	    .undelivered = c->arrivals == 0,
	    .attempts = c->attempts,
	    .arrivals = c->arrivals,
	    .max_arrivals = MAX_ARRIVALS,
	    .deadline_us = c->deadline_us};

	if (c->has_load_report)
		balancer_report(c->endpoint, &c->report, now_us);
	learn_cost(c);
	balancer_finish(
	    c->balancer, c->endpoint, c->sent_us, c->failed, now_us);
	if (c->outcome == OUTCOME_NOT_RUN && c->retry_us > 0)
		balancer_set_busy(c->endpoint, &refused,
		    now_us +
			(c->retry_us < MAX_BUSY_US ? c->retry_us
						   : MAX_BUSY_US));
	if (c->concluded) {
		call_unref(c);
		return;
	}
	if ((c->outcome == OUTCOME_ANSWERED && !c->failed) ||
	    !c->sim->policy->mesh_retries ||
	    !retry_decide(&c->balancer->retries, &q, now_us))
		call_conclude(c, c->outcome, c->failed, c->retry_us);
	else
		call_schedule(c, now_us, start_attempt);
	call_unref(c);
}

static void
send_response(
    struct call *c, enum outcome outcome, bool failed, int64_t retry_us)
{
	struct node *node = c->egress;

	c->outcome = outcome;
	c->failed = failed;
	c->retry_us = retry_us;
	c->has_load_report = !node->down;
	c->report.limit_milli =
	    node->admission.start_cost_us == 0 ? 0 : node->limit_milli;
	c->report.limit_wait_us =
	    admission_backlog_us(&node->admission, call_now_us(c));
	c->report.running = node->admission.running;
	c->report.queued = node->admission.queued;
	c->report.work_left_us = call_get_work_left_us(node);
	c->report.service_us =
	    admission_service_us(&node->admission, call_now_us(c));
	call_schedule(c,
	    call_now_us(c) + simulation_one_way_us(node, c->ingress),
	    on_response);
}

static void
on_deadline(void *arg)
{
	struct call *c = arg;

	if (!c->concluded) {
		if (c->egress != NULL)
			call_schedule(c,
			    call_now_us(c) +
				simulation_one_way_us(c->ingress, c->egress),
			    on_cancel);
		call_conclude(c, OUTCOME_UNKNOWN, true, 0);
	}
	call_unref(c);
}

/// Picks a random proxy, as callers are in all data centres, or the next one
/// that is up.
static struct node *
find_ingress(struct simulation *sim)
{
	uint32_t from = random_below(&sim->random, sim->node_count);
	uint32_t i;

	for (i = 0; i < sim->node_count; i++) {
		struct node *node = &sim->nodes[(from + i) % sim->node_count];

		if (!node->down)
			return node;
	}
	return &sim->nodes[from];
}

static struct node *
find_node(struct simulation *sim, const char *name)
{
	uint32_t i;

	for (i = 0; strcmp(sim->nodes[i].member.name, name) != 0; i++)
		;
	return &sim->nodes[i];
}

/// Assigns an ingress and deadlines to a caller's request.
static void
assign_ingress(struct call *c)
{
	const struct mix_kind *k = call_get_kind(c);

	c->ingress = find_ingress(c->sim);
	c->deadline_us = c->first_sent_us + k->deadline_us;
	c->target_deadline_us = c->first_sent_us + k->target_us;
}

/// Reports the load of the moment and the speeds of all servers to the ingress.
static void
report_truth(struct call *c)
{
	uint32_t i;

	for (i = 0; i < c->sim->node_count; i++) {
		struct node *node = &c->sim->nodes[i];
		struct endpoint *e =
		    balancer_find(c->balancer, node->member.name);
		int64_t service_us =
		    (int64_t)((double)call_get_kind(c)->work_us *
			node->slowdown * node->neighbours / node->speed);
		struct balancer_report report = {node->admission.running,
		    node->admission.queued, service_us, node->limit_milli,
		    admission_backlog_us(&node->admission, call_now_us(c)),
		    call_get_work_left_us(node)};

		if (e != NULL && !node->down)
			balancer_report(e, &report, call_now_us(c));
	}
}

static void
start_attempt(void *arg)
{
	struct call *c = arg;
	struct simulation *sim = c->sim;
	int64_t now_us = call_now_us(c);
	struct balancer_choice choice;
	struct balancer_request q = {.size_bytes = 1024};

	if (c->concluded) {
		call_unref(c);
		return;
	}
	if (c->ingress == NULL)
		assign_ingress(c);
	if (c->attempts == 0)
		call_schedule(c, c->deadline_us, on_deadline);
	c->balancer = &c->ingress->balancers[call_get_kind(c)->service];
	if (c->attempts == 0)
		retry_budget_earn(&c->balancer->retries);
	q.worth = sim->ranks[call_get_kind(c)->rank].worth;
	q.begun = c->parent != NULL;
	q.target_left_us = c->target_deadline_us - now_us;
	q.deadline_left_us = c->deadline_us - now_us;
	q.tried = (const char(*)[MEMBER_NAME_BYTES])c->tried;
	q.tried_count = c->attempts;
	q.relative_service_permille =
	    (uint32_t)c->ingress->ratios_permille[c->kind];
	if (sim->policy->is_oracle)
		report_truth(c);
	choice.endpoint = NULL;
	choice.busy_until_deadline_us = INT64_MAX;
	if (c->attempts < SIMULATION_MAX_ATTEMPTS)
		choice = sim->policy->choose(c->balancer, &q, now_us);
	if (choice.endpoint == NULL) {
		call_conclude(c, c->arrivals > 0 ? c->outcome : OUTCOME_NOT_RUN,
		    c->arrivals > 0,
		    choice.busy_until_deadline_us == INT64_MAX
			? c->retry_us
			: choice.busy_until_deadline_us - now_us);
		call_unref(c);
		return;
	}
	c->endpoint = choice.endpoint;
	memcpy(
	    c->tried[c->attempts++], choice.endpoint->name, MEMBER_NAME_BYTES);
	c->egress = find_node(sim, choice.endpoint->name);
	c->egress_incarnation = choice.endpoint->incarnation;
	c->sent_us = now_us;
	call_schedule(c, now_us + simulation_one_way_us(c->ingress, c->egress),
	    on_egress_arrival);
	call_unref(c);
}

void
call_submit(struct simulation *sim, uint32_t kind, int64_t first_sent_us,
    uint32_t retries_left)
{
	struct call *c = call_create(sim, kind, NULL);

	c->first_sent_us = first_sent_us;
	c->retries_left = retries_left;
	call_schedule(
	    c, first_sent_us + sim->mix->caller_latency_us, start_attempt);
}
