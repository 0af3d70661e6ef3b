// How much of the log the ledger keeps.
//
// All state comes from the log of the last two retention periods: a key that
// was claimed before has expired, and so has whatever a replay without that
// claim gets wrong. Older entries are dropped for an empty snapshot.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/ledger.h"

#define MARK_EVERY 1024

void
ledger_note_entry(struct ledger *ledger, uint64_t index)
{
	int64_t keep_us = 2 * ledger->once.retention_us;
	uint32_t drop = 0;

	if (index % MARK_EVERY != 0)
		return;
	if (ledger->mark_count == ledger->mark_capacity) {
		ledger->mark_capacity =
		    ledger->mark_capacity ? ledger->mark_capacity * 2 : 64;
		ledger->marks = realloc(ledger->marks,
		    ledger->mark_capacity * sizeof(*ledger->marks));
		assert(ledger->marks != NULL);
	}
	ledger->marks[ledger->mark_count].index = index;
	ledger->marks[ledger->mark_count++].clock_us = ledger->once.clock_us;
	while (drop < ledger->mark_count &&
	    ledger->marks[drop].clock_us + keep_us < ledger->once.clock_us)
		drop++;
	if (drop == 0)
		return;
	if (ledger->marks[drop - 1].index > ledger->host.replica.snapshot.index)
		replica_compact(&ledger->host.replica,
		    ledger->marks[drop - 1].index, "", 0);
	ledger->mark_count -= drop;
	memmove(ledger->marks, ledger->marks + drop,
	    ledger->mark_count * sizeof(*ledger->marks));
}
