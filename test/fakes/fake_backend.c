// Stand-in for a backend server: slots, cold start, shedding, drain,
// misleading health, connection faults, and a count of runs for each key.
//
// Control requests, not counted as work:
//   GET  /_fake/runs           runs in all, and one line a key
//   POST /_fake/set?NAME=VALUE change a behaviour, see struct behaviour
//   POST /_fake/drain          drain at the proxy
#include <apr_general.h>
#include <argp.h>
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "io/clock.h"
#include "io/http/httpc.h"
#include "io/http/httpd.h"
#include "io/log/log.h"
#include "io/program.h"

#define MAX_KEYS 200000

/// What the stand-in does, and does wrong.
struct behaviour {
	int64_t service_us;	///< Time that a request takes.
	int64_t slots;		///< Requests at once; more are told 500.
	int64_t shed;		///< 1: shed every request, with proof.
	int64_t stall;		///< 1: take requests and never answer.
	int64_t fail;		///< 1: answer 500.
	int64_t die_after_run;	///< Exit right after the n-th run from now.
	int64_t response_bytes; ///< Length of the answer; 0: a short line.
	int64_t cut_at_bytes;	///< Cut a long answer there; 0: never.
};

struct behaviour_key {
	const char *name;
	size_t offset;
};

#define KEY(name_)                                        \
	{                                                 \
#name_, offsetof(struct behaviour, name_) \
	}
static const struct behaviour_key behaviour_keys[] = {KEY(service_us),
    KEY(slots), KEY(shed), KEY(stall), KEY(fail), KEY(die_after_run),
    KEY(response_bytes), KEY(cut_at_bytes)};

/// Runs of one idempotency key.
struct key_count {
	char key[64];
	uint32_t runs;
};

struct settings {
	struct program_log log;
	char name[SETTINGS_TEXT_BYTES];
	char service[SETTINGS_TEXT_BYTES];
	char listen[SETTINGS_TEXT_BYTES];
	char told[SETTINGS_TEXT_BYTES];
	char proxy_admin[SETTINGS_TEXT_BYTES];
	char proxy_inner[SETTINGS_TEXT_BYTES];
	char bound_path[SETTINGS_TEXT_BYTES];
	int64_t lease_ms;
	int64_t cold_ms;
	struct behaviour behaviour;
};

struct backend {
	struct settings settings;
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
	struct key_count *keys;
	uint32_t key_count;
};

/// A request at work.
struct work {
	struct backend *backend;
	struct http_exchange *exchange;
	struct loop_timer timer;
	struct httpc_call nested;
	char nested_url[512];
	struct bytes headers[2][2];
	char rank[64];
	char deadline[32];
	size_t body_bytes;
	uint64_t body_sum;
	bool body_done;
	bool served;
	bool counted;
};

static struct key_count *
find_key(struct backend *b, const char *key)
{
	uint32_t i;

	for (i = 0; i < b->key_count; i++)
		if (strcmp(b->keys[i].key, key) == 0)
			return &b->keys[i];
	assert(b->key_count < MAX_KEYS);
	snprintf(b->keys[b->key_count].key, sizeof(b->keys[0].key), "%s", key);
	return &b->keys[b->key_count++];
}

static void
count_run(struct work *w)
{
	struct backend *b = w->backend;
	const char *key = http_exchange_header(w->exchange, "Idempotency-Key");

	b->runs++;
	if (key == NULL && strcmp(w->exchange->method, "POST") == 0)
		key = http_exchange_header(w->exchange, "Magnolia-Request-Id");
	if (key != NULL)
		find_key(b, key)->runs++;
	log_write(LOG_INFO, "fake", "Ran %s %s key %s rank %s deadline %s.",
	    w->exchange->method, w->exchange->target, key == NULL ? "-" : key,
	    w->rank, w->deadline);
	if (b->settings.behaviour.die_after_run > 0 &&
	    --b->settings.behaviour.die_after_run == 0) {
		log_flush();
		_exit(9);
	}
}

static void
respond_long(struct work *w)
{
	struct backend *b = w->backend;
	int64_t total = b->settings.behaviour.response_bytes;
	int64_t cut = b->settings.behaviour.cut_at_bytes;
	int64_t n = cut > 0 && cut < total ? cut : total;
	char *body = malloc((size_t)n);
	int64_t i;

	assert(body != NULL);
	for (i = 0; i < n; i++)
		body[i] = (char)('a' + i % 23);
	http_exchange_respond_start(w->exchange, 200, NULL, 0, total);
	http_exchange_respond_body(w->exchange, body, (size_t)n);
	http_exchange_respond_end(w->exchange, n == total);
	free(body);
}

