// The replicated log under faults: seeded simulations and single cases.
#include <stdlib.h>
#include <string.h>

#include "unit/replica_cluster.h"

static void
run_seed(uint64_t seed, bool replacements)
{
	struct cluster *c = cluster_create(seed, 3 + 2 * (seed % 2));

	c->chaos = true;
	c->drop_pct = (uint32_t)(seed % 4) * 8;
	cluster_run_steps(c, RUN_STEPS, replacements);
	cluster_heal(c);
	cluster_run_steps(c, HEAL_STEPS, false);
	cluster_check_agreement(c);
	cluster_free(c);
}

static void
test_chaos(void **state)
{
	uint64_t first = test_first_seed();
	uint64_t count = test_seed_count(400);
	uint64_t seed;

	(void)state;
	for (seed = first; seed < first + count; seed++)
		run_seed(seed, false);
}

static void
test_chaos_with_replacements(void **state)
{
	uint64_t first = test_first_seed();
	uint64_t count = test_seed_count(400);
	uint64_t seed;

	(void)state;
	for (seed = first; seed < first + count; seed++)
		run_seed(seed, true);
}

/// Creates a cluster with a leader and acknowledged entries.
static struct cluster *
create_running_cluster(uint64_t seed)
{
	struct cluster *c = cluster_create(seed, 3);

	cluster_run_steps(c, 300, false);
	assert_true(cluster_highest_acknowledged(c) > 0);
	return c;
}

static struct node *
find_leader(struct cluster *c)
{
	struct node *leader = NULL;
	uint32_t i;

	for (i = 0; i < c->node_count; i++)
		if (c->nodes[i].up && !c->nodes[i].partitioned &&
		    replica_is_leader(&c->nodes[i].replica))
			leader = &c->nodes[i];
	assert_non_null(leader);
	return leader;
}

/// A leader isolated without connection errors steps down and confirms nothing,
/// while the others elect a new one. After the partition it is a follower.
static void
test_isolated_leader(void **state)
{
	struct cluster *c = create_running_cluster(7);
	struct node *old = find_leader(c);
	uint64_t before = cluster_highest_acknowledged(c);

	(void)state;
	old->partitioned = true;
	cluster_run_steps(c, 500, false);
	assert_false(replica_is_leader(&old->replica));
	assert_true(cluster_highest_acknowledged(c) > before);
	old->partitioned = false;
	cluster_run_steps(c, 300, false);
	assert_int_equal(find_leader(c)->replica.term, old->replica.term);
	cluster_check_agreement(c);
	cluster_free(c);
}

/// A follower that returns from a partition does not depose the leader.
static void
test_isolated_follower(void **state)
{
	struct cluster *c = create_running_cluster(8);
	struct node *leader = find_leader(c);
	struct node *follower = &c->nodes[leader->id % 3];
	uint64_t term = leader->replica.term;

	(void)state;
	follower->partitioned = true;
	cluster_run_steps(c, 1000, false);
	follower->partitioned = false;
	cluster_run_steps(c, 300, false);
	assert_ptr_equal(find_leader(c), leader);
	assert_int_equal(leader->replica.term, term);
	cluster_check_agreement(c);
	cluster_free(c);
}

/// A wiped replica is replaced; right after, another one is lost permanently.
/// No acknowledged entry may be lost.
static void
test_second_loss_after_repair(void **state)
{
	struct cluster *c = create_running_cluster(9);
	struct node *leader = find_leader(c);
	struct node *first = &c->nodes[leader->id % 3];
	struct node *second = &c->nodes[(leader->id + 1) % 3];
	uint64_t acknowledged;
	uint32_t i;

	(void)state;
	cluster_stop_node(first);
	fake_disk_free(&first->disk);
	first->exists = false;
	cluster_run_steps(c, 100, false);
	cluster_replace_wiped(c, find_leader(c));
	for (i = 0; i < 50 && find_leader(c)->replica.config.learner_count > 0;
	     i++) {
		cluster_run_steps(c, 20, false);
		cluster_promote_learner(c, find_leader(c));
	}
	cluster_run_steps(c, 50, false);
	assert_false(replica_config_is_voter(
	    &find_leader(c)->replica.config, first->id));
	acknowledged = cluster_highest_acknowledged(c);
	cluster_stop_node(second);
	cluster_run_steps(c, 500, false);
	assert_true(find_leader(c)->applied >= acknowledged);
	assert_true(cluster_highest_acknowledged(c) > acknowledged);
	cluster_free(c);
}

