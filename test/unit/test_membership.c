// Tests of many members on a simulated network and clock: convergence,
// failures, network partitions.
#include <string.h>

#include "unit/member_net.h"
#include "unit/support.h"

static bool
knows_count(const struct net_node *n, void *arg)
{
	return membership_alive_count(&n->m) == *(uint32_t *)arg;
}

static bool
knows_gone(const struct net_node *n, void *arg)
{
	const struct member *m = membership_find(&n->m, arg);

	return m == NULL || m->status == MEMBER_DEAD;
}

struct expected {
	const char *name;
	enum member_status status;
	enum backend_state backend;
};

static bool
sees_member(const struct net_node *n, void *arg)
{
	const struct expected *w = arg;
	const struct member *m = membership_find(&n->m, w->name);

	return m != NULL && m->status == w->status && m->backend == w->backend;
}

static bool
knows_version(const struct net_node *n, void *arg)
{
	uint64_t version = *(uint64_t *)arg;

	return n->version_advertised >= version || n->m.self.version >= version;
}

static struct net *
create_converged(uint32_t count)
{
	struct net *net = net_create(count);

	assert_true(
	    net_run_until(net, 30 * SECOND_US, knows_count, &count) >= 0);
	net_run(net, 5 * SECOND_US);
	return net;
}

static void
test_convergence(void **state)
{
	struct net *net = create_converged(60);

	(void)state;
	net_free(net);
}

/// Partitions that start separately, each with one of the seeds, merge.
static void
test_partitioned_start_heals(void **state)
{
	struct net *net = net_create(12);
	uint32_t half = 6;
	uint32_t all = 12;
	uint32_t i;

	(void)state;
	for (i = 0; i < net->count; i++)
		net->nodes[i].group = i % 2;
	assert_true(
	    net_run_until(net, 30 * SECOND_US, knows_count, &half) >= 0);
	for (i = 0; i < net->count; i++)
		net->nodes[i].group = 0;
	assert_true(net_run_until(net, 30 * SECOND_US, knows_count, &all) >= 0);
	net_free(net);
}

/// A record with the greatest incarnation and revision that a message can carry
/// does not keep its member out: it refutes it.
static void
test_refutes_greatest_numbers(void **state)
{
	struct net *net = create_converged(12);
	struct expected alive = {"n005", MEMBER_ALIVE, BACKEND_READY};
	struct member stray = net->nodes[5].m.self;

	(void)state;
	membership_set_backend(
	    &net->nodes[5].m, "s", BACKEND_READY, 0, 5, net->now_us);
	stray.status = MEMBER_DEAD;
	stray.revision = MEMBER_MAX_REVISION;
	membership_merge(&net->nodes[3].m, &stray, net->now_us);
	assert_true(
	    net_run_until(net, 20 * SECOND_US, sees_member, &alive) >= 0);
	stray.incarnation = MEMBER_MAX_INCARNATION;
	stray.revision = 0;
	membership_merge(&net->nodes[3].m, &stray, net->now_us);
	assert_true(
	    net_run_until(net, 20 * SECOND_US, sees_member, &alive) >= 0);
	net_free(net);
}

/// A VM is gone, and another one starts at its address within moments. The record
/// of the first one ends like that of any member that is gone: nobody answers in
/// its name.
static void
test_address_used_again(void **state)
{
	struct net *net = create_converged(12);
	uint32_t all = 12;

	(void)state;
	membership_free(&net->nodes[5].m);
	net_start_node(net, 5, 2);
	strcpy(net->nodes[5].m.self.name, "x005");
	assert_true(net_run_until(
			net, 60 * SECOND_US, knows_gone, (void *)"n005") >= 0);
	assert_true(net_run_until(net, 10 * SECOND_US, knows_count, &all) >= 0);
	net_free(net);
}

/// A change of one backend server reaches all members within a few seconds,
/// even with 20 % packet loss.
static void
test_drain_spreads(void **state)
{
	struct net *net = create_converged(100);
	struct expected w = {"n042", MEMBER_ALIVE, BACKEND_DRAINING};
	int64_t elapsed_us;

	(void)state;
	net->drop_pct = 20;
	membership_set_backend(
	    &net->nodes[42].m, "s", BACKEND_DRAINING, 0, 5, net->now_us);
	elapsed_us = net_run_until(net, 20 * SECOND_US, sees_member, &w);
	assert_in_range(elapsed_us, 0, 4 * SECOND_US);
	net_free(net);
}

