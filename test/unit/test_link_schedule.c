// Bodies and short messages on the link of one VM, on a virtual clock.
#include <string.h>

#include "core/requests/link_schedule.h"
#include "unit/support.h"

#define MS	   1000
#define SECOND_US  1000000LL
#define LINK_MBPS  14.0
#define BODY_BYTES 90000
#define BODIES	   40

struct body {
	struct link_flow flow; ///< Must be first.
	int64_t end_us;	       ///< Left the VM whole; 0: not yet.
};

/// A VM whose link carries what is sent in the order of sending.
struct vm {
	struct link_schedule schedule;
	struct body bodies[BODIES];
	int64_t now_us;
	double link_free_us; ///< The link has carried all that was sent.
};

/// Sends bytes on the link.
///
/// @return when the link has carried them
static int64_t
carry(struct vm *vm, int64_t size_bytes)
{
	if (vm->link_free_us < (double)vm->now_us)
		vm->link_free_us = (double)vm->now_us;
	vm->link_free_us += (double)size_bytes * 8 / LINK_MBPS;
	link_schedule_charge(&vm->schedule, size_bytes, vm->now_us);
	return (int64_t)vm->link_free_us;
}

static void
send_pieces(struct vm *vm)
{
	struct link_flow *flow;

	while ((flow = link_schedule_next(&vm->schedule, vm->now_us)) != NULL) {
		int64_t size_bytes = link_schedule_piece_bytes(&vm->schedule);

		if (size_bytes > flow->queued_bytes)
			size_bytes = flow->queued_bytes;
		link_schedule_take(&vm->schedule, flow, size_bytes);
		((struct body *)flow)->end_us = carry(vm, size_bytes);
		if (flow->queued_bytes > 0)
			((struct body *)flow)->end_us = 0;
		else
			link_schedule_remove(&vm->schedule, flow);
	}
}

/// Queues a whole body.
static struct body *
add_body(struct vm *vm, uint32_t at, uint32_t worth, int64_t target_us)
{
	struct body *body = &vm->bodies[at];

	body->flow.worth = worth;
	body->flow.target_deadline_us = target_us;
	link_schedule_add(&vm->schedule, &body->flow);
	link_schedule_queue(&vm->schedule, &body->flow, BODY_BYTES);
	return body;
}

/// Load: 40 bodies of 90 KB at once, 2.1 s of a link of 14 Mbit/s, beside short
/// answers every 20 ms whose callers wait for 500 ms. A short answer waits for a
/// piece or two, not for the bodies; and the link is never idle.
static void
test_short_answers_pass(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	int64_t worst_us = 0;
	int64_t last_us = 0;
	uint32_t i;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	for (i = 0; i < BODIES; i++)
		add_body(&vm, i, 1, SECOND_US + 4 * SECOND_US);
	for (i = 0; vm.schedule.queued_bytes > 0; i++) {
		send_pieces(&vm);
		if (i % 20 == 0 && carry(&vm, 300) - vm.now_us > worst_us)
			worst_us = (int64_t)vm.link_free_us - vm.now_us;
		vm.now_us += 1 * MS;
	}
	for (i = 0; i < BODIES; i++)
		if (vm.bodies[i].end_us > last_us)
			last_us = vm.bodies[i].end_us;
	assert_true(worst_us < 15 * MS);
	// The link carries the bodies alone in 2.06 s, without heads.
	assert_true(last_us - SECOND_US < 2300 * MS);
}

/// Load: bodies for 2.1 s of the link that all have 1 s. As many as the link
/// carries arrive in time, one after the other; those that cannot any more wait
/// until no other needs the link.
static void
test_some_arrive_in_time(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	uint32_t in_time = 0;
	uint32_t i;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	for (i = 0; i < BODIES; i++)
		add_body(&vm, i, 1, 2 * SECOND_US);
	for (; vm.schedule.queued_bytes > 0; vm.now_us += 1 * MS)
		send_pieces(&vm);
	for (i = 0; i < BODIES; i++)
		in_time += vm.bodies[i].end_us <= 2 * SECOND_US;
	// 1 s of the link is 19.4 bodies.
	assert_true(in_time >= 17);
}

