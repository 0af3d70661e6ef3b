/// @file
/// Answer to GET /counters.
#ifndef MV_IO_COUNTERS_HTTP_H
#define MV_IO_COUNTERS_HTTP_H

#include "io/httpd.h"

void counters_respond(struct http_exchange *exchange);

#endif
