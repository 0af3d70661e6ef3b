/// @file
/// Record of one member of the mesh, and the precedence of two records.
#ifndef MV_CORE_MEMBERSHIP_MEMBER_H
#define MV_CORE_MEMBERSHIP_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#define MEMBER_NAME_BYTES 40
#define MEMBER_HOST_BYTES 16

/// Of the software of a backend server.
#define MEMBER_VERSION_BYTES 24

/// Greatest incarnation: the year 2112 as the wall clock has it at a start.
#define MEMBER_MAX_INCARNATION ((uint64_t)1 << 52)

/// Greatest revision. A process that comes to it takes a new incarnation.
#define MEMBER_MAX_REVISION ((uint32_t)1 << 30)

/// Most requests at a time that a backend server can take.
#define MEMBER_MAX_SLOTS 100000

enum member_status {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT,
};

/// State of the backend server on the same VM as a proxy.
enum backend_state {
	BACKEND_NONE, ///< No backend server is announced.
	BACKEND_COLD, ///< Announced, in slow start.
	BACKEND_READY,
	BACKEND_DRAINING, ///< Completes its requests, accepts no new ones.
};

/// Record of a member.
///
/// A member increments its revision with each change and picks a new
/// incarnation at each start. Of two records, the one with the higher
/// (incarnation, revision) is newer; at a tie the worse status wins.
struct member {
	char name[MEMBER_NAME_BYTES];
	char host[MEMBER_HOST_BYTES];
	char region[MEMBER_NAME_BYTES];
	char dc[MEMBER_NAME_BYTES];
	char service[MEMBER_NAME_BYTES];
	uint32_t control_port; ///< UDP gossip and TCP control messages.
	uint32_t peer_port;    ///< TCP request streams between proxies.
	uint64_t incarnation;
	uint32_t revision;
	enum member_status status;
	enum backend_state backend;
	uint64_t server; ///< Its process, see server_terms_hash; 0: not known.
	uint32_t slots;
	uint32_t load_pct; ///< Busy slots and queue; 100: all slots busy.
	uint64_t version;  ///< Highest rules version known in force there.
	/// Software of the backend server, as it announces; "": not known.
	char server_version[MEMBER_VERSION_BYTES];
};

/// Returns whether record a replaces record b of the same member.
bool member_supersedes(const struct member *a, const struct member *b);

/// Returns whether a backend server in this state accepts new requests.
bool backend_state_takes_work(enum backend_state state);

/// Returns the name of a backend state.
const char *backend_state_name(enum backend_state state);

/// Returns the name of a member status.
const char *member_status_name(enum member_status status);

#endif
