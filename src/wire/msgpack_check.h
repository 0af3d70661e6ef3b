/// @file
/// Validation of msgpack bytes before they are decoded.
///
/// The library allocates an array by the length in its header, before it checks
/// that as many elements follow: a few bytes could allocate gigabytes.
#ifndef MV_WIRE_MSGPACK_CHECK_H
#define MV_WIRE_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/// Returns whether the bytes are one whole object in which no length exceeds
/// the bytes that follow, and that is not nested too deep.
bool msgpack_check(const char *bytes, size_t size_bytes);

#endif
