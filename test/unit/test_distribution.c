// Tests of pull scheduling, the rule store of the source, and the report table.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/membership/report_table.h"
#include "core/membership/version_sync.h"
#include "core/rules/rule_store.h"
#include "unit/support.h"

#define SECOND_US  1000000LL
#define STAGGER_US 300000

static struct holder last_pull;
static uint32_t pulls;

static void
on_pull(struct version_sync *vs, const struct holder *from)
{
	(void)vs;
	last_pull = *from;
	pulls++;
}

static const struct version_sync_ops sync_ops = {.pull = on_pull};

static struct holder
make_holder(const char *host, uint64_t version, enum distance distance)
{
	struct holder h = {.port = 1, .version = version, .distance = distance};

	strcpy(h.host, host);
	return h;
}

static void
init_sync(struct version_sync *vs)
{
	pulls = 0;
	version_sync_init(vs, &sync_ops, NULL, 1, STAGGER_US, 3 * SECOND_US);
}

/// Only the first-ranked member of a data centre pulls from a remote holder at
/// once. The others wait, and pull from a local holder when there is one.
static void
test_single_remote_pull(void **state)
{
	struct holder far = make_holder("far", 5, DISTANCE_FAR);
	struct holder near = make_holder("near", 5, DISTANCE_DC);
	struct version_sync vs;

	(void)state;
	init_sync(&vs);
	version_sync_add_holder(&vs, &far, 0, SECOND_US);
	version_sync_tick(&vs, SECOND_US);
	assert_int_equal(pulls, 1);
	init_sync(&vs);
	version_sync_add_holder(&vs, &far, 2, SECOND_US);
	assert_int_equal(
	    version_sync_tick(&vs, SECOND_US), SECOND_US + 2 * STAGGER_US);
	assert_int_equal(pulls, 0);
	version_sync_add_holder(&vs, &near, 2, SECOND_US + 1000);
	version_sync_tick(&vs, SECOND_US + 1000);
	assert_int_equal(pulls, 1);
	assert_string_equal(last_pull.host, "near");
	init_sync(&vs);
	version_sync_add_holder(&vs, &far, 2, SECOND_US);
	version_sync_tick(&vs, SECOND_US + 2 * STAGGER_US);
	assert_int_equal(pulls, 1);
}

/// After a failure the next pull goes to another holder. A busy holder is not
/// retried before the delay that it requests.
static void
test_failures(void **state)
{
	struct holder a = make_holder("a", 5, DISTANCE_DC);
	struct holder b = make_holder("b", 5, DISTANCE_REGION);
	struct version_sync vs;
	int64_t next_us;

	(void)state;
	init_sync(&vs);
	version_sync_add_holder(&vs, &a, 0, SECOND_US);
	version_sync_add_holder(&vs, &b, 0, SECOND_US);
	version_sync_tick(&vs, SECOND_US);
	assert_string_equal(last_pull.host, "a");
	version_sync_finish_pull(&vs, PULL_FAILED, 0, 0, SECOND_US);
	version_sync_tick(&vs, SECOND_US);
	assert_string_equal(last_pull.host, "b");
	version_sync_finish_pull(&vs, PULL_FAILED, 0, 7 * SECOND_US, SECOND_US);
	next_us = version_sync_tick(&vs, SECOND_US);
	assert_in_range(next_us, SECOND_US + 1, SECOND_US + 5 * SECOND_US);
	version_sync_tick(&vs, next_us);
	assert_string_equal(last_pull.host, "a");
	// Without an answer the pull times out.
	version_sync_tick(&vs, next_us + 3 * SECOND_US);
	assert_true(pulls >= 3);
}

