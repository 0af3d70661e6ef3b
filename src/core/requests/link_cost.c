// The way of an answer from an endpoint.
#include "core/requests/link_cost.h"
#include "core/requests/link_admission.h"

#define KILOBYTE 1024

/// Part of a longer round trip that counts: most of it is waiting.
#define ROUND_TRIP_DIVISOR 32

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
link_cost_set_full(
    struct link_cost *link, int64_t refused_bytes, int64_t until_deadline_us)
{
	link->refused_bytes = refused_bytes;
	link->full_until_deadline_us = until_deadline_us;
}

int64_t
link_cost_full_until_us(
    const struct link_cost *link, int64_t answer_bytes, int64_t now_us)
{
	if (answer_bytes <= LINK_SHORT_BYTES ||
	    answer_bytes < link->refused_bytes / 2 ||
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
