/// @file
/// HTTP headers and methods that the proxy interprets.
#ifndef MV_PROXY_HEADERS_H
#define MV_PROXY_HEADERS_H

#include <stdbool.h>

#include "core/requests/retry.h"
#include "io/dialect.h"
#include "wire/codec.h"

#define HEADER_RETRY_AFTER "Retry-After"

/// Whether a header applies to one connection only.
bool headers_is_hop_by_hop(struct bytes name);

/// Compares a name with that of a header, without regard to case. False if the
/// header is NULL.
bool headers_name_equals(struct bytes name, const char *header);

/// Whether callers may not set a header: true for those with the internal prefix
/// of the dialect, but for the id of the caller's attempt.
bool headers_is_internal(
    const struct dialect_headers *headers, struct bytes name);

/// Returns a known method as a static string, NULL for any other.
const char *headers_find_method(const char *method);

#endif
