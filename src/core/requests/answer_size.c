// Usual size of the answers of a route.
#include <string.h>

#include "core/requests/answer_size.h"

/// Answers over which the mean is taken.
#define MEAN_SAMPLES 32

/// A longer answer counts as this many times the mean. Sizes have a long tail,
/// and one long body says little about the next.
#define MAX_RATIO 4

/// The first answers may all be short by chance: until then each counts in full.
#define FULL_SAMPLES 8

void
answer_size_record(struct answer_size *size, int64_t size_bytes)
{
	double sample = (double)size_bytes;

	if (size->samples < MEAN_SAMPLES)
		size->samples++;
	size->longest_bytes -= size->longest_bytes / MEAN_SAMPLES;
	if (size->longest_bytes < sample)
		size->longest_bytes = sample;
	if (size->samples > FULL_SAMPLES && size->mean_bytes > 0 &&
	    sample > MAX_RATIO * size->mean_bytes)
		sample = MAX_RATIO * size->mean_bytes;
	size->mean_bytes += (sample - size->mean_bytes) / size->samples;
}

int64_t
answer_size_estimate(const struct answer_size *size)
{
	return size->samples == 0 ? -1 : (int64_t)size->mean_bytes;
}

int64_t
answer_size_longest(const struct answer_size *size)
{
	return size->samples == 0 ? -1 : (int64_t)size->longest_bytes;
}

struct answer_size *
answer_size_find(struct answer_size_table *table, uint64_t route)
{
	uint64_t at = route % ANSWER_SIZE_ROUTES;

	if (table->entries[at].route != route) {
		memset(&table->entries[at], 0, sizeof(table->entries[at]));
		table->entries[at].route = route;
	}
	return &table->entries[at].size;
}
