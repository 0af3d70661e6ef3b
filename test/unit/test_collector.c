// Receive rate of bodies over a link with less bandwidth than the demand.
#include <string.h>

#include "core/requests/collector.h"
#include "unit/support.h"

#define MS_US	   1000LL
#define LINK_BPMS  500LL /* bytes in a millisecond, 4 Mbit/s */
#define BODY_BYTES 60000LL

/// Receives a body over the link, in parts.
static int64_t
receive_body(struct collector *c, int64_t now_us)
{
	int64_t remaining_bytes = BODY_BYTES;

	collector_add(c, BODY_BYTES);
	collector_begin(c, now_us);
	while (remaining_bytes > 0) {
		int64_t part_bytes =
		    remaining_bytes < 10000 ? remaining_bytes : 10000;

		now_us += part_bytes * MS_US / LINK_BPMS;
		collector_receive_part(c, part_bytes, now_us);
		remaining_bytes -= part_bytes;
	}
	collector_end(c, 0, true, now_us);
	return now_us;
}

/// Every body is accepted while the rate is not known.
static void
test_unknown_rate(void **state)
{
	struct collector c;
	int64_t wait_us;

	(void)state;
	memset(&c, 0, sizeof(c));
	collector_add(&c, 100 * BODY_BYTES);
	assert_true(collector_can_accept(&c, BODY_BYTES, 1, 0, &wait_us));
}

/// The expected wait covers all pending bodies, at the measured rate.
static void
test_wait_follows_rate(void **state)
{
	struct collector c;
	int64_t now_us = 0;
	int64_t wait_us;
	int i;

	(void)state;
	memset(&c, 0, sizeof(c));
	for (i = 0; i < 10; i++)
		now_us = receive_body(&c, now_us);
	for (i = 0; i < 4; i++)
		collector_add(&c, BODY_BYTES);
	// Five bodies of 120 ms each.
	assert_true(collector_can_accept(
	    &c, BODY_BYTES, 660 * MS_US, now_us, &wait_us));
	assert_in_range(wait_us, 540 * MS_US, 660 * MS_US);
	assert_false(collector_can_accept(
	    &c, BODY_BYTES, 500 * MS_US, now_us, &wait_us));
}

/// Time without a requested body does not change the rate.
static void
test_idle_time(void **state)
{
	struct collector c;
	int64_t now_us = 0;
	int64_t before_us;
	int64_t after_us;
	int i;

	(void)state;
	memset(&c, 0, sizeof(c));
	for (i = 0; i < 10; i++)
		now_us = receive_body(&c, now_us);
	collector_add(&c, BODY_BYTES);
	collector_can_accept(&c, BODY_BYTES, 0, now_us, &before_us);
	collector_can_accept(
	    &c, BODY_BYTES, 0, now_us + 60000 * MS_US, &after_us);
	assert_int_equal(before_us, after_us);
}

/// A cancelled body no longer counts as pending.
static void
test_cancelled_body(void **state)
{
	struct collector c;
	int64_t now_us = 0;
	int64_t wait_us;
	int i;

	(void)state;
	memset(&c, 0, sizeof(c));
	for (i = 0; i < 10; i++)
		now_us = receive_body(&c, now_us);
	collector_add(&c, 10 * BODY_BYTES);
	assert_false(collector_can_accept(&c, BODY_BYTES, 0, now_us, &wait_us));
	collector_end(&c, 10 * BODY_BYTES, false, now_us);
	assert_true(collector_can_accept(&c, BODY_BYTES, 0, now_us, &wait_us));
	assert_int_equal(c.pending_bytes, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_unknown_rate),
	    cmocka_unit_test(test_wait_follows_rate),
	    cmocka_unit_test(test_idle_time),
	    cmocka_unit_test(test_cancelled_body),
	};

	return cmocka_run_group_tests_name("collector", tests, NULL, NULL);
}
