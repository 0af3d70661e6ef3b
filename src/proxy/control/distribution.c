// Distribution of rules between this proxy, its peers and the sources.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/delta.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/net/oneshot.h"
#include "io/net/volume.h"
#include "io/rules_message.h"
#include "proxy/control/rollouts.h"
#include "wire/gossip_codec.h"

#define PULL_TIMEOUT_US	       (3 * US_PER_S)
#define CONFIRM_TIMEOUT_US     (500 * US_PER_MS)
#define FLOOR_CHECK_US	       (100 * US_PER_MS)
#define START_REPORT_US	       (100 * US_PER_MS)
#define PEERS_CONFIRM_AFTER_US (1500 * US_PER_MS)
#define CONFIRMING_PEERS       3

/// Report periods without an answer after which no source counts as reachable.
#define SOURCE_TIMEOUT_REPORTS 3

/// Report periods without an answer of the leader after which all sources get
/// reports again.
#define LEADER_TIMEOUT_REPORTS 2

COUNTER_DEFINE(count_pulls, "config_pulls", "Pulls of rules begun");
COUNTER_DEFINE(
    count_far_pulls, "config_far_pulls", "Pulls from another data centre");
COUNTER_DEFINE(count_served, "config_pulls_served", "Pulls answered");
COUNTER_DEFINE(count_put_off, "config_pulls_put_off",
    "Pulls sent elsewhere, to keep the link free for requests");
COUNTER_DEFINE(count_bytes, "config_received_bytes", "Bytes of rules pulled");
COUNTER_DEFINE(count_refused, "config_refused", "Rules refused as damaged");
GAUGE_DEFINE(gauge_version, "config_version", "Version in force");

/// Pull in progress. A slow pull continues after another one has started: its
/// answer is used if no newer rules have arrived by then.
struct pull_call {
	struct control *control;
	uint64_t sequence; ///< Number of the pull in this process.
};

/// Puts newer rules in force. Takes ownership of the reference.
///
/// @return whether they were newer
static bool
adopt_rules(struct control *control, struct rules *rules)
{
	if (control->rules != NULL &&
	    rules->version <= control->rules->version) {
		rules_unref(rules);
		return false;
	}
	log_write(LOG_INFO, "config",
	    "Adopted version %" PRIu64 " (hash %016" PRIx64 ").",
	    rules->version, rules->file->hash);
	rules_unref(control->rules);
	control->rules = rules;
	counter_set(&gauge_version, (int64_t)rules->version);
	version_sync_set_version(&control->sync, rules->version);
	membership_set_version(&control->membership, rules->version);
	// The rules may set the slots of the local backend server.
	if (control->backend.known)
		announce_publish(control);
	control_publish_view(control);
	distribution_send_report(control, false);
	if (!control->floor.ready)
		loop_timer_set(control->loop, &control->floor_timer,
		    loop_now_us(control->loop));
	return true;
}

/// Failures in a row from which on the wait of the next pull is logged.
#define LOGGED_FAILURES 3

static void
log_failures(const struct control *control, int64_t wait_us)
{
	const struct version_sync *sync = &control->sync;
	struct log_line line;

	if (sync->failures < LOGGED_FAILURES)
		return;
	log_begin(&line, LOG_INFO, "config", "Pulls of rules keep failing.");
	log_number(&line, "failures", sync->failures);
	log_text(&line, "from", sync->pulling_from.host);
	log_number(&line, "wanted", (int64_t)sync->pulling_from.version);
	log_number(&line, "have", (int64_t)sync->have_version);
	log_ms(&line, "asked_to_wait_ms", wait_us);
	log_end(&line);
}

static void
on_pulled(void *arg, const struct message *answer, const struct error *err)
{
	struct pull_call *call = arg;
	struct control *control = call->control;
	bool newest = call->sequence == control->pull_sequence;
	int64_t started_us = clock_now_us();
	struct rules *rules;
	struct error rules_err;
	enum pull_result result = PULL_FAILED;
	int64_t wait_us = 0;

	if (answer == NULL)
		log_error(LOG_INFO, "config", "Failed to pull rules", err);
	else if (answer->type == MESSAGE_BUSY)
		wait_us = answer->u.busy.retry_left_us;
	else {
		rules = rules_parse_message(answer, control->rules, &rules_err);
		if (rules != NULL) {
			counter_add(&count_bytes, rules_message_bytes(answer));
			control->refused_delta = false;
			result = adopt_rules(control, rules) ? PULL_ADOPTED
							     : PULL_OVERTAKEN;
		} else if (rules_err.code == ERR_CONFLICT) {
			// The delta's base was replaced since the request.
			log_error(LOG_DEBUG, "config", "Ignored outdated rules",
			    &rules_err);
			result = PULL_OVERTAKEN;
		} else if (rules_err.code != ERR_NONE) {
			counter_add(&count_refused, 1);
			control->refused_delta = true;
			log_error(LOG_ERROR, "config", "Refused pulled rules",
			    &rules_err);
		}
	}
	free(call);
	if (newest)
		version_sync_finish_pull(&control->sync, result,
		    clock_now_us() - started_us, wait_us,
		    loop_now_us(control->loop));
	if (newest && result == PULL_FAILED)
		log_failures(control, wait_us);
	control_tick(control);
}

