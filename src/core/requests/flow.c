// Mean time inside, by Little's law with fading.
#include <assert.h>
#include <math.h>

#include "core/requests/flow.h"

/// Half of the weight is of the last second: a slow server is to be noticed
/// within a second or two, and a second holds enough requests of a busy one.
#define HALF_LIFE_US 1000000.0

/// The mean of the long run counts as this much work.
#define PRIOR_WEIGHT 2.0

/// Work over which the mean of the long run is taken.
#define LONG_RUN 64.0

static void
fade(struct flow *f, int64_t now_us)
{
	double passed_us = (double)(now_us - f->at_us);
	double factor;

	if (passed_us <= 0)
		return;
	factor = exp2(-passed_us / HALF_LIFE_US);
	f->busy_us =
	    f->busy_us * factor + f->inside * passed_us * (1 + factor) / 2;
	f->ended *= factor;
	f->at_us = now_us;
}

void
flow_enter(struct flow *f, int64_t now_us)
{
	fade(f, now_us);
	f->inside++;
}

void
flow_leave(struct flow *f, int64_t inside_us, int64_t now_us)
{
	assert(f->inside > 0);
	fade(f, now_us);
	f->inside--;
	f->ended += 1;
	if (f->mean_us <= 0)
		f->mean_us = (double)inside_us;
	else
		f->mean_us += ((double)inside_us - f->mean_us) / LONG_RUN;
}

void
flow_cancel(struct flow *f, int64_t now_us)
{
	assert(f->inside > 0);
	fade(f, now_us);
	f->inside--;
}

int64_t
flow_mean_expecting_us(struct flow *f, int64_t expected_us, int64_t now_us)
{
	fade(f, now_us);
	return (int64_t)((f->busy_us + PRIOR_WEIGHT * (double)expected_us) /
	    (f->ended + PRIOR_WEIGHT));
}

int64_t
flow_mean_us(struct flow *f, int64_t now_us)
{
	if (f->mean_us > 0)
		return flow_mean_expecting_us(f, (int64_t)f->mean_us, now_us);
	fade(f, now_us);
	return (int64_t)(f->ended > 1 ? f->busy_us / f->ended : f->busy_us);
}
