/// @file
/// Blocking HTTP client for command line programs.
#ifndef MV_FETCH_FETCH_H
#define MV_FETCH_FETCH_H

#include <stddef.h>

#include "core/error.h"

struct fetch_request {
	const char *address; ///< "IP:port"
	const char *target;  ///< Path and query.
	const char *body;    ///< Body of a POST; NULL sends a GET.
	size_t body_bytes;
	long timeout_ms;
};

struct fetch_response {
	long status;
	char *body; ///< NUL-terminated; never NULL after a success.
	size_t body_bytes;
};

/// Sends a request and waits for its response. Release the response with
/// fetch_response_free().
///
/// @return 0 if a response of any status arrived, or -1 with err set
int fetch(const struct fetch_request *request, struct fetch_response *response,
    struct error *err);

void fetch_response_free(struct fetch_response *response);

#endif
