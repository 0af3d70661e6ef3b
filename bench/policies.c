// Compares admission policies on a virtual clock: FIFO, strict priority by
// rank, rank with reserved shares, and "fit first" with a wait limit.
//
// Fit first is FPFS with WaitLimit (Aida, Kasahara, Narita, "Job Scheduling
// Scheme for Pure Space Sharing among Rigid Jobs", sections 3.3 and 3.5). Slots
// that a rank may hold replace the processors of the paper: a request that does
// not fit is passed over until it has waited for its target time.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "core/requests/admission.h"

#define SLOTS		 20
#define SERVICE_US	 10000
#define STEP_US		 250
#define RUN_US		 40000000LL
#define MEASURE_START_US 10000000LL
#define RANKS		 3

static const struct rule_rank rank_rules[RANKS] = {
    {.name = "urgent", .worth = 100, .keep_pct = 20, .target_us = 200000},
    {.name = "middle", .worth = 10, .keep_pct = 10, .target_us = 1000000},
    {.name = "low", .worth = 1, .keep_pct = 5, .target_us = 2000000},
};

static int
pick_fifo(struct admission *a, int64_t now_us)
{
	int best = -1;
	uint32_t i;

	(void)now_us;
	for (i = 0; i < a->rank_count; i++)
		if (a->ranks[i].head != NULL &&
		    (best < 0 ||
			a->ranks[i].head->arrival_us <
			    a->ranks[best].head->arrival_us))
			best = (int)i;
	return best;
}

static int
pick_strict(struct admission *a, int64_t now_us)
{
	int best = -1;
	uint32_t i;

	(void)now_us;
	for (i = 0; i < a->rank_count; i++)
		if (a->ranks[i].head != NULL &&
		    (best < 0 || a->ranks[i].worth > a->ranks[best].worth))
			best = (int)i;
	return best;
}

/// Returns how many slots a rank may hold: all but those reserved for others.
static uint32_t
rank_slot_limit(const struct admission *a, uint32_t rank)
{
	uint32_t others_pct = 0;
	uint32_t i;

	for (i = 0; i < a->rank_count; i++)
		if (i != rank)
			others_pct += a->ranks[i].keep_pct;
	return a->slots - a->slots * others_pct / 100;
}

/// Picks the oldest request that fits. One that has waited for its target time
/// precedes all younger ones, whether it fits or not.
static int
pick_fit_first(struct admission *a, int64_t now_us)
{
	int best = -1;
	uint32_t i;

	for (i = 0; i < a->rank_count; i++) {
		const struct admission_rank *r = &a->ranks[i];
		bool overdue;

		if (r->head == NULL)
			continue;
		overdue = now_us - r->head->arrival_us >= r->target_us;
		if (!overdue && r->running >= rank_slot_limit(a, i))
			continue;
		if (best < 0 ||
		    r->head->arrival_us < a->ranks[best].head->arrival_us)
			best = (int)i;
	}
	return best;
}

static const struct admission_policy policy_fifo = {pick_fifo, "fifo"};
static const struct admission_policy policy_strict = {pick_strict, "strict"};
static const struct admission_policy policy_fit_first = {
    pick_fit_first, "fit-first"};

struct run {
	struct admission admission;
	struct random random;
	struct admission_item *running[SLOTS];
	int64_t end_us[SLOTS];
	uint32_t running_count;
	int64_t now_us;
	// Requests after the warm-up.
	uint64_t offered[RANKS];
	uint64_t served[RANKS];
	uint64_t in_target[RANKS];
};

/// Returns whether the warm-up is over.
static bool
is_measured(const struct run *run)
{
	return run->now_us >= MEASURE_START_US;
}

static void
start_item(struct run *run, struct admission_item *item)
{
	run->running[run->running_count] = item;
	run->end_us[run->running_count++] = run->now_us + SERVICE_US / 2 +
	    random_time_us(&run->random, SERVICE_US);
}

