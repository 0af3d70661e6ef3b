// Which version of a service a request goes to: shares, fallbacks, versions that
// were rolled back, and a proxy that stops by itself.
#include <string.h>

#include "core/requests/balancer.h"
#include "unit/support.h"

#define NOW_US	 1000000
#define REQUESTS 20000

struct world {
	struct balancer b;
	struct rollout_table table;
	uint32_t got[3]; ///< By version: v1, v2, none.
};

static void
set_rollout(struct world *w, const char *version, enum rollout_state state,
    uint32_t share, uint64_t order)
{
	struct rollout r = {.state = state,
	    .share_permille = share,
	    .order = order,
	    .revision = rollout_table_revision(&w->table) + 1};

	strcpy(r.service, "s");
	strcpy(r.version, version);
	rollout_table_merge(&w->table, &r);
}

/// Sets a view of old servers (v1) and new ones (v2).
static void
set_view(struct world *w, uint32_t old_count, uint32_t new_count)
{
	uint32_t i;

	rollout_table_get_filter(&w->table, "s", &w->b.rollout);
	rollout_own_follow(&w->b.rollout_own, &w->b.rollout);
	balancer_begin_view(&w->b);
	for (i = 0; i < old_count + new_count; i++) {
		struct member m = {.backend = BACKEND_READY, .slots = 9};

		m.name[0] = (char)('a' + i);
		strcpy(m.host, "127.0.0.1");
		strcpy(m.service, "s");
		strcpy(m.server_version, i < old_count ? "v1" : "v2");
		balancer_add(&w->b, &m, DISTANCE_DC, NOW_US);
	}
	balancer_end_view(&w->b, NOW_US);
}

static void
send(struct world *w, uint32_t old_count)
{
	uint32_t i;

	memset(w->got, 0, sizeof(w->got));
	for (i = 0; i < REQUESTS; i++) {
		struct balancer_request q = {
		    .worth = 1, .rollout_draw_permille = i % ROLLOUT_PERMILLE};
		int64_t now_us = NOW_US + i * 10000LL;
		struct balancer_choice c = balancer_choose(&w->b, &q, now_us);

		if (c.endpoint == NULL) {
			w->got[2]++;
			continue;
		}
		w->got[(uint32_t)(c.endpoint->name[0] - 'a') >= old_count]++;
		balancer_finish(
		    &w->b, c.endpoint, now_us - 5000, false, now_us);
	}
}

static void
expect(struct world *w, uint32_t old_count, uint32_t new_count, uint32_t to_old,
    uint32_t to_new)
{
	set_view(w, old_count, new_count);
	send(w, old_count);
	assert_int_equal(w->got[0], to_old);
	assert_int_equal(w->got[1], to_new);
	assert_int_equal(w->got[2], REQUESTS - to_old - to_new);
}

static void
setup(struct world *w)
{
	memset(w, 0, sizeof(*w));
	balancer_init(&w->b, "s", 1, 0);
}

static void
test_shares(void **state)
{
	struct world w;

	(void)state;
	setup(&w);
	set_rollout(&w, "v2", ROLLOUT_RUNNING, 0, 1);
	expect(&w, 3, 3, REQUESTS, 0);
	set_rollout(&w, "v2", ROLLOUT_RUNNING, 40, 1);
	expect(&w, 3, 3, REQUESTS * 96 / 100, REQUESTS * 4 / 100);
	// No new server takes work: the old ones take all.
	expect(&w, 3, 0, REQUESTS, 0);
	// All old servers are gone.
	expect(&w, 0, 3, 0, REQUESTS);
	set_rollout(&w, "v2", ROLLOUT_RUNNING, 1000, 1);
	expect(&w, 3, 3, 0, REQUESTS);
	set_rollout(&w, "v2", ROLLOUT_COMPLETED, 1000, 1);
	expect(&w, 3, 3, 0, REQUESTS);
	expect(&w, 3, 0, REQUESTS, 0);
	balancer_free(&w.b);
}

