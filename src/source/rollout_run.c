// Runs the roll-outs at the leading source.
//
// Each source keeps the counts that it receives, but proxies send them to the
// leader only. A new leader learns them from the next datagrams, as counts are
// cumulative, and takes the stage and the time used from the log.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/rollout/rollout_plan.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/rollout_message.h"
#include "source/rollout_run.h"

#define TICK_US (100 * US_PER_MS)

/// Time for which a proposed step may be pending before it is proposed again.
#define PROPOSE_TIMEOUT_US (1 * US_PER_S)

/// Counts older than this say nothing of what runs at a server.
#define RUNNING_TIMEOUT_US (3 * US_PER_S)

/// Proxies that stop using a version by themselves from which it is rolled back:
/// a second one confirms the first.
#define STOPPED_PROXIES 2

COUNTER_DEFINE(count_counts, "rollout_counts", "Counts of proxies received");
COUNTER_DEFINE(count_stages, "rollout_stages", "Changes of a share");
COUNTER_DEFINE(count_completed, "rollouts_completed", "Roll-outs completed");
COUNTER_DEFINE(
    count_rolled_back, "rollouts_rolled_back", "Roll-outs rolled back");
GAUGE_DEFINE(gauge_running, "rollouts_running", "Roll-outs that run");

/// Last counts of a proxy.
struct reporter {
	uint64_t id; ///< Hash of its name.
	uint64_t incarnation;
	uint64_t server;
	bool is_new;
	uint32_t running;
	int64_t received_us;
	struct rollout_counts counts;
};

/// A roll-out that runs.
struct rollout_run {
	struct rollout_run *next;
	char service[MEMBER_NAME_BYTES];
	char version[MEMBER_VERSION_BYTES];
	uint64_t order;
	uint64_t revision; ///< Of its last change, applied at changed_us.
	int64_t changed_us;
	int64_t
	    proposed_deadline_us; ///< A step is pending until then; 0: none.
	bool late_logged;
	int64_t heard_us; ///< Time of the last counts of a new one.
	struct rollout_judge judge;
	struct reporter *reporters;
	uint32_t reporter_count;
};

static void
run_free(struct rollout_run *run)
{
	rollout_judge_free(&run->judge);
	free(run->reporters);
	free(run);
}

static struct rollout_run *
find_run(const struct source *source, const char *service)
{
	struct rollout_run *run = source->rollout_runs;

	while (run != NULL && strcmp(run->service, service) != 0)
		run = run->next;
	return run;
}

static void
log_change(const struct source *source, const struct rollout *r)
{
	const struct rollout_progress *p =
	    rollout_store_progress(&source->rollouts, r);
	struct log_line line;

	log_begin(&line, r->state == ROLLOUT_ROLLED_BACK ? LOG_WARN : LOG_INFO,
	    "rollout", "A roll-out changed.");
	log_text(&line, "service", r->service);
	log_text(&line, "version", r->version);
	log_text(&line, "state", rollout_state_name(r->state));
	log_number(&line, "share_permille", r->share_permille);
	log_number(&line, "used_ms", p->used_ms);
	log_number(&line, "within_ms", p->within_ms);
	log_number(&line, "revision", (int64_t)r->revision);
	log_text(&line, "why", p->why);
	log_end(&line);
}

/// Updates the run of a roll-out, or creates it.
static void
follow_running(struct source *source, const struct rollout *r)
{
	struct rollout_run *run = find_run(source, r->service);
	int64_t now_us = loop_now_us(source->loop);

	if (run != NULL && run->revision == r->revision)
		return;
	if (run == NULL) {
		run = calloc(1, sizeof(*run));
		assert(run != NULL);
		memcpy(run->service, r->service, sizeof(run->service));
		memcpy(run->version, r->version, sizeof(run->version));
		run->order = r->order;
		rollout_judge_init(&run->judge);
		run->next = source->rollout_runs;
		source->rollout_runs = run;
	}
	run->revision = r->revision;
	run->changed_us = now_us;
	run->proposed_deadline_us = 0;
}

