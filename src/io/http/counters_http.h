/// @file
/// Handlers of GET /counters and GET /metrics.
#ifndef MV_IO_HTTP_COUNTERS_HTTP_H
#define MV_IO_HTTP_COUNTERS_HTTP_H

#include "io/http/httpd.h"

/// Responds with all counters as plain text.
void counters_respond(struct http_exchange *exchange);

/// Responds with counters and histograms in the Prometheus text format.
void metrics_respond(struct http_exchange *exchange);

#endif
