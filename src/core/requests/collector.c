// Rate of the bodies that come in.
#include <assert.h>
#include <math.h>

#include "core/requests/collector.h"

/// Half of the weight is of the last second: as long as some bodies take on a
/// narrow link, short enough to notice that others fill it.
#define HALF_LIFE_US 1000000.0

/// The rate is known once this much came in; a few bodies.
#define KNOWN_BYTES 100000.0

static void
fade(struct collector *c, int64_t now_us)
{
	double passed_us = (double)(now_us - c->at_us);
	double factor;

	c->at_us = now_us;
	// Time without bodies says nothing of the rate.
	if (passed_us <= 0 || c->asked == 0)
		return;
	factor = exp2(-passed_us / HALF_LIFE_US);
	c->busy_us = c->busy_us * factor + passed_us * (1 + factor) / 2;
	c->got_bytes *= factor;
}

bool
collector_can_take(struct collector *c, int64_t size_bytes, int64_t within_us,
    int64_t now_us, int64_t *wait_us)
{
	fade(c, now_us);
	*wait_us = 0;
	if (c->got_bytes < KNOWN_BYTES || c->left_bytes == 0)
		return true;
	*wait_us = (int64_t)((double)(c->left_bytes + size_bytes) * c->busy_us /
	    c->got_bytes);
	return *wait_us <= within_us;
}

void
collector_add(struct collector *c, int64_t size_bytes)
{
	c->left_bytes += size_bytes;
}

void
collector_begin(struct collector *c, int64_t now_us)
{
	fade(c, now_us);
	c->asked++;
}

void
collector_part(struct collector *c, int64_t size_bytes, int64_t now_us)
{
	fade(c, now_us);
	c->got_bytes += (double)size_bytes;
	c->left_bytes -= size_bytes;
}

void
collector_end(
    struct collector *c, int64_t left_bytes, bool asked, int64_t now_us)
{
	fade(c, now_us);
	c->left_bytes -= left_bytes;
	if (!asked)
		return;
	assert(c->asked > 0);
	c->asked--;
}
