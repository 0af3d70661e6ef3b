// Mean time in the system, by Little's law with exponential decay.
#include <assert.h>
#include <math.h>

#include "core/requests/flow.h"

/// Half-life of the mean. A slow server must be noticed within a second or two,
/// and a busy one handles enough requests in a second.
#define HALF_LIFE_US 1000000.0

/// Weight of the prior mean, in requests.
#define PRIOR_WEIGHT 2.0

/// Number of requests over which the long-term mean is taken.
#define LONG_MEAN_REQUESTS 64.0

static void
decay(struct flow *f, int64_t now_us)
{
	double elapsed_us = (double)(now_us - f->updated_us);
	double factor;

	if (elapsed_us <= 0)
		return;
	factor = exp2(-elapsed_us / HALF_LIFE_US);
	f->occupancy_us = f->occupancy_us * factor +
	    f->in_progress * elapsed_us * (1 + factor) / 2;
	f->completions *= factor;
	f->updated_us = now_us;
}

void
flow_enter(struct flow *f, int64_t now_us)
{
	decay(f, now_us);
	f->in_progress++;
}

void
flow_leave(struct flow *f, int64_t duration_us, int64_t now_us)
{
	assert(f->in_progress > 0);
	decay(f, now_us);
	f->in_progress--;
	f->completions += 1;
	if (f->long_mean_us <= 0)
		f->long_mean_us = (double)duration_us;
	else
		f->long_mean_us += ((double)duration_us - f->long_mean_us) /
		    LONG_MEAN_REQUESTS;
}

void
flow_cancel(struct flow *f, int64_t now_us)
{
	assert(f->in_progress > 0);
	decay(f, now_us);
	f->in_progress--;
}

int64_t
flow_mean_with_prior_us(struct flow *f, int64_t prior_us, int64_t now_us)
{
	decay(f, now_us);
	return (int64_t)((f->occupancy_us + PRIOR_WEIGHT * (double)prior_us) /
	    (f->completions + PRIOR_WEIGHT));
}

int64_t
flow_mean_us(struct flow *f, int64_t now_us)
{
	if (f->long_mean_us > 0)
		return flow_mean_with_prior_us(
		    f, (int64_t)f->long_mean_us, now_us);
	decay(f, now_us);
	return (int64_t)(f->completions > 1 ? f->occupancy_us / f->completions
					    : f->occupancy_us);
}