/// Bodies of begun work go first, then those of more worth, then the nearest
/// target; a body that is late already gives way to one that is not.
static void
test_order(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	struct body *late;
	struct body *far;
	struct body *near;
	struct body *worthy;
	struct body *begun;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	late = add_body(&vm, 0, 1, SECOND_US + 10 * MS);
	far = add_body(&vm, 1, 1, 4 * SECOND_US);
	near = add_body(&vm, 2, 1, 3 * SECOND_US);
	worthy = add_body(&vm, 3, 2, 4 * SECOND_US);
	begun = add_body(&vm, 4, 1, 4 * SECOND_US);
	begun->flow.begun = true;
	for (; vm.schedule.queued_bytes > 0; vm.now_us += 1 * MS)
		send_pieces(&vm);
	assert_true(begun->end_us < worthy->end_us);
	assert_true(worthy->end_us < near->end_us);
	assert_true(near->end_us < far->end_us);
	assert_true(far->end_us < late->end_us);
}

/// A body that cannot arrive any more is not broken off before its deadline, but has
/// the link only while no other body needs it; it ends at its deadline.
static void
test_hopeless_gives_way(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	struct body *hopeless;
	struct body *late;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	hopeless = add_body(&vm, 0, 1, SECOND_US - 1);
	hopeless->flow.deadline_us = vm.now_us + 40 * MS;
	late = add_body(&vm, 1, 1, SECOND_US - 1);
	late->flow.left_bytes = 2 * BODY_BYTES;
	late->flow.deadline_us = vm.now_us + 200 * MS;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &late->flow);
	assert_null(link_schedule_find_late(&vm.schedule, vm.now_us));
	vm.now_us = hopeless->flow.deadline_us;
	assert_null(link_schedule_find_late(&vm.schedule, vm.now_us));
	assert_ptr_equal(link_schedule_find_late(&vm.schedule, vm.now_us + 1),
	    &hopeless->flow);
	// What is still to come counts: now neither can arrive.
	late->flow.left_bytes = 10 * BODY_BYTES;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &hopeless->flow);
}

/// Load: bodies for 2.1 s of the link, and behind them two for proxies that leave in
/// 300 and 200 ms. Both arrive whole before, the nearest end first, and the others are
/// only as much later.
static void
test_leaving_receiver_gets_its_answers(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	struct body *leaving[2];
	int64_t last_us = 0;
	uint32_t i;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	for (i = 0; i < BODIES - 2; i++)
		add_body(&vm, i, 2, 4 * SECOND_US)->flow.begun = i % 2;
	for (i = 0; i < 2; i++) {
		leaving[i] = add_body(&vm, BODIES - 2 + i, 1, SECOND_US);
		leaving[i]->flow.receiver_end_us =
		    vm.now_us + (300 - 100 * i) * MS;
	}
	for (; vm.schedule.queued_bytes > 0; vm.now_us += 1 * MS)
		send_pieces(&vm);
	assert_true(leaving[1]->end_us < leaving[0]->end_us);
	for (i = 0; i < 2; i++)
		assert_true(
		    leaving[i]->end_us <= leaving[i]->flow.receiver_end_us);
	for (i = 0; i < BODIES; i++)
		if (vm.bodies[i].end_us > last_us)
			last_us = vm.bodies[i].end_us;
	assert_true(last_us - SECOND_US < 2300 * MS);
}

/// What a proxy that stays gets is cut too, at the deadline of its caller. A body that has
/// time until its proxy ends leaves it the link, one that has little does not.
static void
test_near_deadline_before_far_end(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	struct body *leaving;
	struct body *near;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	leaving = add_body(&vm, 0, 1, SECOND_US);
	near = add_body(&vm, 1, 1, SECOND_US);
	near->flow.deadline_us = vm.now_us + 80 * MS;
	leaving->flow.receiver_end_us = vm.now_us + 500 * MS;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &leaving->flow);
	leaving->flow.receiver_end_us = vm.now_us + 3 * SECOND_US;
	for (; vm.schedule.queued_bytes > 0; vm.now_us += 1 * MS)
		send_pieces(&vm);
	assert_true(leaving->end_us <= leaving->flow.receiver_end_us);
	assert_true(near->end_us <= near->flow.deadline_us);
}

/// Of two bodies for proxies that leave, the one whose caller leaves before them goes
/// first.
static void
test_nearest_cut_first(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	struct body *first_end;
	struct body *first_cut;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	first_end = add_body(&vm, 0, 1, SECOND_US);
	first_end->flow.receiver_end_us = vm.now_us + 400 * MS;
	first_cut = add_body(&vm, 1, 1, SECOND_US);
	first_cut->flow.receiver_end_us = vm.now_us + 900 * MS;
	first_cut->flow.deadline_us = vm.now_us + 200 * MS;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &first_cut->flow);
	first_cut->flow.deadline_us = vm.now_us + 600 * MS;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &first_end->flow);
}

