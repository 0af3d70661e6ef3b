// Usual and last reported service time of a server.
#include <math.h>

#include "core/requests/server_speed.h"

/// Half-life of the weight of a reported service time.
#define LAST_HALF_LIFE_US 3000000.0

/// Half-life of the weight of the usual service time.
#define USUAL_HALF_LIFE_US 30000000.0

/// A report counts in the mean for the time since the one before, in terms of this
/// half-life, but for no more than one in MIN_REPORTS: one alone may be an outlier.
#define MEAN_HALF_LIFE_US 5000000.0
#define MIN_REPORTS	  4

/// Reports that weigh as much as the mean of the service.
#define PRIOR_REPORTS 8.0

static double
decay(int64_t since_us, double half_life_us, int64_t now_us)
{
	return exp2(-(double)(now_us - since_us) / half_life_us);
}

void
server_speed_report(
    struct server_speed *speed, int64_t service_us, int64_t now_us)
{
	double share = 1 - decay(speed->reported_us, MEAN_HALF_LIFE_US, now_us);

	if (speed->usual_us == 0)
		share = 1;
	else if (share > 1.0 / MIN_REPORTS)
		share = 1.0 / MIN_REPORTS;
	speed->usual_us +=
	    (int64_t)(share * (double)(service_us - speed->usual_us));
	speed->reports = 1 +
	    speed->reports *
		decay(speed->reported_us, USUAL_HALF_LIFE_US, now_us);
	speed->last_us = service_us;
	speed->reported_us = now_us;
}

double
server_speed_confidence(const struct server_speed *speed, int64_t now_us)
{
	if (speed->last_us == 0)
		return 0;
	return decay(speed->reported_us, LAST_HALF_LIFE_US, now_us);
}

int64_t
server_speed_usual_us(
    const struct server_speed *speed, int64_t mean_us, int64_t now_us)
{
	double reports = speed->reports *
	    decay(speed->reported_us, USUAL_HALF_LIFE_US, now_us);

	return mean_us +
	    (int64_t)(reports / (reports + PRIOR_REPORTS) *
		(double)(speed->usual_us - mean_us));
}

int64_t
server_speed_expect_us(
    const struct server_speed *speed, int64_t mean_us, int64_t now_us)
{
	int64_t usual_us = server_speed_usual_us(speed, mean_us, now_us);

	return usual_us +
	    (int64_t)(server_speed_confidence(speed, now_us) *
		(double)(speed->last_us - usual_us));
}
