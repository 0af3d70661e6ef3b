// Classes of HTTP headers and methods.
#include <string.h>
#include <strings.h>

#include "proxy/headers.h"
#include "wire/head.h"

static bool
equals(struct bytes b, const char *text)
{
	size_t n = strlen(text);

	return b.size_bytes == n && strncasecmp(b.data, text, n) == 0;
}

bool
headers_is_hop_by_hop(struct bytes name)
{
	static const char *const known_names[] = {"Connection", "Keep-Alive",
	    "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	    "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	    "Expect"};
	size_t i;

	for (i = 0; i < sizeof(known_names) / sizeof(known_names[0]); i++)
		if (equals(name, known_names[i]))
			return true;
	return false;
}

bool
headers_name_equals(struct bytes name, const char *header)
{
	return header != NULL && equals(name, header);
}

bool
headers_is_internal(const struct dialect_headers *headers, struct bytes name)
{
	size_t n = strlen(headers->internal_prefix);

	return name.size_bytes >= n &&
	    strncasecmp(name.data, headers->internal_prefix, n) == 0 &&
	    !headers_name_equals(name, headers->attempt);
}

bool
headers_is_end_to_end(const struct dialect_headers *headers, struct bytes name)
{
	return equals(name, "Host") ||
	    headers_name_equals(name, headers->attempt) ||
	    headers_name_equals(name, headers->key);
}

bool
headers_can_forward_method(struct bytes method)
{
	return head_is_token(method) &&
	    method.size_bytes < HEADERS_METHOD_BYTES &&
	    !(method.size_bytes == 7 &&
		memcmp(method.data, "CONNECT", method.size_bytes) == 0);
}
