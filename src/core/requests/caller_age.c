// How long a caller has waited before its request arrived.
#include "core/requests/caller_age.h"

/// Samples before an estimate.
#define MIN_SAMPLES 4

/// Least and most weight of a sample: the median moves by a part of itself.
#define FIRST_DIVISOR 10
#define MAX_SAMPLES   100

/// Nearer by less than this part of the usual is the variance of first attempts.
#define MIN_AGE_DIVISOR 20

void
caller_age_record(struct caller_age *age, int64_t deadline_left_us)
{
	double step_us;

	if (deadline_left_us <= 0)
		return;
	if (age->samples < MAX_SAMPLES)
		age->samples++;
	if (age->samples == 1) {
		age->usual_us = (double)deadline_left_us;
		return;
	}
	step_us = age->usual_us / (FIRST_DIVISOR + age->samples);
	if ((double)deadline_left_us > age->usual_us)
		age->usual_us += step_us;
	else if ((double)deadline_left_us < age->usual_us)
		age->usual_us -= step_us;
}

int64_t
caller_age_estimate(const struct caller_age *age, int64_t deadline_left_us)
{
	int64_t age_us = (int64_t)age->usual_us - deadline_left_us;

	if (age->samples < MIN_SAMPLES ||
	    age_us < (int64_t)age->usual_us / MIN_AGE_DIVISOR)
		return 0;
	return age_us;
}