static void
start_pull(struct version_sync *vs, const struct holder *from)
{
	struct control *control = vs->owner;
	struct message_pull pull = {0};
	struct pull_call *call;
	struct address to;

	if (address_make(from->host, from->port, &to) != 0)
		return;
	pull.from = bytes_from_string(control->membership.self.name);
	if (control->rules != NULL) {
		pull.have_version = control->rules->version;
		pull.have_hash = control->rules->file->hash;
		if (!control->refused_delta)
			rules_pull_set_base(&pull, control->rules->file);
	}
	counter_add(&count_pulls, 1);
	if (from->distance != DISTANCE_DC)
		counter_add(&count_far_pulls, 1);
	log_write(LOG_INFO, "config", "Pulling version %" PRIu64 " from %s:%u.",
	    from->version, from->host, from->port);
	call = calloc(1, sizeof(*call));
	assert(call != NULL);
	call->control = control;
	call->sequence = ++control->pull_sequence;
	oneshot_call(control->loop, &to, MESSAGE_PULL, &pull,
	    loop_now_us(control->loop) + PULL_TIMEOUT_US, on_pulled, call);
	rules_pull_free(&pull);
}

const struct version_sync_ops control_sync_ops = {
    .pull = start_pull,
};

void
distribution_answer_pull(struct control *control, struct stream *stream,
    const struct message_pull *pull)
{
	int64_t now_us = loop_now_us(control->loop);
	struct message_busy busy = {
	    .retry_left_us = pull_share_wait_us(&control->pull_share, now_us)};

	if (busy.retry_left_us > 0) {
		counter_add(&count_put_off, 1);
		stream_send(stream, MESSAGE_BUSY, &busy);
		return;
	}
	counter_add(&count_served, 1);
	pull_share_charge(&control->pull_share,
	    rules_send(stream, pull,
		control->rules == NULL ? NULL : control->rules->file),
	    now_us);
}

static bool
is_in_settings(const struct control *control, const struct address *source)
{
	uint32_t i;

	for (i = 0; i < control->settings.source_count; i++)
		if (address_equals(&control->settings.sources[i], source))
			return true;
	return false;
}

/// Lists the sources in the settings and those that the sources report.
///
/// @return their number
static uint32_t
list_sources(
    const struct control *control, struct address out[2 * CONTROL_MAX_SOURCES])
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < control->settings.source_count; i++)
		out[count++] = control->settings.sources[i];
	for (i = 0; i < control->discovered_count; i++)
		if (!is_in_settings(control, &control->discovered_sources[i]))
			out[count++] = control->discovered_sources[i];
	return count;
}

void
distribution_post_sources(struct control *control)
{
	struct address sources[2 * CONTROL_MAX_SOURCES];

	traffic_post_sources(control->traffic, sources,
	    list_sources(control, sources),
	    control->has_leader ? &control->leader : NULL);
}

static void
update_sources(struct control *control, const struct list *sources)
{
	const struct message_address *items = sources->items;
	char text[ADDRESS_TEXT_BYTES];
	uint32_t count = 0;
	uint32_t i;

	if (sources->count == 0)
		return;
	control->discovered_hash = message_addresses_hash(sources);
	for (i = 0; i < sources->count && count < CONTROL_MAX_SOURCES; i++)
		if (bytes_copy(items[i].text, text, sizeof(text)) == 0 &&
		    address_parse(text, &control->discovered_sources[count]) ==
			0)
			count++;
	control->discovered_count = count;
	distribution_post_sources(control);
}

static void
update_leader(struct control *control, struct bytes leader)
{
	char text[ADDRESS_TEXT_BYTES];
	struct address at;

	if (bytes_copy(leader, text, sizeof(text)) != 0 ||
	    address_parse(text, &at) != 0)
		return;
	if (!control->has_leader || !address_equals(&at, &control->leader)) {
		control->leader = at;
		control->has_leader = true;
		control->leader_answered_us = loop_now_us(control->loop);
		distribution_post_sources(control);
		distribution_send_report(control, false);
	}
	if (!control->floor.ready)
		loop_timer_set(control->loop, &control->floor_timer,
		    loop_now_us(control->loop));
}

