// Admission on a virtual clock: against a reference model, and under overload.
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "core/requests/admission.h"
#include "unit/support.h"

#define ITEMS	  4000
#define MS	  1000
#define SECOND_US 1000000LL

static const struct rule_rank test_ranks[] = {
    {.name = "urgent", .worth = 100, .keep_pct = 10, .target_us = 200 * MS},
    {.name = "middle", .worth = 10, .keep_pct = 20, .target_us = 2000 * MS},
    {.name = "log", .worth = 1, .keep_pct = 5, .target_us = 2000 * MS},
};

static void
init(struct admission *a, uint32_t slots)
{
	admission_init(a, &admission_reserved_shares, 1000, 1 << 20);
	admission_configure(a, slots, test_ranks, 3);
}

/// Reference model: one list, searched from the start for each decision.
struct model_item {
	bool waiting;
	uint32_t rank;
	int64_t deadline_us;
	uint64_t number;
};

struct model {
	struct model_item items[ITEMS];
	uint32_t count;
};

/// First waiting item of a rank; -1 if there is none.
static int
model_first(const struct model *m, uint32_t rank)
{
	uint32_t i;

	for (i = 0; i < m->count; i++)
		if (m->items[i].waiting && m->items[i].rank == rank)
			return (int)i;
	return -1;
}

/// Returns the item that must start next by the policy in the header: the
/// first of the rank of the highest worth among those below their share, else
/// among all.
static int
model_next(const struct model *m, const struct admission *a)
{
	int best = -1;
	int pass;

	for (pass = 0; pass < 2 && best < 0; pass++) {
		uint32_t worth = 0;
		uint32_t r;

		for (r = 0; r < a->rank_count; r++) {
			const struct admission_rank *rank = &a->ranks[r];
			int64_t one_us =
			    rank->service_us > 0 ? rank->service_us : 5000;

			if (model_first(m, r) < 0 || rank->worth < worth ||
			    (pass == 0 && rank->credit_us < one_us))
				continue;
			worth = rank->worth;
			best = model_first(m, r);
		}
	}
	return best;
}

static void
test_order_matches_model(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 50; seed++) {
		static struct admission_item items[ITEMS];
		static struct model model;
		struct admission_item *running[64];
		struct random random = {seed, 0};
		struct admission a;
		uint32_t running_count = 0;
		int64_t now_us = SECOND_US;
		uint32_t i;

		memset(items, 0, sizeof(items));
		memset(&model, 0, sizeof(model));
		init(&a, 4);
		for (i = 0; i < ITEMS; i++) {
			enum admission_verdict verdict;
			struct admission_item *next;
			int64_t retry_us;

			now_us += random_time_us(&random, 2 * MS);
			items[i].rank = random_below(&random, 3);
			items[i].deadline_us = now_us + 3600 * SECOND_US;
			verdict =
			    admission_offer(&a, &items[i], now_us, &retry_us);
			model.items[i].rank = items[i].rank;
			model.items[i].waiting = verdict == ADMISSION_QUEUED;
			model.count = i + 1;
			if (verdict == ADMISSION_RUN)
				running[running_count++] = &items[i];
			if (running_count > 0 && random_below(&random, 4) > 0) {
				uint32_t r =
				    random_below(&random, running_count);

				admission_finish(&a, running[r], now_us);
				running[r] = running[--running_count];
			}
			while ((next = admission_next(&a, now_us, &verdict)) !=
			    NULL) {
				int expected;

				// Undo the start for the query of the model.
				model.items[next - items].waiting = true;
				a.ranks[next->rank].credit_us +=
				    next->charged_us;
				expected = model_next(&model, &a);
				a.ranks[next->rank].credit_us -=
				    next->charged_us;
				assert_int_equal(next - items, expected);
				model.items[next - items].waiting = false;
				running[running_count++] = next;
				assert_true(running_count <= 4);
			}
		}
	}
}

/// Results of a flood for one rank.
struct share {
	uint32_t offered;
	uint32_t served;
	uint32_t within_target;
	uint32_t refused;
};

