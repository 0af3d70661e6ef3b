// Bytes by kind of message and distance, as the metrics show them.
#include <stdio.h>
#include <string.h>

#include "io/log/counters.h"
#include "io/net/volume.h"
#include "unit/support.h"

static bool
shows(const char *line)
{
	msgpack_sbuffer out;
	bool found;

	msgpack_sbuffer_init(&out);
	counters_render_metrics(&out);
	msgpack_sbuffer_write(&out, "", 1);
	found = strstr(out.data, line) != NULL;
	msgpack_sbuffer_destroy(&out);
	return found;
}

static void
test_by_kind_and_distance(void **state)
{
	struct address near;
	struct address far;

	(void)state;
	assert_int_equal(address_make("10.1.0.1", 7, &near), 0);
	assert_int_equal(address_make("10.2.0.1", 7, &far), 0);
	assert_false(shows("sent_bytes{"));
	volume_count(MESSAGE_GOSSIP, &near, 100);
	assert_true(
	    shows("sent_bytes{message=\"gossip\",distance=\"unknown\"} 100\n"));
	volume_set_distance(&near, DISTANCE_DC);
	volume_set_distance(&far, DISTANCE_REGION);
	volume_set_distance(&far, DISTANCE_FAR);
	volume_count(MESSAGE_GOSSIP, &near, 30);
	volume_count(MESSAGE_RAFT, &far, 40);
	volume_count(MESSAGE_RAFT, &far, 2);
	assert_true(
	    shows("sent_bytes{message=\"gossip\",distance=\"dc\"} 30\n"));
	assert_true(
	    shows("sent_bytes{message=\"raft\",distance=\"far\"} 42\n"));
	assert_false(shows("distance=\"region\""));
}

/// The VM announced last has its distance, however many there were before; one
/// that was never announced has none.
static void
test_more_vms_than_slots(void **state)
{
	struct address vm;
	char host[20];
	uint32_t i;

	(void)state;
	for (i = 0; i < 5000; i++) {
		snprintf(host, sizeof(host), "10.9.%u.%u", i / 250, i % 250);
		assert_int_equal(address_make(host, 7, &vm), 0);
		volume_set_distance(&vm, DISTANCE_REGION);
		volume_count(MESSAGE_PULL, &vm, 2);
	}
	assert_true(
	    shows("sent_bytes{message=\"pull\",distance=\"region\"} 10000\n"));
	assert_int_equal(address_make("10.8.0.1", 7, &vm), 0);
	volume_count(MESSAGE_PULL, &vm, 8);
	assert_true(
	    shows("sent_bytes{message=\"pull\",distance=\"unknown\"} 8\n"));
}

/// 100 kB need 200 ms on a link of 4 Mbit/s.
static void
test_backlog_of_the_link(void **state)
{
	struct volume_sample sample = {.link_mbps = 4};
	struct volume_sample unknown = {0};
	struct address vm;

	(void)state;
	assert_int_equal(address_make("10.1.0.1", 7, &vm), 0);
	volume_log_backlog(&sample, 1000000);
	assert_false(volume_log_backlog(&sample, 1200000));
	volume_count(MESSAGE_RULES, &vm, 99000);
	assert_false(volume_log_backlog(&sample, 1400000));
	volume_count(MESSAGE_RULES, &vm, 101000);
	assert_false(volume_log_backlog(&sample, 1599999));
	assert_true(volume_log_backlog(&sample, 1600000));
	assert_false(volume_log_backlog(&sample, 1800000));
	volume_count(MESSAGE_RULES, &vm, 10000000);
	assert_false(volume_log_backlog(&unknown, 2000000));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_by_kind_and_distance),
	    cmocka_unit_test(test_more_vms_than_slots),
	    cmocka_unit_test(test_backlog_of_the_link),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
