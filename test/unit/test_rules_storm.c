// Plays storms of versions on the proxies of one data centre with narrow links.
//
// Requests and cancels of a VM wait behind the rules that it sends. A caller's
// leaving must reach the backend server within 0.5 s: 0.1 s until the ingress
// notices, which leaves 0.2 s for the links of each of the two VMs.
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/membership/pull_share.h"
#include "core/membership/version_sync.h"
#include "core/random.h"
#include "core/rules/rule_file.h"
#include "io/net/deflate.h"
#include "io/rules_message.h"
#include "unit/support.h"

#define MS_US 1000LL
#define S_US  1000000LL

#define PROXIES	    33
#define VMS	    (PROXIES + 1)
#define SOURCE	    0
#define MAX_EVENTS  4000
#define STAGGER_US  (300 * MS_US)
#define HEDGE_US    (300 * MS_US)
#define ADOPTION_US (60 * MS_US) ///< Of a large file on a tenth of a core.

#define MAX_BACKLOG_US	(200 * MS_US)
#define MAX_IN_FORCE_US (2500 * MS_US)

struct vm {
	struct version_sync sync;
	struct rule_file *file;
	struct pull_share share;
	double link_mbps;
	int64_t uplink_free_us;
	int64_t downlink_free_us;
	uint32_t pull_sequence;
	int64_t worst_backlog_us;
};

enum event_kind {
	EVENT_NONE,
	EVENT_HOLDER,  ///< A VM learns that another one has a version.
	EVENT_PULL,    ///< A pull reaches its holder.
	EVENT_BUSY,    ///< A refusal reaches the puller.
	EVENT_ANSWER,  ///< An answer reaches the puller.
	EVENT_ADOPTED, ///< The puller has parsed the answer.
};

struct event {
	enum event_kind kind;
	int64_t at_us;
	uint32_t vm;
	uint32_t from;
	uint32_t sequence; ///< Of the pull.
	uint64_t version;  ///< Of the holder.
	int64_t wait_us;   ///< Until the puller may ask again.
	struct rule_file *file;
};

struct play {
	struct vm vms[VMS];
	struct event events[MAX_EVENTS];
	struct random random;
	int64_t now_us;
	char *text;
	uint32_t line_count;
	uint64_t version;
	int64_t accepted_us; ///< Time of the last acceptance, or restart.
	int64_t in_force_us; ///< Time of the last adoption.
};

static struct event *
add_event(struct play *p, enum event_kind kind, int64_t at_us, uint32_t vm,
    uint32_t from)
{
	uint32_t i;

	for (i = 0; i < MAX_EVENTS; i++)
		if (p->events[i].kind == EVENT_NONE) {
			struct event e = {.kind = kind,
			    .at_us = at_us,
			    .vm = vm,
			    .from = from};

			p->events[i] = e;
			return &p->events[i];
		}
	fail_msg("too many events");
	return NULL;
}

static struct play *play_of_pull;

static void
on_pull(struct version_sync *vs, const struct holder *from)
{
	struct play *p = play_of_pull;
	struct vm *vm = vs->owner;
	struct event *e = add_event(p, EVENT_PULL, p->now_us + MS_US,
	    from->port, (uint32_t)(vm - p->vms));

	e->sequence = ++vm->pull_sequence;
}

static const struct version_sync_ops sync_ops = {.pull = on_pull};

/// Puts a file in force at a VM; the others learn of it by gossip.
static void
put_in_force(struct play *p, uint32_t at, struct rule_file *file)
{
	struct vm *vm = &p->vms[at];
	uint32_t i;

	p->in_force_us = p->now_us;
	rule_file_unref(vm->file);
	vm->file = rule_file_ref(file);
	version_sync_set_version(&vm->sync, file->version);
	for (i = 1; i < VMS; i++)
		if (i != at)
			add_event(p, EVENT_HOLDER,
			    p->now_us + 20 * MS_US +
				random_time_us(&p->random, 100 * MS_US),
			    i, at)
			    ->version = file->version;
}

/// Rewrites some lines of the text, or appends others, as the next version.
static void
accept_version(struct play *p, uint32_t changed, uint32_t added)
{
	char line[160];
	struct rule_file *file;
	char *text = NULL;
	size_t used = 0;
	size_t n;
	uint32_t i;
	const char *at = p->text;

	text = malloc((p->line_count + added) * sizeof(line) + 1);
	assert_non_null(text);
	for (i = 0; i < p->line_count + added; i++) {
		bool fresh = i >= p->line_count ||
		    random_below(&p->random, p->line_count) < changed;

		n = i < p->line_count ? strcspn(at, "\n") + 1 : 0;
		if (fresh)
			used += (size_t)snprintf(text + used, sizeof(line),
			    "match r-%08x host=h%06x.example path=/%08x/ "
			    "service=logdesk rank=p1 kind=safe timeout=2500ms "
			    "target=1500ms attempts=2 # op\n",
			    (unsigned)random_next(&p->random),
			    (unsigned)random_below(&p->random, 64),
			    (unsigned)random_next(&p->random));
		else {
			memcpy(text + used, at, n);
			used += n;
		}
		at += n;
	}
	text[used] = '\0';
	free(p->text);
	p->text = text;
	p->line_count += added;
	p->accepted_us = p->now_us;
	file = rule_file_create(text, used);
	file->version = ++p->version;
	put_in_force(p, SOURCE, file);
	rule_file_unref(file);
}

