/// @file
/// Membership: failure detection and dissemination by gossip.
///
/// Uses probes, indirect probes and suspicion as in SWIM. Updates are
/// piggybacked on probes, and on notices sent while updates are pending. Most
/// targets are in the local data centre. The changed member and a few members
/// of its data centre send a change to each other data centre, so that traffic
/// between regions does not grow with the fleet. Probes compare digests of
/// the tables; a mismatch without pending updates starts a table exchange
/// (anti-entropy).
#ifndef MV_CORE_MEMBERSHIP_MEMBERSHIP_H
#define MV_CORE_MEMBERSHIP_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"
#include "core/random.h"

#define GOSSIP_MAX_UPDATES     8
#define GOSSIP_INDIRECT_PROBES 3
#define GOSSIP_MAX_RELAYS      32

struct membership;

enum gossip_kind {
	GOSSIP_PROBE,
	GOSSIP_ACK,
	GOSSIP_PROBE_REQUEST, ///< Asks the receiver to probe the target.
	GOSSIP_NOTICE,	      ///< Carries updates; not acknowledged.
};

/// Gossip message.
struct gossip {
	enum gossip_kind kind;
	uint64_t sequence;
	uint64_t digest;		///< Of the sender's table.
	char target[MEMBER_NAME_BYTES]; ///< The member to probe.
	struct member from;
	uint32_t update_count;
	struct member updates[GOSSIP_MAX_UPDATES];
};

/// Callbacks to the owner.
struct membership_ops {
	void (*send)(struct membership *m, const char *host, uint32_t port,
	    const struct gossip *gossip);
	/// Exchanges whole tables with a member over a reliable channel.
	void (*sync)(struct membership *m, const char *host, uint32_t port);
	/// Reports a new member or a changed record.
	void (*changed)(struct membership *m, const struct member *member);
	/// Reports a rules version of a member, which may exceed the local one.
	void (*version_advertised)(
	    struct membership *m, const struct member *member);
	/// Others know that a process of the local backend server leaves.
	void (*server_left)(struct membership *m, uint64_t server);
};

struct membership_settings {
	int64_t probe_period_us;
	int64_t ack_timeout_us;
	int64_t notice_period_us;
	int64_t sync_period_us;
	int64_t retry_dead_period_us; ///< Longest reconnect backoff.
	int64_t forget_us; ///< Records of dead members expire after it.
	uint32_t suspicion_periods; ///< Times the digits of the peer count.
	uint32_t seed_count;
	struct {
		char host[MEMBER_HOST_BYTES];
		uint32_t port;
	} seeds[16];
};

/// Distance of a member: same data centre, same region, other region.
enum distance { DISTANCE_DC, DISTANCE_REGION, DISTANCE_FAR, DISTANCE_COUNT };

/// Remote member.
struct peer {
	struct member member;
	enum distance distance;
	uint32_t transmits_left; ///< Transmissions of the record still due.
	uint32_t transmits;	 ///< Transmissions since the last change.
	uint64_t pack_round;	 ///< Last message that includes the record.
	int64_t suspect_deadline_us;
	int64_t forget_deadline_us;
	/// Process of its backend server that leaves or has left; 0: none. Kept
	/// when the proxy restarts, which forgets it.
	uint64_t left_server;
};

/// Indirect probe on behalf of another member.
struct relay {
	uint64_t sequence; ///< Of the probe sent from here.
	uint64_t origin_sequence;
	char origin_host[MEMBER_HOST_BYTES];
	uint32_t origin_port;
	int64_t deadline_us; ///< 0: unused.
};

struct membership {
	const struct membership_ops *ops;
	void *owner;
	struct membership_settings settings;
	struct random random;
	struct member self;
	uint32_t self_transmits_left;
	bool push_self_to_dcs; ///< The local record is due to each data centre.
	struct peer **peers;   ///< Sorted by name.
	uint32_t peer_count;
	uint32_t peer_capacity;
	uint64_t version_floor; ///< Highest version others hold for here.
	uint64_t next_sequence;
	uint64_t probe_round;
	uint64_t pack_round;
	uint32_t probe_cursor[DISTANCE_COUNT];
	// Probe in progress; the name is empty if there is none.
	char probe_name[MEMBER_NAME_BYTES];
	uint64_t probe_sequence;
	int64_t indirect_deadline_us;
	int64_t probe_deadline_us;
	int64_t notice_deadline_us;
	int64_t sync_deadline_us;
	int64_t address_sync_deadline_us; ///< Earliest sync by address.
	int64_t digest_sync_deadline_us;  ///< Earliest sync on a mismatch.
	int64_t retry_dead_deadline_us;
	uint32_t reconnect_round;
	struct relay relays[GOSSIP_MAX_RELAYS];
	bool leaving;
};

/// Starts with a table of the local record only.
void membership_init(struct membership *m, const struct membership_ops *ops,
    void *owner, const struct membership_settings *settings,
    const struct member *self, uint64_t seed, int64_t now_us);

void membership_free(struct membership *m);

/// Runs due timers.
///
/// @return time of the next call
int64_t membership_tick(struct membership *m, int64_t now_us);

/// Processes a gossip message.
void membership_receive(
    struct membership *m, const struct gossip *gossip, int64_t now_us);

/// Exchanges tables with the member at an address, unless it is known and up.
/// Limited to once per notice period while few members are known, and to once
/// per sync period afterwards.
void membership_sync_address(
    struct membership *m, const char *host, uint32_t port, int64_t now_us);

/// Merges one received record.
void membership_merge(
    struct membership *m, const struct member *record, int64_t now_us);

/// Returns the hash that identifies a member in a table exchange.
uint64_t membership_name_hash(const char *name);

/// Returns a hash of the records of all members that are up. It excludes their
/// load and version.
uint64_t membership_digest(const struct membership *m);

/// Sets the state of the local backend server and disseminates it.
///
/// @param server  its process; 0 if not known
void membership_set_backend(struct membership *m, const char *service,
    enum backend_state state, uint64_t server, uint32_t slots, int64_t now_us);

/// Sets the version of the local backend server's software and disseminates it.
/// Call it before membership_set_backend, so that no member sees a server in the
/// state of another one.
void membership_set_server_version(
    struct membership *m, const char *version, int64_t now_us);

/// Sets the local load. It is sent with the next message.
void membership_set_load(struct membership *m, uint32_t load_pct);

/// Raises the local version and notifies some members at once.
void membership_set_version(struct membership *m, uint64_t version);

/// Announces a graceful leave.
void membership_leave(struct membership *m, int64_t now_us);

/// Returns the member with a name, or NULL.
const struct member *membership_find(
    const struct membership *m, const char *name);

/// Returns the number of alive or suspected members, including the local one.
uint32_t membership_alive_count(const struct membership *m);

/// Returns the distance of a member from the local one.
enum distance membership_distance(
    const struct membership *m, const struct member *member);

#endif