/// A body that cannot reach a proxy before it ends, or leave this VM before its own
/// end, holds up no other.
static void
test_no_link_for_what_is_cut_anyway(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	struct body *hopeless;
	struct body *other;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	hopeless = add_body(&vm, 0, 1, 4 * SECOND_US);
	other = add_body(&vm, 1, 1, 5 * SECOND_US);
	other->flow.left_bytes = 2 * BODY_BYTES;
	// A body is 53 ms of the link.
	hopeless->flow.receiver_end_us = vm.now_us + 40 * MS;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &other->flow);
	hopeless->flow.receiver_end_us = vm.now_us + 100 * MS;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &hopeless->flow);
	hopeless->flow.receiver_end_us = 0;
	other->flow.target_deadline_us = 3 * SECOND_US;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &other->flow);
	vm.schedule.end_us = vm.now_us + 80 * MS;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &hopeless->flow);
}

/// Two bodies for a proxy that leaves fill the link until it ends. A third one for it, which
/// would go before them since its caller leaves earlier, is not taken; one that is cut
/// later, by another proxy, is.
static void
test_leaving_receivers_are_not_promised_too_much(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	struct link_flow added = {.worth = 9, .left_bytes = BODY_BYTES};
	uint32_t i;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	for (i = 0; i < 2; i++)
		add_body(&vm, i, 1, 0)->flow.receiver_end_us =
		    vm.now_us + 130 * MS;
	added.receiver_end_us = vm.now_us + 130 * MS;
	added.deadline_us = vm.now_us + 100 * MS;
	assert_false(link_schedule_keeps_cuts(&vm.schedule, &added, vm.now_us));
	added.receiver_end_us = vm.now_us + 300 * MS;
	added.deadline_us = 0;
	assert_true(link_schedule_keeps_cuts(&vm.schedule, &added, vm.now_us));
	added.receiver_end_us = vm.now_us + 140 * MS;
	assert_false(link_schedule_keeps_cuts(&vm.schedule, &added, vm.now_us));
}

/// An answer that its server gives 10 ms before the deadline, 53 ms of the link, leaves
/// whole.
static void
test_answer_of_the_last_moment(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	struct body *body;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	body = add_body(&vm, 0, 1, SECOND_US);
	body->flow.deadline_us =
	    link_schedule_answer_deadline_us(SECOND_US + 10 * MS, vm.now_us);
	for (; vm.schedule.queued_bytes > 0; vm.now_us += 1 * MS) {
		assert_null(link_schedule_find_late(&vm.schedule, vm.now_us));
		send_pieces(&vm);
	}
	assert_int_equal(
	    link_schedule_answer_deadline_us(9 * SECOND_US, vm.now_us),
	    9 * SECOND_US);
}

/// A stream that takes nothing does not hold up the others; and without a known
/// capacity nothing waits.
static void
test_blocked_and_unknown(void **state)
{
	struct vm vm = {.now_us = SECOND_US};
	struct body *blocked;
	struct body *other;

	(void)state;
	link_schedule_init(&vm.schedule, LINK_MBPS);
	blocked = add_body(&vm, 0, 2, 0);
	other = add_body(&vm, 1, 1, 0);
	blocked->flow.blocked = true;
	assert_ptr_equal(
	    link_schedule_next(&vm.schedule, vm.now_us), &other->flow);
	link_schedule_init(&vm.schedule, 0);
	add_body(&vm, 2, 1, 0);
	link_schedule_charge(&vm.schedule, 100 * BODY_BYTES, vm.now_us);
	assert_int_equal(link_schedule_wait_us(&vm.schedule, vm.now_us), 0);
	assert_int_equal(
	    link_schedule_ahead_us(&vm.schedule, &other->flow, vm.now_us), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_short_answers_pass),
	    cmocka_unit_test(test_some_arrive_in_time),
	    cmocka_unit_test(test_order),
	    cmocka_unit_test(test_hopeless_gives_way),
	    cmocka_unit_test(test_leaving_receiver_gets_its_answers),
	    cmocka_unit_test(test_near_deadline_before_far_end),
	    cmocka_unit_test(test_nearest_cut_first),
	    cmocka_unit_test(test_no_link_for_what_is_cut_anyway),
	    cmocka_unit_test(test_leaving_receivers_are_not_promised_too_much),
	    cmocka_unit_test(test_answer_of_the_last_moment),
	    cmocka_unit_test(test_blocked_and_unknown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