/// Drops the runs whose roll-outs have ended.
static void
drop_ended(struct source *source)
{
	struct rollout_run **at = &source->rollout_runs;

	while (*at != NULL) {
		struct rollout_run *run = *at;
		const struct rollout *r = rollout_table_find_running(
		    &source->rollouts.table, run->service);

		if (r != NULL && r->order == run->order) {
			at = &run->next;
			continue;
		}
		*at = run->next;
		run_free(run);
	}
}

void
rollout_run_follow(struct source *source)
{
	const struct rollout_table *table = &source->rollouts.table;
	int64_t running = 0;
	uint32_t i;

	drop_ended(source);
	for (i = 0; i < table->count; i++) {
		const struct rollout *r = &table->items[i];

		if (r->revision > source->rollout_followed)
			log_change(source, r);
		if (r->state != ROLLOUT_RUNNING)
			continue;
		running++;
		follow_running(source, r);
	}
	source->rollout_followed = source->rollouts.revision;
	counter_set(&gauge_running, running);
}

static void
propose(struct source *source, struct rollout_run *run,
    enum rollout_state state, uint32_t share_permille, const char *why)
{
	const struct rollout *r =
	    rollout_table_find_running(&source->rollouts.table, run->service);
	struct rollout_step step = {.from_revision = run->revision,
	    .state = state,
	    .share_permille = share_permille};
	int64_t now_us = loop_now_us(source->loop);
	struct error err;
	uint32_t size_bytes;
	uint64_t index;
	char *entry;

	memcpy(step.service, run->service, sizeof(step.service));
	memcpy(step.version, run->version, sizeof(step.version));
	step.used_ms = rollout_store_progress(&source->rollouts, r)->used_ms +
	    (now_us - run->changed_us) / US_PER_MS;
	snprintf(step.why, sizeof(step.why), "%s", why);
	entry = rollout_store_encode_step(&step, &size_bytes);
	if (replica_propose(&source->host.replica, entry, size_bytes, &index,
		now_us, &err) == 0)
		run->proposed_deadline_us = now_us + PROPOSE_TIMEOUT_US;
	else
		log_error(
		    LOG_WARN, "rollout", "A step cannot be proposed", &err);
	free(entry);
	if (state == ROLLOUT_ROLLED_BACK)
		counter_add(&count_rolled_back, 1);
	else
		counter_add(state == ROLLOUT_COMPLETED ? &count_completed
						       : &count_stages,
		    1);
}

static bool
is_pending(const struct source *source, const struct rollout_run *run)
{
	return run->proposed_deadline_us > loop_now_us(source->loop);
}

/// Rolls a version back if several proxies stopped using it by themselves.
///
/// @return whether it does
static bool
follow_proxies(struct source *source, struct rollout_run *run)
{
	char why[ROLLOUT_WHY_BYTES];
	uint32_t members;
	uint32_t stopped = report_table_count_stopped(
	    &source->reports, run->order, loop_now_us(source->loop), &members);

	if (stopped == 0 || (stopped < STOPPED_PROXIES && stopped < members))
		return false;
	snprintf(why, sizeof(why),
	    "%u of %u proxies stopped using it by themselves", stopped,
	    members);
	propose(source, run, ROLLOUT_ROLLED_BACK, 0, why);
	return true;
}

/// Counts the servers of the version that take work, as their proxies reported.
static uint32_t
count_servers(const struct source *source, const struct rollout_run *run)
{
	const struct report_table *table = &source->reports;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < table->count; i++) {
		const struct member *m = &table->items[i].member;

		count += !table->items[i].left &&
		    strcmp(m->service, run->service) == 0 &&
		    strcmp(m->server_version, run->version) == 0 &&
		    backend_state_takes_work(m->backend);
	}
	return count;
}

