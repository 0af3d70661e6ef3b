// Start and end of a program that runs a replica.
#include <apr_general.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/log.h"
#include "io/replica/replica_program.h"

/// The program of this process, and the settings of its replica.
static const struct replica_program *running;
static struct replica_host_settings host;
static bool must_restart;

static int
validate(void)
{
	const struct replica_program_settings *s = running->settings;

	memset(&host, 0, sizeof(host));
	memcpy(host.data_path, s->data_path, sizeof(host.data_path));
	snprintf(host.cluster, sizeof(host.cluster), "%s %.200s", running->kind,
	    s->cluster);
	host.id = (uint64_t)s->id;
	host.bootstrap = s->bootstrap;
	host.join = s->join;
	host.election_us = s->election_ms * US_PER_MS;
	host.heartbeat_us = s->heartbeat_ms * US_PER_MS;
	if (s->seeds.count == 0)
		return replica_settings_parse(&s->replicas, &host.initial);
	if (running->own_address == NULL || s->id != 0 ||
	    s->replicas.count > 0) {
		fprintf(stderr,
		    "settings: seeds: stand alone, without id and replicas\n");
		return -1;
	}
	host.forms = true;
	host.bootstrap = s->first_start;
	host.target_voters = 2 * (uint32_t)s->tolerated + 1;
	// How many replicas a place holds is not known: the more voters, the
	// smaller the part of them that goes with it.
	if (s->tolerated_dcs + s->tolerated_regions > 0)
		host.target_voters = REPLICA_MAX_VOTERS;
	snprintf(host.address, sizeof(host.address), "%.31s",
	    running->own_address());
	return replica_settings_parse_seeds(
	    &s->seeds, (uint32_t)s->seed_port, &host.initial);
}

static void
on_terminate(void *arg)
{
	log_write(LOG_INFO, running->kind, "Stops.");
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
	if (running->set_seeds != NULL && s->seeds.count > 0 &&
	    replica_settings_parse_seeds(
		&s->seeds, (uint32_t)s->seed_port, &seeds) == 0)
		running->set_seeds(&seeds);
}

static void
log_started(void)
{
	struct log_line line;

	log_begin(&line, LOG_INFO, running->kind, "Started.");
	log_text(&line, "program", running->name);
	log_text(&line, "program_version", MV_VERSION);
	log_text(&line, "cluster", host.cluster);
	log_text(&line, "address", host.address);
	log_number(&line, "first_start", host.bootstrap);
	log_number(&line, "target_voters", host.target_voters);
	log_end(&line);
}

static int
run(void)
{
	struct error err;
	struct loop *loop = loop_create(&err);
	int exit_code = EXIT_FAILED;

	host.restart = on_restart;
	host.restart_arg = loop;
	if (loop == NULL || replica_host_check_bootstrap(&host, &err) != 0 ||
	    running->open(loop, &err) != 0 ||
	    running->open_replica(loop, &host, &err) != 0 ||
	    program_watch_signals(loop, on_terminate, loop, &err) != 0) {
		log_error(LOG_ERROR, running->kind, "Cannot start", &err);
		goto out;
	}
	program_watch_settings(loop, on_settings, NULL);
	log_started();
	loop_run(loop);
	exit_code = must_restart ? EXIT_FAILED : EXIT_OK;
out:
	running->close();
	loop_destroy(loop);
	return exit_code;
}

int
replica_program_main(const struct replica_program *p, int argc, char **argv)
{
	const struct program_flag flags[] = {
	    {"bootstrap", "Begin a new cluster; once in its life",
		&p->settings->bootstrap},
	    {"join", "Begin an empty replica that replaces another",
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

	running = p;
	exit_code = program_start(&program, argc, argv);
	if (exit_code >= 0)
		return exit_code;
	apr_initialize();
	exit_code = run();
	apr_terminate();
	log_close();
	return exit_code;
}
