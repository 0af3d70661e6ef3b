// Fake backend server: slots, cold start, load shedding, drain, failures,
// connection faults, and a count of the runs of each idempotency key.
//
// Control requests, which are not counted as runs:
//   GET  /_fake/runs           total number of runs, and one line for each key
//   POST /_fake/set?NAME=VALUE set a behaviour, see struct fake_behaviour
//   POST /_fake/drain          start to drain at the proxy
#include <apr_general.h>
#include <argp.h>
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_backend.h"
#include "io/clock.h"
#include "io/log/log.h"

enum httpc_verdict
fake_ignore_head(struct httpc_call *call, uint32_t status, int64_t total_bytes)
{
	(void)call;
	(void)status;
	(void)total_bytes;
	return HTTPC_ACCEPT;
}

bool
fake_ignore_body(struct httpc_call *call, const char *data, size_t size_bytes)
{
	(void)call;
	(void)data;
	(void)size_bytes;
	return true;
}

static void
on_announced(struct httpc_call *call, const struct error *err)
{
	struct fake_backend *b = call->owner;

	b->announcing = false;
	if (err != NULL)
		log_error(LOG_INFO, "fake",
		    "Cannot announce this server to its proxy", err);
}

static const struct httpc_ops announce_ops = {
    .on_head = fake_ignore_head,
    .on_body = fake_ignore_body,
    .on_done = on_announced,
};

static void
announce(void *arg)
{
	struct fake_backend *b = arg;
	int64_t now_us = loop_now_us(b->loop);
	char address[ADDRESS_TEXT_BYTES];
	struct error err;

	loop_timer_set(b->loop, &b->announce_timer,
	    now_us + b->settings.lease_ms * US_PER_MS / 4);
	if (b->announcing || b->draining)
		return;
	address_format(&b->bound, address);
	if (b->settings.advertised_address[0] != '\0')
		snprintf(address, sizeof(address), "%.*s",
		    (int)sizeof(address) - 1, b->settings.advertised_address);
	snprintf(b->announce_url, sizeof(b->announce_url), "http://%s/announce",
	    b->settings.proxy_admin);
	snprintf(b->announce_body, sizeof(b->announce_body),
	    "{\"service\":\"%.40s\",\"address\":\"%s\",\"state\":\"%s\","
	    "\"lease_ms\":%" PRId64 ",\"started_ms\":%" PRId64
	    ",\"version\":\"%.40s\"}",
	    b->settings.service, address,
	    now_us < b->cold_until_us ? "cold" : "ready", b->settings.lease_ms,
	    b->started_ms, b->settings.version);
	memset(&b->announce, 0, sizeof(b->announce));
	b->announce.ops = &announce_ops;
	b->announce.owner = b;
	b->announce.method = "PUT";
	b->announce.url = b->announce_url;
	b->announce.body = b->announce_body;
	b->announce.body_bytes = strlen(b->announce_body);
	b->announce.deadline_us = clock_now_us() + US_PER_S;
	b->announcing = httpc_call_start(b->httpc, &b->announce, &err) == 0;
}

#define S struct fake_settings
#define ROW(path_, kind_, member_, required_, fallback_, help_)              \
	{                                                                    \
		path_, kind_, offsetof(S, member_), required_, 0, INT64_MAX, \
		    fallback_, help_                                         \
	}
static const struct settings_field settings_fields[] = {
    PROGRAM_LOG_FIELDS(S),
    ROW("name", SETTINGS_TEXT, name, true, NULL, "name of this server"),
    ROW("service", SETTINGS_TEXT, service, true, NULL,
	"service that it belongs to"),
    ROW("version", SETTINGS_TEXT, version, false, "\"\"",
	"version of its software"),
    ROW("listen", SETTINGS_ADDRESS, listen, true, NULL, "HTTP"),
    ROW("told", SETTINGS_ADDRESS, advertised_address, false, NULL,
	"address to announce if it is not the listener's"),
    ROW("proxy.admin", SETTINGS_TEXT, proxy_admin, false, "\"\"",
	"admin address of the local proxy; empty: do not announce"),
    ROW("proxy.inner", SETTINGS_TEXT, proxy_inner, false, "\"\"",
	"inner address of the local proxy, for nested calls"),
    ROW("bound_path", SETTINGS_TEXT, bound_path, false, "\"\"",
	"file to write the bound address to"),
    ROW("lease_ms", SETTINGS_INTEGER, lease_ms, false, "2000",
	"lease of an announcement"),
    ROW("cold_ms", SETTINGS_INTEGER, cold_ms, false, "0",
	"time for which it announces itself as cold"),
    ROW("service_us", SETTINGS_INTEGER, behaviour.service_us, false, "0",
	"service time of a request"),
    ROW("slots", SETTINGS_INTEGER, behaviour.slots, false, "20",
	"maximum number of concurrent requests"),
};

static void
on_terminate(void *arg)
{
	struct fake_backend *b = arg;

	loop_stop(b->loop);
}

static int
run(struct fake_backend *b)
{
	struct httpd_limits limits = {.max_body_bytes = INT64_MAX / 2,
	    .max_connections = 1000,
	    .idle_timeout_s = 60};
	struct address at;
	struct error err;
	char text[80];
	char address[ADDRESS_TEXT_BYTES];
	int exit_code = EXIT_FAILED;

	address_parse(b->settings.listen, &at);
	b->loop = loop_create("fake", &err);
	if (b->loop == NULL ||
	    (b->httpc = httpc_open(b->loop, 100, &err)) == NULL ||
	    (b->httpd = httpd_open(b->loop, &at, &fake_httpd_ops, b, &limits,
		 &b->bound, &err)) == NULL ||
	    program_watch_signals(b->loop, on_terminate, b, &err) != 0) {
		log_error(LOG_ERROR, "fake", "Cannot start", &err);
		goto out;
	}
	address_format(&b->bound, address);
	snprintf(text, sizeof(text), "{\"http\":\"%s\"}\n", address);
	program_write_bound_addresses(b->settings.bound_path, text, &err);
	b->cold_until_us =
	    loop_now_us(b->loop) + b->settings.cold_ms * US_PER_MS;
	b->started_ms = clock_wall_us() / US_PER_MS;
	b->announce_timer.fn = announce;
	b->announce_timer.arg = b;
	if (b->settings.proxy_admin[0] != '\0')
		announce(b);
	loop_run(b->loop);
	exit_code = EXIT_OK;
out:
	httpc_close(b->httpc);
	httpd_close(b->httpd);
	loop_destroy(b->loop);
	free(b->keys);
	return exit_code;
}

int
main(int argc, char **argv)
{
	static struct fake_backend backend;
	const struct program program = {
	    .name = "fake-backend",
	    .purpose = "Fake backend server for tests.",
	    .fields = settings_fields,
	    .field_count = sizeof(settings_fields) / sizeof(settings_fields[0]),
	    .settings = &backend.settings,
	    .log = &backend.settings.log,
	};
	int exit_code = program_start(&program, argc, argv);

	if (exit_code >= 0)
		return exit_code;
	backend.keys = calloc(FAKE_MAX_KEYS, sizeof(*backend.keys));
	assert(backend.keys != NULL);
	program_block_signals();
	apr_initialize();
	exit_code = run(&backend);
	apr_terminate();
	log_close();
	return exit_code;
}
