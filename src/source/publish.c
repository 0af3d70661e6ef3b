// Publishes rules to the proxies and receives their reports.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/membership/version_sync.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/net/volume.h"
#include "io/rollout_message.h"
#include "io/rules_message.h"
#include "source/source.h"
#include "wire/gossip_codec.h"

#define NOTIFIED_PER_DC 2
/// Proxies named in each report answer, through which proxies find each other.
#define SAMPLED_MEMBERS 4
#define PULL_COST_MILLI 1000
#define PULL_RETRY_US	(300 * US_PER_MS)

/// Time after which a notice of a roll-out is sent again to a proxy that has not
/// reported that it knows of the change.
#define ROLLOUT_NOTICE_US (300 * US_PER_MS)

COUNTER_DEFINE(count_reports, "source_reports", "Reports of proxies");
COUNTER_DEFINE(count_notices, "source_notices", "Notices of new versions");
COUNTER_DEFINE(count_pulls, "source_pulls", "Pulls answered");
COUNTER_DEFINE(count_deferred, "source_pulls_put_off", "Pulls told to wait");
GAUGE_DEFINE(gauge_members, "source_members", "Proxies that report");

static bool
is_fresh(const struct source *source, const struct report *r, int64_t now_us)
{
	return !r->left && now_us - r->reported_us <= source->reports.stale_us;
}

static uint32_t
count_fresh(const struct source *source)
{
	const struct report_table *table = &source->reports;
	int64_t now_us = loop_now_us(source->loop);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < table->count; i++)
		count += is_fresh(source, &table->items[i], now_us);
	return count;
}

/// Picks some of the proxies that report, from a random one on.
///
/// @param texts  storage of the addresses in out
/// @return number of proxies in out
static uint32_t
sample_members(struct source *source,
    char texts[SAMPLED_MEMBERS][ADDRESS_TEXT_BYTES],
    struct message_address out[SAMPLED_MEMBERS])
{
	const struct report_table *table = &source->reports;
	int64_t now_us = loop_now_us(source->loop);
	uint32_t count = 0;
	uint32_t from;
	uint32_t i;

	if (table->count == 0)
		return 0;
	from = random_below(&source->random, table->count);
	for (i = 0; i < table->count && count < SAMPLED_MEMBERS; i++) {
		const struct report *r =
		    &table->items[(from + i) % table->count];

		if (!is_fresh(source, r, now_us))
			continue;
		snprintf(texts[count], ADDRESS_TEXT_BYTES, "%s:%u",
		    r->member.host, r->member.control_port);
		out[count].text = bytes_from_string(texts[count]);
		count++;
	}
	return count;
}