struct flood {
	struct admission a;
	struct random random;
	struct admission_item *running[64];
	int64_t end_us[64];
	uint32_t running_count;
	int64_t now_us;
	struct share shares[3];
	int64_t service_us;
};

static void
start_request(struct flood *f, struct admission_item *item)
{
	struct share *s = &f->shares[item->rank];

	f->running[f->running_count] = item;
	f->end_us[f->running_count++] = f->now_us + f->service_us / 2 +
	    random_time_us(&f->random, f->service_us);
	s->within_target += f->now_us + f->service_us - item->arrival_us <=
	    test_ranks[item->rank].target_us;
}

static void
fill_slots(struct flood *f)
{
	enum admission_verdict verdict;
	struct admission_item *next;

	while ((next = admission_next(&f->a, f->now_us, &verdict)) != NULL) {
		if (verdict == ADMISSION_RUN)
			start_request(f, next);
		else {
			f->shares[next->rank].refused++;
			free(next);
		}
	}
}

static void
finish_completed(struct flood *f)
{
	uint32_t i = 0;

	while (i < f->running_count) {
		struct admission_item *item = f->running[i];

		if (f->end_us[i] > f->now_us) {
			i++;
			continue;
		}
		admission_finish(&f->a, item, f->now_us);
		f->shares[item->rank].served++;
		free(item);
		f->running[i] = f->running[--f->running_count];
		f->end_us[i] = f->end_us[f->running_count];
	}
}

static void
arrive(struct flood *f, uint32_t rank)
{
	struct admission_item *item = calloc(1, sizeof(*item));
	int64_t retry_us;

	item->rank = rank;
	item->deadline_us = f->now_us + 5 * SECOND_US;
	f->shares[rank].offered++;
	switch (admission_offer(&f->a, item, f->now_us, &retry_us)) {
	case ADMISSION_RUN:
		start_request(f, item);
		break;
	case ADMISSION_QUEUED:
		break;
	case ADMISSION_REFUSED:
		f->shares[rank].refused++;
		free(item);
		break;
	}
}

/// Offers each rank a load, in slots, for 30 s; the first 5 s are not counted.
static void
run_flood(struct flood *f, const double load[3])
{
	int64_t step_us = 250;
	int64_t end_us;

	memset(f, 0, sizeof(*f));
	f->random.seed = 5;
	f->service_us = 10 * MS;
	f->now_us = SECOND_US;
	init(&f->a, 20);
	for (end_us = f->now_us + 30 * SECOND_US; f->now_us < end_us;
	     f->now_us += step_us) {
		uint32_t r;

		if (f->now_us == 6 * SECOND_US)
			memset(f->shares, 0, sizeof(f->shares));
		finish_completed(f);
		for (r = 0; r < 3; r++)
			if (random_below(&f->random, 1000000) <
			    load[r] * (double)step_us / f->service_us * 1000000)
				arrive(f, r);
		fill_slots(f);
	}
}

static double
served_share(const struct flood *f, uint32_t rank)
{
	uint32_t all =
	    f->shares[0].served + f->shares[1].served + f->shares[2].served;

	return (double)f->shares[rank].served / all;
}

static void
end_flood(struct flood *f)
{
	enum admission_verdict verdict;
	struct admission_item *item;

	while (f->running_count > 0) {
		admission_finish(
		    &f->a, f->running[--f->running_count], f->now_us);
		free(f->running[f->running_count]);
	}
	while ((item = admission_next(
		    &f->a, f->now_us + 100 * SECOND_US, &verdict)) != NULL)
		free(item);
}

/// Log requests at three times the capacity: the other ranks are not refused,
/// and urgent requests meet their target.
static void
test_flood_of_lowest_rank(void **state)
{
	const double load[3] = {4, 4, 30};
	struct flood f;

	(void)state;
	run_flood(&f, load);
	assert_int_equal(f.shares[0].refused, 0);
	assert_true(
	    f.shares[0].within_target >= f.shares[0].offered * 99 / 100);
	assert_int_equal(f.shares[1].refused, 0);
	end_flood(&f);
}