/// Exchanges tables with proxies that a source lists.
static void
sync_reported_members(struct control *control, const struct list *members)
{
	const struct message_address *items = members->items;
	char text[ADDRESS_TEXT_BYTES];
	struct address address;
	char *colon;
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		if (bytes_copy(items[i].text, text, sizeof(text)) != 0 ||
		    address_parse(text, &address) != 0)
			continue;
		colon = strrchr(text, ':');
		*colon = '\0';
		membership_sync_address(&control->membership, text,
		    ntohs(address.in.sin_port), loop_now_us(control->loop));
	}
}

static void
note_source_answer(
    struct control *control, const struct message_report_answer *answer)
{
	char host[MEMBER_HOST_BYTES];
	struct address at;

	control->source_answered_us = loop_now_us(control->loop);
	if (control->has_leader &&
	    bytes_copy(answer->host, host, sizeof(host)) == 0 &&
	    address_make(host, answer->control_port, &at) == 0 &&
	    address_equals(&at, &control->leader))
		control->leader_answered_us = control->source_answered_us;
	if (control->sources_reachable)
		return;
	control->sources_reachable = true;
	log_write(LOG_INFO, "config", "The sources are reachable.");
}

static void
check_source_silence(struct control *control)
{
	struct log_line line;
	int64_t quiet_us =
	    loop_now_us(control->loop) - control->source_answered_us;

	if (!control->sources_reachable ||
	    quiet_us <=
		SOURCE_TIMEOUT_REPORTS * control->settings.report_period_us)
		return;
	control->sources_reachable = false;
	log_begin(
	    &line, LOG_WARN, "config", "No source is reachable; retrying.");
	log_ms(&line, "silent_ms", quiet_us);
	log_number(&line, "rules",
	    control->rules == NULL ? 0 : (int64_t)control->rules->version);
	log_end(&line);
}

void
distribution_receive_answer(
    struct control *control, const struct message_report_answer *answer)
{
	int64_t now_us = loop_now_us(control->loop);
	struct holder holder = {.port = answer->control_port,
	    .version = answer->accepted_version,
	    .is_source = true};
	struct member at = {0};
	struct address source;

	note_source_answer(control, answer);
	update_sources(control, &answer->sources);
	update_leader(control, answer->leader);
	sync_reported_members(control, &answer->members);
	if (rollouts_merge(control, &answer->rollouts, "a source"))
		distribution_send_report(control, false);
	if (answer->version_seen > control->membership.version_floor)
		control->membership.version_floor = answer->version_seen;
	if (answer->accepted_version == 0 ||
	    bytes_copy(answer->host, holder.host, sizeof(holder.host)) != 0 ||
	    bytes_copy(answer->region, at.region, sizeof(at.region)) != 0)
		return;
	bytes_copy(answer->dc, at.dc, sizeof(at.dc));
	if (address_make(holder.host, holder.port, &source) == 0)
		volume_set_distance(
		    &source, membership_distance(&control->membership, &at));
	// A source never counts as local, so that about one member of each data
	// centre pulls from a source.
	holder.distance =
	    strcmp(at.region, control->membership.self.region) == 0
	    ? DISTANCE_REGION
	    : DISTANCE_FAR;
	version_sync_add_holder(&control->sync, &holder,
	    version_sync_rank(&control->membership, holder.version), now_us);
	loop_timer_set(control->loop, &control->tick_timer, now_us);
}

/// Tells whether a report to the leader and one other source is enough: the
/// leader notifies the proxies of new versions and answers operators. The others
/// get a report in turn, so that each knows the proxies when it becomes leader.
static bool
leader_suffices(const struct control *control, bool leaving)
{
	return !leaving && control->floor.ready && control->has_leader &&
	    loop_now_us(control->loop) - control->leader_answered_us <=
	    LEADER_TIMEOUT_REPORTS * control->settings.report_period_us;
}

