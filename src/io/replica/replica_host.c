// Runs a replica on an event loop.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/replica/replica_folder.h"
#include "io/replica/replica_message.h"

/// Interval between test writes to a failed disk; such a write is cheap.
#define DISK_PROBE_INTERVAL_US (250 * US_PER_MS)
#define DISK_PROBE_FILE	       "probe"

#define MAX_APPEND_BYTES      (512u * 1024)
#define MAX_UNCOMMITTED_BYTES (32u * 1024 * 1024)
#define KEEP_ENTRIES	      1000

GAUGE_DEFINE(gauge_term, "replica_term", "Term of the replicated log");
GAUGE_DEFINE(gauge_commit, "replica_commit", "Last committed entry");
GAUGE_DEFINE(gauge_voters, "replica_voters", "Voters of its config, of 7");
GAUGE_DEFINE(
    gauge_learners, "replica_learners", "Learners of its config, of 3");
GAUGE_DEFINE(gauge_leader, "replica_is_leader", "1 on the leader");
GAUGE_DEFINE(
    gauge_failed, "replica_storage_failed", "1 while the disk takes no writes");
COUNTER_DEFINE(count_flushes, "replica_flushes", "Rounds with a sync");

static struct replica_host *
get_host(struct replica *r)
{
	return r->owner;
}

static const struct replica_peer *
find_peer(const struct replica_host *host, uint64_t id)
{
	const struct replica_peer *peer =
	    replica_config_find(&host->replica.config, id);

	// A joining replica has no config yet.
	if (peer == NULL)
		peer = replica_config_find(&host->initial, id);
	if (peer == NULL)
		peer = replica_join_find_peer(&host->joining, id);
	return peer;
}

static void
send_message(struct replica *r, const struct replica_message *m)
{
	struct replica_host *host = get_host(r);
	const struct replica_peer *peer = find_peer(host, m->to);
	struct stream *stream =
	    peer == NULL ? NULL : replica_streams_get(&host->streams, peer);

	if (stream != NULL)
		replica_message_send(stream, host->cluster, m);
}

static void
on_apply(struct replica *r, const struct replica_entry *entry)
{
	struct replica_host *host = get_host(r);

	if (entry->kind == REPLICA_ENTRY_DATA) {
		host->data_index = entry->index;
		host->ops->apply(host, entry);
	}
	host->ops->applied(host, entry->index);
}

static void
on_restore(struct replica *r, const struct replica_snapshot *snapshot)
{
	struct replica_host *host = get_host(r);

	host->data_index = snapshot->index;
	host->ops->restore(host, snapshot);
}

static void
on_read_done(struct replica *r, uint64_t context, bool ok)
{
	struct replica_host *host = get_host(r);

	host->ops->read_done(host, context, ok);
}

static void
log_role(const struct replica *r)
{
	struct log_line line;

	log_begin(&line, LOG_INFO, "replica",
	    r->leader == 0
		? "No leader is known: waiting for a quorum to elect one."
		: "The leader is known.");
	log_number(&line, "replica", (int64_t)r->settings.id);
	log_text(&line, "role", replica_role_name(r->role));
	log_number(&line, "term", (int64_t)r->term);
	log_number(&line, "leader", (int64_t)r->leader);
	log_number(&line, "commit", (int64_t)r->commit);
	log_end(&line);
}

static void
on_role_changed(struct replica *r)
{
	struct replica_host *host = get_host(r);

	log_role(r);
	counter_set(&gauge_leader, r->role == REPLICA_LEADER);
	if (r->role != REPLICA_LEADER)
		host->change_pending = false;
	host->ops->role_changed(host);
}

static const struct replica_ops replica_ops = {
    .send = send_message,
    .apply = on_apply,
    .restore = on_restore,
    .read_done = on_read_done,
    .role_changed = on_role_changed,
};

static void
on_tick(void *arg)
{
	struct replica_host *host = arg;
	int64_t now_us = loop_now_us(host->loop);
	int64_t next_us = replica_tick(&host->replica, now_us);

	replica_host_advance_change(host);
	if (next_us != INT64_MAX)
		loop_timer_set(host->loop, &host->tick_timer, next_us);
}