/// A member that claims a version and never answers puts off no other holder: one
/// whose first pull failed is tried again soon, and before it.
static void
test_silent_holder(void **state)
{
	struct holder silent = make_holder("silent", 9, DISTANCE_DC);
	struct holder good = make_holder("good", 5, DISTANCE_REGION);
	int64_t now_us = SECOND_US;
	struct version_sync vs;
	uint32_t i;

	(void)state;
	init_sync(&vs);
	version_sync_add_holder(&vs, &silent, 0, now_us);
	for (i = 0; i < 100; i++) {
		now_us += SECOND_US;
		version_sync_tick(&vs, now_us);
	}
	version_sync_add_holder(&vs, &good, 0, now_us);
	version_sync_finish_pull(&vs, PULL_FAILED, 0, 0, now_us);
	version_sync_tick(&vs, now_us);
	assert_string_equal(last_pull.host, "good");
	version_sync_finish_pull(&vs, PULL_FAILED, 0, 0, now_us);
	// Only the wait after a first failure.
	now_us += SECOND_US / 10;
	last_pull.host[0] = '\0';
	version_sync_tick(&vs, now_us);
	assert_string_equal(last_pull.host, "good");
	version_sync_finish_pull(&vs, PULL_ADOPTED, 0, 0, now_us);
	version_sync_set_version(&vs, good.version);
	// A newer version there, and the turn of the silent one: it comes last.
	now_us += 10 * SECOND_US;
	good.version++;
	version_sync_add_holder(&vs, &good, 0, now_us);
	version_sync_tick(&vs, now_us);
	assert_string_equal(last_pull.host, "good");
}

/// Rules that were overtaken on their way are no failure of their holder: however
/// many pulls end so, the next one starts at once.
static void
test_overtaken_pulls(void **state)
{
	struct holder a = make_holder("a", 5, DISTANCE_DC);
	struct version_sync vs;
	uint32_t i;

	(void)state;
	init_sync(&vs);
	version_sync_add_holder(&vs, &a, 0, SECOND_US);
	for (i = 0; i < 12; i++) {
		version_sync_tick(&vs, SECOND_US);
		assert_true(vs.pulling);
		// An earlier pull brings the version meanwhile, and the holder
		// has the next one already.
		a.version++;
		version_sync_add_holder(&vs, &a, 0, SECOND_US);
		version_sync_set_version(&vs, a.version - 1);
		version_sync_finish_pull(&vs, PULL_OVERTAKEN, 0, 0, SECOND_US);
	}
	version_sync_tick(&vs, SECOND_US);
	assert_true(vs.pulling);
	// Nothing was adopted meanwhile: the holder has not what it claims.
	version_sync_finish_pull(&vs, PULL_OVERTAKEN, 0, 0, SECOND_US);
	version_sync_tick(&vs, SECOND_US);
	assert_false(vs.pulling);
}

/// A member that waits for its turn to pull one version from a remote holder has
/// the first turn at the next version, and takes it.
static void
test_first_turn_at_next_version(void **state)
{
	struct holder far = make_holder("far", 5, DISTANCE_FAR);
	struct version_sync vs;

	(void)state;
	init_sync(&vs);
	version_sync_add_holder(&vs, &far, 9, SECOND_US);
	version_sync_tick(&vs, SECOND_US);
	assert_int_equal(pulls, 0);
	far.version = 6;
	version_sync_add_holder(&vs, &far, 0, SECOND_US + 100000);
	version_sync_tick(&vs, SECOND_US + 100000);
	assert_int_equal(pulls, 1);
	assert_int_equal(last_pull.version, 6);
}

/// Plays versions that follow each other each 0.1 s for 5 s.
///
/// @return the number of adoptions
static uint32_t
play_storm(int64_t cost_us)
{
	struct holder near = make_holder("near", 5, DISTANCE_DC);
	struct version_sync vs;
	int64_t now_us = SECOND_US;
	uint32_t i;

	init_sync(&vs);
	for (i = 0; i < 50; i++) {
		near.version++;
		version_sync_add_holder(&vs, &near, 0, now_us);
		version_sync_tick(&vs, now_us);
		if (vs.pulling) {
			assert_int_equal(last_pull.version, near.version);
			version_sync_set_version(&vs, near.version);
			version_sync_finish_pull(
			    &vs, PULL_ADOPTED, cost_us, 0, now_us);
		}
		now_us += SECOND_US / 10;
	}
	version_sync_tick(&vs, now_us + VERSION_SYNC_REST_MAX_US);
	assert_true(vs.pulling || vs.have_version == near.version);
	return pulls;
}

