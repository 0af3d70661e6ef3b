/// @file
/// TCP relays on loopback that harm the connections that pass through them.
#ifndef MV_TEST_SOAK_RELAY_H
#define MV_TEST_SOAK_RELAY_H

#include <stdint.h>

#include "io/net/address.h"

struct relays;

enum relay_fault {
	RELAY_CLEAR,	 ///< Passes everything on.
	RELAY_DELAY,	 ///< Everything comes late.
	RELAY_RESET,	 ///< All that is open is reset.
	RELAY_SILENT,	 ///< What is open goes silent for good; new ones work.
	RELAY_CUT_THERE, ///< Nothing passes towards the target.
	RELAY_CUT_BACK,	 ///< Nothing passes back.
	RELAY_FAULTS,
};

const char *relay_fault_name(enum relay_fault fault);

struct relays *relays_create(void);

/// Starts the thread of the relays, once all are added.
void relays_start(struct relays *relays);

void relays_destroy(struct relays *relays);

/// Opens a relay, before the thread starts.
///
/// @return its number
uint32_t relays_add(
    struct relays *relays, const struct address *at, const struct address *to);

/// Sets the fault of a relay. Any thread.
void relays_set(struct relays *relays, uint32_t number, enum relay_fault fault);

#endif
