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
	int violations;				 ///< Checks that failed.
};

/// Initialises the operator of a fleet.
void operator_init(struct soak_operator *op, struct fleet *fleet);

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

/// Sets a behaviour of a fake backend server.
///
/// @param what  "NAME=VALUE", a member of struct fake_behaviour
void operator_set_behaviour(
    const struct fleet_process *backend, const char *what);

#endif
