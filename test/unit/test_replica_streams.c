// The table of streams to other replicas, over more ids than it has entries.
#include <apr_general.h>
#include <string.h>

#include "io/replica/replica_streams.h"
#include "unit/support.h"

#define MEMBERS REPLICA_MAX_PEERS
#define LOSSES	1000

static void
ignore_message(
    void *owner, struct stream *stream, const struct message *message)
{
	(void)owner;
	(void)stream;
	(void)message;
}

static void
ignore_peer_message(struct stream *stream, struct message *message)
{
	(void)stream;
	(void)message;
}

static void
ignore_closed(struct stream *stream, const struct error *err)
{
	(void)stream;
	(void)err;
}

static const struct stream_ops listener_ops = {
    .on_message = ignore_peer_message,
    .on_closed = ignore_closed,
};

/// A leader with its members and a replica that loses its disk again and again.
struct losing_set {
	struct loop *loop;
	struct replica_streams streams;
	struct stream *members[MEMBERS];
	struct address at;
	struct loop_timer timer;
	uint64_t losses;
};

static void
make_peer(struct replica_peer *peer, uint64_t id, const struct address *at)
{
	memset(peer, 0, sizeof(*peer));
	peer->id = id;
	address_format(at, peer->address);
}

/// Plays one loss in an iteration of the loop, which also frees closed streams.
static void
lose_disk(void *arg)
{
	struct losing_set *set = arg;
	struct replica_peer peer;
	uint32_t m;

	for (m = 0; m < MEMBERS; m++) {
		make_peer(&peer, m + 1, &set->at);
		replica_streams_note_response(&set->streams, peer.id);
		assert_ptr_equal(
		    replica_streams_get(&set->streams, &peer), set->members[m]);
	}
	make_peer(&peer, MEMBERS + ++set->losses, &set->at);
	assert_non_null(replica_streams_get(&set->streams, &peer));
	if (set->losses == LOSSES)
		loop_stop(set->loop);
	else
		loop_timer_set(set->loop, &set->timer, loop_now_us(set->loop));
}

/// Each loss of a disk brings a new id. The members keep their streams, and the
/// new replica gets one.
static void
test_new_ids_without_end(void **state)
{
	struct losing_set set = {.timer = {.fn = lose_disk, .arg = &set}};
	struct listener listener;
	struct replica_peer peer;
	struct error err;
	uint32_t m;

	(void)state;
	set.loop = loop_create("test", &err);
	assert_non_null(set.loop);
	assert_int_equal(address_make("127.0.0.1", 0, &set.at), 0);
	assert_int_equal(listener_open(&listener, set.loop, &set.at,
			     &listener_ops, NULL, NULL, &set.at, &err),
	    0);
	replica_streams_init(&set.streams, set.loop, NULL, ignore_message);
	for (m = 0; m < MEMBERS; m++) {
		make_peer(&peer, m + 1, &set.at);
		set.members[m] = replica_streams_get(&set.streams, &peer);
		assert_non_null(set.members[m]);
	}
	loop_timer_set(set.loop, &set.timer, loop_now_us(set.loop));
	loop_run(set.loop);
	assert_int_equal(set.losses, LOSSES);
	replica_streams_close(&set.streams);
	listener_close(&listener);
	loop_destroy(set.loop);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_new_ids_without_end),
	};

	apr_initialize();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
