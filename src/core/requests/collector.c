// Estimates the receive rate of request bodies.
#include <assert.h>
#include <math.h>

#include "core/requests/collector.h"

/// Half-life of the rate. As long as some bodies take on a narrow link, and
/// short enough to notice that other traffic fills the link.
#define HALF_LIFE_US 1000000.0

/// The rate counts as known after this much was received, a few bodies.
#define MIN_SAMPLE_BYTES 100000.0

static void
decay(struct collector *c, int64_t now_us)
{
	double elapsed_us = (double)(now_us - c->updated_us);
	double factor;

	c->updated_us = now_us;
	// Idle time is no sample of the rate.
	if (elapsed_us <= 0 || c->requested == 0)
		return;
	factor = exp2(-elapsed_us / HALF_LIFE_US);
	c->transfer_us =
	    c->transfer_us * factor + elapsed_us * (1 + factor) / 2;
	c->received_bytes *= factor;
}

bool
collector_can_accept(struct collector *c, int64_t size_bytes, int64_t within_us,
    int64_t now_us, int64_t *wait_us)
{
	decay(c, now_us);
	*wait_us = 0;
	if (c->received_bytes < MIN_SAMPLE_BYTES || c->pending_bytes == 0)
		return true;
	*wait_us = (int64_t)((double)(c->pending_bytes + size_bytes) *
	    c->transfer_us / c->received_bytes);
	return *wait_us <= within_us;
}

void
collector_add(struct collector *c, int64_t size_bytes)
{
	c->pending_bytes += size_bytes;
}

void
collector_begin(struct collector *c, int64_t now_us)
{
	decay(c, now_us);
	c->requested++;
}

void
collector_receive_part(struct collector *c, int64_t size_bytes, int64_t now_us)
{
	decay(c, now_us);
	c->received_bytes += (double)size_bytes;
	c->pending_bytes -= size_bytes;
}

void
collector_end(struct collector *c, int64_t missing_bytes, bool was_requested,
    int64_t now_us)
{
	decay(c, now_us);
	c->pending_bytes -= missing_bytes;
	if (!was_requested)
		return;
	assert(c->requested > 0);
	c->requested--;
}
