// Monotonic and wall clocks.
#include <time.h>

#include "io/clock.h"

static int64_t
read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * US_PER_S + ts.tv_nsec / 1000;
}

int64_t
clock_now_us(void)
{
	return read_clock(CLOCK_MONOTONIC);
}

int64_t
clock_wall_us(void)
{
	return read_clock(CLOCK_REALTIME);
}
