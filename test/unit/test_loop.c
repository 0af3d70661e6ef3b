// Turns of bulk work: one peer that sends without end does not delay the others.
#include <apr_general.h>
#include <stdlib.h>

#include "io/clock.h"
#include "io/loop.h"
#include "unit/support.h"

#define JOBS	    24
#define SHARE_BYTES (32 * 1024)

/// A peer whose bulk work never ends.
struct peer {
	struct loop_job job;
	struct loop *loop;
	uint32_t turns;
};

/// What is counted at each iteration.
struct scene {
	struct loop *loop;
	struct loop_hook hook;
	struct peer peers[JOBS];
	uint32_t iterations;
	uint32_t most_turns; ///< Of all peers in one iteration.
	uint32_t turns_before;
};

static void
take_turn(void *arg)
{
	struct peer *peer = arg;

	loop_charge_bulk(peer->loop, SHARE_BYTES);
	peer->turns++;
	loop_queue_bulk(peer->loop, &peer->job);
}

static int64_t
count_iteration(void *arg)
{
	struct scene *scene = arg;
	uint32_t turns = 0;
	uint32_t i;

	for (i = 0; i < JOBS; i++)
		turns += scene->peers[i].turns;
	if (turns - scene->turns_before > scene->most_turns)
		scene->most_turns = turns - scene->turns_before;
	scene->turns_before = turns;
	if (++scene->iterations == 240)
		loop_stop(scene->loop);
	return DEADLINE_NEVER_US;
}

/// Load: 24 uploads without end. Each gets its turn, in order, and other events are
/// handled after a bounded number of turns.
static void
test_bulk_work_takes_turns(void **state)
{
	struct scene scene = {0};
	struct error err;
	uint32_t i;

	(void)state;
	scene.loop = loop_create("test", &err);
	assert_non_null(scene.loop);
	scene.hook.fn = count_iteration;
	scene.hook.arg = &scene;
	loop_hook_add(scene.loop, &scene.hook);
	for (i = 0; i < JOBS; i++) {
		scene.peers[i].loop = scene.loop;
		scene.peers[i].job.fn = take_turn;
		scene.peers[i].job.arg = &scene.peers[i];
		loop_queue_bulk(scene.loop, &scene.peers[i].job);
	}
	assert_false(loop_take_bulk(scene.loop, SHARE_BYTES));
	loop_run(scene.loop);
	assert_true(scene.most_turns > 0 && scene.most_turns <= 4);
	for (i = 1; i < JOBS; i++) {
		assert_true(scene.peers[i].turns <= scene.peers[0].turns);
		assert_true(scene.peers[i].turns + 1 >= scene.peers[0].turns);
	}
	loop_cancel_bulk(scene.loop, &scene.peers[0].job);
	assert_false(scene.peers[0].job.queued);
	loop_destroy(scene.loop);
}

static void
count_call(void *arg)
{
	(*(uint32_t *)arg)++;
}

/// The calls that are deferred for an object end with it; those of others stay.
static void
test_deferred_calls_end_with_their_object(void **state)
{
	struct error err;
	struct loop *loop = loop_create("test", &err);
	uint32_t gone = 0;
	uint32_t stays = 0;

	(void)state;
	assert_non_null(loop);
	loop_defer(loop, count_call, &gone);
	loop_defer(loop, count_call, &stays);
	loop_defer(loop, count_call, &gone);
	loop_cancel_deferred(loop, &gone);
	loop_destroy(loop);
	assert_int_equal(gone, 0);
	assert_int_equal(stays, 1);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_bulk_work_takes_turns),
	    cmocka_unit_test(test_deferred_calls_end_with_their_object),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
