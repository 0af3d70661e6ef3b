// mvledger: durable record of idempotency keys and their answers.
#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/counters_http.h"
#include "io/log.h"
#include "io/replica_admin.h"
#include "ledger/ledger.h"

static const char program_purpose[] =
    "Replica of the ledger: claims idempotency keys before their requests "
    "run and keeps the answers, durable on a quorum of replicas.";

#define S struct ledger_settings
#define ROW(path_, kind_, member_, required_, min_, max_, fallback_, help_) \
	{                                                                   \
		path_, kind_, offsetof(S, member_), required_, min_, max_,  \
		    fallback_, help_                                        \
	}

static const struct settings_field settings_fields[] = {
    PROGRAM_LOG_FIELDS(S),
    ROW("listen.control", SETTINGS_ADDRESS, listen_control, true, 0, 0, NULL,
	"other replicas and proxies (TCP)"),
    ROW("listen.admin", SETTINGS_ADDRESS, listen_admin, true, 0, 0, NULL,
	"HTTP: counters, and mvctl replace"),
    ROW("bound_path", SETTINGS_TEXT, bound_path, false, 0, 0, "\"\"",
	"file that receives the addresses in use"),
    ROW("data_path", SETTINGS_TEXT, data_path, true, 0, 0, NULL,
	"data folder, on a disk of its own use"),
    ROW("cluster", SETTINGS_TEXT, cluster, true, 0, 0, NULL,
	"name of the cluster, the same at all replicas"),
    ROW("id", SETTINGS_INTEGER, id, true, 1, INT32_MAX, NULL,
	"id of this replica, never used before"),
    ROW("replicas", SETTINGS_LIST, replicas, true, 0, 0, NULL,
	"ID=IP:port of each replica's control address"),
    ROW("election_ms", SETTINGS_INTEGER, election_ms, false, 50, 60000, "1000",
	"least time without a leader before an election"),
    ROW("heartbeat_ms", SETTINGS_INTEGER, heartbeat_ms, false, 10, 10000, "150",
	"time between heartbeats of the leader"),
    ROW("retention_ms", SETTINGS_INTEGER, retention_ms, false, 1000, 604800000,
	"600000", "time for which a key and its answer are kept"),
};
#define FIELD_COUNT (sizeof(settings_fields) / sizeof(settings_fields[0]))

static void
handle_replace(struct ledger *ledger, struct http_exchange *exchange)
{
	char text[REPLICA_ADMIN_TEXT_BYTES];
	uint32_t status = replica_admin_replace(
	    &ledger->host, exchange->body, exchange->body_bytes, text);

	http_exchange_respond_text(exchange, status, text);
}

static void
on_admin_request(void *owner, struct http_exchange *exchange)
{
	bool post = strcmp(exchange->method, "POST") == 0;

	if (post && strcmp(exchange->target, "/replicas") == 0)
		handle_replace(owner, exchange);
	else if (!post && strcmp(exchange->target, "/counters") == 0)
		counters_respond(exchange);
	else
		http_exchange_respond_text(exchange, 404, "not found\n");
}

static void
on_admin_end(struct http_exchange *exchange, bool complete)
{
	(void)exchange;
	(void)complete;
}

const struct httpd_ops ledger_admin_ops = {
    .on_request = on_admin_request,
    .on_end = on_admin_end,
};

static void
on_accept(void *owner, struct stream *stream)
{
	(void)owner;
	(void)stream;
}

static int
open_sockets(struct ledger *ledger, struct error *err)
{
	const struct ledger_settings *s = &ledger->settings;
	struct httpd_limits limits = {.max_body_bytes = 1024,
	    .max_connections = 64,
	    .idle_timeout_s = 30};
	struct address control;
	struct address admin;

	address_parse(s->listen_control, &control);
	address_parse(s->listen_admin, &admin);
	if (listener_open(&ledger->listener, ledger->loop, &control,
		&ledger_stream_ops, ledger, on_accept, &ledger->bound,
		err) != 0)
		return -1;
	ledger->admin = httpd_open(ledger->loop, &admin, &ledger_admin_ops,
	    ledger, &limits, &ledger->bound_admin, err);
	return ledger->admin == NULL ? -1 : 0;
}

