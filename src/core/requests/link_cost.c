// The way of an answer from an endpoint.
#include <math.h>

#include "core/requests/link_admission.h"
#include "core/requests/link_cost.h"

/// Half-life of a reported wait. Other proxies use what becomes free meanwhile,
/// so that the wait does not end by itself.
#define WAIT_HALF_LIFE_US 1000000.0

#define KILOBYTE 1024

/// Part of a longer round trip that counts: most of it is waiting.
#define ROUND_TRIP_DIVISOR 32
#define BITS		   8
#define MS_PER_S	   1000

void
link_cost_report(
    struct link_cost *link, int64_t wait_us, uint32_t kbps, int64_t now_us)
{
	link->wait_us = wait_us;
	link->kbps = kbps;
	link->reported_us = now_us;
	link->sent_bytes = 0;
}

void
link_cost_record_round_trip(struct link_cost *link, int64_t sample_us)
{
	if (sample_us <= 0)
		return;
	if (link->round_trip_us == 0 || sample_us < link->round_trip_us)
		link->round_trip_us = sample_us;
	else
		link->round_trip_us +=
		    (sample_us - link->round_trip_us) / ROUND_TRIP_DIVISOR;
}

void
link_cost_send(struct link_cost *link, int64_t answer_bytes)
{
	if (answer_bytes > LINK_SHORT_BYTES)
		link->sent_bytes += answer_bytes;
}

/// Time in which the link carries a number of bytes.
static int64_t
transfer_us(const struct link_cost *link, int64_t size_bytes)
{
	// Kilobits a second are bits a millisecond.
	return size_bytes * BITS * MS_PER_S / link->kbps;
}

int64_t
link_cost_response_us(const struct link_cost *link, int64_t answer_bytes,
    int64_t response_us, int64_t now_us)
{
	int64_t wait_us;

	if (link->kbps == 0 || answer_bytes <= LINK_SHORT_BYTES)
		return response_us;
	wait_us = (int64_t)((double)link->wait_us *
		      exp2(-(double)(now_us - link->reported_us) /
			  WAIT_HALF_LIFE_US)) +
	    transfer_us(link, link->sent_bytes);
	// The link carries other answers while the server works on this one.
	return (wait_us > response_us ? wait_us : response_us) +
	    transfer_us(link, answer_bytes);
}

void
link_cost_set_full(struct link_cost *link, int64_t until_deadline_us)
{
	link->full_until_deadline_us = until_deadline_us;
}

int64_t
link_cost_full_until_us(
    const struct link_cost *link, int64_t answer_bytes, int64_t now_us)
{
	if (answer_bytes <= LINK_SHORT_BYTES ||
	    link->full_until_deadline_us <= now_us)
		return 0;
	return link->full_until_deadline_us;
}

int64_t
link_cost_volume_permille(
    int64_t answer_bytes, int64_t kilobyte_permille, int64_t max_permille)
{
	int64_t cost = kilobyte_permille * (answer_bytes - KILOBYTE) / KILOBYTE;

	if (cost <= 0)
		return 0;
	return cost < max_permille ? cost : max_permille;
}