/// Answers with what the caller can check: who ran what with which body.
static void
respond(struct work *w)
{
	struct backend *b = w->backend;
	char text[1024];

	if (w->exchange == NULL)
		return;
	w->served = true;
	if (b->settings.behaviour.fail) {
		http_exchange_respond_text(w->exchange, 500, "failed\n");
		return;
	}
	if (b->settings.behaviour.response_bytes > 0) {
		respond_long(w);
		return;
	}
	snprintf(text, sizeof(text),
	    "%s %s %s bytes=%zu sum=%" PRIu64 " rank=%s\n", b->settings.service,
	    w->exchange->method, w->exchange->target, w->body_bytes,
	    w->body_sum, w->rank);
	http_exchange_respond_text(w->exchange, 200, text);
}

static void
on_service_end(void *arg)
{
	struct work *w = arg;

	respond(w);
}

static void
start_service(struct work *w)
{
	struct backend *b = w->backend;
	const struct behaviour *behaviour = &b->settings.behaviour;
	struct http_header shed = {"Magnolia-Shed", "1"};

	if (behaviour->shed || b->running >= behaviour->slots) {
		w->served = true;
		http_exchange_respond(w->exchange, 503, &shed, 1, "shed\n", 5);
		return;
	}
	b->running++;
	w->counted = true;
	count_run(w);
	if (behaviour->stall)
		return;
	if (behaviour->service_us == 0) {
		respond(w);
		return;
	}
	w->timer.fn = on_service_end;
	w->timer.arg = w;
	loop_timer_set(
	    b->loop, &w->timer, loop_now_us(b->loop) + behaviour->service_us);
}

static enum httpc_verdict
ignore_head(struct httpc_call *call, uint32_t status, int64_t total_bytes)
{
	(void)call;
	(void)status;
	(void)total_bytes;
	return HTTPC_TAKE;
}

static bool
ignore_body(struct httpc_call *call, const char *data, size_t size_bytes)
{
	(void)call;
	(void)data;
	(void)size_bytes;
	return true;
}

static void
on_nested_done(struct httpc_call *call, const struct error *err)
{
	struct work *w = call->owner;

	if (w->exchange == NULL) {
		free(w);
		return;
	}
	if (err != NULL || call->status != 200) {
		w->served = true;
		http_exchange_respond_text(
		    w->exchange, 502, "nested call failed\n");
		return;
	}
	start_service(w);
}

static const struct httpc_ops nested_ops = {
    .on_head = ignore_head,
    .on_body = ignore_body,
    .on_done = on_nested_done,
};

/// Calls on through the proxy beside, as "?call=PATH" asks, before it serves.
static bool
start_nested(struct work *w)
{
	struct backend *b = w->backend;
	const char *call = strstr(w->exchange->target, "?call=");
	struct error err;

	if (call == NULL || b->settings.proxy_inner[0] == '\0')
		return false;
	snprintf(w->nested_url, sizeof(w->nested_url), "http://%s%s",
	    b->settings.proxy_inner, call + strlen("?call="));
	w->headers[0][0] = bytes_from("Magnolia-Rank");
	w->headers[0][1] = bytes_from(w->rank);
	w->headers[1][0] = bytes_from("Magnolia-Deadline-Ms");
	w->headers[1][1] = bytes_from(w->deadline);
	w->nested.ops = &nested_ops;
	w->nested.owner = w;
	w->nested.method = "GET";
	w->nested.url = w->nested_url;
	w->nested.headers = (const struct bytes(*)[2])w->headers;
	w->nested.header_count = 2;
	w->nested.deadline_us = clock_now_us() + 10 * US_PER_S;
	w->nested.repeatable = true;
	return httpc_call_start(b->httpc, &w->nested, &err) == 0;
}

static void
add_body(struct work *w, const char *data, size_t size_bytes)
{
	size_t i;

	for (i = 0; i < size_bytes; i++)
		w->body_sum = w->body_sum * 31 + (unsigned char)data[i];
	w->body_bytes += size_bytes;
}

static void
copy_header(const struct http_exchange *x, const char *name, char *out,
    size_t out_bytes)
{
	const char *value = http_exchange_header(x, name);

	snprintf(out, out_bytes, "%s", value == NULL ? "-" : value);
}

static void
begin_work(struct work *w)
{
	if (!start_nested(w))
		start_service(w);
}

