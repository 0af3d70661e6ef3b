/// @file
/// Membership: failure detection and dissemination by gossip.
///
/// Probes with indirect probes and suspicion as in SWIM; updates ride on
/// probes and on notices sent while there is something to tell. Targets are
/// mostly in the own data centre. A change crosses to each other data centre
/// a few times, by the member itself and by a few of its neighbours, so that
/// the bytes between regions do not grow with the fleet. Probes compare
/// digests of the tables, and a difference that is no news is repaired by a
/// table exchange.
#ifndef MV_CORE_MEMBERSHIP_MEMBERSHIP_H
#define MV_CORE_MEMBERSHIP_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"
#include "core/random.h"

#define GOSSIP_MAX_UPDATES 8
#define GOSSIP_INDIRECT	   3
#define GOSSIP_MAX_RELAYS  32

struct membership;

enum gossip_kind {
	GOSSIP_PROBE,
	GOSSIP_ACK,
	GOSSIP_PROBE_REQUEST, ///< Asks the receiver to probe the target.
	GOSSIP_NOTICE,	      ///< Carries updates, wants no answer.
};

/// A message between members.
struct gossip {
	enum gossip_kind kind;
	uint64_t sequence;
	uint64_t digest; ///< Of the sender's table.
	char target[MEMBER_NAME_BYTES];
	struct member from;
	uint32_t update_count;
	struct member updates[GOSSIP_MAX_UPDATES];
};

/// What the owner does for the core, and what it is told.
struct membership_ops {
	void (*send)(struct membership *m, const char *host, uint32_t port,
	    const struct gossip *gossip);
	/// Exchanges whole tables with a member over a reliable channel.
	void (*sync)(struct membership *m, const char *host, uint32_t port);
	/// A member is new or its record changed.
	void (*changed)(struct membership *m, const struct member *member);
	/// A member told its rules version, which may be newer than ours.
	void (*version_heard)(
	    struct membership *m, const struct member *member);
};

struct membership_settings {
	int64_t probe_period_us;
	int64_t ack_timeout_us;
	int64_t notice_period_us;
	int64_t sync_period_us;
	int64_t retry_dead_period_us; ///< Between tries at dead members.
	int64_t forget_us; ///< Dead members are dropped after this time.
	uint32_t suspicion_periods; ///< Times log10 of the fleet's size.
	uint32_t seed_count;
	struct {
		char host[MEMBER_HOST_BYTES];
		uint32_t port;
	} seeds[16];
};

/// How far away a member is.
enum distance { DISTANCE_DC, DISTANCE_REGION, DISTANCE_FAR, DISTANCE_COUNT };

/// A member other than this one.
struct peer {
	struct member member;
	enum distance distance;
	uint32_t transmits_left; ///< Times the record is still to be sent.
	uint32_t sends;		 ///< Times it has been sent since it changed.
	uint64_t pack_round;	 ///< Last message that carries the record.
	int64_t suspect_deadline_us;
	int64_t forget_deadline_us;
};

/// An indirect probe done for another member.
struct relay {
	uint64_t sequence; ///< Of our probe.
	uint64_t origin_sequence;
	char origin_host[MEMBER_HOST_BYTES];
	uint32_t origin_port;
	int64_t deadline_us; ///< 0: free.
};

struct membership {
	const struct membership_ops *ops;
	void *owner;
	struct membership_settings settings;
	struct random random;
	struct member self;
	uint32_t self_transmits_left;
	bool push_self;	     ///< The own record is to go to every data centre.
	struct peer **peers; ///< Sorted by name.
	uint32_t peer_count;
	uint32_t peer_capacity;
	uint64_t version_floor; ///< Highest version others saw here.
	uint64_t next_sequence;
	uint64_t probe_round;
	uint64_t pack_round;
	uint32_t cursor[DISTANCE_COUNT];
	// The probe in progress; no target while the name is empty.
	char probe_name[MEMBER_NAME_BYTES];
	uint64_t probe_sequence;
	int64_t indirect_deadline_us;
	int64_t probe_deadline_us;
	int64_t notice_deadline_us;
	int64_t sync_deadline_us;
	int64_t meet_deadline_us;   ///< No exchange with a stranger before.
	int64_t repair_deadline_us; ///< No repair of a difference before.
	int64_t retry_dead_deadline_us;
	uint32_t retry_round;
	struct relay relays[GOSSIP_MAX_RELAYS];
	bool leaving;
};

/// Starts with the own record alone.
void membership_init(struct membership *m, const struct membership_ops *ops,
    void *owner, const struct membership_settings *settings,
    const struct member *self, uint64_t seed, int64_t now_us);

void membership_free(struct membership *m);

/// Does what is due.
///
/// @return the deadline of the next call
int64_t membership_tick(struct membership *m, int64_t now_us);

/// Handles a message.
void membership_receive(
    struct membership *m, const struct gossip *gossip, int64_t now_us);

/// Exchanges tables with the member at an address, unless one is known to be
/// up there. Does so often while few members are known, and seldom later.
void membership_meet(
    struct membership *m, const char *host, uint32_t port, int64_t now_us);

/// Merges one record of a table exchange.
void membership_merge(
    struct membership *m, const struct member *record, int64_t now_us);

/// Hashes a member's name, as in a table exchange.
uint64_t membership_name_hash(const char *name);

/// Hashes the records of all members that are up, but not their load and
/// version.
uint64_t membership_digest(const struct membership *m);

/// Changes the state of the own backend server and spreads it.
void membership_set_backend(struct membership *m, const char *service,
    enum backend_state state, uint32_t slots, int64_t now_us);

/// Changes the own load; told to others only with the next message.
void membership_set_load(struct membership *m, uint32_t load_pct);

/// Raises the own version and tells some members at once.
void membership_set_version(struct membership *m, uint64_t version);

/// Tells members that this one leaves of its own will.
void membership_leave(struct membership *m, int64_t now_us);

/// Finds a member by name; NULL if unknown.
const struct member *membership_find(
    const struct membership *m, const char *name);

/// Counts members that are alive or suspected, this one included.
uint32_t membership_alive_count(const struct membership *m);

/// Distance between this member and another.
enum distance membership_distance(
    const struct membership *m, const struct member *member);

#endif
