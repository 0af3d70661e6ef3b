// mvledger: durable store of idempotency keys and their recorded responses.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/http/counters_http.h"
#include "io/replica/replica_admin.h"
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
    REPLICA_PROGRAM_FIELDS,
    ROW("listen.control", SETTINGS_ADDRESS, listen_control, true, 0, 0, NULL,
	"other replicas and proxies (TCP)"),
    ROW("listen.admin", SETTINGS_ADDRESS, listen_admin, true, 0, 0, NULL,
	"HTTP: counters, and mvctl replace"),
    ROW("bound_path", SETTINGS_TEXT, bound_path, false, 0, 0, "\"\"",
	"file that receives the addresses in use"),
    ROW("retention_ms", SETTINGS_INTEGER, retention_ms, false, 1000, 604800000,
	"600000", "time for which a key and its answer are kept"),
};

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
	else if (!post && strcmp(exchange->target, "/metrics") == 0)
		metrics_respond(exchange);
	else
		http_exchange_respond_text(exchange, 404, "not found\n");
}

const struct httpd_ops ledger_admin_ops = {
    .on_request = on_admin_request,
};

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
		&ledger_stream_ops, ledger, NULL, &ledger->bound, err) != 0)
		return -1;
	ledger->admin = httpd_open(ledger->loop, &admin, &ledger_admin_ops,
	    ledger, &limits, &ledger->bound_admin, err);
	return ledger->admin == NULL ? -1 : 0;
}

static int
write_bound_addresses(const struct ledger *ledger, struct error *err)
{
	char control[ADDRESS_TEXT_BYTES];
	char admin[ADDRESS_TEXT_BYTES];
	char text[200];

	address_format(&ledger->bound, control);
	address_format(&ledger->bound_admin, admin);
	snprintf(text, sizeof(text), "{\"control\":\"%s\",\"admin\":\"%s\"}\n",
	    control, admin);
	return program_write_bound_addresses(
	    ledger->settings.bound_path, text, err);
}

static struct ledger ledger;

static int
open_ledger(struct loop *loop, struct error *err)
{
	ledger.loop = loop;
	once_init(&ledger.once, ledger.settings.retention_ms * US_PER_MS);
	return open_sockets(&ledger, err);
}

static int
open_replica(struct loop *loop, const struct replica_host_settings *host,
    struct error *err)
{
	if (replica_host_open(&ledger.host, loop, host, &ledger_replica_ops,
		&ledger, err) != 0)
		return -1;
	return write_bound_addresses(&ledger, err);
}

static void
close_ledger(void)
{
	httpd_close(ledger.admin);
	listener_close(&ledger.listener);
	replica_host_close(&ledger.host);
	ledger_free_pending(&ledger);
	free(ledger.samples);
	once_free(&ledger.once);
}

int
main(int argc, char **argv)
{
	const struct replica_program program = {
	    .name = "mvledger",
	    .purpose = program_purpose,
	    .kind = "ledger",
	    .fields = settings_fields,
	    .field_count = sizeof(settings_fields) / sizeof(settings_fields[0]),
	    .settings = &ledger.settings.replica,
	    .settings_bytes = sizeof(ledger.settings),
	    .open = open_ledger,
	    .open_replica = open_replica,
	    .close = close_ledger,
	};

	return replica_program_main(&program, argc, argv);
}