/// In a storm of versions that are cheap to adopt, each is adopted. If they are
/// dear, some are skipped, and the last one still comes soon.
static void
test_storm_of_versions(void **state)
{
	(void)state;
	assert_in_range(play_storm(2000), 50, 51);
	assert_in_range(play_storm(30000), 24, 27);
	assert_in_range(play_storm(SECOND_US), 24, 27);
}

/// A late advertisement of an outdated version starts no pull.
static void
test_outdated_holder(void **state)
{
	struct holder old = make_holder("a", 5, DISTANCE_DC);
	struct version_sync vs;

	(void)state;
	init_sync(&vs);
	version_sync_add_holder(&vs, &old, 0, SECOND_US);
	version_sync_set_version(&vs, 6);
	version_sync_tick(&vs, SECOND_US);
	version_sync_add_holder(&vs, &old, 0, SECOND_US);
	version_sync_tick(&vs, SECOND_US);
	assert_int_equal(pulls, 0);
}

static struct rules *
make_rules(uint64_t version, const char *owner)
{
	static struct rules_errors errors;
	char text[300];
	int n = snprintf(text, sizeof(text),
	    "version %llu # %s\nrank a worth=1 target=1s # x\n"
	    "service s slots=1 connections=1 # x\n"
	    "route GET /v%llu s rank=a deadline=1s # x\n",
	    (unsigned long long)version, owner, (unsigned long long)version);
	struct rules *rules = rules_parse(text, (size_t)n, &errors);

	assert_non_null(rules);
	return rules;
}

static int
apply(struct rule_store *store, uint64_t version, const char *owner)
{
	struct rules *rules = make_rules(version, owner);
	uint32_t size_bytes;
	char *entry = rule_store_encode(store, rules->file, 42, &size_bytes);
	struct error err;
	int verdict = rule_store_apply(store, entry, size_bytes, &err);

	free(entry);
	rules_unref(rules);
	return verdict;
}

/// Exactly one of two files with the same version is accepted. A resend of it
/// is reported as accepted already. Versions neither decrease nor skip.
static void
test_compare_and_set(void **state)
{
	struct rule_store store = {0};

	(void)state;
	assert_int_equal(apply(&store, 2, "Lin"), RULE_STORE_GAP);
	assert_int_equal(apply(&store, 1, "Lin"), RULE_STORE_ACCEPTED);
	assert_int_equal(apply(&store, 1, "Lin"), RULE_STORE_DUPLICATE);
	assert_int_equal(apply(&store, 1, "Wu"), RULE_STORE_CONFLICT);
	assert_string_equal(store.current->owner, "Lin");
	assert_int_equal(apply(&store, 2, "Wu"), RULE_STORE_ACCEPTED);
	assert_int_equal(apply(&store, 1, "Lin"), RULE_STORE_OLD);
	assert_int_equal(apply(&store, 4, "Lin"), RULE_STORE_GAP);
	assert_int_equal(store.current->version, 2);
	// Lines: version, rank, service, route.
	assert_int_equal(store.since[1], 2);
	assert_int_equal(store.since[2], 1);
	assert_int_equal(store.since[3], 1);
	assert_int_equal(store.since[4], 2);
	rule_store_free(&store);
}

static void
test_store_snapshot(void **state)
{
	struct rule_store store = {0};
	struct rule_store copy = {0};
	struct error err;
	uint32_t size_bytes;
	uint32_t i;
	char *data;

	(void)state;
	apply(&store, 1, "Lin");
	apply(&store, 2, "Wu");
	data = rule_store_snapshot(&store, &size_bytes);
	assert_int_equal(rule_store_restore(&copy, data, size_bytes, &err), 0);
	assert_int_equal(copy.current->hash, store.current->hash);
	assert_int_equal(copy.accepted_us, 42);
	assert_int_equal(copy.since[2], 1);
	// A snapshot truncated in its header is rejected and changes nothing.
	for (i = 1; i < 20; i++) {
		assert_int_equal(rule_store_restore(&copy, data, i, &err), -1);
		assert_int_equal(copy.current->version, 2);
	}
	assert_int_equal(apply(&copy, 3, "Lin"), RULE_STORE_ACCEPTED);
	free(data);
	rule_store_free(&store);
	rule_store_free(&copy);
}

