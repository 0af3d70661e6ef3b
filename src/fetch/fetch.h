/// @file
/// One HTTP request at a time, for command line programs.
#ifndef MV_FETCH_FETCH_H
#define MV_FETCH_FETCH_H

#include <stddef.h>

#include "core/error.h"

struct fetch_request {
	const char *address; ///< "IP:port"
	const char *target;  ///< Path and query.
	const char *body;    ///< To be posted; NULL: the method is GET.
	size_t body_bytes;
	long timeout_ms;
};

struct fetch_answer {
	long status;
	char *body; ///< With a NUL behind it; never NULL after a success.
	size_t body_bytes;
};

/// @return 0 with the answer, whatever its status, or -1 with err set
int fetch(const struct fetch_request *request, struct fetch_answer *answer,
    struct error *err);

void fetch_answer_free(struct fetch_answer *answer);

#endif
