// Gossip over UDP, and table exchange over TCP.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/net/oneshot.h"
#include "io/net/volume.h"
#include "io/rollout_message.h"
#include "proxy/control/rollouts.h"
#include "wire/gossip_codec.h"

#define SYNC_TIMEOUT_US (2 * US_PER_S)

COUNTER_DEFINE(count_sent, "gossip_sent_bytes", "Bytes of datagrams sent");
COUNTER_DEFINE(count_received, "gossip_received", "Datagrams received");
COUNTER_DEFINE(count_syncs, "gossip_tables", "Tables exchanged");

static struct control *
owner_control(struct membership *m)
{
	return m->owner;
}

static void
send_gossip(struct membership *m, const char *host, uint32_t port,
    const struct gossip *gossip)
{
	struct control *control = owner_control(m);
	struct address to;
	msgpack_sbuffer out;

	if (address_make(host, port, &to) != 0)
		return;
	msgpack_sbuffer_init(&out);
	gossip_pack(&out, gossip);
	if (out.size <= DATAGRAM_MAX_BYTES) {
		datagram_send(
		    &control->udp, &to, MESSAGE_GOSSIP, out.data, out.size);
		counter_add(&count_sent, (int64_t)out.size);
	}
	msgpack_sbuffer_destroy(&out);
}

static void
merge_table(struct control *control, const struct list *members)
{
	const struct message_member *items = members->items;
	struct member member;
	struct error err;
	uint32_t i;

	for (i = 0; i < members->count; i++) {
		if (member_from_message(&items[i], &member, &err) != 0) {
			log_error(LOG_WARN, "gossip", "Dropped a member record",
			    &err);
			continue;
		}
		membership_merge(
		    &control->membership, &member, loop_now_us(control->loop));
	}
}

static void
merge_rollouts(struct control *control, const struct list *rollouts)
{
	if (rollouts_merge(control, rollouts, "a proxy"))
		distribution_send_report(control, false);
}

// Table exchange: the initiator sends its own record and the digest of its
// table. If the digests differ, the answer has a summary of a few bytes for
// each record. In the second step the initiator sends the records that are
// newer in its table and requests those that are newer in the other one; the
// second answer has these. Roll-outs are few: each side sends all of them.

/// Calls a function for each record, including the local one.
static void
for_each_record(const struct membership *m,
    void (*fn)(void *arg, const struct member *record), void *arg)
{
	uint32_t i;

	fn(arg, &m->self);
	for (i = 0; i < m->peer_count; i++)
		fn(arg, &m->peers[i]->member);
}

static void
add_summary(void *arg, const struct member *record)
{
	struct list *list = arg;
	struct message_summary *s = list->items;

	s += list->count++;
	s->name_hash = membership_name_hash(record->name);
	s->incarnation = record->incarnation;
	s->revision = record->revision;
	s->status = record->status;
}

static void *
alloc_items(const struct membership *m, size_t item_bytes)
{
	void *items = calloc(m->peer_count + 1, item_bytes);

	assert(items != NULL);
	return items;
}

/// Index of the records by name hash.
struct record_index {
	uint64_t *hashes;
	const struct member **records;
	uint32_t count;
};

static void
index_record(void *arg, const struct member *record)
{
	struct record_index *index = arg;

	index->hashes[index->count] = membership_name_hash(record->name);
	index->records[index->count++] = record;
}

static struct record_index
index_create(const struct membership *m)
{
	struct record_index index = {.count = 0};

	index.hashes = alloc_items(m, sizeof(*index.hashes));
	index.records = alloc_items(m, sizeof(const struct member *));
	for_each_record(m, index_record, &index);
	return index;
}

static void
index_free(struct record_index *index)
{
	free(index->hashes);
	free(index->records);
}

static const struct member *
index_find(const struct record_index *index, uint64_t name_hash)
{
	uint32_t i;

	for (i = 0; i < index->count; i++)
		if (index->hashes[i] == name_hash)
			return index->records[i];
	return NULL;
}

static const struct message_summary *
find_summary(const struct list *summaries, uint64_t name_hash)
{
	const struct message_summary *items = summaries->items;
	uint32_t i;

	for (i = 0; i < summaries->count; i++)
		if (items[i].name_hash == name_hash)
			return &items[i];
	return NULL;
}

