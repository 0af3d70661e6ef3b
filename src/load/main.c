// Command line of mvload, the load generator.
#include <apr_general.h>
#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/log.h"
#include "io/program.h"
#include "load/load.h"

const char *argp_program_version = "mvload " MV_VERSION;

static const char program_doc[] =
    "Open-loop load generator for magnoliavalve that checks responses.\v"
    "A class is name=N,method=M,path=P,rate=R[,target=MS][,timeout=MS]"
    "[,body=BYTES][,query=Q][,once][,named]. Each request appends a unique "
    "number to the path and expects it in the response. Runs of once requests "
    "are counted by key, those of named requests by request id.\n"
    "\n"
    "Exit codes: 0 no request ran twice, was lost, got a wrong response or was "
    "misreported as not run; 1 one did, or the check failed; 2 usage.";

static const struct argp_option program_options[] = {
    {"target", 't', "IP:port", 0, "Outer address of a proxy; may be repeated",
	0},
    {"backend", 'b', "IP:port", 0,
	"Fake backend server to count runs at; may be repeated", 0},
    {"class", 'c', "CLASS", 0, "Class of requests; may be repeated", 0},
    {"duration", 'd', "SECONDS", 0, "Measured time (default 5)", 0},
    {"warmup", 'w', "SECONDS", 0,
	"Warm-up before the measured time (default 1)", 0},
    {"seed", 's', "N", 0, "Seed of the random arrivals (default 1)", 0},
    {"resend", 'r', "N", 0, "Resends of a key that gets no answer (default 0)",
	0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0},
};

static void
set_class_option(struct argp_state *state, struct load_class *c, char *name,
    const char *value)
{
	if (strcmp(name, "once") == 0) {
		c->once = true;
		return;
	}
	if (strcmp(name, "named") == 0) {
		c->named = true;
		return;
	}
	if (value == NULL) {
		argp_error(state, "class option '%s' needs a value", name);
		return;
	}
	if (strcmp(name, "name") == 0)
		snprintf(c->name, sizeof(c->name), "%s", value);
	else if (strcmp(name, "method") == 0)
		snprintf(c->method, sizeof(c->method), "%s", value);
	else if (strcmp(name, "path") == 0)
		snprintf(c->path, sizeof(c->path), "%s", value);
	else if (strcmp(name, "query") == 0)
		snprintf(c->query, sizeof(c->query), "%s", value);
	else if (strcmp(name, "rate") == 0)
		c->rate_per_s = strtod(value, NULL);
	else if (strcmp(name, "target") == 0)
		c->target_us = (int64_t)(strtod(value, NULL) * 1000);
	else if (strcmp(name, "timeout") == 0)
		c->timeout_us = (int64_t)(strtod(value, NULL) * 1000);
	else if (strcmp(name, "body") == 0)
		c->body_bytes = (uint32_t)strtoul(value, NULL, 10);
	else
		argp_error(state, "unknown class option '%s'", name);
}

static void
add_class(struct argp_state *state, struct load *load, char *text)
{
	struct load_class *c = &load->classes[load->class_count];
	char *save;
	char *option;

	if (load->class_count == LOAD_MAX_CLASSES)
		argp_error(state, "too many classes");
	strcpy(c->method, "GET");
	c->target_us = US_PER_S;
	c->timeout_us = 10 * US_PER_S;
	for (option = strtok_r(text, ",", &save); option != NULL;
	     option = strtok_r(NULL, ",", &save)) {
		char *value = strchr(option, '=');

		if (value != NULL)
			*value++ = '\0';
		set_class_option(state, c, option, value);
	}
	if (c->path[0] == '\0' || c->rate_per_s <= 0)
		argp_error(state, "a class needs path= and rate=");
	load->class_count++;
}

static void
add_address(struct argp_state *state, char (*list)[LOAD_TEXT_BYTES],
    uint32_t *count, const char *text)
{
	if (*count == LOAD_MAX_TARGETS)
		argp_error(state, "too many addresses");
	snprintf(list[(*count)++], LOAD_TEXT_BYTES, "%s", text);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct load *load = state->input;

	switch (key) {
	case 't':
		add_address(state, load->targets, &load->target_count, arg);
		return 0;
	case 'b':
		add_address(state, load->backends, &load->backend_count, arg);
		return 0;
	case 'c':
		add_class(state, load, arg);
		return 0;
	case 'd':
		load->duration_s = strtod(arg, NULL);
		return 0;
	case 'w':
		load->warmup_s = strtod(arg, NULL);
		return 0;
	case 's':
		load->seed = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'r':
		load->resend = (uint32_t)strtoul(arg, NULL, 10);
		return 0;
	case 'j':
		load->json = true;
		return 0;
	case ARGP_KEY_END:
		if (load->target_count == 0 || load->class_count == 0)
			argp_error(state,
			    "at least one --target and one --class are "
			    "required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int
main(int argc, char **argv)
{
	static struct load load;
	struct argp argp = {.options = program_options,
	    .parser = parse_option,
	    .doc = program_doc};
	struct error err;
	bool passed = false;

	load.duration_s = 5;
	load.warmup_s = 1;
	load.seed = 1;
	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &load);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (load_run(&load, &err) == 0 && load_count_runs(&load, &err) == 0)
		passed = load_report(&load, stdout);
	else
		fprintf(stderr, "mvload: %s (%s): %s\n", err.step, err.peer,
		    err.text);
	curl_global_cleanup();
	apr_terminate();
	return passed ? EXIT_OK : EXIT_FAILED;
}
