/// @file
/// Operator of the soak: submits rules and checks which versions are in force.
#ifndef MV_TEST_SOAK_OPERATOR_H
#define MV_TEST_SOAK_OPERATOR_H

#include <stdbool.h>
#include <stdint.h>

#include "core/random.h"
#include "soak/fleet.h"

/// Versions sent, acknowledged and observed.
struct soak_operator {
	struct fleet *fleet;
	uint64_t sent;	   ///< Last version sent.
	uint64_t accepted; ///< Highest acknowledged version.
	/// Last version read from each proxy since its start; 0: none.
	uint64_t observed_versions[FLEET_PROXIES];
	uint32_t observed_starts[FLEET_PROXIES]; ///< Start count of that read.
	/// Of roll-outs, so that they leave the choice of faults as it is.
	struct random random;
	/// A roll-out of each service: its order was acknowledged, and the state
	/// in which it was seen last, as its first letter; 0: not seen.
	bool rollout_ordered[FLEET_SERVICES];
	char rollout_state[FLEET_SERVICES];
	int violations; ///< Checks that failed.
};

/// Initialises the operator of a fleet.
void operator_init(
    struct soak_operator *op, struct fleet *fleet, uint64_t seed);

/// Submits the next version to a random source, or the last one again if its
/// result is not known. Records a refusal as invalid or in conflict as a failed
/// check.
void operator_submit_rules(struct soak_operator *op, struct random *random);

/// Reads the version of each proxy. Records it as a failed check if one serves
/// from an older version than before.
///
/// @return number of proxies that serve from the last acknowledged version or a
///         later one
uint32_t operator_check_versions(struct soak_operator *op);

/// Reads the rules from the sources. Records a failed check for each that
/// returns neither the last acknowledged rules nor later ones that were sent.
///
/// @return whether a source returned such rules
bool operator_check_accepted(struct soak_operator *op);

/// Orders that a random service moves to the version that half of its servers
/// have, always with the same order. Records a refusal as a failed check.
void operator_submit_rollout(struct soak_operator *op);

/// Reads the roll-outs from a random source. Records it as a failed check if one
/// that was acknowledged is gone, or runs again after it had ended.
void operator_check_rollouts(struct soak_operator *op);

/// Sets a behaviour of a fake backend server.
///
/// @param what  "NAME=VALUE", a member of struct fake_behaviour
void operator_set_behaviour(
    const struct fleet_process *backend, const char *what);

#endif