/// Returns whether a record is newer than a summarized one.
static bool
is_newer(const struct member *record, const struct message_summary *s)
{
	struct member other = {.incarnation = s->incarnation,
	    .revision = s->revision,
	    .status = (enum member_status)s->status};

	return member_supersedes(record, &other);
}

static bool
is_older(const struct member *record, const struct message_summary *s)
{
	struct member other = {.incarnation = s->incarnation,
	    .revision = s->revision,
	    .status = (enum member_status)s->status};

	return member_supersedes(&other, record);
}

/// Fills the second step: the records that are newer here, and the summaries of
/// those that are newer there. The caller frees its items.
static void
fill_difference(const struct control *control, const struct list *summaries,
    struct message_sync *out)
{
	const struct message_summary *theirs = summaries->items;
	struct record_index index = index_create(&control->membership);
	struct message_member *members =
	    alloc_items(&control->membership, sizeof(*members));
	struct message_summary *wanted =
	    calloc(summaries->count + 1, sizeof(*wanted));
	uint32_t i;

	assert(wanted != NULL);
	for (i = 0; i < summaries->count; i++) {
		const struct member *record =
		    index_find(&index, theirs[i].name_hash);

		if (record == NULL || is_older(record, &theirs[i]))
			wanted[out->wanted.count++] = theirs[i];
	}
	for (i = 0; i < index.count; i++) {
		const struct message_summary *s =
		    find_summary(summaries, index.hashes[i]);

		if (s == NULL || is_newer(index.records[i], s))
			member_to_message(
			    index.records[i], &members[out->members.count++]);
	}
	out->members.items = members;
	out->wanted.items = wanted;
	index_free(&index);
}

/// Fills in the requested records. The caller frees the items.
static void
fill_wanted(const struct control *control, const struct list *wanted,
    struct message_sync *out)
{
	const struct message_summary *names = wanted->items;
	struct record_index index = index_create(&control->membership);
	struct message_member *members =
	    calloc(wanted->count + 1, sizeof(*members));
	uint32_t i;

	assert(members != NULL);
	for (i = 0; i < wanted->count; i++) {
		const struct member *record =
		    index_find(&index, names[i].name_hash);

		if (record != NULL)
			member_to_message(
			    record, &members[out->members.count++]);
	}
	out->members.items = members;
	index_free(&index);
}

static void
free_sync(struct message_sync *sync)
{
	free(sync->members.items);
	free(sync->summaries.items);
	free(sync->wanted.items);
}

void
gossip_io_answer_sync(struct control *control, struct stream *stream,
    const struct message_sync *sync)
{
	const struct membership *m = &control->membership;
	struct message_rollout rollouts[ROLLOUT_MAX_RECORDS];
	struct message_sync answer = {0};

	merge_table(control, &sync->members);
	merge_rollouts(control, &sync->rollouts);
	rollout_message_fill(&control->rollouts, 0, rollouts,
	    ROLLOUT_MAX_RECORDS, &answer.rollouts);
	answer.digest = membership_digest(m);
	if (sync->wanted.count > 0)
		fill_wanted(control, &sync->wanted, &answer);
	else if (answer.digest != sync->digest) {
		answer.summaries.items =
		    alloc_items(m, sizeof(struct message_summary));
		for_each_record(m, add_summary, &answer.summaries);
	}
	stream_send(stream, MESSAGE_SYNC_ANSWER, &answer);
	free_sync(&answer);
	control_tick(control);
}

/// Table exchange in progress.
struct table_exchange {
	struct control *control;
	struct address to;
	bool second_step;
};

static void on_sync_answer(
    void *arg, const struct message *answer, const struct error *err);

static void
send_step(struct table_exchange *x, const struct message_sync *step)
{
	struct control *control = x->control;

	oneshot_call(control->loop, &x->to, MESSAGE_SYNC, step,
	    loop_now_us(control->loop) + SYNC_TIMEOUT_US, on_sync_answer, x);
}

static void
send_first_step(struct table_exchange *x)
{
	const struct membership *m = &x->control->membership;
	struct message_sync step = {.digest = membership_digest(m)};
	struct message_rollout rollouts[ROLLOUT_MAX_RECORDS];
	struct message_member self;

	rollout_message_fill(&x->control->rollouts, 0, rollouts,
	    ROLLOUT_MAX_RECORDS, &step.rollouts);
	member_to_message(&m->self, &self);
	step.members.items = &self;
	step.members.count = 1;
	send_step(x, &step);
}