static size_t
answer_bytes(const struct rules_answer *answer)
{
	msgpack_sbuffer out;
	size_t size_bytes;
	char *deflated;

	msgpack_sbuffer_init(&out);
	message_pack_frame(&out, answer->type, &answer->u);
	size_bytes = out.size;
	// As the streams do.
	if (size_bytes > 2048) {
		size_bytes = deflate_bytes(out.data, out.size, &deflated);
		free(deflated);
	}
	msgpack_sbuffer_destroy(&out);
	return size_bytes;
}

static int64_t
link_time_us(double link_mbps, size_t size_bytes)
{
	return (int64_t)((double)size_bytes * 8 / link_mbps);
}

static int64_t
max_us(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/// Sends bytes over the uplink of one VM and the downlink of another.
///
/// @return the time of arrival
static int64_t
transfer(struct play *p, struct vm *from, struct vm *to, size_t size_bytes)
{
	int64_t start_us = max_us(p->now_us, from->uplink_free_us);

	from->uplink_free_us =
	    start_us + link_time_us(from->link_mbps, size_bytes);
	to->downlink_free_us = max_us(start_us, to->downlink_free_us) +
	    link_time_us(to->link_mbps, size_bytes);
	from->worst_backlog_us =
	    max_us(from->worst_backlog_us, from->uplink_free_us - p->now_us);
	to->worst_backlog_us =
	    max_us(to->worst_backlog_us, to->downlink_free_us - start_us);
	return max_us(from->uplink_free_us, to->downlink_free_us) + MS_US;
}

static void
answer_pull(struct play *p, const struct event *e)
{
	struct vm *holder = &p->vms[e->vm];
	struct vm *puller = &p->vms[e->from];
	struct message_pull pull = {0};
	struct rules_answer answer;
	struct event *answered;
	size_t size_bytes;
	int64_t wait_us = pull_share_wait_us(&holder->share, p->now_us);

	if (wait_us > 0) {
		answered =
		    add_event(p, EVENT_BUSY, p->now_us + MS_US, e->from, e->vm);
		answered->sequence = e->sequence;
		answered->wait_us = wait_us;
		return;
	}
	if (puller->file != NULL) {
		pull.have_version = puller->file->version;
		pull.have_hash = puller->file->hash;
		rules_pull_set_base(&pull, puller->file);
	}
	rules_answer_init(&answer, &pull, holder->file);
	rules_pull_free(&pull);
	size_bytes = answer_bytes(&answer);
	pull_share_charge(&holder->share, size_bytes, p->now_us);
	answered = add_event(p, EVENT_ANSWER,
	    transfer(p, holder, puller, size_bytes), e->from, e->vm);
	rules_answer_free(&answer);
	answered->sequence = e->sequence;
	answered->file = rule_file_ref(holder->file);
}

static void
finish_pull(struct play *p, const struct event *e)
{
	struct vm *vm = &p->vms[e->vm];
	bool newer = vm->file == NULL || e->file->version > vm->file->version;

	if (newer)
		put_in_force(p, e->vm, e->file);
	if (e->sequence == vm->pull_sequence)
		version_sync_finish_pull(&vm->sync,
		    newer ? PULL_ADOPTED : PULL_OVERTAKEN, ADOPTION_US, 0,
		    p->now_us);
	rule_file_unref(e->file);
}

static void
handle_event(struct play *p, const struct event *e)
{
	struct holder holder = {.port = e->from,
	    .version = e->version,
	    .distance = e->from == SOURCE ? DISTANCE_REGION : DISTANCE_DC,
	    .is_source = e->from == SOURCE};
	// Another proxy has the first turn at each version.
	uint32_t rank = (uint32_t)((e->vm + e->version * 7) % PROXIES);
	struct event *next;

	switch (e->kind) {
	case EVENT_HOLDER:
		snprintf(
		    holder.host, sizeof(holder.host), "10.0.0.%u", e->from);
		version_sync_add_holder(
		    &p->vms[e->vm].sync, &holder, rank, p->now_us);
		break;
	case EVENT_PULL:
		answer_pull(p, e);
		break;
	case EVENT_BUSY:
		if (e->sequence == p->vms[e->vm].pull_sequence)
			version_sync_finish_pull(&p->vms[e->vm].sync,
			    PULL_FAILED, 0, e->wait_us, p->now_us);
		break;
	case EVENT_ANSWER:
		next = add_event(
		    p, EVENT_ADOPTED, p->now_us + ADOPTION_US, e->vm, e->from);
		next->sequence = e->sequence;
		next->file = e->file;
		break;
	case EVENT_ADOPTED:
		finish_pull(p, e);
		break;
	case EVENT_NONE:
		break;
	}
}

static void
run_until(struct play *p, int64_t until_us)
{
	uint32_t i;

	for (; p->now_us < until_us; p->now_us += MS_US) {
		for (i = 0; i < MAX_EVENTS; i++) {
			struct event e = p->events[i];

			if (e.kind == EVENT_NONE || e.at_us > p->now_us)
				continue;
			p->events[i].kind = EVENT_NONE;
			handle_event(p, &e);
		}
		for (i = 1; i < VMS; i++)
			version_sync_tick(&p->vms[i].sync, p->now_us);
	}
}

/// Starts with a large file that is in force everywhere.
static struct play *
play_create(uint64_t seed, uint32_t line_count)
{
	struct play *p = calloc(1, sizeof(*p));
	uint32_t i;

	assert_non_null(p);
	p->random.seed = seed;
	p->now_us = S_US;
	play_of_pull = p;
	for (i = 0; i < VMS; i++) {
		struct vm *vm = &p->vms[i];

		version_sync_init(
		    &vm->sync, &sync_ops, vm, seed + i, STAGGER_US, HEDGE_US);
		vm->link_mbps = i == SOURCE ? 170 : 3.78;
		vm->share.link_mbps = vm->link_mbps;
		vm->share.random.seed = seed + i;
	}
	p->text = strdup("");
	accept_version(p, 0, line_count);
	memset(p->events, 0, sizeof(p->events));
	for (i = 1; i < VMS; i++)
		put_in_force(p, i, p->vms[SOURCE].file);
	run_until(p, p->now_us + S_US);
	for (i = 0; i < VMS; i++)
		p->vms[i].worst_backlog_us = 0;
	return p;
}

/// Checks the links, and that the newest version is in force everywhere.
static void
play_check_and_free(struct play *p)
{
	int64_t in_force_us = p->in_force_us - p->accepted_us;
	int64_t worst_us = 0;
	uint32_t behind = 0;
	uint32_t i;

	for (i = 0; i < VMS; i++) {
		struct vm *vm = &p->vms[i];

		worst_us = max_us(worst_us, vm->worst_backlog_us);
		behind += vm->file == NULL || vm->file->version != p->version;
		rule_file_unref(vm->file);
	}
	for (i = 0; i < MAX_EVENTS; i++)
		if (p->events[i].kind == EVENT_ANSWER ||
		    p->events[i].kind == EVENT_ADOPTED)
			rule_file_unref(p->events[i].file);
	free(p->text);
	free(p);
	print_message(
	    "a link was busy for %.0f ms; all in force after %.0f ms\n",
	    (double)worst_us / 1e3, (double)in_force_us / 1e3);
	assert_int_equal(behind, 0);
	assert_in_range(worst_us, 0, MAX_BACKLOG_US);
}

/// GONE: requests and cancels waited behind whole rule files.
static void
test_gone_small_versions_in_a_storm(void **state)
{
	struct play *p = play_create(test_first_seed(), 3000);
	uint32_t i;

	(void)state;
	for (i = 0; i < 20; i++) {
		accept_version(p, 3, 0);
		run_until(p, p->now_us + 250 * MS_US);
	}
	run_until(p, p->now_us + MAX_IN_FORCE_US - 250 * MS_US);
	play_check_and_free(p);
}

/// GONE: one version adds many routes, while small ones follow.
static void
test_gone_large_version(void **state)
{
	struct play *p = play_create(test_first_seed(), 1700);
	uint32_t i;

	(void)state;
	accept_version(p, 0, 1300);
	run_until(p, p->now_us + 250 * MS_US);
	for (i = 0; i < 8; i++) {
		accept_version(p, 3, 0);
		run_until(p, p->now_us + 250 * MS_US);
	}
	run_until(p, p->now_us + MAX_IN_FORCE_US - 250 * MS_US);
	play_check_and_free(p);
}

/// All proxies restart and have no rules. Whole files go from one to the next.
static void
test_gone_restart_of_all(void **state)
{
	struct play *p = play_create(test_first_seed(), 3000);
	uint32_t i;

	(void)state;
	p->accepted_us = p->now_us;
	for (i = 1; i < VMS; i++) {
		struct vm *vm = &p->vms[i];

		rule_file_unref(vm->file);
		vm->file = NULL;
		version_sync_init(
		    &vm->sync, &sync_ops, vm, i, STAGGER_US, HEDGE_US);
		add_event(p, EVENT_HOLDER,
		    p->now_us + random_time_us(&p->random, 100 * MS_US), i,
		    SOURCE)
		    ->version = p->version;
	}
	run_until(p, p->now_us + MAX_IN_FORCE_US);
	play_check_and_free(p);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_gone_small_versions_in_a_storm),
	    cmocka_unit_test(test_gone_large_version),
	    cmocka_unit_test(test_gone_restart_of_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
