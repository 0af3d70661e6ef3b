// Typed errors.
#include <stdarg.h>
#include <stdio.h>

#include "core/error.h"

int
error_set(struct error *err, enum error_code code, const char *step,
    const char *peer, const char *fmt, ...)
{
	va_list ap;

	err->code = code;
	snprintf(err->step, sizeof(err->step), "%s", step);
	snprintf(err->peer, sizeof(err->peer), "%s", peer);
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return -1;
}

const char *
error_code_name(enum error_code code)
{
	switch (code) {
	case ERR_NONE:
		return "none";
	case ERR_SYNTAX:
		return "syntax";
	case ERR_INVALID:
		return "invalid";
	case ERR_IO:
		return "io";
	case ERR_CORRUPT:
		return "corrupt";
	case ERR_CONFLICT:
		return "conflict";
	case ERR_UNAVAILABLE:
		return "unavailable";
	case ERR_TIMEOUT:
		return "timeout";
	case ERR_TOO_LARGE:
		return "too large";
	}
	return "unknown";
}
