// Formats typed errors.
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
