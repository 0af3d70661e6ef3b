/// @file
/// Usual size of the answers of a route, learned from those seen.
#ifndef MV_CORE_REQUESTS_ANSWER_SIZE_H
#define MV_CORE_REQUESTS_ANSWER_SIZE_H

#include <stdint.h>

/// Zero it before the first use.
struct answer_size {
	double mean_bytes;
	double longest_bytes; ///< Seen lately; decays with each shorter one.
	uint32_t samples;     ///< Up to the number that the mean is taken over.
};

/// Records the length of the body of a whole answer. A single one changes the
/// mean by little, however long it is.
void answer_size_record(struct answer_size *size, int64_t size_bytes);

/// Returns the usual length; -1 if it is not known.
int64_t answer_size_estimate(const struct answer_size *size);

/// Returns the length that an answer may well have, for decisions that a single long
/// one defeats; -1 if it is not known.
int64_t answer_size_longest(const struct answer_size *size);

#define ANSWER_SIZE_ROUTES 256

/// Sizes by route. Routes that share an entry replace each other.
struct answer_size_table {
	struct {
		uint64_t route; ///< Hash of its name; 0: unused.
		struct answer_size size;
	} entries[ANSWER_SIZE_ROUTES];
};

/// Returns the entry of a route.
struct answer_size *answer_size_find(
    struct answer_size_table *table, uint64_t route);

#endif