/// A replica with a full disk halts, while the others continue. It leaves no
/// partial write: after a restart it agrees with them.
static void
test_full_disk(void **state)
{
	struct cluster *c = create_running_cluster(10);
	struct node *leader = find_leader(c);
	uint64_t acknowledged = cluster_highest_acknowledged(c);

	(void)state;
	leader->disk.full = true;
	cluster_run_steps(c, 500, false);
	assert_true(replica_has_failed(&leader->replica));
	assert_true(cluster_highest_acknowledged(c) > acknowledged);
	cluster_crash_node(c, leader);
	cluster_start_node(c, leader);
	cluster_run_steps(c, 300, false);
	cluster_check_agreement(c);
	cluster_free(c);
}

static void
respond_as(struct node *n, enum replica_message_kind kind, uint64_t term,
    uint64_t index)
{
	struct replica_message m = {
	    .kind = kind, .from = 2, .to = n->id, .term = term, .index = index};

	struct error err;

	assert_int_equal(
	    replica_step(&n->replica, &m, n->cluster->now_us, &err), 0);
	replica_flush(&n->replica, n->cluster->now_us);
}

/// An entry of an earlier term on a majority is not committed by counting
/// replicas, since another leader could still overwrite it. An entry of the
/// current term commits both.
static void
test_earlier_term_is_not_counted(void **state)
{
	struct cluster *c = cluster_create(3, 3);
	struct node *n = &c->nodes[0];
	struct replica_entry e = {
	    .index = 2, .term = 1, .kind = REPLICA_ENTRY_EMPTY, .data = ""};
	struct replica_message append = {.kind = REPLICA_APPEND,
	    .from = 3,
	    .to = 1,
	    .term = 1,
	    .index = 1,
	    .log_term = 1,
	    .entries = &e,
	    .entry_count = 1};
	struct error err;

	(void)state;
	assert_int_equal(
	    replica_step(&n->replica, &append, c->now_us, &err), 0);
	replica_flush(&n->replica, c->now_us);
	c->now_us += 3 * ELECTION_US;
	replica_tick(&n->replica, c->now_us);
	replica_flush(&n->replica, c->now_us);
	respond_as(n, REPLICA_PRE_VOTE_RESPONSE, 2, 0);
	respond_as(n, REPLICA_VOTE_RESPONSE, 2, 0);
	assert_true(replica_is_leader(&n->replica));
	respond_as(n, REPLICA_APPEND_RESPONSE, 2, 2);
	assert_int_equal(n->replica.commit, 0);
	respond_as(n, REPLICA_APPEND_RESPONSE, 2, 3);
	assert_int_equal(n->replica.commit, 3);
	cluster_free(c);
}

/// Guards against a simulation that cannot detect lost writes: with disks that
/// report a sync without syncing, some seed must lose an acknowledged entry.
static void
test_runs_notice_lost_syncs(void **state)
{
	bool noticed = false;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 40 && !noticed; seed++) {
		struct cluster *c = cluster_create(seed, 3);
		uint64_t acknowledged;
		uint32_t i;

		for (i = 0; i < 3; i++)
			c->nodes[i].disk.sync_ignored = true;
		cluster_run_steps(c, 300, false);
		acknowledged = cluster_highest_acknowledged(c);
		for (i = 0; i < 3; i++)
			cluster_crash_node(c, &c->nodes[i]);
		for (i = 0; i < 3; i++)
			cluster_start_node(c, &c->nodes[i]);
		for (i = 0; i < 3; i++)
			noticed |= replica_last_index(&c->nodes[i].replica) <
			    acknowledged;
		cluster_free(c);
	}
	assert_true(noticed);
}

