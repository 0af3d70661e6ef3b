// mvsource: accepts rule files, replicates and publishes them.
#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log.h"
#include "source/source.h"

#define MAX_CONNECTIONS 256
#define IDLE_TIMEOUT_S	30
#define EXPIRE_US	(1 * US_PER_S)

static const char program_purpose[] =
    "Replica of the source: accepts rule files from operators, keeps them "
    "durable on a quorum of replicas, and publishes them to the proxies.";

#define S struct source_settings
#define ROW(path_, kind_, member_, required_, min_, max_, fallback_, help_) \
	{                                                                   \
		path_, kind_, offsetof(S, member_), required_, min_, max_,  \
		    fallback_, help_                                        \
	}

const struct settings_field source_fields[] = {
    PROGRAM_LOG_FIELDS(S),
    ROW("region", SETTINGS_TEXT, region, true, 0, 0, NULL, "region of this VM"),
    ROW("dc", SETTINGS_TEXT, dc, true, 0, 0, NULL, "data centre of this VM"),
    ROW("host", SETTINGS_TEXT, host, true, 0, 0, NULL,
	"IP number that others reach it by"),
    ROW("listen.control", SETTINGS_ADDRESS, listen_control, true, 0, 0, NULL,
	"replicas and pulls (TCP), reports (UDP)"),
    ROW("listen.operators", SETTINGS_ADDRESS, listen_operators, true, 0, 0,
	NULL, "HTTP for mvctl, counters"),
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
    ROW("stale_ms", SETTINGS_INTEGER, stale_ms, false, 500, 3600000, "16000",
	"silence after which a proxy counts as not in force"),
    ROW("forget_ms", SETTINGS_INTEGER, forget_ms, false, 1000, 604800000,
	"86400000", "silence after which a proxy is dropped"),
    ROW("pulls_per_s", SETTINGS_INTEGER, pulls_per_s, false, 1, 100000, "100",
	"pulls answered in a second; others are told to wait"),
    ROW("compact_every", SETTINGS_INTEGER, compact_every, false, 1, 1000000,
	"200", "versions between snapshots"),
};
const size_t source_field_count =
    sizeof(source_fields) / sizeof(source_fields[0]);

static void
expire(void *arg)
{
	struct source *source = arg;
	int64_t now_us = loop_now_us(source->loop);

	report_table_expire(&source->reports, now_us);
	loop_timer_set(source->loop, &source->expire_timer, now_us + EXPIRE_US);
}

static void
on_accept(void *owner, struct stream *stream)
{
	(void)owner;
	(void)stream;
}

static int
open_sockets(struct source *source, struct error *err)
{
	const struct source_settings *s = &source->settings;
	struct httpd_limits limits = {
	    .max_body_bytes = RULES_MAX_BYTES + 1,
	    .max_connections = MAX_CONNECTIONS,
	    .idle_timeout_s = IDLE_TIMEOUT_S,
	};
	struct address control;
	struct address operators;
	struct address udp_bound;

	address_parse(s->listen_control, &control);
	address_parse(s->listen_operators, &operators);
	if (listener_open(&source->listener, source->loop, &control,
		&source_stream_ops, source, on_accept, &source->bound_control,
		err) != 0 ||
	    datagram_open(&source->udp, source->loop, &source->bound_control,
		source, publish_on_datagram, &udp_bound, err) != 0)
		return -1;
	source->httpd = httpd_open(source->loop, &operators, &source_httpd_ops,
	    source, &limits, &source->bound_operators, err);
	return source->httpd == NULL ? -1 : 0;
}

static int
write_bound(const struct source *source, struct error *err)
{
	char control[ADDRESS_TEXT_BYTES];
	char operators[ADDRESS_TEXT_BYTES];
	char text[160];

	address_format(&source->bound_control, control);
	address_format(&source->bound_operators, operators);
	snprintf(text, sizeof(text),
	    "{\"control\":\"%s\",\"operators\":\"%s\"}\n", control, operators);
	return program_write_bound(source->settings.bound_path, text, err);
}

static void
fill_host_settings(
    const struct source_settings *s, struct replica_host_settings *out)
{
	memset(out, 0, sizeof(*out));
	memcpy(out->data_path, s->data_path, sizeof(out->data_path));
	snprintf(
	    out->cluster, sizeof(out->cluster), "source %.200s", s->cluster);
	out->id = (uint64_t)s->id;
	out->bootstrap = s->bootstrap;
	out->join = s->join;
	out->election_us = s->election_ms * US_PER_MS;
	out->heartbeat_us = s->heartbeat_ms * US_PER_MS;
}

static void
on_terminate(void *arg)
{
	struct source *source = arg;

	log_write(LOG_INFO, "source", "Stops.");
	loop_stop(source->loop);
}

static int
run(struct source *source, struct replica_host_settings *host)
{
	struct error err;
	int exit_code = EXIT_FAILED;

	source->loop = loop_create(&err);
	if (source->loop == NULL ||
	    replica_host_check_bootstrap(host, &err) != 0 ||
	    open_sockets(source, &err) != 0 ||
	    replica_host_open(&source->host, source->loop, host,
		&source_replica_ops, source, &err) != 0 ||
	    program_watch_signals(source->loop, on_terminate, source, &err) !=
		0 ||
	    write_bound(source, &err) != 0) {
		log_error(LOG_ERROR, "source", "Cannot start", &err);
		goto out;
	}
	source->started_us = loop_now_us(source->loop);
	source->expire_timer.fn = expire;
	source->expire_timer.arg = source;
	expire(source);
	log_write(LOG_INFO, "source", "Started replica %" PRIu64 ".", host->id);
	loop_run(source->loop);
	exit_code = EXIT_OK;
out:
	httpd_close(source->httpd);
	listener_close(&source->listener);
	datagram_close(&source->udp);
	replica_host_close(&source->host);
	rule_store_free(&source->store);
	report_table_free(&source->reports);
	loop_destroy(source->loop);
	return exit_code;
}

static struct source source;
static struct replica_host_settings host;

static int
validate(void)
{
	fill_host_settings(&source.settings, &host);
	return replica_settings_parse(&source.settings.replicas, &host.initial);
}

int
main(int argc, char **argv)
{
	const struct program_flag flags[] = {
	    {"bootstrap", "Begin a new cluster; once in its life",
		&source.settings.bootstrap},
	    {"join", "Begin an empty replica that replaces another",
		&source.settings.join},
	};
	const struct program program = {
	    .name = "mvsource",
	    .purpose = program_purpose,
	    .fields = source_fields,
	    .field_count = source_field_count,
	    .settings = &source.settings,
	    .log = &source.settings.log,
	    .validate = validate,
	    .flags = flags,
	    .flag_count = 2,
	};
	int exit_code = program_start(&program, argc, argv);

	if (exit_code >= 0)
		return exit_code;
	source.reports.stale_us = source.settings.stale_ms * US_PER_MS;
	source.reports.forget_us = source.settings.forget_ms * US_PER_MS;
	program_block_signals();
	apr_initialize();
	exit_code = run(&source, &host);
	apr_terminate();
	log_flush();
	return exit_code;
}
