// Log retention of the ledger.
//
// The state follows from the log of the last two retention periods. A key that
// was claimed earlier has expired, and so has anything that a replay without
// that claim gets wrong. Older entries are compacted into an empty snapshot.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/ledger.h"

#define SAMPLE_INTERVAL_ENTRIES 1024

void
ledger_compact_expired(struct ledger *ledger, uint64_t index)
{
	int64_t retained_us = 2 * ledger->once.retention_us;
	uint32_t expired_count = 0;

	if (index % SAMPLE_INTERVAL_ENTRIES != 0)
		return;
	if (ledger->sample_count == ledger->sample_capacity) {
		ledger->sample_capacity =
		    ledger->sample_capacity ? ledger->sample_capacity * 2 : 64;
		ledger->samples = realloc(ledger->samples,
		    ledger->sample_capacity * sizeof(*ledger->samples));
		assert(ledger->samples != NULL);
	}
	ledger->samples[ledger->sample_count].index = index;
	ledger->samples[ledger->sample_count++].clock_us =
	    ledger->once.clock_us;
	while (expired_count < ledger->sample_count &&
	    ledger->samples[expired_count].clock_us + retained_us <
		ledger->once.clock_us)
		expired_count++;
	if (expired_count == 0)
		return;
	if (ledger->samples[expired_count - 1].index >
	    ledger->host.replica.snapshot.index)
		replica_compact(&ledger->host.replica,
		    ledger->samples[expired_count - 1].index, "", 0);
	ledger->sample_count -= expired_count;
	memmove(ledger->samples, ledger->samples + expired_count,
	    ledger->sample_count * sizeof(*ledger->samples));
}
