// Discovery of replicas, and join and leave requests.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/log.h"
#include "io/net/oneshot.h"
#include "io/replica/replica_host.h"

/// Interval between join requests while there is no leader, and between a
/// leader's checks of its members: several per election.
#define JOIN_INTERVAL_US (250 * US_PER_MS)

/// Timeout of a join request: a few round trips between regions.
#define JOIN_TIMEOUT_US (500 * US_PER_MS)

/// Time without contact to the leader after which a member sends join requests:
/// longer than an election.
#define LEADER_TIMEOUT_US (1500 * US_PER_MS)

const struct replica_peer *
replica_join_find_peer(const struct replica_join *join, uint64_t id)
{
	uint32_t i;

	for (i = join->discovered_count; i > 0; i--)
		if (join->discovered[i - 1].id == id)
			return &join->discovered[i - 1];
	return NULL;
}

static void
add_discovered(struct replica_join *join, const struct message_peer *peer)
{
	struct replica_peer discovered_peer = {.id = peer->id};

	if (peer->id == 0 || peer->id == join->self.id ||
	    replica_join_find_peer(join, peer->id) != NULL ||
	    bytes_copy(peer->address, discovered_peer.address,
		sizeof(discovered_peer.address)) != 0)
		return;
	if (join->discovered_count == REPLICA_MAX_DISCOVERED) {
		join->discovered_count--;
		memmove(join->discovered, join->discovered + 1,
		    join->discovered_count * sizeof(discovered_peer));
	}
	join->discovered[join->discovered_count++] = discovered_peer;
}

static void
on_join_answer(void *arg, const struct message *answer, const struct error *err)
{
	struct replica_join *join = arg;
	const struct message_peer *peers;
	uint32_t i;

	(void)err;
	if (answer == NULL || answer->type != MESSAGE_JOIN_ANSWER ||
	    answer->u.join_answer.cluster != join->host->cluster)
		return;
	peers = answer->u.join_answer.peers.items;
	for (i = 0; i < answer->u.join_answer.peers.count; i++)
		add_discovered(join, &peers[i]);
}

static void
send_join_request(struct replica_join *join, const struct address *to)
{
	struct replica_host *host = join->host;
	struct message_join m = {
	    .cluster = host->cluster, .leaving = join->leaving};

	m.self.id = join->self.id;
	m.self.address = bytes_from_string(join->self.address);
	oneshot_call(host->loop, to, MESSAGE_JOIN, &m,
	    loop_now_us(host->loop) + JOIN_TIMEOUT_US, on_join_answer, join);
}

/// Distinct addresses to send a join request to.
struct address_list {
	struct replica_join *join;
	struct address items[REPLICA_MAX_SEEDS + REPLICA_MAX_DISCOVERED +
	    REPLICA_MAX_PEERS];
	uint32_t count;
};

static void
address_list_add(struct address_list *list, const struct address *address)
{
	char text[ADDRESS_TEXT_BYTES];
	uint32_t i;

	address_format(address, text);
	if (strcmp(text, list->join->self.address) == 0)
		return;
	for (i = 0; i < list->count; i++)
		if (memcmp(&list->items[i].in, &address->in,
			sizeof(address->in)) == 0)
			return;
	list->items[list->count++] = *address;
}

static void
address_list_add_peer(void *arg, const struct replica_peer *peer)
{
	struct address address;

	if (address_parse(peer->address, &address) == 0)
		address_list_add(arg, &address);
}

static void
send_join_requests(struct replica_join *join)
{
	struct address_list list = {.join = join};
	uint32_t i;

	replica_config_each(
	    &join->host->replica.config, address_list_add_peer, &list);
	for (i = 0; i < join->discovered_count; i++)
		address_list_add_peer(&list, &join->discovered[i]);
	for (i = 0; i < join->seed_count; i++)
		address_list_add(&list, &join->seeds[i]);
	for (i = 0; i < list.count; i++)
		send_join_request(join, &list.items[i]);
}

