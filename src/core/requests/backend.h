/// @file
/// State of the backend server on the same VM as a proxy: the newest of its
/// announcements. They may arrive late, twice, out of order, or from a process
/// that has exited since.
#ifndef MV_CORE_REQUESTS_BACKEND_H
#define MV_CORE_REQUESTS_BACKEND_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"

#define BACKEND_ID_BYTES      80
#define BACKEND_ADDRESS_BYTES 32

/// State that a backend server announces.
struct backend_announcement {
	char id[BACKEND_ID_BYTES]; ///< Of the server; a later process may reuse
				   ///< it.
	char service[MEMBER_NAME_BYTES];
	char address[BACKEND_ADDRESS_BYTES]; ///< "IP:port"
	char version[MEMBER_VERSION_BYTES];  ///< Of its software; "": none.
	enum backend_state state;	     ///< Also draining when it leaves.
	uint32_t slots;			     ///< 0: as set in the rules.
	uint64_t
	    process_start; ///< Start time of its process; increases with each one.
	/// A leave that states none: process_start is the time of its arrival.
	bool start_assumed;
	/// process_start is ahead of this VM's clock: not from a server here, or
	/// from before the clock was set back.
	bool start_ahead;
	uint64_t sequence; ///< Increases with each announcement of a process.
	int64_t slow_start_deadline_us; ///< End of its slow start; 0 for none.
	int64_t lease_deadline_us;	///< It counts as gone after this.
};

/// The current announcement.
struct backend {
	struct backend_announcement latest; ///< Empty id and address: none yet.
	bool known;
	/// Highest sequence below the current one that arrived after the lease
	/// had expired; 0: none.
	uint64_t resumed_sequence;
};

/// Tells whether a process start, in milliseconds since 1970, is ahead of the clock by
/// more than the clocks of programs on one VM differ.
bool backend_is_start_ahead(uint64_t process_start_ms, int64_t wall_us);

enum backend_verdict {
	BACKEND_CHANGED, ///< State that other members must know changed.
	BACKEND_RENEWED, ///< Only the lease and the sequence changed.
	BACKEND_STALE,	 ///< From an earlier process or out of order.
};

/// Applies an announcement, unless it is stale.
enum backend_verdict backend_announce(struct backend *backend,
    const struct backend_announcement *a, int64_t now_us);

/// Sets a backend server that leaves to draining: it gets no new requests.
///
/// @param a  its id; born and sequence, each 0 if not known
enum backend_verdict backend_drain(struct backend *backend,
    const struct backend_announcement *a, int64_t now_us);

/// Drops the current announcement, which is not of the server on this VM. The next
/// one counts, whatever its start time and sequence.
///
/// @return true if the state changed
bool backend_reject(struct backend *backend);

/// Sets the state to BACKEND_NONE if the lease has expired.
///
/// @param gone  the server cannot be reached; ends the lease at once
///
/// @return true if the state changed
bool backend_expire(struct backend *backend, int64_t now_us, bool gone);

#endif