static void
finish_due(struct run *run)
{
	uint32_t i = 0;

	while (i < run->running_count) {
		struct admission_item *item = run->running[i];

		if (run->end_us[i] > run->now_us) {
			i++;
			continue;
		}
		admission_finish(&run->admission, item, run->now_us);
		if (is_measured(run)) {
			run->served[item->rank]++;
			run->in_target[item->rank] +=
			    run->now_us - item->arrival_us <=
			    rank_rules[item->rank].target_us;
		}
		free(item);
		run->running[i] = run->running[--run->running_count];
		run->end_us[i] = run->end_us[run->running_count];
	}
}

static void
offer_item(struct run *run, uint32_t rank)
{
	struct admission_item *item = calloc(1, sizeof(*item));
	enum admission_verdict verdict;
	int64_t retry_us;

	if (item == NULL)
		abort();
	item->rank = rank;
	item->deadline_us = run->now_us + 2000000;
	run->offered[rank] += is_measured(run);
	verdict =
	    admission_offer(&run->admission, item, run->now_us, &retry_us);
	if (verdict == ADMISSION_RUN)
		start_item(run, item);
	else if (verdict == ADMISSION_REFUSED)
		free(item);
}

/// Generates the arrivals of a rank in one step.
///
/// @param load  offered load as a multiple of the capacity
static void
generate_arrivals(struct run *run, uint32_t rank, double load)
{
	double mean = load * SLOTS * STEP_US / SERVICE_US;

	for (; mean > 0; mean -= 1)
		if (random_below(&run->random, 1000000) < mean * 1e6)
			offer_item(run, rank);
}

static void
start_queued(struct run *run)
{
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(
		    &run->admission, run->now_us, &verdict)) != NULL) {
		if (verdict == ADMISSION_RUN)
			start_item(run, item);
		else
			free(item);
	}
}

static void
free_remaining(struct run *run)
{
	enum admission_verdict verdict;
	struct admission_item *item;

	while (run->running_count > 0) {
		item = run->running[--run->running_count];
		admission_finish(&run->admission, item, run->now_us);
		free(item);
	}
	while ((item = admission_next(&run->admission,
		    run->now_us + 10 * RUN_US, &verdict)) != NULL)
		free(item);
}

/// Runs one policy under a flood of one rank and prints what each rank got.
///
/// @param load_factor  total offered load as a multiple of the capacity
static void
simulate(const struct admission_policy *policy, double load_factor,
    uint32_t flooded_rank)
{
	struct run *run = calloc(1, sizeof(*run));
	double load[RANKS] = {0.1, 0.1, 0.1};
	uint32_t r;

	if (run == NULL)
		abort();
	load[flooded_rank] = load_factor - 0.2;
	run->random.seed = 1;
	admission_init(&run->admission, policy, 2000, 16u << 20);
	admission_configure(&run->admission, SLOTS, rank_rules, RANKS);
	for (run->now_us = 1; run->now_us < RUN_US; run->now_us += STEP_US) {
		finish_due(run);
		for (r = 0; r < RANKS; r++)
			generate_arrivals(run, r, load[r]);
		start_queued(run);
	}
	printf("%-10s x%-4.1f flood of %-7s", policy->name, load_factor,
	    rank_rules[flooded_rank].name);
	for (r = 0; r < RANKS; r++)
		printf("  %s %5.1f%% in target, %4.1f%% of slots",
		    rank_rules[r].name,
		    run->offered[r] ? (double)run->in_target[r] * 100 /
			    (double)run->offered[r]
				    : 0,
		    (double)run->served[r] * SERVICE_US * 100 /
			((double)(RUN_US - MEASURE_START_US) * SLOTS));
	printf("\n");
	free_remaining(run);
	free(run);
}

int
main(void)
{
	static const struct admission_policy *const policies[] = {&policy_fifo,
	    &policy_strict, &policy_fit_first, &admission_reserved_shares};
	static const double load_factors[] = {0.8, 1.5, 3, 6};
	size_t p;
	size_t t;
	uint32_t flooded_rank;

	for (flooded_rank = 0; flooded_rank < RANKS; flooded_rank += 2)
		for (t = 0; t < 4; t++)
			for (p = 0; p < 4; p++)
				simulate(
				    policies[p], load_factors[t], flooded_rank);
	return 0;
}
