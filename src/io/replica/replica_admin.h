/// @file
/// Operator requests to a replicated log.
#ifndef MV_IO_REPLICA_REPLICA_ADMIN_H
#define MV_IO_REPLICA_REPLICA_ADMIN_H

#include "io/replica/replica_host.h"

#define REPLICA_ADMIN_TEXT_BYTES 320

/// Handles a replacement request, {"remove": ID, "add": ID,
/// "address": "IP:port"}; an id of 0 means none.
///
/// @param text  receives the JSON response body
/// @return HTTP status of the response
uint32_t replica_admin_replace(struct replica_host *host, const char *body,
    size_t body_bytes, char text[REPLICA_ADMIN_TEXT_BYTES]);

#endif
