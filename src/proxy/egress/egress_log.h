/// @file
/// Log lines and latency histograms of requests at the egress.
#ifndef MV_PROXY_EGRESS_EGRESS_LOG_H
#define MV_PROXY_EGRESS_EGRESS_LOG_H

#include "proxy/egress/egress_request.h"

/// Logs a request that is refused or ends with an unknown outcome.
///
/// @param origin  proxy that sent it; NULL if its stream is closed
void egress_log_refused(const struct egress *egress,
    const struct message_request *m, const char *origin, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why);

/// Logs the end of a call to the backend server, and records the times in the
/// queue and in the slot.
///
/// @param err  why it failed; NULL if there is a response
void egress_log_call_end(struct egress_request *r, const struct error *err);

#endif
