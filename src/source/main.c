// Settings, sockets and start of mvsource.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "source/rollout_run.h"

#define MAX_CONNECTIONS	   256
#define IDLE_TIMEOUT_S	   30
#define EXPIRE_INTERVAL_US (1 * US_PER_S)
#define PERMILLE	   1000

static const char program_purpose[] =
    "Replica of the source: accepts rule files from operators, stores them "
    "durably on a quorum of replicas and publishes them to the proxies.";

#define S struct source_settings
#define ROW(path_, kind_, member_, required_, min_, max_, fallback_, help_) \
	{                                                                   \
		path_, kind_, offsetof(S, member_), required_, min_, max_,  \
		    fallback_, help_                                        \
	}

static const struct settings_field source_fields[] = {
    REPLICA_PROGRAM_FIELDS,
    ROW("dialect", SETTINGS_TEXT, dialect_name, false, 0, 0, "\"own\"",
	"dialect of operator calls and rule files"),
    ROW("region", SETTINGS_TEXT, region, true, 0, 0, NULL, "region of this VM"),
    ROW("dc", SETTINGS_TEXT, dc, true, 0, 0, NULL, "data centre of this VM"),
    ROW("host", SETTINGS_TEXT, host, true, 0, 0, NULL,
	"IP address at which other processes reach it"),
    ROW("listen.control", SETTINGS_ADDRESS, listen_control, true, 0, 0, NULL,
	"replication and pulls (TCP), reports (UDP)"),
    ROW("listen.operators", SETTINGS_ADDRESS, listen_operators, true, 0, 0,
	NULL, "HTTP: mvctl and counters"),
    ROW("bound_path", SETTINGS_TEXT, bound_path, false, 0, 0, "\"\"",
	"file that receives the addresses in use"),
    ROW("stale_ms", SETTINGS_INTEGER, stale_ms, false, 500, 3600000, "16000",
	"time without a report after which a proxy counts as not in force"),
    ROW("forget_ms", SETTINGS_INTEGER, forget_ms, false, 1000, 604800000,
	"86400000", "time without a report after which a proxy is dropped"),
    ROW("pulls_per_s", SETTINGS_INTEGER, pulls_per_s, false, 1, 100000, "100",
	"pulls answered per second; excess pulls get a retry time"),
    ROW("compact_every", SETTINGS_INTEGER, compact_every, false, 1, 1000000,
	"200", "entries of the log between snapshots"),
    ROW("rollout.exposure_share", SETTINGS_NUMBER, exposure_share, false, 0, 1,
	"0.1",
	"part of a service's requests during a roll-out that a bad version may "
	"get"),
    ROW("quota.window_s", SETTINGS_NUMBER, quota_window_s, false, 0, 3600, "5",
	"time over which the use of a workspace is bounded"),
    ROW("quota.overage", SETTINGS_NUMBER, quota_overage, false, 0, 10, "0.1",
	"part of its limit by which a workspace may exceed it in a window"),
    ROW("quota.slack", SETTINGS_INTEGER, quota_slack, false, 0, 1000000, "20",
	"requests by which a workspace may exceed that in a window"),
};

static void
expire_reports(void *arg)
{
	struct source *source = arg;
	int64_t now_us = loop_now_us(source->loop);

	report_table_expire(&source->reports, now_us);
	quota_follow(source);
	loop_timer_set(
	    source->loop, &source->expire_timer, now_us + EXPIRE_INTERVAL_US);
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
		&source_stream_ops, source, NULL, &source->bound_control,
		err) != 0 ||
	    datagram_open(&source->udp, source->loop, &source->bound_control,
		source, rollout_run_receive_datagram, &udp_bound, err) != 0)
		return -1;
	source->httpd = httpd_open(source->loop, &operators, &source_httpd_ops,
	    source, &limits, &source->bound_operators, err);
	return source->httpd == NULL ? -1 : 0;
}

static int
write_bound_addresses(const struct source *source, struct error *err)
{
	char control[ADDRESS_TEXT_BYTES];
	char operators[ADDRESS_TEXT_BYTES];
	char text[160];

	address_format(&source->bound_control, control);
	address_format(&source->bound_operators, operators);
	snprintf(text, sizeof(text),
	    "{\"control\":\"%s\",\"operators\":\"%s\"}\n", control, operators);
	return program_write_bound_addresses(
	    source->settings.bound_path, text, err);
}

static struct source source;

static const char *
own_address(void)
{
	return source.settings.listen_control;
}

static void
set_seeds(const struct replica_config *seeds)
{
	replica_host_set_seeds(&source.host, seeds);
}

static int
open_source(struct loop *loop, struct error *err)
{
	source.dialect = dialect_find(source.settings.dialect_name);
	if (source.dialect == NULL)
		return error_set(err, ERR_INVALID, "find dialect",
		    source.settings.dialect_name, "no dialect has this name");
	source.loop = loop;
	source.random.seed = (uint64_t)clock_wall_us();
	quota_ledger_init(&source.quotas,
	    &(struct quota_bounds){
		(int64_t)(source.settings.quota_window_s * US_PER_S),
		(uint32_t)(source.settings.quota_overage * PERMILLE),
		(uint32_t)source.settings.quota_slack});
	source.reports.stale_us = source.settings.stale_ms * US_PER_MS;
	source.reports.forget_us = source.settings.forget_ms * US_PER_MS;
	return open_sockets(&source, err);
}

static int
open_replica(struct loop *loop, const struct replica_host_settings *host,
    struct error *err)
{
	if (replica_host_open(&source.host, loop, host, &source_replica_ops,
		&source, err) != 0)
		return -1;
	source.started_us = loop_now_us(loop);
	source.expire_timer.fn = expire_reports;
	source.expire_timer.arg = &source;
	expire_reports(&source);
	rollout_run_start(&source);
	return write_bound_addresses(&source, err);
}

static void
close_source(void)
{
	httpd_close(source.httpd);
	listener_close(&source.listener);
	datagram_close(&source.udp);
	operator_cancel_forwards(&source);
	rollout_run_stop(&source);
	replica_host_close(&source.host);
	rule_store_free(&source.store);
	quota_ledger_free(&source.quotas);
	report_table_free(&source.reports);
}

int
main(int argc, char **argv)
{
	const struct replica_program program = {
	    .name = "mvsource",
	    .purpose = program_purpose,
	    .kind = "source",
	    .fields = source_fields,
	    .field_count = sizeof(source_fields) / sizeof(source_fields[0]),
	    .settings = &source.settings.replica,
	    .settings_bytes = sizeof(source.settings),
	    .own_address = own_address,
	    .set_seeds = set_seeds,
	    .open = open_source,
	    .open_replica = open_replica,
	    .close = close_source,
	};

	return replica_program_main(&program, argc, argv);
}
