/// @file
/// Log lines and times of requests at the egress.
#ifndef MV_PROXY_EGRESS_EGRESS_LOG_H
#define MV_PROXY_EGRESS_EGRESS_LOG_H

#include "proxy/egress/egress_request.h"

/// The egress does not let a request run.
///
/// @param origin  proxy that sent it; NULL once its stream is gone
void egress_log_refused(const struct egress *egress,
    const struct message_request *m, const char *origin, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why);

/// A request got a slot, and its call to the backend server has ended.
///
/// @param err  why it failed; NULL if there is an answer
void egress_log_ended(struct egress_request *r, const struct error *err);

#endif
