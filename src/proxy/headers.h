/// @file
/// HTTP headers and methods that the proxy gives a meaning to.
#ifndef MV_PROXY_HEADERS_H
#define MV_PROXY_HEADERS_H

#include <stdbool.h>

#include "core/retry.h"
#include "wire/codec.h"

#define HEADER_RANK	"Magnolia-Rank"
#define HEADER_DEADLINE "Magnolia-Deadline-Ms"
#define HEADER_OUTCOME	"Magnolia-Outcome"
#define HEADER_SHED	"Magnolia-Shed"
#define HEADER_KEY	"Idempotency-Key"
#define HEADER_RETRY	"Retry-After"

/// Tells whether a header concerns one connection only.
bool headers_is_hop_by_hop(struct bytes name);

/// Tells whether a header is the proxy's own, which callers may not set.
bool headers_is_internal(struct bytes name);

/// Tells whether a response header proves that the backend server shed the
/// request without running it.
bool headers_is_shed(struct bytes name, struct bytes value);

/// Static string of a known method; NULL if it is not known.
const char *headers_known_method(const char *method);

#endif
