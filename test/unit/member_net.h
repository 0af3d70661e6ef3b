/// @file
/// Members on a simulated network and clock: datagrams are delayed, dropped and
/// blocked, tables are exchanged at once.
#ifndef MV_TEST_UNIT_MEMBER_NET_H
#define MV_TEST_UNIT_MEMBER_NET_H

#include "core/membership/membership.h"
#include "core/random.h"

#define MAX_NODES 128
#define SECOND_US 1000000
#define STEP_US	  10000 ///< Of the simulated clock.

struct net;
struct packet;

struct net_node {
	struct membership m;
	struct net *net;
	uint32_t id;
	bool up;
	uint32_t group; ///< Different groups cannot reach each other.
	uint64_t version_advertised;
	uint64_t server_left;
};

struct net {
	struct net_node nodes[MAX_NODES];
	uint32_t count;
	struct packet *packets;
	uint32_t packet_count;
	struct random random;
	int64_t now_us;
	uint32_t drop_pct;
	bool blocks; ///< Drops packets between the blocked members.
	uint32_t blocked[2];
	uint64_t sent;
	uint64_t sent_cross_region;
};

/// Starts or restarts a member.
void net_start_node(struct net *net, uint32_t id, uint64_t incarnation);

/// Creates a network and starts its members, in two regions in turn.
struct net *net_create(uint32_t count);

void net_free(struct net *net);

void net_run(struct net *net, int64_t time_us);

/// Runs until a condition holds at all nodes that are up.
///
/// @return elapsed time, or -1 at the time limit
int64_t net_run_until(struct net *net, int64_t limit_us,
    bool (*holds)(const struct net_node *n, void *arg), void *arg);

#endif
