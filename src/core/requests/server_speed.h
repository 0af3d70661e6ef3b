/// @file
/// How long requests usually take at a server, as its proxy reports it.
///
/// Answers the load of servers of unequal speed in one service: a server that is
/// always slow is still known as such when it has not been used for a while, and
/// one that neighbours or a fault slowed gets requests again soon. The last
/// report decays towards what is usual at the server, and that more slowly towards
/// the mean of its service, so that each server is tried again some day.
#ifndef MV_CORE_REQUESTS_SERVER_SPEED_H
#define MV_CORE_REQUESTS_SERVER_SPEED_H

#include <stdint.h>

/// Zero it before the first use.
struct server_speed {
	int64_t last_us;     ///< Mean service time last reported; 0: none yet.
	int64_t usual_us;    ///< Mean over the reports.
	int64_t reported_us; ///< Time of the last report.
	double reports;	     ///< Number of reports, decayed.
};

/// Records a mean service time.
void server_speed_report(
    struct server_speed *speed, int64_t service_us, int64_t now_us);

/// Returns the weight of the last report: 1 for a new one, 0 for none.
double server_speed_confidence(
    const struct server_speed *speed, int64_t now_us);

/// Returns what is usual at the server. Few reports count for little.
///
/// @param mean_us  mean over the servers of the service
int64_t server_speed_usual_us(
    const struct server_speed *speed, int64_t mean_us, int64_t now_us);

/// Returns the mean service time to expect now.
int64_t server_speed_expect_us(
    const struct server_speed *speed, int64_t mean_us, int64_t now_us);

#endif
