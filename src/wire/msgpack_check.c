// Validates msgpack bytes by the first-byte table of the format specification.
#include <stdint.h>

#include "wire/msgpack_check.h"

#define MAX_DEPTH 8

struct reader {
	const uint8_t *at;
	size_t left;
};

/// Reads a big-endian number of the given size.
static bool
read_number(struct reader *r, uint32_t bytes, uint64_t *out)
{
	*out = 0;
	if (r->left < bytes)
		return false;
	r->left -= bytes;
	while (bytes-- > 0)
		*out = *out << 8 | *r->at++;
	return true;
}

static bool
skip(struct reader *r, uint64_t bytes)
{
	if (r->left < bytes)
		return false;
	r->at += bytes;
	r->left -= bytes;
	return true;
}

/// Skips a string, byte string or extension with a length field.
///
/// @param extra_bytes  bytes that the length does not count: the ext type
static bool
skip_length_prefixed(
    struct reader *r, uint32_t length_bytes, uint32_t extra_bytes)
{
	uint64_t length;

	return read_number(r, length_bytes, &length) &&
	    skip(r, length + extra_bytes);
}

static bool check_object(struct reader *r, int depth);

static bool
check_elements(struct reader *r, uint64_t count, int depth)
{
	// Each element takes at least one byte.
	if (count > r->left || depth >= MAX_DEPTH)
		return false;
	while (count-- > 0)
		if (!check_object(r, depth + 1))
			return false;
	return true;
}

static bool
check_container(
    struct reader *r, uint32_t count_bytes, uint32_t factor, int depth)
{
	uint64_t count;

	return read_number(r, count_bytes, &count) &&
	    check_elements(r, count * factor, depth);
}

/// Checks an object whose first byte is from 0xc0 to 0xdf.
static bool
check_typed(struct reader *r, uint8_t first, int depth)
{
	switch (first) {
	case 0xc0: // nil
	case 0xc2: // false
	case 0xc3: // true
		return true;
	case 0xc4: // bin
	case 0xd9: // str
		return skip_length_prefixed(r, 1, 0);
	case 0xc5:
	case 0xda:
		return skip_length_prefixed(r, 2, 0);
	case 0xc6:
	case 0xdb:
		return skip_length_prefixed(r, 4, 0);
	case 0xc7: // ext
		return skip_length_prefixed(r, 1, 1);
	case 0xc8:
		return skip_length_prefixed(r, 2, 1);
	case 0xc9:
		return skip_length_prefixed(r, 4, 1);
	case 0xcc: // integers
	case 0xd0:
		return skip(r, 1);
	case 0xcd:
	case 0xd1:
	case 0xd4: // fixed ext
		return skip(r, 2);
	case 0xd5:
		return skip(r, 3);
	case 0xca: // float
	case 0xce:
	case 0xd2:
		return skip(r, 4);
	case 0xd6:
		return skip(r, 5);
	case 0xcb: // double
	case 0xcf:
	case 0xd3:
		return skip(r, 8);
	case 0xd7:
		return skip(r, 9);
	case 0xd8:
		return skip(r, 17);
	case 0xdc: // array
		return check_container(r, 2, 1, depth);
	case 0xdd:
		return check_container(r, 4, 1, depth);
	case 0xde: // map
		return check_container(r, 2, 2, depth);
	case 0xdf:
		return check_container(r, 4, 2, depth);
	default:
		return false;
	}
}

static bool
check_object(struct reader *r, int depth)
{
	uint8_t first;

	if (r->left == 0)
		return false;
	first = *r->at++;
	r->left--;
	if (first < 0x80 || first >= 0xe0)
		return true;
	if (first < 0x90)
		return check_elements(r, (first & 0x0fu) * 2, depth);
	if (first < 0xa0)
		return check_elements(r, first & 0x0f, depth);
	if (first < 0xc0)
		return skip(r, first & 0x1f);
	return check_typed(r, first, depth);
}

bool
msgpack_check(const char *bytes, size_t size_bytes)
{
	struct reader r = {(const uint8_t *)bytes, size_bytes};

	return check_object(&r, 0) && r.left == 0;
}