/// Urgent requests at three times the capacity: each other rank with enough
/// load still gets its reserved share of the slots.
static void
test_flood_of_highest_rank(void **state)
{
	const double load[3] = {40, 10, 10};
	struct flood f;

	(void)state;
	run_flood(&f, load);
	assert_true(served_share(&f, 1) >= 0.19);
	assert_true(served_share(&f, 2) >= 0.045);
	assert_true(served_share(&f, 0) >= 0.70);
	end_flood(&f);
}

/// With all slots in use, unused reserved shares are assigned by worth, and no
/// slot is idle.
static void
test_no_slot_idles(void **state)
{
	const double load[3] = {0, 0, 40};
	struct flood f;

	(void)state;
	run_flood(&f, load);
	// 24 s, 20 slots, 10 ms each.
	assert_true(f.shares[2].served >= 24 * 2000 * 97 / 100);
	end_flood(&f);
}

/// With a single slot, ranks get their shares over time, although each share is
/// less than a slot.
static void
test_one_slot(void **state)
{
	const double load[3] = {3, 3, 3};
	struct flood f;

	(void)state;
	memset(&f, 0, sizeof(f));
	run_flood(&f, load);
	end_flood(&f);
	init(&f.a, 1);
	f.running_count = 0;
	memset(f.shares, 0, sizeof(f.shares));
	for (f.now_us = SECOND_US; f.now_us < 61 * SECOND_US; f.now_us += 500) {
		finish_completed(&f);
		if (f.now_us % 5000 == 0) {
			arrive(&f, 0);
			arrive(&f, 1);
			arrive(&f, 2);
		}
		fill_slots(&f);
	}
	assert_true(served_share(&f, 1) >= 0.18);
	assert_true(served_share(&f, 2) >= 0.04);
	end_flood(&f);
}

static void
test_bounds(void **state)
{
	static struct admission_item items[8];
	struct admission a;
	int64_t retry_us;
	uint32_t i;

	(void)state;
	memset(items, 0, sizeof(items));
	admission_init(&a, &admission_reserved_shares, 6, 200);
	admission_configure(&a, 1, test_ranks, 3);
	for (i = 0; i < 8; i++) {
		items[i].deadline_us = 1000 * SECOND_US;
		items[i].size_bytes = 40;
	}
	assert_int_equal(
	    admission_offer(&a, &items[0], 1, &retry_us), ADMISSION_RUN);
	assert_int_equal(
	    admission_offer(&a, &items[1], 1, &retry_us), ADMISSION_QUEUED);
	assert_int_equal(
	    admission_offer(&a, &items[2], 1, &retry_us), ADMISSION_QUEUED);
	// 80 of 200 bytes are used; a rank may hold as much as is free.
	items[3].size_bytes = 41;
	assert_int_equal(
	    admission_offer(&a, &items[3], 1, &retry_us), ADMISSION_REFUSED);
	assert_true(retry_us > 0);
	items[3].size_bytes = 0;
	assert_int_equal(
	    admission_offer(&a, &items[3], 1, &retry_us), ADMISSION_QUEUED);
	// The rank holds 3 of 6 places; the rest is for other ranks.
	assert_int_equal(
	    admission_offer(&a, &items[4], 1, &retry_us), ADMISSION_REFUSED);
	items[5].rank = 1;
	assert_int_equal(
	    admission_offer(&a, &items[5], 1, &retry_us), ADMISSION_QUEUED);
	admission_cancel(&a, &items[2]);
	assert_int_equal(a.queued, 3);
	assert_int_equal(a.queued_bytes, 80);
}

