// A server short of room and the flood of one workspace: what the others get.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "core/requests/admission.h"
#include "unit/support.h"

#define SLOTS	   6
#define SERVICE_US 100000
#define WORKSPACES 10
#define STEP_US	   1000
#define STEPS	   60000
#define TARGET_US  500000
#define PLAYS	   5 ///< With seeds of their own.
#define MAX_ITEMS  512

struct request {
	struct admission_item item;
	bool used;
	int64_t ends_us;
};

struct count {
	uint32_t arrived;
	uint32_t in_target;
	uint32_t refused;
	uint32_t late_refusals; ///< Refused after a wait.
};

struct play {
	struct admission admission;
	struct random random;
	struct request *requests;
	struct count counts[WORKSPACES + 1];
	bool fair; ///< The workspaces are told apart.
	int64_t now_us;
};

static struct request *
find_free(struct play *p)
{
	uint32_t i;

	for (i = 0; i < MAX_ITEMS; i++)
		if (!p->requests[i].used)
			return &p->requests[i];
	fail();
	return NULL;
}

static void
start(struct play *p, struct request *r)
{
	r->ends_us =
	    p->now_us + SERVICE_US / 2 + random_time_us(&p->random, SERVICE_US);
}

static uint32_t
workspace_of(const struct request *r)
{
	return r->item.rank == 0 ? (uint32_t)r->item.size_bytes : 0;
}

static void
run_queued(struct play *p)
{
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(&p->admission, p->now_us, &verdict)) !=
	    NULL) {
		struct request *r = (struct request *)item;

		if (verdict == ADMISSION_RUN) {
			start(p, r);
			continue;
		}
		p->counts[workspace_of(r)].refused++;
		p->counts[workspace_of(r)].late_refusals++;
		r->used = false;
	}
}

static void
arrive(struct play *p, uint32_t workspace, uint32_t weight)
{
	struct request *r = find_free(p);
	struct count *c = &p->counts[workspace];
	int64_t retry_us;

	memset(r, 0, sizeof(*r));
	r->used = true;
	// Tells the requests apart where the admission does not.
	r->item.size_bytes = workspace;
	r->item.workspace = p->fair ? workspace : 0;
	r->item.weight = weight;
	r->item.deadline_us = p->now_us + 4 * TARGET_US;
	r->item.target_deadline_us = p->now_us + TARGET_US;
	c->arrived++;
	switch (
	    admission_offer(&p->admission, &r->item, p->now_us, &retry_us)) {
	case ADMISSION_RUN:
		start(p, r);
		break;
	case ADMISSION_QUEUED:
		break;
	case ADMISSION_REFUSED:
		c->refused++;
		r->used = false;
		break;
	}
}

static void
finish_due(struct play *p)
{
	uint32_t i;

	for (i = 0; i < MAX_ITEMS; i++) {
		struct request *r = &p->requests[i];

		if (!r->used || !r->item.running || r->ends_us > p->now_us)
			continue;
		admission_finish(&p->admission, &r->item, p->now_us);
		if (p->now_us <= r->item.target_deadline_us)
			p->counts[workspace_of(r)].in_target++;
		r->used = false;
	}
}

/// Plays a minute of requests, so many a second for each workspace from 1.
static struct play *
play(bool fair, uint64_t seed, const double *per_s, const uint32_t *weights)
{
	static const struct rule_rank rank = {
	    .name = ".0", .worth = 1, .target_us = TARGET_US};
	struct play *p = calloc(1, sizeof(*p));
	uint32_t step;
	uint32_t i;

	assert_non_null(p);
	p->requests = calloc(MAX_ITEMS, sizeof(*p->requests));
	assert_non_null(p->requests);
	p->fair = fair;
	p->random.seed = seed;
	p->now_us = 1000000;
	admission_init(
	    &p->admission, &admission_reserved_shares, 2000, 1 << 20);
	admission_configure(&p->admission, SLOTS, &rank, 1);
	for (step = 0; step < STEPS; step++) {
		finish_due(p);
		run_queued(p);
		for (i = 1; i <= WORKSPACES; i++)
			if (random_below(&p->random, 1000000) <
			    per_s[i - 1] * STEP_US)
				arrive(p, i, weights[i - 1]);
		p->now_us += STEP_US;
	}
	return p;
}

static void
play_free(struct play *p)
{
	free(p->requests);
	free(p);
}

static double
share_in_target(const struct count *c)
{
	return (double)c->in_target / c->arrived;
}

static void
add_count(struct count *sum, const struct count *c)
{
	sum->arrived += c->arrived;
	sum->in_target += c->in_target;
	sum->refused += c->refused;
	sum->late_refusals += c->late_refusals;
}