/// Sends an answer to a report, or a notice that a version was accepted or a
/// roll-out changed.
///
/// @param known   the last report that was received
/// @param report  NULL for a notice, whose receiver lacks nothing else
static void
send_answer(struct source *source, const struct address *to,
    const struct report *known, const struct message_report *report)
{
	struct message_rollout rollouts[ROLLOUT_DATAGRAM_RECORDS];
	const struct rule_file *current = source->store.current;
	struct message_report_answer answer = {
	    .accepted_version = current == NULL ? 0 : current->version,
	    .version_seen = known->version_seen,
	    .control_port = ntohs(source->bound_control.in.sin_port),
	};
	const struct replica_config *config = &source->host.replica.config;
	struct message_address sources[REPLICA_MAX_VOTERS];
	struct message_address members[SAMPLED_MEMBERS];
	char texts[SAMPLED_MEMBERS][ADDRESS_TEXT_BYTES];
	msgpack_sbuffer out;
	uint32_t i;

	for (i = 0; i < config->voter_count; i++)
		sources[i].text = bytes_from_string(config->voters[i].address);
	answer.sources.items = sources;
	answer.sources.count = config->voter_count;
	if (report == NULL ||
	    message_addresses_hash(&answer.sources) == report->sources_hash)
		answer.sources.count = 0;
	answer.leader =
	    bytes_from_string(replica_host_get_leader_address(&source->host));
	answer.members.items = members;
	if (report != NULL && report->members_known < count_fresh(source))
		answer.members.count = sample_members(source, texts, members);
	rollout_message_fill(&source->rollouts.table, known->rollout_revision,
	    rollouts, ROLLOUT_DATAGRAM_RECORDS, &answer.rollouts);
	answer.host = bytes_from_string(source->settings.host);
	answer.region = bytes_from_string(source->settings.region);
	answer.dc = bytes_from_string(source->settings.dc);
	msgpack_sbuffer_init(&out);
	message_pack(&out, MESSAGE_REPORT_ANSWER, &answer);
	datagram_send(
	    &source->udp, to, MESSAGE_REPORT_ANSWER, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

void
publish_receive_datagram(
    void *owner, const struct address *from, struct message *message)
{
	struct source *source = owner;
	const struct report *report;
	struct member member;
	struct error err;

	if (message->type == MESSAGE_QUOTA_ASK)
		quota_receive(source, from, &message->u.quota_ask);
	if (message->type != MESSAGE_REPORT)
		return;
	if (member_from_message(&message->u.report.member, &member, &err) !=
	    0) {
		log_error(LOG_WARN, "source",
		    "Dropped an invalid report of a proxy", &err);
		return;
	}
	counter_add(&count_reports, 1);
	volume_set_distance(from,
	    strcmp(member.region, source->settings.region) != 0 ? DISTANCE_FAR
		: strcmp(member.dc, source->settings.dc) != 0 ? DISTANCE_REGION
							      : DISTANCE_DC);
	report = report_table_update(&source->reports, &member,
	    message->u.report.leaving != 0, loop_now_us(source->loop));
	report_table_set_rollouts(&source->reports, &member,
	    message->u.report.rollout_revision,
	    message->u.report.rollout_stopped);
	counter_set(&gauge_members,
	    report_table_sum(
		&source->reports, NULL, 0, loop_now_us(source->loop))
		.members);
	send_answer(source, from, report, &message->u.report);
}

/// Position of a proxy in its data centre, from 0, under rendezvous hashing of
/// a version.
static uint32_t
position_in_dc(const struct report_table *table, const struct report *report,
    uint64_t version)
{
	uint64_t own_weight = version_sync_weight(report->member.name, version);
	uint32_t position = 0;
	uint32_t i;

	for (i = 0; i < table->count; i++) {
		const struct report *r = &table->items[i];

		if (!r->left && strcmp(r->member.dc, report->member.dc) == 0 &&
		    version_sync_weight(r->member.name, version) > own_weight)
			position++;
	}
	return position;
}

void
publish_notify_accepted(void *arg)
{
	struct source *source = arg;
	const struct report_table *table = &source->reports;
	uint64_t version = source->store.current->version;
	struct address to;
	uint32_t i;

	source->notice_deferred = false;
	if (!replica_is_leader(&source->host.replica))
		return;
	for (i = 0; i < table->count; i++) {
		const struct report *r = &table->items[i];

		if (r->left ||
		    position_in_dc(table, r, version) >= NOTIFIED_PER_DC ||
		    address_make(r->member.host, r->member.control_port, &to) !=
			0)
			continue;
		counter_add(&count_notices, 1);
		send_answer(source, &to, r, NULL);
	}
}

void
publish_rollouts(struct source *source)
{
	const struct report_table *table = &source->reports;
	uint64_t revision = rollout_table_revision(&source->rollouts.table);
	int64_t now_us = loop_now_us(source->loop);
	struct address to;
	uint32_t i;

	for (i = 0; i < table->count; i++) {
		struct report *r = &table->items[i];

		if (!is_fresh(source, r, now_us) ||
		    r->rollout_revision >= revision ||
		    (r->rollout_notified == revision &&
			now_us < r->rollout_notice_us + ROLLOUT_NOTICE_US) ||
		    address_make(r->member.host, r->member.control_port, &to) !=
			0)
			continue;
		r->rollout_notified = revision;
		r->rollout_notice_us = now_us;
		counter_add(&count_notices, 1);
		send_answer(source, &to, r, NULL);
	}
}

/// Takes a token from the bucket that limits the rate of pulls.
///
/// @return whether there was one
static bool
take_pull_token(struct source *source)
{
	int64_t now_us = loop_now_us(source->loop);
	int64_t max_milli = source->settings.pulls_per_s * PULL_COST_MILLI;

	source->pull_tokens_milli += (now_us - source->pull_refill_us) *
	    source->settings.pulls_per_s / US_PER_MS;
	source->pull_refill_us = now_us;
	if (source->pull_tokens_milli > max_milli)
		source->pull_tokens_milli = max_milli;
	if (source->pull_tokens_milli < PULL_COST_MILLI)
		return false;
	source->pull_tokens_milli -= PULL_COST_MILLI;
	return true;
}

static void
start_confirm_read(struct source *source, struct stream *stream)
{
	struct pending_request *p = pending_add_read(source, PENDING_CONFIRM);

	p->stream = stream;
	replica_start_read(
	    &source->host.replica, p->context, loop_now_us(source->loop));
}

void
publish_handle_pull(struct source *source, struct stream *stream,
    const struct message_pull *pull)
{
	struct message_busy busy = {.retry_left_us = PULL_RETRY_US};

	if (!take_pull_token(source) ||
	    (pull->confirm && !replica_is_leader(&source->host.replica))) {
		counter_add(&count_deferred, 1);
		stream_send(stream, MESSAGE_BUSY, &busy);
		return;
	}
	counter_add(&count_pulls, 1);
	if (pull->confirm)
		start_confirm_read(source, stream);
	else
		rules_send(stream, pull, source->store.current);
}