/// A request that cannot meet its deadline is refused, on arrival or while
/// queued.
static void
test_unmeetable_deadline(void **state)
{
	static struct admission_item items[4];
	enum admission_verdict verdict;
	struct admission a;
	int64_t retry_us;

	(void)state;
	memset(items, 0, sizeof(items));
	init(&a, 1);
	items[0].deadline_us = 100;
	assert_int_equal(
	    admission_offer(&a, &items[0], 100, &retry_us), ADMISSION_REFUSED);
	items[1].deadline_us = items[2].deadline_us = 50 * MS;
	items[2].rank = 1;
	items[3].rank = 0;
	items[3].deadline_us = 500 * MS;
	admission_offer(&a, &items[1], 1000, &retry_us);
	assert_int_equal(
	    admission_offer(&a, &items[2], 1000, &retry_us), ADMISSION_QUEUED);
	assert_int_equal(
	    admission_offer(&a, &items[3], 1000, &retry_us), ADMISSION_QUEUED);
	assert_null(admission_next(&a, 49 * MS, &verdict));
	assert_ptr_equal(admission_next(&a, 50 * MS, &verdict), &items[2]);
	assert_int_equal(verdict, ADMISSION_REFUSED);
	admission_finish(&a, &items[1], 51 * MS);
	assert_ptr_equal(admission_next(&a, 51 * MS, &verdict), &items[3]);
	assert_int_equal(verdict, ADMISSION_RUN);
}

/// A new version of the rules keeps queued and running requests.
static void
test_reconfigure(void **state)
{
	static const struct rule_rank new_ranks[] = {
	    {.name = "log", .worth = 7, .target_us = SECOND_US},
	    {.name = "fresh", .worth = 3, .target_us = SECOND_US},
	};
	static struct admission_item items[3];
	enum admission_verdict verdict;
	struct admission a;
	int64_t retry_us;
	uint32_t i;

	(void)state;
	memset(items, 0, sizeof(items));
	init(&a, 1);
	for (i = 0; i < 3; i++) {
		items[i].rank = i;
		items[i].deadline_us = 100 * SECOND_US;
		admission_offer(&a, &items[i], 1000, &retry_us);
	}
	admission_configure(&a, 2, new_ranks, 2);
	assert_string_equal(
	    a.ranks[admission_find_rank(&a, "log")].name, "log");
	assert_ptr_equal(admission_next(&a, 2000, &verdict), &items[2]);
	admission_finish(&a, &items[0], 3000);
	assert_ptr_equal(admission_next(&a, 3000, &verdict), &items[1]);
	assert_int_equal(verdict, ADMISSION_RUN);
}

/// Requests of two kinds in one rank: quick ones, and patient ones with a far
/// target, which sets the target of the rank.
struct mixed_load {
	double load; ///< Offered, in slots.
	int64_t target_us;
	int64_t service_us;
	bool begun;
	uint32_t rank;
	// Results.
	uint32_t offered;
	uint32_t in_target;
	uint32_t refused;
};

#define MIXED_SLOTS 9

struct mixed_item {
	struct admission_item item;
	struct mixed_load *load;
	int64_t end_us;
};

/// State of a play of mixed loads.
struct mixed_play {
	struct admission a;
	struct random random;
	struct mixed_item *running[MIXED_SLOTS];
	int64_t now_us;
};

/// Starts an item in a free slot.
static void
start_mixed(struct mixed_play *play, struct mixed_item *m)
{
	int64_t service_us = m->load->service_us;
	uint32_t i = 0;

	m->end_us = play->now_us + service_us * 6 / 10 +
	    random_time_us(&play->random, service_us * 8 / 10);
	m->load->in_target += m->end_us <= m->item.target_deadline_us;
	while (play->running[i] != NULL)
		i++;
	assert_true(i < MIXED_SLOTS);
	play->running[i] = m;
}

static void
offer_mixed(struct mixed_play *play, struct mixed_load *l)
{
	struct mixed_item *m = calloc(1, sizeof(*m));
	int64_t retry_us;

	assert_non_null(m);
	m->load = l;
	m->item.rank = l->rank;
	m->item.begun = l->begun;
	m->item.service_us = l->service_us;
	m->item.target_deadline_us = play->now_us + l->target_us;
	m->item.deadline_us = play->now_us + 4 * l->target_us;
	l->offered++;
	switch (admission_offer(&play->a, &m->item, play->now_us, &retry_us)) {
	case ADMISSION_RUN:
		start_mixed(play, m);
		break;
	case ADMISSION_QUEUED:
		break;
	case ADMISSION_REFUSED:
		l->refused++;
		free(m);
		break;
	}
}

