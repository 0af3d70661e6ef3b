// Pace of a backend server relative to its mean.
#include "core/requests/pace.h"

#define PERMILLE 1000

/// Neighbours come and go within about this time.
#define VALID_US 300000

/// The mean is taken over about as many responses as the mean service time.
#define MEAN_SAMPLES 16

/// Bounds on the effect of what a server states.
#define MIN_PERMILLE 250
#define MAX_PERMILLE 4000

void
pace_record(struct pace *pace, uint32_t pct, int64_t now_us)
{
	if (pct == 0)
		return;
	pace->now_pct = pct;
	pace->valid_deadline_us = now_us + VALID_US;
	if (pace->mean_pct <= 0)
		pace->mean_pct = pct;
	else
		pace->mean_pct += ((double)pct - pace->mean_pct) / MEAN_SAMPLES;
}

int64_t
pace_ratio_permille(const struct pace *pace, int64_t now_us)
{
	int64_t permille;

	if (pace->now_pct == 0 || now_us > pace->valid_deadline_us)
		return PERMILLE;
	permille = (int64_t)(pace->now_pct * PERMILLE / pace->mean_pct);
	if (permille < MIN_PERMILLE)
		return MIN_PERMILLE;
	return permille < MAX_PERMILLE ? permille : MAX_PERMILLE;
}