/// Terms that no correct replica sends are refused by all, whatever the kind of
/// message: the set goes on in its term, and can still elect.
static void
test_far_terms_are_refused(void **state)
{
	struct cluster *c = create_running_cluster(13);
	uint64_t term = find_leader(c)->replica.term;
	struct replica_entry entry = {.index = 1, .term = term + 1};
	struct replica_message m;
	struct error err;
	uint32_t i;
	int kind;

	(void)state;
	for (i = 0; i < 3; i++)
		for (kind = 0; kind < REPLICA_SNAPSHOT; kind++) {
			struct replica *r = &c->nodes[i].replica;

			m = (struct replica_message){
			    .kind = (enum replica_message_kind)kind,
			    .from = (i + 1) % 3 + 1,
			    .to = r->settings.id,
			    .term = r->term + REPLICA_MAX_TERM_STEP + 1};
			assert_int_equal(
			    replica_step(r, &m, c->now_us, &err), -1);
			m.term = INT64_MAX;
			assert_int_equal(
			    replica_step(r, &m, c->now_us, &err), -1);
			m.term = r->term;
			m.log_term = r->term + 1;
			assert_int_equal(
			    replica_step(r, &m, c->now_us, &err), -1);
			m.log_term = 0;
			m.entries = &entry;
			m.entry_count = 1;
			assert_int_equal(
			    replica_step(r, &m, c->now_us, &err), -1);
			assert_int_equal(r->term, term);
		}
	cluster_run_steps(c, 300, false);
	assert_int_equal(find_leader(c)->replica.term, term);
	cluster_check_agreement(c);
	cluster_free(c);
}

/// Messages that no correct replica sends are refused with a reason, and the
/// leader goes on: one that claims its own term, and one that acknowledges
/// entries which the leader does not have.
static void
test_impossible_messages_are_refused(void **state)
{
	static const enum replica_message_kind kinds[] = {
	    REPLICA_APPEND, REPLICA_HEARTBEAT};
	struct cluster *c = create_running_cluster(12);
	struct node *leader = find_leader(c);
	struct replica *r = &leader->replica;
	struct replica_message m = {.from = leader->id % 3 + 1,
	    .to = leader->id,
	    .term = r->term,
	    .index = replica_last_index(r) + 100};
	struct error err;
	uint64_t acknowledged;
	size_t i;

	(void)state;
	for (i = 0; i < 2; i++) {
		m.kind = kinds[i];
		assert_int_equal(replica_step(r, &m, c->now_us, &err), -1);
		assert_true(replica_is_leader(r));
	}
	m.kind = REPLICA_APPEND_RESPONSE;
	assert_int_equal(replica_step(r, &m, c->now_us, &err), -1);
	assert_true(
	    replica_progress_get(r, m.from)->match <= replica_last_index(r));
	acknowledged = cluster_highest_acknowledged(c);
	cluster_run_steps(c, 300, false);
	assert_true(cluster_highest_acknowledged(c) > acknowledged);
	cluster_check_agreement(c);
	cluster_free(c);
}

/// A learner that has acknowledged nothing is not caught up, however short the
/// log is.
static void
test_silent_learner_is_not_caught_up(void **state)
{
	struct cluster *c = cluster_create(13, 3);
	struct replica_config learners;
	struct replica_config target;
	struct replica *r = NULL;
	struct error err;
	uint32_t steps;

	(void)state;
	for (steps = 0; steps < 1000 && r == NULL; steps++) {
		cluster_run_steps(c, 1, false);
		if (replica_is_leader(&c->nodes[steps % 3].replica) &&
		    c->nodes[steps % 3].replica.commit > 0)
			r = &c->nodes[steps % 3].replica;
	}
	assert_non_null(r);
	learners = target = r->config;
	learners.learners[learners.learner_count++].id = 4;
	target.voters[target.voter_count++].id = 4;
	assert_int_equal(
	    replica_change_config(r, &learners, c->now_us, &err), 0);
	assert_true(replica_last_index(r) <= 16);
	assert_false(replica_has_caught_up(r, &target));
	replica_progress_get(r, 4)->match = 1;
	assert_true(replica_has_caught_up(r, &target));
	cluster_free(c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_impossible_messages_are_refused),
	    cmocka_unit_test(test_far_terms_are_refused),
	    cmocka_unit_test(test_silent_learner_is_not_caught_up),
	    cmocka_unit_test(test_chaos),
	    cmocka_unit_test(test_chaos_with_replacements),
	    cmocka_unit_test(test_isolated_leader),
	    cmocka_unit_test(test_isolated_follower),
	    cmocka_unit_test(test_second_loss_after_repair),
	    cmocka_unit_test(test_full_disk),
	    cmocka_unit_test(test_earlier_term_is_not_counted),
	    cmocka_unit_test(test_runs_notice_lost_syncs),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