/// A member that missed a change which is no longer transmitted gets it within
/// a few probes, long before the next periodic table exchange.
static void
test_missed_change_is_repaired(void **state)
{
	struct net *net = net_create(24);
	struct expected w = {"n005", MEMBER_ALIVE, BACKEND_READY};
	uint32_t all = 24;
	uint32_t i;

	(void)state;
	for (i = 0; i < net->count; i++)
		net->nodes[i].m.settings.sync_period_us = 3600LL * SECOND_US;
	assert_true(net_run_until(net, 30 * SECOND_US, knows_count, &all) >= 0);
	membership_set_backend(
	    &net->nodes[5].m, "s", BACKEND_READY, 0, 5, net->now_us);
	assert_true(net_run_until(net, 30 * SECOND_US, sees_member, &w) >= 0);
	net_run(net, 60 * SECOND_US);
	for (i = 0; i < net->nodes[8].m.peer_count; i++) {
		struct member *m = &net->nodes[8].m.peers[i]->member;

		if (strcmp(m->name, "n005") == 0) {
			m->backend = BACKEND_NONE;
			m->revision--;
		}
	}
	assert_in_range(net_run_until(net, 60 * SECOND_US, sees_member, &w), 0,
	    8 * SECOND_US);
	net_free(net);
}

/// Two members that can reach all members but each other are not suspected,
/// because of indirect probes.
static void
test_indirect_probes(void **state)
{
	struct net *net = create_converged(24);
	uint32_t before = net->nodes[6].m.self.revision;

	(void)state;
	net->blocked[0] = 6;
	net->blocked[1] = 0;
	net->blocks = true;
	net_run(net, 120 * SECOND_US);
	assert_int_equal(net->nodes[6].m.self.revision, before);
	net_free(net);
}

static void
test_failure_is_detected(void **state)
{
	struct net *net = create_converged(60);
	struct expected w = {"n007", MEMBER_DEAD, BACKEND_NONE};
	int64_t elapsed_us;

	(void)state;
	net->drop_pct = 5;
	net->nodes[7].up = false;
	elapsed_us = net_run_until(net, 60 * SECOND_US, sees_member, &w);
	assert_in_range(elapsed_us, 0, 30 * SECOND_US);
	net_free(net);
}

/// Packet loss alone does not make a responsive member dead.
static void
test_no_false_failure(void **state)
{
	struct net *net = create_converged(30);
	uint32_t all = 30;
	uint32_t i;

	(void)state;
	net->drop_pct = 20;
	for (i = 0; i < 120; i++) {
		net_run(net, SECOND_US);
		assert_in_range(
		    membership_alive_count(&net->nodes[3].m), 29, 30);
	}
	net->drop_pct = 0;
	assert_true(net_run_until(net, 30 * SECOND_US, knows_count, &all) >= 0);
	net_free(net);
}

/// A restarted member replaces its old record, and receives the highest version
/// that others have recorded for it.
static void
test_restart(void **state)
{
	struct net *net = create_converged(30);
	struct expected w = {"n009", MEMBER_ALIVE, BACKEND_READY};

	(void)state;
	membership_set_version(&net->nodes[9].m, 41);
	net_run(net, 10 * SECOND_US);
	net->nodes[9].up = false;
	net_run(net, 2 * SECOND_US);
	membership_free(&net->nodes[9].m);
	net_start_node(net, 9, 2);
	membership_set_backend(
	    &net->nodes[9].m, "s", BACKEND_READY, 0, 5, net->now_us);
	assert_true(net_run_until(net, 20 * SECOND_US, sees_member, &w) >= 0);
	assert_int_equal(net->nodes[9].m.version_floor, 41);
	net_free(net);
}

/// A server that has left is not used again when its proxy restarts and takes it
/// for ready; the proxy is told. A later process is used.
static void
test_server_left_before_restart(void **state)
{
	struct net *net = create_converged(30);
	struct expected left = {"n009", MEMBER_ALIVE, BACKEND_DRAINING};
	struct expected ready = {"n009", MEMBER_ALIVE, BACKEND_READY};
	uint32_t i;

	(void)state;
	membership_set_backend(
	    &net->nodes[9].m, "s", BACKEND_READY, 77, 5, net->now_us);
	assert_true(
	    net_run_until(net, 20 * SECOND_US, sees_member, &ready) >= 0);
	membership_set_backend(
	    &net->nodes[9].m, "s", BACKEND_DRAINING, 77, 5, net->now_us);
	assert_true(
	    net_run_until(net, 20 * SECOND_US, sees_member, &left) >= 0);
	net->nodes[9].up = false;
	net_run(net, 2 * SECOND_US);
	membership_free(&net->nodes[9].m);
	net_start_node(net, 9, 2);
	net_run(net, SECOND_US);
	membership_set_backend(
	    &net->nodes[9].m, "s", BACKEND_READY, 77, 5, net->now_us);
	net_run(net, SECOND_US);
	assert_int_equal(net->nodes[9].server_left, 77);
	for (i = 0; i < net->count; i++)
		assert_true(i == 9 || !sees_member(&net->nodes[i], &ready));
	membership_set_backend(
	    &net->nodes[9].m, "s", BACKEND_DRAINING, 77, 5, net->now_us);
	assert_true(
	    net_run_until(net, 20 * SECOND_US, sees_member, &left) >= 0);
	membership_set_backend(
	    &net->nodes[9].m, "s", BACKEND_READY, 78, 5, net->now_us);
	assert_true(
	    net_run_until(net, 20 * SECOND_US, sees_member, &ready) >= 0);
	net_free(net);
}

