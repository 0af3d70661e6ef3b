// Checks request heads as they were received.
//
// The library gives names and values as strings in the buffer that it received the
// head into, after it has cut, joined or dropped what it takes for ends of lines,
// continued lines and blanks. The places of the strings show that: each begins where
// the one before it ends, after its separator. They are compared, never read.
#include <string.h>
#include <strings.h>

#include "io/http/httpd_exchange.h"
#include "wire/head.h"

#define CRLF_BYTES 2
#define HTTP_1	   "HTTP/1."

/// State of a visit of all fields of a head.
struct head_visit {
	uintptr_t next; ///< Where the next field begins.
	bool as_received;
	uint32_t lengths;
	uint32_t codings;
	uint32_t hosts;
	bool coding_known;
	bool has_options; ///< Connection names more than how it ends.
	int rc;
	struct error *err;
};

static void
check_framing(struct head_visit *v, const char *name, const char *value)
{
	if (strcasecmp(name, "Content-Length") == 0)
		v->lengths++;
	else if (strcasecmp(name, "Host") == 0)
		v->hosts++;
	else if (strcasecmp(name, "Connection") == 0)
		v->has_options |= strcasecmp(value, "close") != 0 &&
		    strcasecmp(value, "keep-alive") != 0;
	else if (strcasecmp(name, "Transfer-Encoding") == 0) {
		v->codings++;
		v->coding_known = strcasecmp(value, "chunked") == 0;
	}
}

static enum MHD_Result
check_field(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct head_visit *v = cls;
	const char *text = value == NULL ? "" : value;

	(void)kind;
	v->rc = head_check_field(
	    bytes_from_string(name), bytes_from_string(text), v->err);
	// Between name and value stand a colon and blanks.
	if (v->rc == 0 && v->as_received &&
	    ((uintptr_t)name != v->next ||
		(uintptr_t)text <= (uintptr_t)name + strlen(name)))
		v->rc = head_field_error(v->err, bytes_from_string(name),
		    "follows a line that is folded, is cut by a NUL, or does "
		    "not end in CRLF");
	if (v->rc != 0)
		return MHD_NO;
	v->next = (uintptr_t)text + strlen(text) + CRLF_BYTES;
	check_framing(v, name, text);
	return MHD_YES;
}

/// Checks that the length of the body can be understood in one way only.
static int
check_lengths(const struct head_visit *v, const char *version)
{
	const struct bytes coding = bytes_from_string("Transfer-Encoding");
	const struct bytes length = bytes_from_string("Content-Length");

	if (v->lengths > 1)
		return head_field_error(v->err, length, "stands twice");
	if (v->hosts > 1)
		return head_field_error(
		    v->err, bytes_from_string("Host"), "stands twice");
	if (v->codings == 0)
		return 0;
	if (v->codings > 1)
		return head_field_error(v->err, coding, "stands twice");
	if (!v->coding_known)
		return head_field_error(v->err, coding, "is not \"chunked\"");
	if (v->lengths > 0)
		return head_field_error(
		    v->err, coding, "stands beside Content-Length");
	if (strcmp(version, "HTTP/1.0") == 0)
		return head_field_error(v->err, coding, "needs HTTP/1.1");
	return 0;
}

/// Returns whether the strings of the request line follow each other.
static bool
line_is_as_received(
    const struct exchange *x, const char *method, const char *version)
{
	return (uintptr_t)x->uri == (uintptr_t)method + strlen(method) + 1 &&
	    (uintptr_t)version == (uintptr_t)x->uri + strlen(x->pub.target) + 1;
}

static bool
is_near(const char *a, const char *b)
{
	uintptr_t gap_bytes = (uintptr_t)b - (uintptr_t)a;

	return gap_bytes <= CONNECTION_MEMORY_BYTES;
}

int
exchange_check_head(struct exchange *x, const char *method, const char *version,
    struct error *err)
{
	const union MHD_ConnectionInfo *size = MHD_get_connection_info(
	    x->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	struct head_visit v = {.err = err};

	if (strncmp(version, HTTP_1, strlen(HTTP_1)) != 0 ||
	    strspn(version + strlen(HTTP_1), "0123456789") != 1 ||
	    strlen(version) != strlen(HTTP_1) + 1)
		return error_set(
		    err, ERR_INVALID, "head", "", "the version is not HTTP/1");
	// A library that keeps copies elsewhere shows nothing by their places.
	v.as_received = is_near(method, version);
	v.next = (uintptr_t)version + strlen(version) + CRLF_BYTES;
	if (!head_is_target(bytes_from_string(x->pub.target)) ||
	    (v.as_received && !line_is_as_received(x, method, version)))
		return error_set(err, ERR_INVALID, "head", "",
		    "the request line holds a blank or a control character");
	MHD_get_connection_values(
	    x->connection, MHD_HEADER_KIND, check_field, &v);
	if (v.rc != 0)
		return -1;
	if (v.as_received && size != NULL &&
	    v.next + CRLF_BYTES != (uintptr_t)method + size->header_size)
		return error_set(err, ERR_INVALID, "head", "",
		    "the last field is folded, is cut by a NUL, or does not "
		    "end in CRLF");
	x->has_options = v.has_options;
	return check_lengths(&v, version);
}
