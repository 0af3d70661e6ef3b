/// @file
/// Compression in the zlib format, for large and repetitive frames.
#ifndef MV_IO_NET_DEFLATE_H
#define MV_IO_NET_DEFLATE_H

#include <stddef.h>

#include "core/error.h"

/// Compresses bytes.
///
/// @param out  receives the result; release it with free()
/// @return its length in bytes
size_t deflate_bytes(const char *bytes, size_t size_bytes, char **out);

/// Decompresses bytes whose uncompressed length is known.
///
/// @param out  receives the result; release it with free()
/// @return 0, or -1 with err set
int inflate_bytes(const char *bytes, size_t size_bytes,
    size_t uncompressed_bytes, char **out, struct error *err);

#endif
