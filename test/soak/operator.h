/// @file
/// The operator of a soak: sends versions, and looks at what is in force.
#ifndef MV_TEST_SOAK_OPERATOR_H
#define MV_TEST_SOAK_OPERATOR_H

#include <stdbool.h>
#include <stdint.h>

#include "core/random.h"
#include "soak/fleet.h"

/// What the operator knows.
struct soak_operator {
	struct fleet *fleet;
	uint64_t sent;	   ///< Version sent last.
	uint64_t accepted; ///< Highest one that was acknowledged.
	/// Highest version that each proxy was seen to have since its start.
	uint64_t seen[FLEET_PROXIES];
	uint32_t seen_starts[FLEET_PROXIES];
	int faults;
};

void operator_init(struct soak_operator *op, struct fleet *fleet);

/// Sends the next version to a source, or the last one again if it got no clear
/// answer.
void operator_change(struct soak_operator *op, struct random *random);

/// Reads the version of each proxy: none may go back.
///
/// @return how many have at least the one acknowledged last, and serve
uint32_t operator_watch(struct soak_operator *op);

/// Tells whether a source gives the acknowledged file back, or a later one that
/// was sent.
bool operator_read_back(struct soak_operator *op);

/// Changes a behaviour of a stand-in.
void operator_set_behaviour(
    const struct fleet_process *backend, const char *what);

#endif
