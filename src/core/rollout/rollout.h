/// @file
/// Record of a roll-out: the move of a service's requests to backend servers of
/// another version of its software.
#ifndef MV_CORE_ROLLOUT_ROLLOUT_H
#define MV_CORE_ROLLOUT_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"

/// Records that are kept. Of a service, the oldest that have ended go first.
#define ROLLOUT_MAX_RECORDS 32

#define ROLLOUT_PERMILLE 1000

enum rollout_state {
	ROLLOUT_RUNNING,
	ROLLOUT_COMPLETED,
	ROLLOUT_ROLLED_BACK,
};

/// What all processes know of a roll-out.
struct rollout {
	char service[MEMBER_NAME_BYTES];
	char version[MEMBER_VERSION_BYTES]; ///< That the requests move to.
	enum rollout_state state;
	/// Share of the service's requests that go to the version while it runs.
	uint32_t share_permille;
	uint64_t order;	   ///< Revision that the order for it got.
	uint64_t revision; ///< Of its last change. All records have one count.
};

/// Returns the name of a state.
const char *rollout_state_name(enum rollout_state state);

#endif