/// Writes a test file to a failed disk: a full disk may have space again.
static void
probe_disk(void *arg)
{
	struct replica_host *host = arg;
	struct disk *disk = host->disk;
	struct error err;

	if (disk->ops->replace(disk, DISK_PROBE_FILE, DISK_PROBE_FILE,
		strlen(DISK_PROBE_FILE), &err) != 0 ||
	    disk->ops->remove(disk, DISK_PROBE_FILE, &err) != 0) {
		loop_timer_set(host->loop, &host->probe_timer,
		    loop_now_us(host->loop) + DISK_PROBE_INTERVAL_US);
		return;
	}
	log_write(LOG_WARN, "replica",
	    "The disk accepts writes again; exiting to reload the stored "
	    "state.");
	host->restart(host->restart_arg);
}

/// Runs once per iteration of the event loop: one sync covers all messages
/// received in it.
static int64_t
before_wait(void *arg)
{
	struct replica_host *host = arg;
	bool failed = replica_has_failed(&host->replica);

	if (host->replica.dirty)
		counter_add(&count_flushes, 1);
	replica_flush(&host->replica, loop_now_us(host->loop));
	counter_set(&gauge_term, (int64_t)host->replica.term);
	counter_set(&gauge_commit, (int64_t)host->replica.commit);
	counter_set(&gauge_voters, host->replica.config.voter_count);
	counter_set(&gauge_learners, host->replica.config.learner_count);
	if (failed || !replica_has_failed(&host->replica))
		return DEADLINE_NEVER_US;
	log_error(LOG_ERROR, "replica",
	    "Storage failed; this replica stops participating",
	    &host->replica.failure);
	counter_set(&gauge_failed, 1);
	// Only I/O errors can be transient; corruption is permanent.
	if (host->replica.failure.code == ERR_IO && host->restart != NULL)
		loop_timer_set(host->loop, &host->probe_timer,
		    loop_now_us(host->loop) + DISK_PROBE_INTERVAL_US);
	return DEADLINE_NEVER_US;
}

void
replica_host_set_seeds(
    struct replica_host *host, const struct replica_config *seeds)
{
	struct replica_join *join = &host->joining;
	uint32_t i;

	join->seed_count = 0;
	for (i = 0; i < seeds->voter_count; i++)
		if (address_parse(seeds->voters[i].address,
			&join->seeds[join->seed_count]) == 0)
			join->seed_count++;
}

static void
start_joining(struct replica_host *host, const struct replica_host_settings *s)
{
	struct replica_peer self = {.id = host->replica.settings.id};

	memcpy(self.address, s->address, sizeof(self.address));
	replica_host_set_seeds(host, &s->initial);
	replica_join_start(&host->joining, host, &self, s->target_voters);
}

static void
on_peer_message(
    void *owner, struct stream *stream, const struct message *message)
{
	replica_host_receive(owner, stream, message);
}

int
replica_host_open(struct replica_host *host, struct loop *loop,
    const struct replica_host_settings *wanted,
    const struct replica_host_ops *ops, void *owner, struct error *err)
{
	struct replica_host_settings effective = *wanted;
	struct replica_host_settings *s = &effective;
	struct replica_settings settings = {
	    .election_us = s->election_us,
	    .heartbeat_us = s->heartbeat_us,
	    .max_append_bytes = MAX_APPEND_BYTES,
	    .max_uncommitted_bytes = MAX_UNCOMMITTED_BYTES,
	    .keep_entries = KEEP_ENTRIES,
	};
	struct replica_stored_state stored;
	bool is_new;

	memset(host, 0, sizeof(*host));
	host->ops = ops;
	host->owner = owner;
	host->loop = loop;
	host->initial = s->initial;
	host->cluster = replica_hash_cluster_name(s->cluster);
	host->disk = disk_open(s->data_path, err);
	if (host->disk == NULL)
		return -1;
	if (replica_folder_load_identity(host, s, &is_new, err) != 0 ||
	    wal_load(&host->wal, host->disk, &stored, err) != 0)
		return -1;
	if (host->wal.truncated_bytes > 0)
		log_write(LOG_WARN, "replica",
		    "Cut %" PRIu64 " torn bytes off the log.",
		    host->wal.truncated_bytes);
	settings.id = s->id;
	if (is_new && s->bootstrap &&
	    replica_folder_write_config(host, s, &stored, err) != 0)
		return -1;
	host->opened = true;
	if (replica_init(&host->replica, &replica_ops, host, &host->wal.storage,
		&settings, &stored, (uint64_t)clock_wall_us() ^ s->id,
		loop_now_us(loop), err) != 0)
		return -1;
	replica_streams_init(&host->streams, loop, host, on_peer_message);
	host->flush_hook.fn = before_wait;
	host->flush_hook.arg = host;
	loop_hook_add(loop, &host->flush_hook);
	host->restart = s->restart;
	host->restart_arg = s->restart_arg;
	host->probe_timer.fn = probe_disk;
	host->probe_timer.arg = host;
	host->tick_timer.fn = on_tick;
	host->tick_timer.arg = host;
	loop_timer_set(loop, &host->tick_timer, loop_now_us(loop));
	if (s->self_forming)
		start_joining(host, wanted);
	return 0;
}