/// Sends the second step if the tables differ.
///
/// @return whether it was sent
static bool
send_difference(struct table_exchange *x, const struct list *summaries)
{
	struct message_sync step = {
	    .digest = membership_digest(&x->control->membership)};
	bool differs;

	fill_difference(x->control, summaries, &step);
	differs = step.members.count + step.wanted.count > 0;
	if (differs) {
		x->second_step = true;
		send_step(x, &step);
	}
	free_sync(&step);
	return differs;
}

static void
on_sync_answer(void *arg, const struct message *answer, const struct error *err)
{
	struct table_exchange *x = arg;
	struct control *control = x->control;

	if (answer == NULL || answer->type != MESSAGE_SYNC_ANSWER) {
		if (err != NULL)
			log_error(
			    LOG_DEBUG, "gossip", "Table exchange failed", err);
		free(x);
		return;
	}
	merge_table(control, &answer->u.sync.members);
	merge_rollouts(control, &answer->u.sync.rollouts);
	if (!x->second_step && answer->u.sync.summaries.count > 0 &&
	    send_difference(x, &answer->u.sync.summaries))
		return;
	counter_add(&count_syncs, 1);
	control->floor.tables_read++;
	free(x);
	control_tick(control);
}

static void
start_sync(struct membership *m, const char *host, uint32_t port)
{
	struct table_exchange *x = calloc(1, sizeof(*x));

	assert(x != NULL);
	x->control = owner_control(m);
	if (address_make(host, port, &x->to) != 0) {
		free(x);
		return;
	}
	send_first_step(x);
}

static void
on_changed(struct membership *m, const struct member *member)
{
	struct address vm;
	struct log_line line;

	if (address_make(member->host, member->control_port, &vm) == 0)
		volume_set_distance(&vm, membership_distance(m, member));
	log_begin(&line, LOG_INFO, "gossip", "A member changed.");
	log_text(&line, "member", member->name);
	log_text(&line, "dc", member->dc);
	log_text(&line, "status", member_status_name(member->status));
	log_text(&line, "service", member->service);
	log_text(&line, "version", member->server_version);
	log_text(&line, "state", backend_state_name(member->backend));
	log_number(&line, "slots", member->slots);
	log_number(&line, "incarnation", (int64_t)member->incarnation);
	log_number(&line, "revision", member->revision);
	log_end(&line);
	control_publish_view(owner_control(m));
}

static void
on_version_advertised(struct membership *m, const struct member *member)
{
	struct control *control = owner_control(m);
	struct holder holder = {
	    .port = member->control_port, .version = member->version};
	int64_t now_us = loop_now_us(control->loop);

	if (member->status > MEMBER_SUSPECT)
		return;
	memcpy(holder.host, member->host, sizeof(holder.host));
	holder.distance = membership_distance(m, member);
	version_sync_add_holder(&control->sync, &holder,
	    version_sync_rank(m, member->version), now_us);
	loop_timer_set(control->loop, &control->tick_timer, now_us);
}

static void
on_server_left(struct membership *m, uint64_t server)
{
	announce_server_left(owner_control(m), server);
}

const struct membership_ops control_membership_ops = {
    .send = send_gossip,
    .sync = start_sync,
    .changed = on_changed,
    .version_advertised = on_version_advertised,
    .server_left = on_server_left,
};

void
gossip_io_receive(
    void *owner, const struct address *from, struct message *message)
{
	struct control *control = owner;
	struct gossip gossip;
	struct error err;

	(void)from;
	counter_add(&count_received, 1);
	if (message->type == MESSAGE_REPORT_ANSWER) {
		distribution_receive_answer(control, &message->u.report_answer);
		return;
	}
	if (message->type != MESSAGE_GOSSIP)
		return;
	if (gossip_from_message(&message->u.gossip, &gossip, &err) != 0) {
		log_error(LOG_WARN, "gossip", "Dropped a gossip message", &err);
		return;
	}
	membership_receive(
	    &control->membership, &gossip, loop_now_us(control->loop));
}
