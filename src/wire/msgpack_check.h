/// @file
/// Check of msgpack bytes before they are decoded.
///
/// The library allocates an array as long as its header says, before it looks
/// whether that many elements follow: a few bytes could ask for gigabytes.
#ifndef MV_WIRE_MSGPACK_CHECK_H
#define MV_WIRE_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>

/// Tells whether the bytes are one whole object in which no length goes
/// beyond the bytes that follow.
bool msgpack_check(const char *bytes, size_t size_bytes);

#endif
