// mvproxy: the proxy on the VM of each backend server.
#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "io/log/log.h"
#include "proxy/settings.h"

static const char program_purpose[] =
    "Proxy on the VM of a backend server: routes callers' requests by the "
    "rules in force, and admits requests to its backend server by rank.";

static struct proxy_settings settings;
static struct control control;
static struct traffic_settings traffic;

static int
write_bound_addresses(struct error *err)
{
	char outer[ADDRESS_TEXT_BYTES];
	char inner[ADDRESS_TEXT_BYTES];
	char peer[ADDRESS_TEXT_BYTES];
	char ctl[ADDRESS_TEXT_BYTES];
	char admin[ADDRESS_TEXT_BYTES];
	char text[512];

	address_format(&control.bound_traffic.outer, outer);
	address_format(&control.bound_traffic.inner, inner);
	address_format(&control.bound_traffic.peer, peer);
	address_format(&control.bound_control, ctl);
	address_format(&control.bound_admin, admin);
	snprintf(text, sizeof(text),
	    "{\"outer\":\"%s\",\"inner\":\"%s\",\"peer\":\"%s\","
	    "\"control\":\"%s\",\"admin\":\"%s\"}\n",
	    outer, inner, peer, ctl, admin);
	return program_write_bound_addresses(settings.bound_path, text, err);
}

static void
on_terminate(void *arg)
{
	control_leave(arg);
}

static void
on_settings(void *arg, const void *reloaded)
{
	struct control *c = arg;

	proxy_settings_resolve_sources(reloaded, &c->settings);
	if (proxy_settings_resolve_backend(reloaded, &c->settings) == 0)
		announce_settings_changed(c);
}

static void
log_started(void)
{
	const struct control_settings *s = &control.settings;
	struct log_line line;

	log_begin(&line, LOG_INFO, "proxy", "Started.");
	log_text(&line, "program", "mvproxy " MV_VERSION);
	log_text(&line, "name", s->self.name);
	log_text(&line, "region", s->self.region);
	log_text(&line, "dc", s->self.dc);
	log_number(&line, "incarnation", (int64_t)s->self.incarnation);
	log_text(&line, "dialect", s->dialect->name);
	log_ms(&line, "lease_ms", s->lease_us);
	log_ms(&line, "drain_announce_ms", s->drain_announce_us);
	log_ms(&line, "drain_limit_ms", s->drain_limit_us);
	log_number(&line, "retry_ratio_pct", traffic.ingress.retry_ratio_pct);
	log_number(&line, "memory_bytes", traffic.memory_bytes);
	log_number(&line, "retry_burst", traffic.ingress.retry_burst);
	log_end(&line);
	if (traffic.ingress.max_connections < settings.max_connections)
		log_write(LOG_WARN, "proxy",
		    "Each listener takes %" PRId64 " connections: "
		    "limits.connections is more than half of the descriptors.",
		    traffic.ingress.max_connections);
}

static int
run(void)
{
	struct error err;
	int exit_code = EXIT_FAILED;

	control.traffic =
	    traffic_create(&traffic, &control.bound_traffic, &err);
	if (control.traffic == NULL || control_open(&control, &err) != 0 ||
	    program_watch_signals(control.loop, on_terminate, &control, &err) !=
		0 ||
	    traffic_start(control.traffic, &err) != 0 ||
	    write_bound_addresses(&err) != 0) {
		log_error(LOG_ERROR, "proxy", "Cannot start", &err);
		goto out;
	}
	program_watch_settings(control.loop, on_settings, &control);
	log_started();
	control_run(&control);
	exit_code = EXIT_OK;
out:
	traffic_stop(control.traffic);
	control_close(&control);
	return exit_code;
}

static int
validate(void)
{
	return proxy_settings_resolve(&settings, &control.settings, &traffic);
}

int
main(int argc, char **argv)
{
	const struct program program = {
	    .name = "mvproxy",
	    .purpose = program_purpose,
	    .fields = proxy_fields,
	    .field_count = proxy_field_count,
	    .settings = &settings,
	    .settings_bytes = sizeof(settings),
	    .log = &settings.log,
	    .validate = validate,
	};
	int exit_code = program_start(&program, argc, argv);

	if (exit_code >= 0)
		return exit_code;
	apr_initialize();
	exit_code = run();
	apr_terminate();
	log_close();
	return exit_code;
}
