// Who gives way when the memory that callers hold is full, by the loads that fill it.
#include <string.h>

#include "core/memory_account.h"
#include "unit/support.h"

#define MB	    (1024 * 1024)
#define KB	    1024
#define US_PER_S    1000000
#define MAX_CALLERS 4096

/// A caller whose memory is freed when it gives way, or later.
struct caller {
	struct memory_holder holder;
	bool frees_later;
	bool gone;
};

static struct memory_account account;
static struct caller callers[MAX_CALLERS];

static void
evict(struct memory_holder *holder)
{
	struct caller *caller = (struct caller *)holder;

	caller->gone = true;
	if (!caller->frees_later)
		memory_account_remove(holder);
}

static const struct memory_holder_ops ops = {.evict = evict};

static void
begin(int64_t limit_bytes)
{
	memory_account_init(&account, limit_bytes);
	memset(callers, 0, sizeof(callers));
}

static struct caller *
add(uint32_t index, uint32_t peer, int64_t held_bytes, int64_t now_us)
{
	struct caller *c = &callers[index];

	c->holder.ops = &ops;
	memory_account_add(&account, &c->holder, peer, now_us);
	memory_holder_set(&c->holder, held_bytes);
	return c;
}

/// Load: bodies that stop short of their end, from 1, 4 and 16 crowds. What is held
/// does not grow with the crowd, and an ordinary request is not the one to give way.
static void
test_crowd_of_stalled_bodies(void **state)
{
	int64_t now_us;
	uint32_t crowd;
	uint32_t i;

	(void)state;
	for (crowd = 200; crowd <= 3200; crowd *= 4) {
		struct caller *ordinary;

		begin(16 * MB);
		for (i = 0; i < crowd; i++) {
			struct caller *c = add(i, 7, 33 * KB, i * 1000);

			memory_account_relieve(&account, i * 1000);
			if (c->gone)
				continue;
			if (memory_holder_ask(&c->holder, 500 * KB, i * 1000))
				memory_holder_set(&c->holder, 533 * KB);
			else
				memory_holder_evict(&c->holder);
		}
		now_us = crowd * 1000 + 10 * US_PER_S;
		ordinary = add(crowd, 7, 33 * KB, now_us);
		assert_true(
		    memory_holder_ask(&ordinary->holder, 20 * KB, now_us));
		memory_account_relieve(&account, now_us);
		assert_false(ordinary->gone);
		assert_true(account.peak_bytes <= 17 * MB);
		assert_true(account.held_bytes <= 16 * MB);
	}
}

/// Load: a slow caller sends on, others of the same size have stopped.
static void
test_those_without_progress_go_first(void **state)
{
	struct caller *slow;
	int64_t now_us;
	uint32_t i;

	(void)state;
	begin(4 * MB);
	slow = add(0, 1, 400 * KB, 0);
	for (i = 1; i < 10; i++)
		add(i, 2, 400 * KB, 0);
	for (now_us = 0; now_us < 20 * US_PER_S; now_us += US_PER_S / 10)
		memory_holder_progress(&slow->holder, 8 * KB, now_us);
	for (i = 10; i < 18; i++) {
		struct caller *c = add(i, 3, 0, now_us);

		assert_true(memory_holder_ask(&c->holder, 400 * KB, now_us));
		memory_holder_set(&c->holder, 400 * KB);
	}
	assert_false(slow->gone);
}

/// Load: a caller trickles one byte a second to look alive.
static void
test_a_trickle_is_no_progress(void **state)
{
	struct caller *trickle;
	int64_t now_us;

	(void)state;
	begin(1 * MB);
	trickle = add(0, 1, 300 * KB, 0);
	add(1, 2, 300 * KB, 28 * US_PER_S);
	for (now_us = 0; now_us < 30 * US_PER_S; now_us += US_PER_S)
		memory_holder_progress(&trickle->holder, 1, now_us);
	assert_ptr_equal(
	    memory_account_find_victim(&account, now_us), &trickle->holder);
}

/// Load: callers wait for a slow server; strangers keep idle connections.
static void
test_those_who_wait_are_not_behind(void **state)
{
	struct caller *waiting;
	struct caller *idle;

	(void)state;
	begin(1 * MB);
	waiting = add(0, 1, 60 * KB, 0);
	idle = add(1, 2, 33 * KB, 0);
	memory_holder_set_waits(&waiting->holder, true, 0);
	assert_ptr_equal(
	    memory_account_find_victim(&account, 30 * US_PER_S), &idle->holder);
	// Its answer is ready, and it does not take it.
	memory_holder_set_waits(&waiting->holder, false, 30 * US_PER_S);
	assert_ptr_equal(
	    memory_account_find_victim(&account, 31 * US_PER_S), &idle->holder);
	assert_ptr_equal(memory_account_find_victim(&account, 90 * US_PER_S),
	    &waiting->holder);
}

/// Load: one address holds much in many small parts, another one part.
static void
test_by_address(void **state)
{
	uint32_t i;

	(void)state;
	begin(1 * MB);
	add(0, 1, 34 * KB, 0);
	for (i = 1; i < 20; i++)
		add(i, 2, 33 * KB, 0);
	assert_int_equal(memory_account_find_victim(&account, 0)->peer, 2);
}

/// Load: what is held is by requests that a server runs, which do not give way.
static void
test_nobody_gives_way(void **state)
{
	struct caller *c;

	(void)state;
	begin(1 * MB);
	add(0, 1, 1 * MB, 0)->holder.ops = NULL;
	c = add(1, 2, 0, 0);
	assert_false(memory_holder_ask(&c->holder, 10 * KB, 0));
	assert_false(c->gone);
	assert_int_equal(account.held_bytes, 1 * MB);
	memory_account_relieve(&account, 0);
}

/// Load: bodies that are freed only after their connections have closed. No more are
/// closed than needed.
static void
test_memory_that_is_freed_later(void **state)
{
	struct caller *c;
	uint32_t gone = 0;
	uint32_t i;

	(void)state;
	begin(10 * MB);
	for (i = 0; i < 10; i++)
		add(i, 1, 1 * MB, 0)->frees_later = true;
	for (i = 10; i < 13; i++) {
		c = add(i, 2, 0, 5 * US_PER_S);
		assert_true(
		    memory_holder_ask(&c->holder, 300 * KB, 5 * US_PER_S));
		memory_holder_set(&c->holder, 300 * KB);
	}
	for (i = 0; i < 10; i++)
		gone += callers[i].gone;
	assert_int_equal(gone, 1);
	assert_int_equal(account.leaving_bytes, 1 * MB);
	for (i = 0; i < 13; i++)
		memory_account_remove(&callers[i].holder);
	assert_int_equal(account.held_bytes, 0);
	assert_int_equal(account.leaving_bytes, 0);
	assert_int_equal(account.holder_count, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_crowd_of_stalled_bodies),
	    cmocka_unit_test(test_those_without_progress_go_first),
	    cmocka_unit_test(test_a_trickle_is_no_progress),
	    cmocka_unit_test(test_those_who_wait_are_not_behind),
	    cmocka_unit_test(test_by_address),
	    cmocka_unit_test(test_nobody_gives_way),
	    cmocka_unit_test(test_memory_that_is_freed_later),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
