/// @file
/// HTTP headers and methods that the proxy interprets.
#ifndef MV_PROXY_HEADERS_H
#define MV_PROXY_HEADERS_H

#include <stdbool.h>

#include "core/requests/retry.h"
#include "io/dialect.h"
#include "wire/codec.h"

/// Space for a method, including the terminating NUL.
#define HEADERS_METHOD_BYTES 64

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

/// Whether a header is for all recipients, whatever Connection says.
bool headers_is_end_to_end(
    const struct dialect_headers *headers, struct bytes name);

/// Returns whether a method can be forwarded unchanged: any token that fits
/// HEADERS_METHOD_BYTES, but for CONNECT, which asks for a tunnel.
bool headers_can_forward_method(struct bytes method);

#endif