static void
respond_runs(struct backend *b, struct http_exchange *exchange)
{
	size_t capacity = 64 + b->key_count * (size_t)80;
	char *text = malloc(capacity);
	size_t used;
	uint32_t i;

	assert(text != NULL);
	used = (size_t)snprintf(text, capacity, "runs %" PRIu64 "\n", b->runs);
	for (i = 0; i < b->key_count; i++)
		used += (size_t)snprintf(text + used, capacity - used,
		    "key %s %u\n", b->keys[i].key, b->keys[i].runs);
	http_exchange_respond_text(exchange, 200, text);
	free(text);
}

static bool
set_behaviour(struct backend *b, const char *query)
{
	size_t i;

	for (i = 0; i < sizeof(behaviour_keys) / sizeof(behaviour_keys[0]);
	     i++) {
		size_t n = strlen(behaviour_keys[i].name);

		if (strncmp(query, behaviour_keys[i].name, n) != 0 ||
		    query[n] != '=')
			continue;
		*(int64_t *)((char *)&b->settings.behaviour +
		    behaviour_keys[i].offset) =
		    strtoll(query + n + 1, NULL, 10);
		return true;
	}
	return false;
}

static void on_drain_done(struct httpc_call *call, const struct error *err);

static const struct httpc_ops drain_ops = {
    .on_head = ignore_head,
    .on_body = ignore_body,
    .on_done = on_drain_done,
};

static void
on_drain_done(struct httpc_call *call, const struct error *err)
{
	(void)err;
	free(call);
}

static void
start_drain(struct backend *b)
{
	struct httpc_call *call = calloc(1, sizeof(*call));
	struct error err;

	assert(call != NULL);
	b->draining = true;
	snprintf(b->drain_url, sizeof(b->drain_url), "http://%s/drain",
	    b->settings.proxy_admin);
	call->ops = &drain_ops;
	call->method = "PUT";
	call->url = b->drain_url;
	call->deadline_us = clock_now_us() + 2 * US_PER_S;
	httpc_call_start(b->httpc, call, &err);
}

static void
handle_control(struct backend *b, struct http_exchange *exchange)
{
	const char *what = exchange->target + strlen("/_fake/");

	if (strcmp(what, "runs") == 0) {
		respond_runs(b, exchange);
		return;
	}
	if (strcmp(what, "drain") == 0)
		start_drain(b);
	else if (strncmp(what, "set?", 4) != 0 || !set_behaviour(b, what + 4)) {
		http_exchange_respond_text(exchange, 404, "not found\n");
		return;
	}
	http_exchange_respond_text(exchange, 200, "ok\n");
}

static void
on_request(void *owner, struct http_exchange *exchange)
{
	struct backend *b = owner;
	struct work *w;

	if (strncmp(exchange->target, "/_fake/", 7) == 0) {
		handle_control(b, exchange);
		return;
	}
	w = calloc(1, sizeof(*w));
	assert(w != NULL);
	w->backend = b;
	w->exchange = exchange;
	exchange->state = w;
	copy_header(exchange, "Magnolia-Rank", w->rank, sizeof(w->rank));
	copy_header(
	    exchange, "Magnolia-Deadline-Ms", w->deadline, sizeof(w->deadline));
	add_body(w, exchange->body, exchange->body_bytes);
	if (exchange->more)
		http_exchange_grant(exchange, 1u << 20);
	else
		begin_work(w);
}

static void
on_body(struct http_exchange *exchange, const char *data, size_t size_bytes,
    bool last)
{
	struct work *w = exchange->state;

	add_body(w, data, size_bytes);
	http_exchange_grant(exchange, size_bytes);
	if (last)
		begin_work(w);
}

static void
on_end(struct http_exchange *exchange, bool complete)
{
	struct work *w = exchange->state;

	(void)complete;
	if (w == NULL)
		return;
	if (!w->served && w->counted)
		log_write(LOG_INFO, "fake", "Cancelled %s %s.",
		    exchange->method, exchange->target);
	if (w->counted)
		w->backend->running--;
	loop_timer_clear(w->backend->loop, &w->timer);
	w->exchange = NULL;
	if (!w->nested.active)
		free(w);
}

static const struct httpd_ops httpd_ops = {
    .on_request = on_request,
    .on_body = on_body,
    .on_end = on_end,
};

static void
on_announced(struct httpc_call *call, const struct error *err)
{
	struct backend *b = call->owner;

	b->announcing = false;
	if (err != NULL)
		log_error(LOG_INFO, "fake", "Cannot announce", err);
}

