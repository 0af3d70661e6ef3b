// The store of roll-outs: orders, steps, snapshots, and that no sequence of orders,
// steps, crashes and late messages loses an acknowledged order or lets a version
// run that was rolled back.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "core/rollout/rollout_store.h"
#include "unit/support.h"

#define SEEDS	 300
#define STEPS	 400
#define SERVICES 3
#define VERSIONS 4

static struct rollout_order
make_order(const char *service, const char *version, int64_t within_ms)
{
	struct rollout_order o = {.within_ms = within_ms};

	snprintf(o.service, sizeof(o.service), "%s", service);
	snprintf(o.version, sizeof(o.version), "%s", version);
	return o;
}

static int
apply_order(struct rollout_store *store, const struct rollout_order *order)
{
	struct error err;
	uint32_t size_bytes;
	char *entry = rollout_store_encode_order(order, &size_bytes);
	int verdict;

	assert_true(rollout_store_owns(entry, size_bytes));
	verdict = rollout_store_apply(store, entry, size_bytes, &err);
	free(entry);
	return verdict;
}

static int
apply_step(struct rollout_store *store, const struct rollout_step *step)
{
	struct error err;
	uint32_t size_bytes;
	char *entry = rollout_store_encode_step(step, &size_bytes);
	int verdict = rollout_store_apply(store, entry, size_bytes, &err);

	free(entry);
	return verdict;
}

static struct rollout_step
make_step(const struct rollout *r, enum rollout_state state, uint32_t share)
{
	struct rollout_step s = {.from_revision = r->revision,
	    .state = state,
	    .share_permille = share,
	    .used_ms = 100,
	    .why = "as planned, in two words"};

	memcpy(s.service, r->service, sizeof(s.service));
	memcpy(s.version, r->version, sizeof(s.version));
	return s;
}

static void
test_verdicts(void **state)
{
	struct rollout_store store = {.revision = 0};
	struct rollout_order v2 = make_order("a", "v2", 15000);
	struct rollout_order longer = make_order("a", "v2", 20000);
	struct rollout_order v3 = make_order("a", "v3", 15000);
	struct rollout_step step;
	struct rollout_step late;
	const struct rollout *r;

	(void)state;
	assert_int_equal(apply_order(&store, &v2), ROLLOUT_ACCEPTED);
	assert_int_equal(apply_order(&store, &v2), ROLLOUT_DUPLICATE);
	assert_int_equal(apply_order(&store, &longer), ROLLOUT_IN_PROGRESS);
	assert_int_equal(apply_order(&store, &v3), ROLLOUT_IN_PROGRESS);
	r = rollout_table_find(&store.table, "a", "v2");
	step = make_step(r, ROLLOUT_RUNNING, 40);
	late = make_step(r, ROLLOUT_RUNNING, 1000);
	assert_int_equal(apply_step(&store, &step), ROLLOUT_ACCEPTED);
	assert_int_equal(apply_step(&store, &late), ROLLOUT_OUTDATED);
	assert_int_equal(r->share_permille, 40);
	assert_int_equal(rollout_store_progress(&store, r)->begun_ms, 100);
	step = make_step(r, ROLLOUT_ROLLED_BACK, 0);
	assert_int_equal(apply_step(&store, &step), ROLLOUT_ACCEPTED);
	assert_int_equal(apply_order(&store, &v2), ROLLOUT_DUPLICATE);
	assert_int_equal(apply_order(&store, &longer), ROLLOUT_REJECTED);
	assert_int_equal(apply_order(&store, &v3), ROLLOUT_ACCEPTED);
	assert_int_equal(apply_order(&store, &v2), ROLLOUT_IN_PROGRESS);
}

static void
check_snapshot(const struct rollout_store *store)
{
	struct rollout_store copy;
	struct error err;
	uint32_t size_bytes;
	uint32_t used_bytes;
	char *bytes = rollout_store_snapshot(store, &size_bytes);

	memset(&copy, 7, sizeof(copy));
	assert_int_equal(
	    rollout_store_restore(&copy, bytes, size_bytes, &used_bytes, &err),
	    0);
	assert_int_equal(used_bytes, size_bytes);
	assert_int_equal(copy.revision, store->revision);
	assert_int_equal(copy.table.count, store->table.count);
	assert_memory_equal(copy.table.items, store->table.items,
	    store->table.count * sizeof(store->table.items[0]));
	assert_memory_equal(copy.progress, store->progress,
	    store->table.count * sizeof(store->progress[0]));
	free(bytes);
}

