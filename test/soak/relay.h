/// @file
/// TCP relays on loopback that inject faults into the connections they forward.
#ifndef MV_TEST_SOAK_RELAY_H
#define MV_TEST_SOAK_RELAY_H

#include <stdint.h>

#include "io/net/address.h"

struct relays;

enum relay_fault {
	RELAY_NO_FAULT,	       ///< Forwards everything at once.
	RELAY_DELAY,	       ///< Forwards everything after a delay.
	RELAY_RESET,	       ///< Resets the open connections.
	RELAY_SILENT,	       ///< Open connections stay silent; new ones work.
	RELAY_BLOCK_TO_TARGET, ///< Holds what goes to the target.
	RELAY_BLOCK_TO_CALLER, ///< Holds what goes to the caller.
	RELAY_FAULT_COUNT,
};

/// Returns the name of a fault, for messages.
const char *relay_fault_get_name(enum relay_fault fault);

/// Creates an empty set of relays; aborts if it cannot.
struct relays *relays_create(void);

/// Starts the thread that runs the relays. All must have been added.
void relays_start(struct relays *relays);

/// Stops the thread, resets all connections and frees the relays.
void relays_destroy(struct relays *relays);

/// Adds a relay that listens on an address, before the thread starts. Aborts if
/// it cannot listen.
///
/// @param at  address to listen on
/// @param to  address of the target
/// @return its number, from 0
uint32_t relays_add(
    struct relays *relays, const struct address *at, const struct address *to);

/// Sets the fault of a relay. May be called from any thread.
void relays_set_fault(
    struct relays *relays, uint32_t number, enum relay_fault fault);

#endif