static const struct httpc_ops announce_ops = {
    .on_head = ignore_head,
    .on_body = ignore_body,
    .on_done = on_announced,
};

static void
announce(void *arg)
{
	struct backend *b = arg;
	int64_t now_us = loop_now_us(b->loop);
	char address[ADDRESS_TEXT_BYTES];
	struct error err;

	loop_timer_set(b->loop, &b->announce_timer,
	    now_us + b->settings.lease_ms * US_PER_MS / 4);
	if (b->announcing || b->draining)
		return;
	address_format(&b->bound, address);
	if (b->settings.told[0] != '\0')
		snprintf(address, sizeof(address), "%.*s",
		    (int)sizeof(address) - 1, b->settings.told);
	snprintf(b->announce_url, sizeof(b->announce_url), "http://%s/announce",
	    b->settings.proxy_admin);
	snprintf(b->announce_body, sizeof(b->announce_body),
	    "{\"service\":\"%.40s\",\"address\":\"%s\",\"state\":\"%s\","
	    "\"lease_ms\":%" PRId64 "}",
	    b->settings.service, address,
	    now_us < b->warm_deadline_us ? "cold" : "ready",
	    b->settings.lease_ms);
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

#define S struct settings
#define ROW(path_, kind_, member_, required_, fallback_, help_)              \
	{                                                                    \
		path_, kind_, offsetof(S, member_), required_, 0, INT64_MAX, \
		    fallback_, help_                                         \
	}
static const struct settings_field settings_fields[] = {
    PROGRAM_LOG_FIELDS(S),
    ROW("name", SETTINGS_TEXT, name, true, NULL, "name of this server"),
    ROW("service", SETTINGS_TEXT, service, true, NULL, "service it is of"),
    ROW("listen", SETTINGS_ADDRESS, listen, true, NULL, "HTTP"),
    ROW("told", SETTINGS_ADDRESS, told, false, NULL,
	"address to announce, if another one leads here"),
    ROW("proxy.admin", SETTINGS_TEXT, proxy_admin, false, "\"\"",
	"admin address of the proxy beside; empty: do not announce"),
    ROW("proxy.inner", SETTINGS_TEXT, proxy_inner, false, "\"\"",
	"inner address of the proxy beside, for nested calls"),
    ROW("bound_path", SETTINGS_TEXT, bound_path, false, "\"\"",
	"file that receives the address in use"),
    ROW("lease_ms", SETTINGS_INTEGER, lease_ms, false, "2000",
	"lease of an announcement"),
    ROW("cold_ms", SETTINGS_INTEGER, cold_ms, false, "0",
	"time announced as cold"),
    ROW("service_us", SETTINGS_INTEGER, behaviour.service_us, false, "0",
	"time that a request takes"),
    ROW("slots", SETTINGS_INTEGER, behaviour.slots, false, "20",
	"requests at once"),
};

static void
on_terminate(void *arg)
{
	struct backend *b = arg;

	loop_stop(b->loop);
}

static int
run(struct backend *b)
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
	b->loop = loop_create(&err);
	if (b->loop == NULL ||
	    (b->httpc = httpc_open(b->loop, 100, &err)) == NULL ||
	    (b->httpd = httpd_open(b->loop, &at, &httpd_ops, b, &limits,
		 &b->bound, &err)) == NULL ||
	    program_watch_signals(b->loop, on_terminate, b, &err) != 0) {
		log_error(LOG_ERROR, "fake", "Cannot start", &err);
		goto out;
	}
	address_format(&b->bound, address);
	snprintf(text, sizeof(text), "{\"http\":\"%s\"}\n", address);
	program_write_bound(b->settings.bound_path, text, &err);
	b->warm_deadline_us =
	    loop_now_us(b->loop) + b->settings.cold_ms * US_PER_MS;
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
	static struct backend backend;
	const struct program program = {
	    .name = "fake-backend",
	    .purpose = "Stand-in for a backend server.",
	    .fields = settings_fields,
	    .field_count = sizeof(settings_fields) / sizeof(settings_fields[0]),
	    .settings = &backend.settings,
	    .log = &backend.settings.log,
	};
	int exit_code = program_start(&program, argc, argv);

	if (exit_code >= 0)
		return exit_code;
	backend.keys = calloc(MAX_KEYS, sizeof(*backend.keys));
	assert(backend.keys != NULL);
	program_block_signals();
	apr_initialize();
	exit_code = run(&backend);
	apr_terminate();
	log_close();
	return exit_code;
}
