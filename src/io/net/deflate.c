// Compression with zlib.
#include <assert.h>
#include <stdlib.h>
#include <zlib.h>

#include "io/net/deflate.h"

size_t
deflate_bytes(const char *bytes, size_t size_bytes, char **out)
{
	uLongf out_bytes = compressBound(size_bytes);
	int rc;

	*out = malloc(out_bytes);
	assert(*out != NULL);
	// The buffer is large enough: compress2 fails only if out of memory.
	rc = compress2((Bytef *)*out, &out_bytes, (const Bytef *)bytes,
	    size_bytes, Z_BEST_SPEED);
	assert(rc == Z_OK);
	(void)rc;
	return out_bytes;
}

int
inflate_bytes(const char *bytes, size_t size_bytes, size_t uncompressed_bytes,
    char **out, struct error *err)
{
	uLongf out_bytes = uncompressed_bytes;
	int rc;

	*out = malloc(uncompressed_bytes + 1);
	assert(*out != NULL);
	rc = uncompress(
	    (Bytef *)*out, &out_bytes, (const Bytef *)bytes, size_bytes);
	if (rc == Z_OK && out_bytes == uncompressed_bytes)
		return 0;
	free(*out);
	*out = NULL;
	return error_set(err, ERR_CORRUPT, "inflate", "",
	    "%zu bytes do not inflate to %zu bytes (zlib status %d)",
	    size_bytes, uncompressed_bytes, rc);
}
