// Members on a simulated network and clock.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "unit/member_net.h"
#include "unit/support.h"

#define MAX_PACKETS 65536

struct packet {
	struct gossip gossip;
	uint32_t from;
	uint32_t to;
	int64_t due_us;
};

static struct net_node *
node_of(struct membership *m)
{
	return m->owner;
}

static void
on_send(struct membership *m, const char *host, uint32_t port,
    const struct gossip *gossip)
{
	struct net_node *from = node_of(m);
	struct net *net = from->net;
	struct packet *p;

	(void)host;
	assert_in_range(port, 1, net->count);
	net->sent++;
	net->sent_cross_region += strcmp(net->nodes[port - 1].m.self.region,
				      from->m.self.region) != 0;
	if (random_below(&net->random, 100) < net->drop_pct ||
	    net->packet_count == MAX_PACKETS)
		return;
	p = &net->packets[net->packet_count++];
	p->gossip = *gossip;
	p->from = from->id;
	p->to = port - 1;
	p->due_us = net->now_us + 1000 + random_time_us(&net->random, 20000);
}

/// Exchanges tables instantly in both directions.
static void
on_sync(struct membership *m, const char *host, uint32_t port)
{
	struct net_node *a = node_of(m);
	struct net_node *b = &a->net->nodes[port - 1];
	uint32_t i;

	(void)host;
	if (!b->up || a->group != b->group || a == b)
		return;
	membership_merge(&b->m, &a->m.self, a->net->now_us);
	for (i = 0; i < a->m.peer_count; i++)
		membership_merge(&b->m, &a->m.peers[i]->member, a->net->now_us);
	membership_merge(&a->m, &b->m.self, a->net->now_us);
	for (i = 0; i < b->m.peer_count; i++)
		membership_merge(&a->m, &b->m.peers[i]->member, a->net->now_us);
}

static void
on_changed(struct membership *m, const struct member *member)
{
	(void)m;
	(void)member;
}

static void
on_version_advertised(struct membership *m, const struct member *member)
{
	if (member->version > node_of(m)->version_advertised)
		node_of(m)->version_advertised = member->version;
}

static void
on_server_left(struct membership *m, uint64_t server)
{
	node_of(m)->server_left = server;
}

static const struct membership_ops call_ops = {
    .send = on_send,
    .sync = on_sync,
    .changed = on_changed,
    .version_advertised = on_version_advertised,
    .server_left = on_server_left,
};

void
net_start_node(struct net *net, uint32_t id, uint64_t incarnation)
{
	struct net_node *n = &net->nodes[id];
	struct membership_settings settings = {
	    .probe_period_us = SECOND_US,
	    .ack_timeout_us = 300000,
	    .notice_period_us = 200000,
	    .sync_period_us = 30 * SECOND_US,
	    .retry_dead_period_us = 5 * SECOND_US,
	    .forget_us = 3600LL * SECOND_US,
	    .suspicion_periods = 3,
	    .seed_count = 2,
	};
	struct member self = {
	    .control_port = id + 1, .incarnation = incarnation};

	strcpy(settings.seeds[0].host, "h");
	settings.seeds[0].port = 1;
	strcpy(settings.seeds[1].host, "h");
	settings.seeds[1].port = 2;
	snprintf(self.name, sizeof(self.name), "n%03u", id);
	strcpy(self.host, "h");
	snprintf(self.region, sizeof(self.region), "r%u", id % 2);
	snprintf(self.dc, sizeof(self.dc), "r%u-%u", id % 2, id / 2 % 3);
	n->net = net;
	n->id = id;
	n->up = true;
	n->version_advertised = 0;
	n->server_left = 0;
	membership_init(&n->m, &call_ops, n, &settings, &self,
	    id * 1000 + incarnation, net->now_us);
}

struct net *
net_create(uint32_t count)
{
	struct net *net = calloc(1, sizeof(*net));
	uint32_t i;

	assert_non_null(net);
	net->packets = calloc(MAX_PACKETS, sizeof(*net->packets));
	assert_non_null(net->packets);
	net->count = count;
	net->random.seed = count;
	net->now_us = 1000 * SECOND_US;
	for (i = 0; i < count; i++)
		net_start_node(net, i, 1);
	return net;
}

void
net_free(struct net *net)
{
	uint32_t i;

	for (i = 0; i < net->count; i++)
		membership_free(&net->nodes[i].m);
	free(net->packets);
	free(net);
}

static bool
is_blocked(const struct net *net, uint32_t a, uint32_t b)
{
	return (net->blocked[0] == a && net->blocked[1] == b) ||
	    (net->blocked[0] == b && net->blocked[1] == a);
}

static void
deliver(struct net *net)
{
	uint32_t i = 0;

	while (i < net->packet_count) {
		struct packet p = net->packets[i];
		struct net_node *to = &net->nodes[p.to];

		if (p.due_us > net->now_us) {
			i++;
			continue;
		}
		net->packets[i] = net->packets[--net->packet_count];
		if (net->blocks && is_blocked(net, p.from, p.to))
			continue;
		if (to->up && to->group == net->nodes[p.from].group)
			membership_receive(&to->m, &p.gossip, net->now_us);
	}
}

void
net_run(struct net *net, int64_t time_us)
{
	int64_t end_us = net->now_us + time_us;
	uint32_t i;

	while (net->now_us < end_us) {
		net->now_us += STEP_US;
		deliver(net);
		for (i = 0; i < net->count; i++)
			if (net->nodes[i].up)
				membership_tick(&net->nodes[i].m, net->now_us);
	}
}

int64_t
net_run_until(struct net *net, int64_t limit_us,
    bool (*holds)(const struct net_node *n, void *arg), void *arg)
{
	int64_t start_us = net->now_us;

	while (net->now_us - start_us < limit_us) {
		uint32_t i = 0;

		net_run(net, STEP_US);
		while (i < net->count &&
		    (!net->nodes[i].up || holds(&net->nodes[i], arg)))
			i++;
		if (i == net->count)
			return net->now_us - start_us;
	}
	return -1;
}
