/// @file
/// Bytes in zlib's format, for frames that are large and much alike inside.
#ifndef MV_IO_NET_DEFLATE_H
#define MV_IO_NET_DEFLATE_H

#include <stddef.h>

#include "core/error.h"

/// Deflates some bytes.
///
/// @param out  receives the result; release it with free()
/// @return its length
size_t deflate_bytes(const char *bytes, size_t size_bytes, char **out);

/// Inflates some bytes whose plain length is known.
///
/// @param out  receives the result; release it with free()
/// @return 0, or -1 with err set
int inflate_bytes(const char *bytes, size_t size_bytes, size_t plain_bytes,
    char **out, struct error *err);

#endif