static void
finish_mixed(struct mixed_play *play)
{
	uint32_t i;

	for (i = 0; i < MIXED_SLOTS; i++) {
		struct mixed_item *m = play->running[i];

		if (m == NULL || m->end_us > play->now_us)
			continue;
		admission_finish(&play->a, &m->item, play->now_us);
		free(m);
		play->running[i] = NULL;
	}
}

static void
start_queued_mixed(struct mixed_play *play)
{
	enum admission_verdict verdict;
	struct admission_item *next;

	while (
	    (next = admission_next(&play->a, play->now_us, &verdict)) != NULL) {
		struct mixed_item *m = (struct mixed_item *)next;

		if (verdict == ADMISSION_RUN) {
			start_mixed(play, m);
			continue;
		}
		m->load->refused++;
		free(m);
	}
}

/// Plays the loads for 30 s.
static void
play_mixed(struct mixed_load *loads, uint32_t count)
{
	struct mixed_play play = {.random = {9, 0}};
	enum admission_verdict verdict;
	struct admission_item *next;
	int64_t step_us = 500;
	uint32_t i;

	init(&play.a, MIXED_SLOTS);
	for (play.now_us = SECOND_US; play.now_us < 31 * SECOND_US;
	     play.now_us += step_us) {
		finish_mixed(&play);
		for (i = 0; i < count; i++)
			if (random_below(&play.random, 1000000) <
			    loads[i].load * (double)step_us /
				(double)loads[i].service_us * 1000000)
				offer_mixed(&play, &loads[i]);
		start_queued_mixed(&play);
	}
	play.now_us += 100 * SECOND_US;
	while ((next = admission_next(&play.a, play.now_us, &verdict)) != NULL)
		free(next);
	for (i = 0; i < MIXED_SLOTS; i++)
		free(play.running[i]);
}

#define LOG_RANK 2

/// Requests of a target far shorter than that of their rank.
///
/// @param share  service time offered, as a part of what the slots can serve
static struct mixed_load
quick_load(double share)
{
	return (struct mixed_load){.load = share * MIXED_SLOTS,
	    .target_us = 400 * MS,
	    .service_us = 100 * MS,
	    .rank = LOG_RANK};
}

/// Half as many requests again as the slots can serve, with a target of four
/// service times in a rank whose target is twenty: what is served is served in
/// time, and the slots do not idle.
static void
test_own_target_limits_the_queue(void **state)
{
	struct mixed_load quick = quick_load(1.5);
	uint32_t possible = 30 * MIXED_SLOTS * 10;

	(void)state;
	play_mixed(&quick, 1);
	assert_true(quick.in_target >= possible * 90 / 100);
	assert_true(quick.refused >= quick.offered * 25 / 100);
}

/// The same with a load that fits: nothing is refused that had room.
static void
test_own_target_spares_a_fitting_load(void **state)
{
	struct mixed_load quick = quick_load(0.8);

	(void)state;
	play_mixed(&quick, 1);
	assert_true(quick.refused <= quick.offered / 100);
	assert_true(quick.in_target >= quick.offered * 98 / 100);
}

/// In an overload of its rank a call of work that is begun is not refused, and
/// hardly waits.
static void
test_begun_work_goes_first(void **state)
{
	struct mixed_load loads[] = {
	    {.load = 0.2 * MIXED_SLOTS,
		.target_us = 120 * MS,
		.service_us = 30 * MS,
		.begun = true,
		.rank = LOG_RANK},
	    {.load = 1.5 * MIXED_SLOTS,
		.target_us = 500 * MS,
		.service_us = 140 * MS,
		.rank = LOG_RANK},
	};

	(void)state;
	play_mixed(loads, 2);
	assert_int_equal(loads[0].refused, 0);
	assert_true(loads[0].in_target >= loads[0].offered * 95 / 100);
	assert_true(loads[1].refused > 0);
}