static int
write_bound(const struct ledger *ledger, struct error *err)
{
	char control[ADDRESS_TEXT_BYTES];
	char admin[ADDRESS_TEXT_BYTES];
	char text[200];

	address_format(&ledger->bound, control);
	address_format(&ledger->bound_admin, admin);
	snprintf(text, sizeof(text), "{\"control\":\"%s\",\"admin\":\"%s\"}\n",
	    control, admin);
	return program_write_bound(ledger->settings.bound_path, text, err);
}

static void
fill_host_settings(
    const struct ledger_settings *s, struct replica_host_settings *out)
{
	memset(out, 0, sizeof(*out));
	memcpy(out->data_path, s->data_path, sizeof(out->data_path));
	snprintf(
	    out->cluster, sizeof(out->cluster), "ledger %.200s", s->cluster);
	out->id = (uint64_t)s->id;
	out->bootstrap = s->bootstrap;
	out->join = s->join;
	out->election_us = s->election_ms * US_PER_MS;
	out->heartbeat_us = s->heartbeat_ms * US_PER_MS;
}

static void
on_terminate(void *arg)
{
	struct ledger *ledger = arg;

	log_write(LOG_INFO, "ledger", "Stops.");
	loop_stop(ledger->loop);
}

static int
run(struct ledger *ledger, const struct replica_host_settings *host)
{
	struct error err;
	int exit_code = EXIT_FAILED;

	ledger->loop = loop_create(&err);
	once_init(&ledger->once, ledger->settings.retention_ms * US_PER_MS);
	if (ledger->loop == NULL ||
	    replica_host_check_bootstrap(host, &err) != 0 ||
	    open_sockets(ledger, &err) != 0 ||
	    replica_host_open(&ledger->host, ledger->loop, host,
		&ledger_replica_ops, ledger, &err) != 0 ||
	    program_watch_signals(ledger->loop, on_terminate, ledger, &err) !=
		0 ||
	    write_bound(ledger, &err) != 0) {
		log_error(LOG_ERROR, "ledger", "Cannot start", &err);
		goto out;
	}
	log_write(LOG_INFO, "ledger", "Started replica %" PRIu64 ".", host->id);
	loop_run(ledger->loop);
	exit_code = EXIT_OK;
out:
	httpd_close(ledger->admin);
	listener_close(&ledger->listener);
	replica_host_close(&ledger->host);
	ledger_free_pending(ledger);
	free(ledger->marks);
	once_free(&ledger->once);
	loop_destroy(ledger->loop);
	return exit_code;
}

static struct ledger ledger;
static struct replica_host_settings host;

static int
validate(void)
{
	fill_host_settings(&ledger.settings, &host);
	return replica_settings_parse(&ledger.settings.replicas, &host.initial);
}

int
main(int argc, char **argv)
{
	const struct program_flag flags[] = {
	    {"bootstrap", "Begin a new cluster; once in its life",
		&ledger.settings.bootstrap},
	    {"join", "Begin an empty replica that replaces another",
		&ledger.settings.join},
	};
	const struct program program = {
	    .name = "mvledger",
	    .purpose = program_purpose,
	    .fields = settings_fields,
	    .field_count = FIELD_COUNT,
	    .settings = &ledger.settings,
	    .log = &ledger.settings.log,
	    .validate = validate,
	    .flags = flags,
	    .flag_count = 2,
	};
	int exit_code = program_start(&program, argc, argv);

	if (exit_code >= 0)
		return exit_code;
	program_block_signals();
	apr_initialize();
	exit_code = run(&ledger, &host);
	apr_terminate();
	log_flush();
	return exit_code;
}
