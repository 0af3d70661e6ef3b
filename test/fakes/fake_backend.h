// Shapes of the stand-in for a backend server; see fake_backend.c.
#ifndef MV_TEST_FAKES_FAKE_BACKEND_H
#define MV_TEST_FAKES_FAKE_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "io/http/httpc.h"
#include "io/http/httpd.h"
#include "io/program.h"

#define FAKE_MAX_KEYS 200000

/// What the stand-in does, and does wrong.
struct fake_behaviour {
	int64_t service_us;	///< Time that a request takes.
	int64_t slots;		///< Requests at once; more are told 500.
	int64_t shed;		///< 1: shed every request, with proof.
	int64_t stall;		///< 1: take requests and never answer.
	int64_t fail;		///< 1: answer 500.
	int64_t die_after_run;	///< Exit right after the n-th run from now.
	int64_t response_bytes; ///< Length of the answer; 0: a short line.
	int64_t cut_at_bytes;	///< Cut a long answer there; 0: never.
};

/// Runs of one idempotency key.
struct fake_key_count {
	char key[64];
	uint32_t runs;
};

struct fake_settings {
	struct program_log_settings log;
	char name[SETTINGS_TEXT_BYTES];
	char service[SETTINGS_TEXT_BYTES];
	char listen[SETTINGS_TEXT_BYTES];
	char told[SETTINGS_TEXT_BYTES];
	char proxy_admin[SETTINGS_TEXT_BYTES];
	char proxy_inner[SETTINGS_TEXT_BYTES];
	char bound_path[SETTINGS_TEXT_BYTES];
	int64_t lease_ms;
	int64_t cold_ms;
	struct fake_behaviour behaviour;
};

struct fake_backend {
	struct fake_settings settings;
	struct loop *loop;
	struct httpd *httpd;
	struct httpc *httpc;
	struct address bound;
	struct loop_timer announce_timer;
	struct httpc_call announce;
	char announce_url[300];
	char announce_body[300];
	char drain_url[300];
	bool announcing;
	bool draining;
	int64_t warm_deadline_us;
	uint32_t running;
	uint64_t runs;
	struct fake_key_count *keys;
	uint32_t key_count;
};

/// What requests are taken with.
extern const struct httpd_ops fake_httpd_ops;

/// What a call whose answer does not matter does with it.
enum httpc_verdict fake_ignore_head(
    struct httpc_call *call, uint32_t status, int64_t total_bytes);
bool fake_ignore_body(
    struct httpc_call *call, const char *data, size_t size_bytes);

/// Handles a control request, "/_fake/...".
void fake_control_handle(
    struct fake_backend *b, struct http_exchange *exchange);

#endif