/// Regions merge without intervention after a partition of almost an hour.
static void
test_region_partition_heals(void **state)
{
	struct net *net = create_converged(24);
	uint32_t half = 12;
	uint32_t all = 24;
	uint32_t i;

	(void)state;
	for (i = 0; i < net->count; i++)
		net->nodes[i].group = i % 2;
	assert_true(
	    net_run_until(net, 120 * SECOND_US, knows_count, &half) >= 0);
	net_run(net, 3000LL * SECOND_US);
	for (i = 0; i < net->count; i++)
		net->nodes[i].group = 0;
	assert_true(net_run_until(net, 60 * SECOND_US, knows_count, &all) >= 0);
	net_free(net);
}

/// A version set at one member reaches all members by gossip alone, without a
/// source.
static void
test_version_spreads(void **state)
{
	struct net *net = create_converged(100);
	uint64_t version = 5;
	int64_t elapsed_us;

	(void)state;
	membership_set_version(&net->nodes[50].m, version);
	// Each member adopts an advertised version at once.
	do {
		uint32_t i;

		net_run(net, STEP_US);
		for (i = 0; i < net->count; i++)
			if (net->nodes[i].version_advertised >
			    net->nodes[i].m.self.version)
				membership_set_version(&net->nodes[i].m,
				    net->nodes[i].version_advertised);
		elapsed_us =
		    net_run_until(net, STEP_US, knows_version, &version);
	} while (elapsed_us < 0 && net->now_us < 1100LL * SECOND_US);
	assert_true(elapsed_us >= 0);
	net_free(net);
}

/// The idle traffic of a member does not depend on the size of the fleet.
static void
test_idle_traffic_is_constant(void **state)
{
	struct net *small = create_converged(20);
	struct net *large = create_converged(120);
	uint64_t small_sent;
	uint64_t large_sent;

	(void)state;
	net_run(small, 20 * SECOND_US);
	net_run(large, 20 * SECOND_US);
	small_sent = small->sent;
	large_sent = large->sent;
	net_run(small, 30 * SECOND_US);
	net_run(large, 30 * SECOND_US);
	// Messages of a member in 30 s, with 10 % tolerance for randomness.
	assert_true((large->sent - large_sent) / 120 <=
	    (small->sent - small_sent) / 20 * 11 / 10 + 1);
	net_free(small);
	net_free(large);
}

/// A member that leaves is not declared dead and does not reappear.
static void
test_leave(void **state)
{
	struct net *net = create_converged(30);
	struct expected w = {"n004", MEMBER_LEFT, BACKEND_NONE};

	(void)state;
	membership_leave(&net->nodes[4].m, net->now_us);
	net_run(net, SECOND_US / 2);
	net->nodes[4].up = false;
	assert_true(net_run_until(net, 10 * SECOND_US, sees_member, &w) >= 0);
	net_run(net, 60 * SECOND_US);
	assert_true(net_run_until(net, STEP_US, sees_member, &w) >= 0);
	net_free(net);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_convergence),
	    cmocka_unit_test(test_partitioned_start_heals),
	    cmocka_unit_test(test_refutes_greatest_numbers),
	    cmocka_unit_test(test_address_used_again),
	    cmocka_unit_test(test_drain_spreads),
	    cmocka_unit_test(test_missed_change_is_repaired),
	    cmocka_unit_test(test_indirect_probes),
	    cmocka_unit_test(test_failure_is_detected),
	    cmocka_unit_test(test_no_false_failure),
	    cmocka_unit_test(test_restart),
	    cmocka_unit_test(test_server_left_before_restart),
	    cmocka_unit_test(test_region_partition_heals),
	    cmocka_unit_test(test_version_spreads),
	    cmocka_unit_test(test_idle_traffic_is_constant),
	    cmocka_unit_test(test_leave),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
