// Ordering of the announcements of a backend server.
#include <string.h>

#include "core/requests/backend.h"
#include "unit/support.h"

#define NOW_US	 1000000000LL
#define LEASE_US 5000000LL
#define STEP_US	 1500000LL

static struct backend_announcement
make_announcement(const char *id, uint64_t process_start, uint64_t sequence,
    enum backend_state state, int64_t now_us)
{
	struct backend_announcement a = {.state = state,
	    .slots = 9,
	    .process_start = process_start,
	    .sequence = sequence,
	    .lease_deadline_us = now_us + LEASE_US};

	strcpy(a.id, id);
	strcpy(a.service, "work");
	strcpy(a.address, "10.0.0.1:80");
	return a;
}

static enum backend_verdict
announce(struct backend *b, const char *id, uint64_t process_start,
    uint64_t sequence, enum backend_state state, int64_t now_us)
{
	struct backend_announcement a =
	    make_announcement(id, process_start, sequence, state, now_us);

	return backend_announce(b, &a, now_us);
}

/// A leave, which names no address.
static enum backend_verdict
leave(struct backend *b, const char *id, uint64_t process_start,
    uint64_t sequence, int64_t now_us)
{
	struct backend_announcement a = {.state = BACKEND_DRAINING,
	    .process_start = process_start,
	    .sequence = sequence};

	strcpy(a.id, id);
	return backend_drain(b, &a, now_us);
}

/// Announcements that arrive late or twice change nothing.
static void
test_out_of_order(void **state)
{
	struct backend b = {.known = false};

	(void)state;
	assert_int_equal(announce(&b, "i-1", 100, 2, BACKEND_READY, NOW_US),
	    BACKEND_CHANGED);
	assert_int_equal(announce(&b, "i-1", 100, 1, BACKEND_DRAINING, NOW_US),
	    BACKEND_STALE);
	assert_int_equal(announce(&b, "i-1", 100, 2, BACKEND_DRAINING, NOW_US),
	    BACKEND_STALE);
	assert_int_equal(
	    announce(&b, "i-0", 50, 9, BACKEND_READY, NOW_US), BACKEND_STALE);
	assert_int_equal(announce(&b, "i-1", 100, 3, BACKEND_READY, NOW_US),
	    BACKEND_RENEWED);
	assert_string_equal(b.latest.id, "i-1");
	assert_int_equal(b.latest.state, BACKEND_READY);
}

/// A server that left is not ready again by a heartbeat that it sent before; a
/// later process under its id is.
static void
test_leave_is_final(void **state)
{
	struct backend b = {.known = false};

	(void)state;
	announce(&b, "i-1", 100, 2, BACKEND_READY, NOW_US);
	assert_int_equal(leave(&b, "i-1", 100, 5, NOW_US), BACKEND_CHANGED);
	assert_int_equal(
	    announce(&b, "i-1", 100, 4, BACKEND_READY, NOW_US), BACKEND_STALE);
	announce(&b, "i-1", 100, 6, BACKEND_READY, NOW_US);
	assert_int_equal(b.latest.state, BACKEND_DRAINING);
	assert_int_equal(announce(&b, "i-1", 200, 1, BACKEND_READY, NOW_US),
	    BACKEND_CHANGED);
	assert_int_equal(b.latest.state, BACKEND_READY);
}

/// After a restart of the proxy, a leave arrives before any heartbeat. It keeps
/// a late heartbeat of that server out, and none of another one.
static void
test_leave_of_unknown_server(void **state)
{
	struct backend b = {.known = false};

	(void)state;
	assert_int_not_equal(leave(&b, "i-1", 300, 0, NOW_US), BACKEND_STALE);
	assert_int_equal(
	    announce(&b, "i-1", 100, 4, BACKEND_READY, NOW_US), BACKEND_STALE);
	assert_int_equal(
	    announce(&b, "i-2", 200, 7, BACKEND_READY, NOW_US + STEP_US),
	    BACKEND_CHANGED);
	assert_string_equal(b.latest.id, "i-2");
	assert_int_equal(b.latest.state, BACKEND_READY);
	assert_int_equal(leave(&b, "i-1", 300, 0, NOW_US), BACKEND_STALE);
}