static struct member
make_member(const char *name, uint64_t incarnation, uint64_t version)
{
	struct member m = {.incarnation = incarnation, .version = version};

	strcpy(m.name, name);
	strcpy(m.region, name[0] == 'a' ? "north" : "south");
	return m;
}

static void
test_reports(void **state)
{
	struct report_table table = {
	    .stale_us = 10 * SECOND_US, .forget_us = 100 * SECOND_US};
	struct member a = make_member("a", 1, 5);
	struct member b = make_member("b", 1, 5);
	struct report_sum sum;

	(void)state;
	report_table_update(&table, &a, false, SECOND_US);
	report_table_update(&table, &b, false, SECOND_US);
	sum = report_table_sum(&table, NULL, 5, SECOND_US);
	assert_int_equal(sum.members, 2);
	assert_int_equal(sum.in_force, 2);
	// A late report neither lowers a version nor refreshes the entry.
	b.version = 4;
	report_table_update(&table, &b, false, 8 * SECOND_US);
	assert_int_equal(
	    report_table_sum(&table, "south", 5, 2 * SECOND_US).in_force, 1);
	assert_int_equal(
	    report_table_sum(&table, NULL, 5, 12 * SECOND_US).in_force, 0);
	// A restart resets the version in force, not the highest one reported.
	b.incarnation = 2;
	b.version = 0;
	assert_int_equal(report_table_update(&table, &b, false, 12 * SECOND_US)
			     ->version_seen,
	    5);
	assert_int_equal(
	    report_table_sum(&table, "south", 5, 12 * SECOND_US).in_force, 0);
	a.incarnation = 1;
	report_table_update(&table, &a, true, 12 * SECOND_US);
	assert_int_equal(
	    report_table_sum(&table, NULL, 5, 12 * SECOND_US).members, 1);
	assert_true(report_table_remove(&table, "b"));
	assert_false(report_table_remove(&table, "b"));
	report_table_expire(&table, 200 * SECOND_US);
	assert_int_equal(table.count, 0);
	report_table_free(&table);
}

/// A report with the greatest numbers, which no process sent, counts until it is
/// stale; then the true one does.
static void
test_stray_report(void **state)
{
	struct report_table table = {
	    .stale_us = 10 * SECOND_US, .forget_us = 100 * SECOND_US};
	struct member true_one = make_member("b", 1, 5);
	struct member stray =
	    make_member("b", MEMBER_MAX_INCARNATION, INT64_MAX);
	const struct report *r;

	(void)state;
	report_table_update(&table, &stray, true, SECOND_US);
	r = report_table_update(&table, &true_one, false, 6 * SECOND_US);
	assert_int_equal(r->member.version, INT64_MAX);
	r = report_table_update(&table, &true_one, false, 12 * SECOND_US);
	assert_int_equal(r->member.version, 5);
	assert_int_equal(r->version_seen, 5);
	assert_false(r->left);
	report_table_free(&table);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_single_remote_pull),
	    cmocka_unit_test(test_failures),
	    cmocka_unit_test(test_first_turn_at_next_version),
	    cmocka_unit_test(test_silent_holder),
	    cmocka_unit_test(test_overtaken_pulls),
	    cmocka_unit_test(test_storm_of_versions),
	    cmocka_unit_test(test_outdated_holder),
	    cmocka_unit_test(test_compare_and_set),
	    cmocka_unit_test(test_store_snapshot),
	    cmocka_unit_test(test_reports),
	    cmocka_unit_test(test_stray_report),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