/// In an overload of a rank of higher worth, calls of begun work get a share of
/// the slots; beyond it the rank of higher worth keeps the slots.
static void
test_begun_work_has_a_share(void **state)
{
	struct mixed_load loads[] = {
	    {.load = 0.15 * MIXED_SLOTS,
		.target_us = 120 * MS,
		.service_us = 30 * MS,
		.begun = true,
		.rank = LOG_RANK},
	    {.load = 1.5 * MIXED_SLOTS,
		.target_us = 500 * MS,
		.service_us = 100 * MS},
	};
	uint32_t possible = 30 * MIXED_SLOTS * 10;

	(void)state;
	play_mixed(loads, 2);
	assert_true(loads[0].refused <= loads[0].offered / 100);
	assert_true(loads[0].in_target >= loads[0].offered * 95 / 100);
	loads[0].load = 2 * MIXED_SLOTS;
	loads[1].in_target = 0;
	play_mixed(loads, 2);
	assert_true(loads[1].in_target >= possible * 70 / 100);
}

/// A server whose neighbours slow it refuses at once what it would have taken at
/// its usual pace, and takes it again when they are gone or nothing is known.
static void
test_pace_scales_the_wait(void **state)
{
	static struct admission_item items[64];
	int64_t now_us = SECOND_US;
	struct admission a;
	int64_t retry_us;
	uint32_t i;

	(void)state;
	memset(items, 0, sizeof(items));
	init(&a, 1);
	// Ten requests of 100 ms, at the usual pace.
	for (i = 0; i < 10; i++) {
		items[i].rank = LOG_RANK;
		items[i].deadline_us = now_us + 10 * SECOND_US;
		admission_offer(&a, &items[i], now_us, &retry_us);
		now_us += 100 * MS;
		pace_record(&a.pace, 100, now_us);
		admission_finish(&a, &items[i], now_us);
	}
	assert_in_range(admission_service_us(&a, now_us), 90 * MS, 110 * MS);
	items[10].rank = items[11].rank = LOG_RANK;
	items[10].deadline_us = items[11].deadline_us = now_us + SECOND_US;
	admission_offer(&a, &items[10], now_us, &retry_us);
	admission_offer(&a, &items[11], now_us, &retry_us);
	// One runs and one waits: 200 ms, and then 100 ms of its own.
	for (i = 12; i < 15; i++) {
		items[i].rank = LOG_RANK;
		items[i].deadline_us = now_us + 3 * SECOND_US;
		items[i].target_deadline_us = now_us + 600 * MS;
	}
	pace_record(&a.pace, 300, now_us);
	assert_in_range(admission_service_us(&a, now_us), 220 * MS, 310 * MS);
	assert_int_equal(admission_offer(&a, &items[12], now_us, &retry_us),
	    ADMISSION_REFUSED);
	pace_record(&a.pace, 100, now_us);
	assert_int_equal(admission_offer(&a, &items[13], now_us, &retry_us),
	    ADMISSION_QUEUED);
	pace_record(&a.pace, 300, now_us);
	now_us += SECOND_US / 2;
	assert_int_equal(pace_ratio_permille(&a.pace, now_us), 1000);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_order_matches_model),
	    cmocka_unit_test(test_flood_of_lowest_rank),
	    cmocka_unit_test(test_flood_of_highest_rank),
	    cmocka_unit_test(test_no_slot_idles),
	    cmocka_unit_test(test_one_slot),
	    cmocka_unit_test(test_bounds),
	    cmocka_unit_test(test_unmeetable_deadline),
	    cmocka_unit_test(test_reconfigure),
	    cmocka_unit_test(test_own_target_limits_the_queue),
	    cmocka_unit_test(test_own_target_spares_a_fitting_load),
	    cmocka_unit_test(test_begun_work_goes_first),
	    cmocka_unit_test(test_begun_work_has_a_share),
	    cmocka_unit_test(test_pace_scales_the_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