/// One announcement of another writer, with a sequence far ahead, keeps the
/// server out until the lease has expired, and not for good.
static void
test_sequence_far_ahead(void **state)
{
	struct backend b = {.known = false};
	int64_t now_us = NOW_US;
	uint64_t sequence = 5;

	(void)state;
	announce(&b, "i-1", 100, sequence, BACKEND_READY, now_us);
	announce(&b, "i-1", 100, INT64_MAX, BACKEND_READY, now_us);
	for (; now_us < NOW_US + LEASE_US; now_us += STEP_US)
		assert_int_equal(
		    announce(&b, "i-1", 100, ++sequence, BACKEND_READY, now_us),
		    BACKEND_STALE);
	assert_true(backend_expire(&b, now_us, false));
	announce(&b, "i-1", 100, ++sequence, BACKEND_READY, now_us);
	assert_int_equal(announce(&b, "i-1", 100, ++sequence, BACKEND_READY,
			     now_us + STEP_US),
	    BACKEND_CHANGED);
	assert_int_equal(b.latest.sequence, sequence);
}

/// An announcement from before a crash that arrives late, also twice, does not
/// revive the server.
static void
test_late_after_crash(void **state)
{
	struct backend b = {.known = false};
	int64_t now_us = NOW_US + LEASE_US;

	(void)state;
	announce(&b, "i-1", 100, 9, BACKEND_READY, NOW_US);
	assert_true(backend_expire(&b, now_us, false));
	assert_int_equal(
	    announce(&b, "i-1", 100, 8, BACKEND_READY, now_us), BACKEND_STALE);
	assert_int_equal(
	    announce(&b, "i-1", 100, 8, BACKEND_READY, now_us), BACKEND_STALE);
	assert_int_equal(
	    announce(&b, "i-1", 100, 7, BACKEND_READY, now_us), BACKEND_STALE);
	assert_int_equal(b.latest.state, BACKEND_NONE);
}

/// Load: a writer sends heartbeats and leaves under the server's id, born ahead of the
/// clock. The server that is heard serves on; once it is silent, the other counts.
static void
test_born_ahead_of_the_clock(void **state)
{
	struct backend b = {.known = false};
	struct backend_announcement odd =
	    make_announcement("i-1", 900000, 1, BACKEND_READY, NOW_US);
	struct backend_announcement left = {
	    .process_start = 900000, .state = BACKEND_DRAINING};
	int64_t now_us = NOW_US;

	(void)state;
	assert_true(backend_is_start_ahead(900000, 100000000));
	assert_false(backend_is_start_ahead(101000, 100000000));
	odd.start_ahead = left.start_ahead = true;
	strcpy(left.id, "i-1");
	announce(&b, "i-1", 100, 2, BACKEND_READY, now_us);
	assert_int_equal(backend_announce(&b, &odd, now_us), BACKEND_STALE);
	assert_int_equal(backend_drain(&b, &left, now_us), BACKEND_STALE);
	assert_int_equal(announce(&b, "i-1", 100, 3, BACKEND_READY, now_us),
	    BACKEND_RENEWED);
	now_us += LEASE_US;
	assert_int_equal(backend_announce(&b, &odd, now_us), BACKEND_CHANGED);
	// The clock was set back while it ran: it renews its own lease.
	odd.sequence++;
	odd.lease_deadline_us = now_us + LEASE_US;
	assert_int_equal(backend_announce(&b, &odd, now_us), BACKEND_RENEWED);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_born_ahead_of_the_clock),
	    cmocka_unit_test(test_out_of_order),
	    cmocka_unit_test(test_leave_is_final),
	    cmocka_unit_test(test_leave_of_unknown_server),
	    cmocka_unit_test(test_sequence_far_ahead),
	    cmocka_unit_test(test_late_after_crash),
	};

	return cmocka_run_group_tests_name("backend", tests, NULL, NULL);
}