/// A snapshot of an older layout has no roll-outs; damaged ones are refused whole.
static void
test_snapshots(void **state)
{
	static const char *const damaged[] = {"rollout 1 5\n", "rollout 99 5\n",
	    "rollout x\n", "rollout 1 5\na v2 7 40 1 2 15000 0 0 why\n"};
	struct rollout_store store = {.revision = 0};
	struct rollout_order order = make_order("a", "v2", 15000);
	struct error err;
	uint32_t used_bytes;
	size_t i;

	(void)state;
	apply_order(&store, &order);
	check_snapshot(&store);
	for (i = 0; i < sizeof(damaged) / sizeof(damaged[0]); i++) {
		assert_int_equal(
		    rollout_store_restore(&store, damaged[i],
			(uint32_t)strlen(damaged[i]), &used_bytes, &err),
		    -1);
		assert_int_equal(store.table.count, 1);
	}
	assert_int_equal(
	    rollout_store_restore(&store, "since 1 1\n", 10, &used_bytes, &err),
	    0);
	assert_int_equal(used_bytes, 0);
	assert_int_equal(store.table.count, 0);
}

/// A replica, and a proxy that hears from it now and then.
struct world {
	struct random random;
	struct rollout_store store;
	struct rollout_table proxy;
	/// Acknowledged: the state at least that a version of a service has.
	bool ordered[SERVICES][VERSIONS];
	bool rolled_back[SERVICES][VERSIONS];
};

static void
act(struct world *w)
{
	uint32_t service = random_below(&w->random, SERVICES);
	uint32_t version = random_below(&w->random, VERSIONS);
	char name[2] = {(char)('a' + service), '\0'};
	char number[3] = {'v', (char)('1' + version), '\0'};
	struct rollout_order order =
	    make_order(name, number, 5000 * (1 + random_below(&w->random, 2)));
	const struct rollout *r =
	    rollout_table_find(&w->store.table, name, number);
	struct rollout_step step;
	int verdict;

	switch (random_below(&w->random, 5)) {
	case 0:
		verdict = apply_order(&w->store, &order);
		if (verdict == ROLLOUT_ACCEPTED)
			w->ordered[service][version] = true;
		assert_false(verdict == ROLLOUT_ACCEPTED &&
		    w->rolled_back[service][version]);
		break;
	case 1:
	case 2:
		if (r == NULL)
			break;
		step = make_step(r,
		    (enum rollout_state)random_below(&w->random, 3),
		    random_below(&w->random, 1001));
		// A step of an earlier leader.
		if (random_below(&w->random, 3) == 0)
			step.from_revision--;
		if (apply_step(&w->store, &step) == ROLLOUT_ACCEPTED &&
		    step.state == ROLLOUT_ROLLED_BACK)
			w->rolled_back[service][version] = true;
		break;
	case 3:
		check_snapshot(&w->store); // As after a crash.
		break;
	default:
		if (r != NULL)
			rollout_table_merge(&w->proxy, r);
		break;
	}
}

static void
check(const struct world *w)
{
	uint32_t s;
	uint32_t v;

	for (s = 0; s < SERVICES; s++)
		for (v = 0; v < VERSIONS; v++) {
			char name[2] = {(char)('a' + s), '\0'};
			char number[3] = {'v', (char)('1' + v), '\0'};
			const struct rollout *r =
			    rollout_table_find(&w->store.table, name, number);
			struct rollout_filter filter;

			assert_true(!w->ordered[s][v] || r != NULL);
			if (!w->rolled_back[s][v])
				continue;
			rollout_table_get_filter(
			    &w->store.table, name, &filter);
			assert_int_equal(rollout_filter_side(&filter, number),
			    ROLLOUT_SIDE_BARRED);
		}
}

static void
test_no_sequence_goes_back(void **state)
{
	uint64_t seed;
	uint32_t i;

	(void)state;
	for (seed = 1; seed <= SEEDS; seed++) {
		struct world w = {.random = {.seed = seed}};

		for (i = 0; i < STEPS; i++) {
			struct rollout_table before = w.proxy;
			uint32_t k;

			act(&w);
			check(&w);
			for (k = 0; k < before.count; k++) {
				const struct rollout *now = rollout_table_find(
				    &w.proxy, before.items[k].service,
				    before.items[k].version);

				assert_true(
				    now->revision >= before.items[k].revision);
			}
		}
	}
}

/// At most one roll-out of a service runs; a full table drops what has ended.
static void
test_full_table(void **state)
{
	struct rollout_store store = {.revision = 0};
	struct rollout_order order;
	struct rollout_step step;
	char version[24];
	int i;

	(void)state;
	for (i = 0; i < 2 * ROLLOUT_MAX_RECORDS; i++) {
		snprintf(version, sizeof(version), "v%d", i);
		order = make_order("a", version, 5000);
		assert_int_equal(apply_order(&store, &order), ROLLOUT_ACCEPTED);
		step = make_step(rollout_table_find(&store.table, "a", version),
		    ROLLOUT_COMPLETED, 1000);
		assert_int_equal(apply_step(&store, &step), ROLLOUT_ACCEPTED);
		check_snapshot(&store);
	}
	assert_int_equal(store.table.count, ROLLOUT_MAX_RECORDS);
	assert_string_equal(
	    rollout_table_find_last(&store.table, "a")->version, version);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_verdicts),
	    cmocka_unit_test(test_snapshots),
	    cmocka_unit_test(test_no_sequence_goes_back),
	    cmocka_unit_test(test_full_table),
	};

	return cmocka_run_group_tests_name("rollout_store", tests, NULL, NULL);
}