/// Rolls a version back if the judge finds it bad.
///
/// @return whether it does
static bool
judge_run(struct source *source, struct rollout_run *run)
{
	struct rollout_finding f;
	struct log_line line;
	char why[ROLLOUT_WHY_BYTES];

	run->judge.known_servers = count_servers(source, run);
	if (!rollout_judge_is_bad(&run->judge, &f))
		return false;
	if (is_pending(source, run))
		return true;
	snprintf(why, sizeof(why),
	    "%" PRIu64 " of %" PRIu64 " answers on route %016" PRIx64
	    " %s, at %u of %u servers",
	    f.bad, f.answers, f.route,
	    f.fault == ROLLOUT_FAULT_FAILED ? "failed" : "were slow",
	    f.bad_servers, f.servers);
	log_begin(&line, LOG_WARN, "rollout", "A version is bad.");
	log_text(&line, "service", run->service);
	log_text(&line, "version", run->version);
	log_text(&line, "why", why);
	log_number(&line, "expected_permille",
	    (int64_t)(f.expected * ROLLOUT_PERMILLE));
	log_ms(
	    &line, "counts_age_ms", loop_now_us(source->loop) - run->heard_us);
	log_end(&line);
	propose(source, run, ROLLOUT_ROLLED_BACK, 0, why);
	return true;
}

/// Sums up the slots of the service's servers that take work, as their proxies
/// reported.
static void
sum_slots(const struct source *source, const struct rollout_run *run,
    struct rollout_plan_state *out)
{
	const struct report_table *table = &source->reports;
	int64_t now_us = loop_now_us(source->loop);
	uint32_t i;

	for (i = 0; i < table->count; i++) {
		const struct report *r = &table->items[i];

		if (r->left || now_us - r->reported_us > table->stale_us ||
		    strcmp(r->member.service, run->service) != 0 ||
		    !backend_state_takes_work(r->member.backend))
			continue;
		if (strcmp(r->member.server_version, run->version) == 0)
			out->new_slots += r->member.slots;
		else
			out->old_slots += r->member.slots;
	}
}

static uint32_t
sum_old_running(const struct source *source, const struct rollout_run *run)
{
	int64_t now_us = loop_now_us(source->loop);
	uint32_t running = 0;
	uint32_t i;

	for (i = 0; i < run->reporter_count; i++)
		if (!run->reporters[i].is_new &&
		    now_us - run->reporters[i].received_us <=
			RUNNING_TIMEOUT_US)
			running += run->reporters[i].running;
	return running;
}

static void
advance_run(struct source *source, struct rollout_run *run)
{
	const struct rollout *r =
	    rollout_table_find_running(&source->rollouts.table, run->service);
	const struct rollout_progress *p =
	    rollout_store_progress(&source->rollouts, r);
	int64_t now_us = loop_now_us(source->loop);
	struct rollout_plan_state state = {
	    .stage_ms = (now_us - run->changed_us) / US_PER_MS,
	    .begun_ms = p->begun_ms,
	    .within_ms = p->within_ms,
	    .share_permille = r->share_permille,
	    .exposure_permille =
		(uint32_t)(source->settings.exposure_share * ROLLOUT_PERMILLE),
	    .answers = run->judge.answers,
	    .all_answers =
		(int64_t)(run->judge.answers + run->judge.old_answers),
	    .silent_ms = (now_us - run->heard_us) / US_PER_MS,
	};
	struct rollout_plan_decision d;

	state.leading_ms = (now_us - source->rollout_leading_us) / US_PER_MS;
	state.doubted = rollout_judge_doubts(&run->judge);
	state.used_ms = p->used_ms + state.stage_ms;
	sum_slots(source, run, &state);
	state.old_running = sum_old_running(source, run);
	d = rollout_plan_decide(&state);
	if (d.action == ROLLOUT_PLAN_STAGE)
		propose(source, run, ROLLOUT_RUNNING, d.share_permille, d.why);
	else if (d.action == ROLLOUT_PLAN_COMPLETE)
		propose(
		    source, run, ROLLOUT_COMPLETED, d.share_permille, d.why);
	else if (state.used_ms > state.within_ms && !run->late_logged) {
		run->late_logged = true;
		log_write(LOG_WARN, "rollout",
		    "%s is not moved to %s in time: %s (share %u permille, "
		    "slots %u new, %u old, running at old %u).",
		    run->service, run->version, d.why, state.share_permille,
		    state.new_slots, state.old_slots, state.old_running);
	}
}