/// Nine workspaces need three quarters of the server; the tenth sends ten times as
/// much as each of them. The nine are served as if it were not there, the tenth
/// gets what is left, and hardly anybody waits in vain.
static void
test_flood_costs_others_nothing(void **state)
{
	double per_s[WORKSPACES];
	uint32_t weights[WORKSPACES];
	static const char *const names[] = {
	    "by arrival", "fair", "fair, no flood", "by arrival, no flood"};
	struct count others[4] = {{0}};
	struct count flood[4] = {{0}};
	struct play *p;
	uint32_t i;
	uint32_t k;
	uint32_t n;

	(void)state;
	for (i = 0; i < WORKSPACES; i++) {
		per_s[i] = i == 0 ? 50 : 5;
		weights[i] = FAIR_QUEUE_WEIGHT;
	}
	for (k = 0; k < 4; k++) {
		if (k == 2)
			per_s[0] = 0.1;
		for (n = 0; n < PLAYS; n++) {
			p = play(
			    k % 3 > 0, test_first_seed() + n, per_s, weights);
			add_count(&flood[k], &p->counts[1]);
			for (i = 2; i <= WORKSPACES; i++)
				add_count(&others[k], &p->counts[i]);
			play_free(p);
		}
		print_message(
		    "%s: others %.3f in target, %u of %u refused; "
		    "flood %.3f in target, %u of %u refused, %u late\n",
		    names[k], share_in_target(&others[k]), others[k].refused,
		    others[k].arrived, share_in_target(&flood[k]),
		    flood[k].refused, flood[k].arrived, flood[k].late_refusals);
	}
	assert_true(share_in_target(&others[0]) < 0.8);
	assert_true(
	    share_in_target(&others[1]) >= share_in_target(&others[2]) - 0.02);
	// The server serves no less in all.
	assert_true(others[1].in_target + flood[1].in_target >=
	    (others[0].in_target + flood[0].in_target) * 0.95);
	assert_true(flood[1].late_refusals <= flood[1].arrived / 50);
}

/// Workspaces that all send too much get slots in proportion to their weights.
static void
test_weights(void **state)
{
	double per_s[WORKSPACES];
	uint32_t weights[WORKSPACES];
	struct play *p;
	uint32_t i;

	(void)state;
	for (i = 0; i < WORKSPACES; i++) {
		per_s[i] = 40;
		weights[i] = FAIR_QUEUE_WEIGHT * (i == 0 ? 4 : 1);
	}
	p = play(true, test_first_seed(), per_s, weights);
	for (i = 1; i <= WORKSPACES; i++)
		print_message("weight %u: %u of %u in target\n", weights[i - 1],
		    p->counts[i].in_target, p->counts[i].arrived);
	for (i = 2; i <= WORKSPACES; i++) {
		double ratio =
		    (double)p->counts[1].in_target / p->counts[i].in_target;

		assert_true(ratio > 3 && ratio < 5);
	}
	play_free(p);
}

/// Requests of one workspace, or of none, start in the order of their arrival.
static void
test_one_workspace_keeps_its_order(void **state)
{
	static const struct rule_rank rank = {
	    .name = ".0", .worth = 1, .target_us = TARGET_US};
	struct admission a;
	struct admission_item items[20];
	enum admission_verdict verdict;
	int64_t retry_us;
	uint32_t i;

	(void)state;
	admission_init(&a, &admission_reserved_shares, 2000, 1 << 20);
	admission_configure(&a, 1, &rank, 1);
	memset(items, 0, sizeof(items));
	// The first answer: until then the queue is short.
	items[0].deadline_us = 100000000;
	admission_offer(&a, &items[0], 0, &retry_us);
	admission_finish(&a, &items[0], 1000);
	memset(items, 0, sizeof(items));
	for (i = 0; i < 20; i++) {
		items[i].service_us = i % 3 * 1000 + 100;
		items[i].deadline_us = 100000000;
		items[i].target_deadline_us = 90000000;
		assert_int_equal(
		    admission_offer(&a, &items[i], 1000 + i, &retry_us),
		    i == 0 ? ADMISSION_RUN : ADMISSION_QUEUED);
	}
	for (i = 1; i < 20; i++) {
		admission_finish(&a, &items[i - 1], 1000000 + i);
		assert_ptr_equal(
		    admission_next(&a, 1000000 + i, &verdict), &items[i]);
	}
}

/// A request of a workspace that used more than its share has its turn also while
/// new workspaces, each with its credit, come without end.
static void
test_none_waits_for_ever(void **state)
{
	static const struct rule_rank rank = {
	    .name = ".0", .worth = 1, .target_us = TARGET_US};
	struct admission_item *items = calloc(2000, sizeof(*items));
	struct admission_item *running = &items[0];
	enum admission_verdict verdict;
	struct admission a;
	int64_t now_us = 1000000;
	int64_t retry_us;
	uint32_t i;

	(void)state;
	assert_non_null(items);
	admission_init(&a, &admission_reserved_shares, 2000, 1 << 20);
	admission_configure(&a, 1, &rank, 1);
	for (i = 0; i < 2000; i++) {
		// The first ten are of one workspace, the others of a new one each.
		items[i].workspace = i < 10 ? 1 : 100 + i;
		items[i].service_us = SERVICE_US;
		items[i].deadline_us = INT64_MAX / 2;
		items[i].target_deadline_us = INT64_MAX / 2;
	}
	for (i = 0; i < 16; i++)
		admission_offer(&a, &items[i], now_us, &retry_us);
	for (i = 16; i < 2000 && !items[9].running; i++) {
		now_us += SERVICE_US;
		admission_finish(&a, running, now_us);
		running = admission_next(&a, now_us, &verdict);
		assert_non_null(running);
		assert_int_equal(
		    admission_offer(&a, &items[i], now_us, &retry_us),
		    ADMISSION_QUEUED);
	}
	print_message("its tenth request started after %u others\n", i - 10);
	assert_true(i < 500);
	free(items);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_one_workspace_keeps_its_order),
	    cmocka_unit_test(test_flood_costs_others_nothing),
	    cmocka_unit_test(test_weights),
	    cmocka_unit_test(test_none_waits_for_ever),
	};

	return cmocka_run_group_tests_name("fair_queue", tests, NULL, NULL);
}
