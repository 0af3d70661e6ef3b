/// @file
/// HTTP headers and methods that the proxy gives a meaning to.
#ifndef MV_PROXY_HEADERS_H
#define MV_PROXY_HEADERS_H

#include <stdbool.h>

#include "core/requests/retry.h"
#include "io/dialect.h"
#include "wire/codec.h"

#define HEADER_RETRY "Retry-After"

/// Tells whether a header concerns one connection only.
bool headers_is_hop_by_hop(struct bytes name);

/// Tells whether a name is that of a header; false if that is NULL.
bool headers_is(struct bytes name, const char *header);

/// Tells whether a header is one that callers may not set: the mesh's own, but
/// for the name of the caller's attempt.
bool headers_is_internal(
    const struct dialect_headers *headers, struct bytes name);

/// Static string of a known method; NULL if it is not known.
const char *headers_known_method(const char *method);

#endif
