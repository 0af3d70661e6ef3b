/// @file
/// What is known of the backend server beside a proxy: the newest of its
/// announcements, which may come late, twice, out of order, or from a process
/// that has ended since.
#ifndef MV_CORE_REQUESTS_BACKEND_H
#define MV_CORE_REQUESTS_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"

#define BACKEND_ID_BYTES      80
#define BACKEND_ADDRESS_BYTES 32

/// What a backend server says of itself.
struct backend_announcement {
	char id[BACKEND_ID_BYTES]; ///< Of the server; may be used again by a
				   ///< later process.
	char service[MEMBER_NAME_BYTES];
	char address[BACKEND_ADDRESS_BYTES]; ///< "IP:port"
	enum backend_state state;	     ///< Draining also when it leaves.
	uint32_t slots;			     ///< 0: as the rules say.
	uint64_t born; ///< Start of its process; rises from one to the next.
	uint64_t sequence; ///< Rises with each announcement of a process.
	int64_t cold_deadline_us;  ///< End of its slow start; 0 for none.
	int64_t lease_deadline_us; ///< It counts as gone from then.
};

/// The announcement that holds.
struct backend {
	struct backend_announcement now; ///< No id and no address: none yet.
	bool known;
};

enum backend_verdict {
	BACKEND_CHANGED, ///< Something others must know has changed.
	BACKEND_RENEWED, ///< Only the lease and the sequence are newer.
	BACKEND_STALE,	 ///< From an earlier process, or out of order.
};

/// Takes an announcement.
enum backend_verdict backend_announce(struct backend *backend,
    const struct backend_announcement *a, int64_t now_us);

/// Takes notice that a backend server leaves: it gets no new work.
///
/// @param a  its id; born and sequence if they are known, else 0
enum backend_verdict backend_leave(struct backend *backend,
    const struct backend_announcement *a, int64_t now_us);

/// Ends the lease if it is over, or if the server is found gone.
///
/// @return whether the state has changed
bool backend_expire(struct backend *backend, int64_t now_us, bool gone);

#endif