void
distribution_send_report(struct control *control, bool leaving)
{
	struct message_report report = {.leaving = leaving,
	    .members_known = membership_alive_count(&control->membership),
	    .sources_hash = control->discovered_hash,
	    .rollout_revision = rollout_table_revision(&control->rollouts),
	    .rollout_stopped = control->rollout_stopped};
	struct address sources[2 * CONTROL_MAX_SOURCES];
	bool to_all = !leader_suffices(control, leaving);
	msgpack_sbuffer out;
	uint32_t count;
	uint32_t turn;
	uint32_t i;

	member_to_message(&control->membership.self, &report.member);
	msgpack_sbuffer_init(&out);
	message_pack(&out, MESSAGE_REPORT, &report);
	count = list_sources(control, sources);
	// Every second report also goes to one of the others.
	turn = control->report_turn++ / 2;
	for (i = 0; i < count; i++)
		if (to_all ||
		    (control->report_turn % 2 == 0 && i == turn % count) ||
		    address_equals(&sources[i], &control->leader))
			datagram_send(&control->udp, &sources[i],
			    MESSAGE_REPORT, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

void
distribution_report(void *arg)
{
	struct control *control = arg;
	int64_t period_us = control->settings.report_period_us;

	int64_t age_us = loop_now_us(control->loop) - control->floor.started_us;

	// A starting proxy needs the sources to discover members. The period
	// grows with its age to limit the load when many start at once.
	if (!control->floor.ready && period_us > START_REPORT_US + age_us / 4)
		period_us = START_REPORT_US + age_us / 4;

	check_source_silence(control);
	distribution_send_report(control, false);
	loop_timer_set(control->loop, &control->report_timer,
	    loop_now_us(control->loop) + period_us - period_us / 8 +
		random_time_us(&control->membership.random, period_us / 4));
}

static void
become_ready(struct control *control, const char *confirmed_by)
{
	struct log_line line;

	control->floor.ready = true;
	log_begin(&line, LOG_INFO, "config", "Serves requests.");
	log_number(&line, "rules", (int64_t)control->rules->version);
	log_text(&line, "newest_by", confirmed_by);
	log_ms(&line, "started_ms_ago",
	    loop_now_us(control->loop) - control->floor.started_us);
	log_end(&line);
	control_publish_view(control);
}

static void
on_confirmed(void *arg, const struct message *answer, const struct error *err)
{
	struct control *control = arg;
	struct floor *floor = &control->floor;

	(void)err;
	floor->confirmation_pending = false;
	if (answer == NULL || answer->type != MESSAGE_RULES) {
		// It may have lost leadership; report answers name the leader.
		control->has_leader = false;
		return;
	}
	rollouts_merge(control, &answer->u.rules.rollouts, "the leader");
	if (answer->u.rules.version > floor->confirmed_version)
		floor->confirmed_version = answer->u.rules.version;
	loop_timer_set(
	    control->loop, &control->floor_timer, loop_now_us(control->loop));
}

/// Asks the leading source for the newest version that a quorum confirms.
static void
request_confirmation(struct control *control)
{
	struct floor *floor = &control->floor;
	struct message_pull pull = {.confirm = 1};

	if (floor->confirmation_pending || !control->has_leader ||
	    floor->confirmed_version > 0)
		return;
	floor->confirmation_pending = true;
	pull.from = bytes_from_string(control->membership.self.name);
	oneshot_call(control->loop, &control->leader, MESSAGE_PULL, &pull,
	    loop_now_us(control->loop) + CONFIRM_TIMEOUT_US, on_confirmed,
	    control);
}

/// Returns whether enough peers confirm that no newer version is in force, for
/// use without a quorum of sources. A single peer may itself be outdated.
static bool
peers_confirm(const struct control *control)
{
	const struct floor *floor = &control->floor;
	uint32_t others = membership_alive_count(&control->membership) - 1;
	uint32_t needed = others < CONFIRMING_PEERS ? others : CONFIRMING_PEERS;

	return others > 0 && floor->tables_read >= needed &&
	    loop_now_us(control->loop) - floor->started_us >=
	    PEERS_CONFIRM_AFTER_US &&
	    control->rules->version >= control->sync.known_version &&
	    control->rules->version >= control->membership.version_floor;
}

/// Exchanges tables with a random member until the proxy may serve.
static void
request_table(struct control *control)
{
	const struct membership *m = &control->membership;
	uint32_t at;

	// No member knows of any rules, so there is nothing to confirm.
	if (m->peer_count == 0 || control->sync.known_version == 0)
		return;
	at = random_below(&control->membership.random, m->peer_count);
	if (m->peers[at]->member.status <= MEMBER_SUSPECT)
		m->ops->sync(&control->membership, m->peers[at]->member.host,
		    m->peers[at]->member.control_port);
}

void
distribution_check_floor(void *arg)
{
	struct control *control = arg;
	struct floor *floor = &control->floor;

	if (floor->ready)
		return;
	// What a quorum confirms is the newest version, whatever others say that
	// this proxy had: no more could be accepted.
	if (control->rules != NULL && floor->confirmed_version > 0 &&
	    control->rules->version >= floor->confirmed_version) {
		become_ready(control, "a quorum of sources");
		return;
	}
	if (control->rules != NULL && peers_confirm(control)) {
		become_ready(control, "its peers");
		return;
	}
	request_confirmation(control);
	request_table(control);
	loop_timer_set(control->loop, &control->floor_timer,
	    loop_now_us(control->loop) + FLOOR_CHECK_US +
		random_time_us(&control->membership.random, FLOOR_CHECK_US));
}
