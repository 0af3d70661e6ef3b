/// @file
/// Answers to GET /counters and GET /metrics.
#ifndef MV_IO_HTTP_COUNTERS_HTTP_H
#define MV_IO_HTTP_COUNTERS_HTTP_H

#include "io/http/httpd.h"

void counters_respond(struct http_exchange *exchange);

/// Counters and histograms in the text exposition format.
void metrics_respond(struct http_exchange *exchange);

#endif
