// Startup and shutdown of a program that runs a replica.
#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/log.h"
#include "io/replica/replica_program.h"

/// Program run by this process, and the settings of its replica.
static const struct replica_program *active_program;
static struct replica_host_settings host_settings;
static bool must_restart;

static int
validate(void)
{
	const struct replica_program_settings *s = active_program->settings;

	memset(&host_settings, 0, sizeof(host_settings));
	memcpy(host_settings.data_path, s->data_path,
	    sizeof(host_settings.data_path));
	snprintf(host_settings.cluster, sizeof(host_settings.cluster),
	    "%s %.200s", active_program->kind, s->cluster);
	host_settings.id = (uint64_t)s->id;
	host_settings.bootstrap = s->bootstrap;
	host_settings.join = s->join;
	host_settings.election_us = s->election_ms * US_PER_MS;
	host_settings.heartbeat_us = s->heartbeat_ms * US_PER_MS;
	if (s->seeds.count == 0)
		return replica_settings_parse(
		    &s->replicas, &host_settings.initial);
	if (active_program->own_address == NULL || s->id != 0 ||
	    s->replicas.count > 0) {
		fprintf(stderr,
		    "settings: seeds: unsupported by this program, or "
		    "combined with id or replicas\n");
		return -1;
	}
	host_settings.self_forming = true;
	host_settings.bootstrap = s->first_start;
	host_settings.target_voters = 2 * (uint32_t)s->tolerated + 1;
	// The number of replicas per data centre or region is not known: with
	// more voters, the loss of one takes a smaller share of them.
	if (s->tolerated_dcs + s->tolerated_regions > 0)
		host_settings.target_voters = REPLICA_MAX_VOTERS;
	snprintf(host_settings.address, sizeof(host_settings.address), "%.31s",
	    active_program->own_address());
	return replica_settings_parse_seeds(
	    &s->seeds, (uint32_t)s->seed_port, &host_settings.initial);
}

static void
on_terminate(void *arg)
{
	log_write(LOG_INFO, active_program->kind, "Stops.");
	loop_stop(arg);
}

static void
on_restart(void *arg)
{
	must_restart = true;
	loop_stop(arg);
}

static void
on_settings(void *arg, const void *settings)
{
	const struct replica_program_settings *s = settings;
	struct replica_config seeds;

	(void)arg;
	if (active_program->set_seeds != NULL && s->seeds.count > 0 &&
	    replica_settings_parse_seeds(
		&s->seeds, (uint32_t)s->seed_port, &seeds) == 0)
		active_program->set_seeds(&seeds);
}

static void
log_started(void)
{
	struct log_line line;

	log_begin(&line, LOG_INFO, active_program->kind, "Started.");
	log_text(&line, "program", active_program->name);
	log_text(&line, "program_version", MV_VERSION);
	log_text(&line, "cluster", host_settings.cluster);
	log_text(&line, "address", host_settings.address);
	log_number(&line, "first_start", host_settings.bootstrap);
	log_number(&line, "target_voters", host_settings.target_voters);
	log_end(&line);
}

static int
run(void)
{
	struct error err;
	struct loop *loop = loop_create("replica", &err);
	int exit_code = EXIT_FAILED;

	host_settings.restart = on_restart;
	host_settings.restart_arg = loop;
	if (loop == NULL ||
	    replica_host_check_bootstrap(&host_settings, &err) != 0 ||
	    active_program->open(loop, &err) != 0 ||
	    active_program->open_replica(loop, &host_settings, &err) != 0 ||
	    program_watch_signals(loop, on_terminate, loop, &err) != 0) {
		log_error(
		    LOG_ERROR, active_program->kind, "Cannot start", &err);
		goto out;
	}
	program_watch_settings(loop, on_settings, NULL);
	log_started();
	loop_run(loop);
	exit_code = must_restart ? EXIT_FAILED : EXIT_OK;
out:
	active_program->close();
	loop_destroy(loop);
	return exit_code;
}

int
replica_program_main(const struct replica_program *p, int argc, char **argv)
{
	const struct program_flag flags[] = {
	    {"bootstrap", "Bootstrap a new cluster; at its first start only",
		&p->settings->bootstrap},
	    {"join", "Start an empty replica that replaces another",
		&p->settings->join},
	};
	const struct program program = {
	    .name = p->name,
	    .purpose = p->purpose,
	    .fields = p->fields,
	    .field_count = p->field_count,
	    .settings = p->settings,
	    .settings_bytes = p->settings_bytes,
	    .log = &p->settings->log,
	    .validate = validate,
	    .flags = flags,
	    .flag_count = 2,
	};
	int exit_code;

	active_program = p;
	exit_code = program_start(&program, argc, argv);
	if (exit_code >= 0)
		return exit_code;
	apr_initialize();
	exit_code = run();
	apr_terminate();
	log_close();
	return exit_code;
}
