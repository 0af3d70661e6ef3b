/// @file
/// Types and functions of the fake backend server; see fake_backend.c.
#ifndef MV_TEST_FAKES_FAKE_BACKEND_H
#define MV_TEST_FAKES_FAKE_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "io/http/httpc.h"
#include "io/http/httpd.h"
#include "io/program.h"

#define FAKE_MAX_KEYS 200000

/// Behaviour and faults of the server.
struct fake_behaviour {
	int64_t service_us;	///< Service time of a request.
	int64_t slots;		///< Concurrent requests; more are shed.
	int64_t shed;		///< 1: shed every request before it runs.
	int64_t stall;		///< 1: run requests and never respond.
	int64_t fail;		///< 1: respond with 500.
	int64_t die_after_run;	///< Exit right after that many more runs.
	int64_t response_bytes; ///< Length of responses; 0: a short line.
	int64_t cut_at_bytes;	///< Truncate long responses there; 0: no.
	int64_t limit;		///< Requests a second that it names; 0: none.
	int64_t leaving;	///< 1: says in its responses that it leaves.
	int64_t pause_at_bytes; ///< Never send more of long responses; 0: no.
};

/// Number of runs of an idempotency key.
struct fake_key_count {
	char key[64];
	uint32_t runs;
};

/// Settings of the server.
struct fake_settings {
	struct program_log_settings log;
	char name[SETTINGS_TEXT_BYTES];
	char service[SETTINGS_TEXT_BYTES];
	char version[SETTINGS_TEXT_BYTES];
	char listen[SETTINGS_TEXT_BYTES];
	char advertised_address[SETTINGS_TEXT_BYTES];
	char proxy_admin[SETTINGS_TEXT_BYTES];
	char proxy_inner[SETTINGS_TEXT_BYTES];
	char bound_path[SETTINGS_TEXT_BYTES];
	int64_t lease_ms;
	int64_t cold_ms;
	struct fake_behaviour behaviour;
};

/// The server.
struct fake_backend {
	struct fake_settings settings;
	struct loop *loop;
	struct httpd *httpd;
	struct httpc *httpc;
	struct address bound;
	struct loop_timer announce_timer;
	struct httpc_call announce;
	char announce_url[300];
	char announce_body[360];
	char drain_url[300];
	int64_t started_ms; ///< Unix time.
	bool announcing;
	bool draining;
	int64_t cold_until_us;
	uint32_t running;
	uint64_t runs;
	struct fake_key_count *keys;
	uint32_t key_count;
};

/// Handlers of incoming requests.
extern const struct httpd_ops fake_httpd_ops;

/// Accepts the head of a response that is not used.
enum httpc_verdict fake_ignore_head(
    struct httpc_call *call, uint32_t status, int64_t total_bytes);

/// Discards the body of a response that is not used.
bool fake_ignore_body(
    struct httpc_call *call, const char *data, size_t size_bytes);

/// Handles a control request, whose target starts with "/_fake/".
void fake_control_handle(
    struct fake_backend *b, struct http_exchange *exchange);

#endif