/// Names the learners that a change removes without making them voters: the
/// leader has heard nothing from them, or their disk is lost.
static void
log_removed_learners(
    const struct replica_config *old, const struct replica_config *next)
{
	struct log_line line;
	uint32_t i;

	for (i = 0; i < old->learner_count; i++) {
		if (replica_config_find(next, old->learners[i].id) != NULL)
			continue;
		log_begin(&line, LOG_WARN, "replica",
		    "Removed a learner that did not become a voter.");
		log_number(&line, "learner", (int64_t)old->learners[i].id);
		log_text(&line, "address", old->learners[i].address);
		log_end(&line);
	}
}

static void
change_members(struct replica_join *join)
{
	struct replica_host *host = join->host;
	int64_t now_us = loop_now_us(host->loop);
	struct replica_config old;
	struct replica_config next;
	struct error err;

	if (!roster_decide(&join->roster, &host->replica, now_us, &next))
		return;
	old = host->replica.config;
	if (replica_change_config(&host->replica, &next, now_us, &err) != 0) {
		log_error(LOG_DEBUG, "replica", "Cannot change members", &err);
		return;
	}
	log_removed_learners(&old, &next);
	log_write(LOG_INFO, "replica",
	    "Changes members: %u voters, %u learners from entry %" PRIu64 ".",
	    next.voter_count, next.learner_count, host->replica.config_index);
}

static bool
needs_leader(const struct replica_join *join, int64_t now_us)
{
	const struct replica *r = &join->host->replica;

	return replica_config_find(&r->config, join->self.id) == NULL ||
	    r->leader == 0 || now_us - r->leader_contact_us > LEADER_TIMEOUT_US;
}

static void
on_timer(void *arg)
{
	struct replica_join *join = arg;
	struct loop *loop = join->host->loop;
	int64_t now_us = loop_now_us(loop);

	if (replica_is_leader(&join->host->replica)) {
		if (join->leaving)
			roster_update_candidate(
			    &join->roster, &join->self, true, now_us);
		change_members(join);
	} else if (join->leaving || needs_leader(join, now_us))
		send_join_requests(join);
	loop_timer_set(loop, &join->timer, now_us + JOIN_INTERVAL_US);
}

void
replica_join_start(struct replica_join *join, struct replica_host *host,
    const struct replica_peer *self, uint32_t target_voters)
{
	join->host = host;
	join->self = *self;
	roster_init(&join->roster, target_voters, ROSTER_VOTER_TIMEOUT_US);
	join->timer.fn = on_timer;
	join->timer.arg = join;
	loop_timer_set(host->loop, &join->timer, loop_now_us(host->loop));
}

void
replica_join_stop(struct replica_join *join)
{
	if (join->host != NULL)
		loop_timer_clear(join->host->loop, &join->timer);
}

void
replica_join_leave(struct replica_join *join)
{
	if (join->host == NULL)
		return;
	join->leaving = true;
	loop_timer_set(
	    join->host->loop, &join->timer, loop_now_us(join->host->loop));
}

/// Members listed in a response.
struct peer_list {
	struct message_peer items[REPLICA_MAX_PEERS];
	uint32_t count;
};

static void
append_peer(void *arg, const struct replica_peer *peer)
{
	struct peer_list *list = arg;

	list->items[list->count].id = peer->id;
	list->items[list->count++].address = bytes_from_string(peer->address);
}

void
replica_join_receive(struct replica_join *join, struct stream *stream,
    const struct message_join *m)
{
	struct replica_host *host = join->host;
	struct message_join_answer answer = {
	    .cluster = host->cluster, .leader = host->replica.leader};
	struct replica_peer peer = {.id = m->self.id};
	struct peer_list list = {.count = 0};
	struct address parsed;

	if (m->cluster != host->cluster || peer.id == 0 ||
	    bytes_copy(m->self.address, peer.address, sizeof(peer.address)) !=
		0 ||
	    address_parse(peer.address, &parsed) != 0) {
		stream_close(stream);
		return;
	}
	if (replica_is_leader(&host->replica)) {
		roster_update_candidate(&join->roster, &peer, m->leaving != 0,
		    loop_now_us(host->loop));
		change_members(join);
	}
	replica_config_each(&host->replica.config, append_peer, &list);
	answer.peers.items = list.items;
	answer.peers.count = list.count;
	stream_send(stream, MESSAGE_JOIN_ANSWER, &answer);
}
