/// @file
/// Record of one member of the mesh, and the order between two records.
#ifndef MV_CORE_MEMBERSHIP_MEMBER_H
#define MV_CORE_MEMBERSHIP_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#define MEMBER_NAME_BYTES 40
#define MEMBER_HOST_BYTES 16

enum member_status {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT,
};

/// State of the backend server beside a proxy.
enum backend_state {
	BACKEND_NONE, ///< Nothing has announced itself.
	BACKEND_COLD, ///< Announced, still warming up.
	BACKEND_READY,
	BACKEND_DRAINING, ///< Finishes its work and takes no more.
};

/// What is known of a member.
///
/// The member itself raises its revision with each change and picks a new
/// incarnation at each start, so that the newer of two records is the one
/// with the higher (incarnation, revision), then the worse status.
struct member {
	char name[MEMBER_NAME_BYTES];
	char host[MEMBER_HOST_BYTES];
	char region[MEMBER_NAME_BYTES];
	char dc[MEMBER_NAME_BYTES];
	char service[MEMBER_NAME_BYTES];
	uint32_t control_port; ///< UDP gossip and TCP control.
	uint32_t peer_port;    ///< TCP streams of requests.
	uint64_t incarnation;
	uint32_t revision;
	enum member_status status;
	enum backend_state backend;
	uint32_t slots;
	uint32_t load_pct; ///< Busy slots and queue, 100 for all slots busy.
	uint64_t version;  ///< Highest rules version seen in force there.
};

/// Tells whether record a replaces record b of the same member.
bool member_supersedes(const struct member *a, const struct member *b);

/// Names a backend state.
const char *backend_state_name(enum backend_state state);

/// Names a member status.
const char *member_status_name(enum member_status status);

#endif
