/// @file
/// Seeded random number generator that makes runs of the core reproducible.
#ifndef MV_CORE_RANDOM_H
#define MV_CORE_RANDOM_H

#include <assert.h>
#include <stdint.h>
#include <xxhash.h>

/// Counter-based generator: each number is the hash of a counter under a seed.
/// Any two states yield independent streams.
struct random {
	uint64_t seed;
	uint64_t counter;
};

static inline uint64_t
random_next(struct random *random)
{
	uint64_t n = random->counter++;

	return XXH3_64bits_withSeed(&n, sizeof(n), random->seed);
}

/// Returns a uniform number below a bound, which must not be 0.
static inline uint32_t
random_below(struct random *random, uint32_t bound)
{
	assert(bound > 0);
	return (uint32_t)(random_next(random) % bound);
}

/// Returns a uniform time from 0 up to a bound, exclusive; 0 if the bound is
/// not positive.
static inline int64_t
random_time_us(struct random *random, int64_t bound_us)
{
	if (bound_us <= 0)
		return 0;
	return (int64_t)(random_next(random) % (uint64_t)bound_us);
}

#endif