static void
on_tick(void *arg)
{
	struct source *source = arg;
	struct rollout_run *run;

	loop_timer_set(source->loop, &source->rollout_timer,
	    loop_now_us(source->loop) + TICK_US);
	if (!replica_is_leader(&source->host.replica)) {
		source->rollout_leading_us = 0;
		return;
	}
	if (source->rollout_leading_us == 0)
		source->rollout_leading_us = loop_now_us(source->loop);
	publish_rollouts(source);
	for (run = source->rollout_runs; run != NULL; run = run->next)
		rollout_judge_tick(&run->judge, loop_now_us(source->loop));
	for (run = source->rollout_runs; run != NULL; run = run->next)
		if (!is_pending(source, run) && !judge_run(source, run) &&
		    !follow_proxies(source, run))
			advance_run(source, run);
}

void
rollout_run_start(struct source *source)
{
	source->rollout_timer.fn = on_tick;
	source->rollout_timer.arg = source;
	on_tick(source);
}

void
rollout_run_stop(struct source *source)
{
	loop_timer_clear(source->loop, &source->rollout_timer);
	while (source->rollout_runs != NULL) {
		struct rollout_run *next = source->rollout_runs->next;

		run_free(source->rollout_runs);
		source->rollout_runs = next;
	}
}

static struct reporter *
get_reporter(struct rollout_run *run, uint64_t id)
{
	struct reporter *r;
	uint32_t i;

	for (i = 0; i < run->reporter_count; i++)
		if (run->reporters[i].id == id)
			return &run->reporters[i];
	run->reporters = realloc(run->reporters,
	    (run->reporter_count + 1) * sizeof(*run->reporters));
	assert(run->reporters != NULL);
	r = &run->reporters[run->reporter_count++];
	memset(r, 0, sizeof(*r));
	r->id = id;
	return r;
}

/// Passes what is new in the counts of a proxy to the judge. Counts of an
/// earlier process of it, or out of order, are dropped.
static void
add_counts(struct source *source, struct rollout_run *run,
    const struct message_rollout_counts *m, const struct rollout_counts *counts)
{
	struct reporter *r =
	    get_reporter(run, XXH3_64bits(m->name.data, m->name.size_bytes));
	struct rollout_counts added = *counts;
	int64_t now_us = loop_now_us(source->loop);

	if (m->incarnation < r->incarnation)
		return;
	if (m->incarnation == r->incarnation && m->server == r->server &&
	    !rollout_counts_subtract(&added, &r->counts))
		return;
	r->incarnation = m->incarnation;
	r->server = m->server;
	r->is_new = m->version.size_bytes == strlen(run->version) &&
	    memcmp(m->version.data, run->version, m->version.size_bytes) == 0;
	r->running = m->running;
	r->received_us = now_us;
	r->counts = *counts;
	if (r->is_new)
		run->heard_us = now_us;
	rollout_judge_add(&run->judge, r->id, r->is_new, &added, now_us);
	if (r->is_new && replica_is_leader(&source->host.replica))
		judge_run(source, run);
}

static void
receive_counts(struct source *source, const struct message_rollout_counts *m)
{
	char service[MEMBER_NAME_BYTES];
	struct rollout_counts counts;
	struct rollout_run *run;
	struct error err;

	counter_add(&count_counts, 1);
	if (bytes_copy(m->service, service, sizeof(service)) != 0)
		return;
	run = find_run(source, service);
	if (run == NULL || run->order != m->order)
		return;
	if (rollout_message_read_counts(m, &counts, &err) != 0) {
		log_error(
		    LOG_WARN, "rollout", "Dropped counts of a proxy", &err);
		return;
	}
	add_counts(source, run, m, &counts);
}

void
rollout_run_receive_datagram(
    void *owner, const struct address *from, struct message *message)
{
	if (message->type == MESSAGE_ROLLOUT_COUNTS)
		receive_counts(owner, &message->u.rollout_counts);
	else
		publish_receive_datagram(owner, from, message);
}