/// While the old servers are full, what is drawn for them waits; what is drawn for
/// the new one goes to the old one if that alone has room.
static void
test_full_servers(void **state)
{
	struct balancer_request q = {
	    .worth = 1, .rollout_draw_permille = ROLLOUT_PERMILLE - 1};
	struct world w;
	uint32_t i;

	(void)state;
	setup(&w);
	set_rollout(&w, "v2", ROLLOUT_RUNNING, 40, 1);
	set_view(&w, 3, 3);
	for (i = 0; i < 3; i++)
		balancer_set_busy(w.b.endpoints[i], &q, NOW_US + 1);
	assert_null(balancer_choose(&w.b, &q, NOW_US).endpoint);
	q.rollout_draw_permille = 0;
	assert_non_null(balancer_choose(&w.b, &q, NOW_US).endpoint);
	for (i = 0; i < 6; i++)
		balancer_set_busy(
		    w.b.endpoints[i], &q, NOW_US + (i < 3 ? 0 : 1));
	assert_int_equal(
	    balancer_choose(&w.b, &q, NOW_US).endpoint->side, ROLLOUT_SIDE_OLD);
	balancer_free(&w.b);
}

static void
test_rolled_back(void **state)
{
	struct world w;

	(void)state;
	setup(&w);
	set_rollout(&w, "v2", ROLLOUT_ROLLED_BACK, 0, 1);
	expect(&w, 3, 3, REQUESTS, 0);
	expect(&w, 0, 3, 0, 0);
	// Nor while a later version is brought in.
	set_rollout(&w, "v3", ROLLOUT_RUNNING, 500, 9);
	expect(&w, 3, 3, REQUESTS, 0);
	balancer_free(&w.b);
}

/// Without an order, versions do not matter.
static void
test_no_order(void **state)
{
	struct world w;

	(void)state;
	setup(&w);
	expect(&w, 0, 3, 0, REQUESTS);
	expect(&w, 3, 0, REQUESTS, 0);
	set_view(&w, 3, 3);
	send(&w, 3);
	assert_int_equal(w.got[2], 0);
	balancer_free(&w.b);
}

/// A proxy that sees failures of the new version stops using it, until the next
/// order.
static void
test_stops_by_itself(void **state)
{
	struct rollout_answer a = {.route = 1};
	struct rollout_finding finding = {.bad_servers = 0};
	struct world w;
	int64_t now_us = NOW_US;
	uint32_t i;

	(void)state;
	setup(&w);
	set_rollout(&w, "v2", ROLLOUT_RUNNING, 300, 1);
	set_view(&w, 3, 3);
	for (i = 0; i < 400 && !w.b.rollout_own.stopped; i++) {
		a.server = i % 6;
		a.is_new = a.server >= 3;
		a.failed = a.is_new && i / 6 % 2 == 0;
		now_us += 10000;
		rollout_own_add(&w.b.rollout_own, &a, now_us, &finding);
	}
	assert_true(w.b.rollout_own.stopped);
	assert_int_equal(finding.bad_servers, 3);
	expect(&w, 3, 3, REQUESTS, 0);
	set_rollout(&w, "v2", ROLLOUT_RUNNING, 600, 1);
	expect(&w, 3, 3, REQUESTS, 0);
	set_rollout(&w, "v2", ROLLOUT_ROLLED_BACK, 0, 1);
	set_rollout(&w, "v3", ROLLOUT_RUNNING, 600, 7);
	set_view(&w, 3, 3);
	assert_false(w.b.rollout_own.stopped);
	balancer_free(&w.b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_shares),
	    cmocka_unit_test(test_full_servers),
	    cmocka_unit_test(test_rolled_back),
	    cmocka_unit_test(test_no_order),
	    cmocka_unit_test(test_stops_by_itself),
	};

	return cmocka_run_group_tests_name(
	    "rollout_versions", tests, NULL, NULL);
}
