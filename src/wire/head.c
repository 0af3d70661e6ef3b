// Form of HTTP heads that are sent on.
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "wire/head.h"

#define SHOWN_NAME_BYTES 48

/// More fields with the internal prefix than any dialect has.
#define MAX_INTERNAL_FIELDS 32

/// Fields of which two readers might take different ones, if there were two.
static const char *const single_fields[] = {"Host", "Content-Type",
    "Content-Range", "Content-Location", "Location", "Authorization",
    "Idempotency-Key", "Expect"};

/// Fields that state the framing, which the sender adds itself.
static const char *const framing_fields[] = {
    "Content-Length", "Transfer-Encoding"};

#define COUNT(array_) (sizeof(array_) / sizeof((array_)[0]))

static bool
names_equal(struct bytes a, struct bytes b)
{
	return a.size_bytes == b.size_bytes &&
	    strncasecmp(a.data, b.data, a.size_bytes) == 0;
}

bool
head_is_token(struct bytes text)
{
	uint32_t i;

	for (i = 0; i < text.size_bytes; i++) {
		char c = text.data[i];

		if (!((c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
			(c >= 'a' && c <= 'z') ||
			(c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL)))
			return false;
	}
	return text.size_bytes > 0;
}

bool
head_is_target(struct bytes target)
{
	uint32_t i;

	for (i = 0; i < target.size_bytes; i++) {
		unsigned char c = (unsigned char)target.data[i];

		if (c <= ' ' || c == 0x7f)
			return false;
	}
	return target.size_bytes > 0;
}

bool
head_tokens_hold(struct bytes tokens, struct bytes name)
{
	uint32_t at = 0;

	while (at < tokens.size_bytes) {
		struct bytes token = {tokens.data + at, 0};

		while (at < tokens.size_bytes &&
		    strchr(", \t", tokens.data[at]) == NULL) {
			token.size_bytes++;
			at++;
		}
		if (names_equal(token, name))
			return true;
		at++;
	}
	return false;
}

int
head_field_error(struct error *err, struct bytes name, const char *what)
{
	char shown[SHOWN_NAME_BYTES];
	size_t n = name.size_bytes < sizeof(shown) ? name.size_bytes
						   : sizeof(shown) - 1;
	size_t i;

	for (i = 0; i < n; i++)
		shown[i] = name.data[i] > ' ' && name.data[i] < 0x7f
		    ? name.data[i]
		    : '?';
	shown[n] = '\0';
	return error_set(
	    err, ERR_INVALID, "head", "", "field \"%s\" %s", shown, what);
}

static bool
is_value(struct bytes value)
{
	uint32_t i;

	for (i = 0; i < value.size_bytes; i++) {
		unsigned char c = (unsigned char)value.data[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

int
head_check_field(struct bytes name, struct bytes value, struct error *err)
{
	if (!head_is_token(name))
		return head_field_error(err, name, "has no valid name");
	if (!is_value(value))
		return head_field_error(err, name, "holds a control character");
	return 0;
}

/// Returns the index of a name in a list; the length of the list if it is not
/// there.
static size_t
find_name(struct bytes name, const char *const *list, size_t count)
{
	size_t i = 0;

	while (i < count && !names_equal(name, bytes_from_string(list[i])))
		i++;
	return i;
}

static bool
has_prefix(struct bytes name, const char *prefix)
{
	size_t n = strlen(prefix);

	return name.size_bytes >= n && strncasecmp(name.data, prefix, n) == 0;
}

static bool
stands_before(const struct bytes *names, uint32_t count, struct bytes name)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (names_equal(names[i], name))
			return true;
	return false;
}

int
head_check(const struct message_header *fields, uint32_t count,
    const char *internal_prefix, struct error *err)
{
	struct bytes internal[MAX_INTERNAL_FIELDS];
	bool seen[COUNT(single_fields) + 1] = {false};
	uint32_t internal_count = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct bytes name = fields[i].name;
		size_t single;

		if (head_check_field(name, fields[i].value, err) != 0)
			return -1;
		if (find_name(name, framing_fields, COUNT(framing_fields)) !=
		    COUNT(framing_fields))
			return head_field_error(
			    err, name, "stands beside the framing");
		single = find_name(name, single_fields, COUNT(single_fields));
		if (seen[single] && single != COUNT(single_fields))
			return head_field_error(err, name, "stands twice");
		seen[single] = true;
		if (internal_prefix[0] == '\0' ||
		    !has_prefix(name, internal_prefix))
			continue;
		if (stands_before(internal, internal_count, name))
			return head_field_error(err, name, "stands twice");
		if (internal_count == MAX_INTERNAL_FIELDS)
			return head_field_error(
			    err, name, "is one of too many internal ones");
		internal[internal_count++] = name;
	}
	return 0;
}
