/// @file
/// Fuzz targets of the HTTP server and the HTTP client, on loopback connections.
#ifndef MV_TEST_FUZZ_FUZZ_HTTP_H
#define MV_TEST_FUZZ_FUZZ_HTTP_H

#include <stddef.h>

/// Sends the input to an HTTP server. Aborts if a request arrives without method or
/// target, or if its callbacks come in a wrong order.
void fuzz_run_request(const char *bytes, size_t size_bytes);

/// Answers two calls of an HTTP client with the input, each. Aborts if a call does
/// not end exactly once, or ends complete with a body of another length than stated.
void fuzz_run_answer(const char *bytes, size_t size_bytes);

#endif