void
replica_host_close(struct replica_host *host)
{
	replica_join_stop(&host->joining);
	replica_streams_close(&host->streams);
	if (host->opened) {
		replica_free(&host->replica);
		wal_free(&host->wal);
	}
	if (host->disk != NULL)
		disk_close(host->disk);
	host->disk = NULL;
}

static void
answer_query(struct replica_host *host, struct stream *stream)
{
	struct message_replica_answer answer = {
	    .cluster = host->cluster,
	    .id = host->replica.settings.id,
	    .term = host->replica.term,
	    .commit = host->replica.commit,
	    .data_index = host->data_index,
	};

	stream_send(stream, MESSAGE_REPLICA_ANSWER, &answer);
}

/// Tells whether a message is the response to one that gets no acknowledgement
/// of its own.
static bool
is_response(enum replica_message_kind kind)
{
	return kind == REPLICA_APPEND_RESPONSE ||
	    kind == REPLICA_HEARTBEAT_RESPONSE;
}

/// Tells whether a message needs an acknowledgement of its own: the stream that
/// it came on carries no response, and the message gets none on another one.
static bool
needs_ack(const struct replica_host *host, const struct message_raft *m)
{
	return replica_has_failed(&host->replica) ||
	    (m->kind != REPLICA_APPEND && m->kind != REPLICA_HEARTBEAT);
}

bool
replica_host_receive(struct replica_host *host, struct stream *stream,
    const struct message *message)
{
	const struct message_heartbeat ack = {.answer = 1};
	struct replica_inbound in;
	struct error err;

	if (message->type == MESSAGE_REPLICA_QUERY) {
		answer_query(host, stream);
		return true;
	}
	if (message->type == MESSAGE_JOIN && host->joining.host != NULL) {
		replica_join_receive(&host->joining, stream, &message->u.join);
		return true;
	}
	if (message->type != MESSAGE_RAFT)
		return false;
	if (message->u.raft.cluster != host->cluster ||
	    message->u.raft.to != host->replica.settings.id)
		return true;
	if (needs_ack(host, &message->u.raft))
		stream_send(stream, MESSAGE_HEARTBEAT, &ack);
	if (replica_message_decode(&message->u.raft, &in, &err) != 0) {
		log_error(LOG_WARN, "replica",
		    "Dropped an invalid message from a replica", &err);
		return true;
	}
	// Sent only after a message from here.
	if (is_response(in.message.kind))
		replica_streams_note_response(&host->streams, in.message.from);
	if (replica_step(&host->replica, &in.message, loop_now_us(host->loop),
		&err) != 0)
		log_error(LOG_WARN, "replica",
		    "Refused a message of another replica", &err);
	replica_inbound_free(&in);
	if (replica_is_leader(&host->replica))
		loop_timer_set(
		    host->loop, &host->tick_timer, loop_now_us(host->loop));
	else
		loop_timer_set(host->loop, &host->tick_timer,
		    host->replica.election_deadline_us);
	return true;
}

const char *
replica_host_get_leader_address(const struct replica_host *host)
{
	const struct replica_peer *peer =
	    replica_config_find(&host->replica.config, host->replica.leader);

	return peer == NULL ? "" : peer->address;
}
