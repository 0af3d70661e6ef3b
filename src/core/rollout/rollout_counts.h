/// @file
/// Counts of what a backend server answered during a roll-out, by route.
#ifndef MV_CORE_ROLLOUT_ROLLOUT_COUNTS_H
#define MV_CORE_ROLLOUT_ROLLOUT_COUNTS_H

#include <stdbool.h>
#include <stdint.h>

/// Routes that are counted apart; those beyond are not counted.
#define ROLLOUT_MAX_ROUTES 10

/// Buckets of run times: the first up to 1 ms, each next one up to the square
/// root of 2 times more. The last has all above 33 s.
#define ROLLOUT_RUN_BUCKETS 31

/// Buckets in a doubling of the run time.
#define ROLLOUT_BUCKETS_PER_DOUBLING 2

struct rollout_route_counts {
	uint64_t route; ///< Hash of its name.
	uint32_t answers;
	/// Of them, those that the server failed: an error of its own, a broken
	/// connection.
	uint32_t failures;
	/// By run time in a slot. Without those of a cold server.
	uint32_t runs[ROLLOUT_RUN_BUCKETS];
};

struct rollout_counts {
	struct rollout_route_counts routes[ROLLOUT_MAX_ROUTES];
	uint32_t count;
};

/// Returns the bucket of a run time.
uint32_t rollout_run_bucket(int64_t run_us);

/// Returns the counts of a route; NULL if there is no room for it.
struct rollout_route_counts *rollout_counts_get(
    struct rollout_counts *counts, uint64_t route);

/// Counts an answer.
///
/// @param run_us  0: the run time does not count
void rollout_counts_add(
    struct rollout_counts *counts, uint64_t route, bool failed, int64_t run_us);

/// Returns the number of answers on all routes.
uint64_t rollout_counts_total(const struct rollout_counts *counts);

/// Subtracts earlier counts of the same process from its newer ones.
///
/// @return whether the newer ones are not below the earlier in any count
bool rollout_counts_subtract(
    struct rollout_counts *newer, const struct rollout_counts *earlier);

#endif
