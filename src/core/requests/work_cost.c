// Distribution of the times of requests relative to what was expected.
#include <math.h>

#include "core/requests/work_cost.h"

#define PER_OCTAVE    4
#define LOWEST_OCTAVE (-3)
#define MAX_SCALE     1e6
#define HALF_LIFE_US  30000000.0

/// Samples and prior beyond an age count as none below this.
#define MIN_COUNT 1e-9

/// Number of samples that weigh as much as the prior.
#define PRIOR_WEIGHT 16.0

/// Weight of a new sample, in units of the weight at the epoch.
static double
sample_weight(const struct work_cost *cost, int64_t now_us)
{
	return exp2((double)(now_us - cost->epoch_us) / HALF_LIFE_US);
}

/// Moves the epoch before the weights grow beyond the precision of the counts.
static void
rescale(struct work_cost *cost, int64_t now_us)
{
	double weight = sample_weight(cost, now_us);
	uint32_t i;

	if (cost->total > 0 && weight < MAX_SCALE)
		return;
	for (i = 0; i < WORK_COST_BUCKETS; i++)
		cost->counts[i] = (float)(cost->counts[i] / weight);
	cost->total /= weight;
	cost->epoch_us = now_us;
}

/// Position on the scale of buckets.
static double
find_position(double relative)
{
	double at = (log2(relative) - LOWEST_OCTAVE) * PER_OCTAVE + 1;

	if (at < 0)
		return 0;
	return at < WORK_COST_BUCKETS - 1 ? at : WORK_COST_BUCKETS - 1;
}

/// Relative time in the middle of a bucket.
static double
bucket_middle(uint32_t i)
{
	return exp2(((double)i - 0.5) / PER_OCTAVE + LOWEST_OCTAVE);
}

void
work_cost_record(struct work_cost *cost, int64_t time_us, int64_t expected_us,
    int64_t now_us)
{
	double weight;

	if (expected_us <= 0 || time_us < 0)
		return;
	rescale(cost, now_us);
	weight = sample_weight(cost, now_us);
	cost->counts[(uint32_t)find_position(
	    (double)(time_us + 1) / (double)expected_us)] += (float)weight;
	cost->total += weight;
}

int64_t
work_cost_remainder_us(const struct work_cost *cost, int64_t expected_us,
    int64_t elapsed_us, int64_t now_us)
{
	// Without samples, requests are taken to end at a constant rate.
	double weight = sample_weight(cost, now_us); // May be infinite.
	double relative = (double)elapsed_us / (double)expected_us;
	double count;
	double sum;
	uint32_t i;

	if (expected_us <= 0)
		return 0;
	if (cost->total <= 0)
		return expected_us;
	count = sum = PRIOR_WEIGHT * exp(-relative);
	for (i = 0; i < WORK_COST_BUCKETS; i++) {
		double middle = bucket_middle(i);

		if (middle <= relative)
			continue;
		count += cost->counts[i] / weight;
		sum += cost->counts[i] / weight * (middle - relative);
	}
	// Beyond all that is known, it may go on for as long as it has.
	if (count < MIN_COUNT)
		return elapsed_us;
	return (int64_t)(sum / count * (double)expected_us);
}
