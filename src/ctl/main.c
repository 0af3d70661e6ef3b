// Command line of mvctl.
#include <argp.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

#define DEFAULT_WAIT_S	 30
#define MAX_WAIT_S	 86400
#define SOURCES_VARIABLE "MAGNOLIA_SOURCES"

#define KEY_ADD	    1000
#define KEY_REMOVE  1001
#define KEY_JSON    1002
#define KEY_TIMEOUT 1003
#define KEY_WITHIN  1004

const char *argp_program_version = "mvctl " MV_VERSION;

static const char program_doc[] =
    "Command line tool for operators of magnoliavalve.\v"
    "Commands:\n"
    "  check FILE     check a rule file; contacts no source\n"
    "  apply FILE     submit a rule file\n"
    "  status         show the accepted version and where it is in force\n"
    "  workspaces     show the limits of workspaces and their use\n"
    "  show           print the accepted rule file\n"
    "  diff FILE      compare a rule file with the accepted one\n"
    "  forget NAME    drop a decommissioned proxy from the status\n"
    "  rollout start SERVICE VERSION --within TIME\n"
    "                 move a service to servers of another version\n"
    "  rollout status [SERVICE]\n"
    "                 show roll-outs, how far they are and why\n"
    "  replace        replace a replica: --remove ID --add ID=IP:port\n"
    "  trace ID FILE...\n"
    "                 trace a request through JSON logs; contacts no "
    "source\n"
    "  report IP:port...\n"
    "                 counters and latencies read from admin addresses; "
    "contacts no source\n"
    "\n"
    "Sources are given by --source or by " SOURCES_VARIABLE
    ", as IP:port,IP:port.\n"
    "\n"
    "Exit codes: 0 done; 1 rejected; 2 usage; 3 no source reached a quorum, "
    "retry; 4 another file or version is accepted; 5 not in force when --wait "
    "timed out.";

struct command {
	const char *name;
	uint32_t arg_count;
	bool accepts_more_args; ///< arg_count is the minimum.
	int (*fn)(struct ctl *ctl);
};

static const struct command commands[] = {
    {"check", 1, false, ctl_check},
    {"apply", 1, false, ctl_apply},
    {"status", 0, false, ctl_status},
    {"workspaces", 0, false, ctl_workspaces},
    {"show", 0, false, ctl_show},
    {"diff", 1, false, ctl_diff},
    {"forget", 1, false, ctl_forget},
    {"replace", 0, false, ctl_replace},
    {"trace", 2, true, ctl_trace},
    {"report", 1, true, ctl_report},
    {"rollout", 1, true, ctl_rollout},
};

static void
add_sources(struct ctl *ctl, const char *list)
{
	while (*list != '\0' && ctl->source_count < CTL_MAX_SOURCES) {
		size_t n = strcspn(list, ",");

		if (n > 0)
			snprintf(ctl->sources[ctl->source_count++],
			    sizeof(ctl->sources[0]), "%.*s", (int)n, list);
		list += n + (list[n] == ',');
	}
}

static void
parse_add(struct argp_state *state, struct ctl *ctl, const char *arg)
{
	char *end;

	ctl->add_id = strtoull(arg, &end, 10);
	if (ctl->add_id == 0 || *end != '=' || end[1] == '\0')
		argp_error(state, "--add must be ID=IP:port");
	snprintf(ctl->add_address, sizeof(ctl->add_address), "%s", end + 1);
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct ctl *ctl = state->input;
	char *end;

	switch (key) {
	case 's':
		add_sources(ctl, arg);
		return 0;
	case 'w':
		ctl->wait = true;
		return 0;
	case KEY_TIMEOUT:
		ctl->wait_s = strtoll(arg, &end, 10);
		if (*end != '\0' || ctl->wait_s < 0 || ctl->wait_s > MAX_WAIT_S)
			argp_error(state, "--timeout must be whole seconds");
		return 0;
	case KEY_WITHIN:
		ctl->within = arg;
		return 0;
	case KEY_JSON:
		ctl->json = true;
		return 0;
	case KEY_ADD:
		parse_add(state, ctl, arg);
		return 0;
	case KEY_REMOVE:
		ctl->remove_id = strtoull(arg, &end, 10);
		if (*end != '\0' || ctl->remove_id == 0)
			argp_error(state, "--remove must be a replica id");
		return 0;
	case ARGP_KEY_ARG:
		if (ctl->command == NULL)
			ctl->command = arg;
		else if (ctl->arg_count < CTL_MAX_ARGS)
			ctl->args[ctl->arg_count++] = arg;
		else
			argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (ctl->command == NULL)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option program_options[] = {
    {"source", 's', "IP:port[,...]", 0, "Operator addresses of sources", 0},
    {"wait", 'w', NULL, 0, "Wait until in force at all proxies", 0},
    {"timeout", KEY_TIMEOUT, "SECONDS", 0, "Timeout of --wait (default 30)", 0},
    {"json", KEY_JSON, NULL, 0, "Print JSON", 0},
    {"within", KEY_WITHIN, "TIME", 0, "Time for a roll-out, such as 15m", 0},
    {"remove", KEY_REMOVE, "ID", 0, "Replica to remove", 0},
    {"add", KEY_ADD, "ID=IP:port", 0, "Replica to add", 0},
    {0},
};

static int
run_command(struct ctl *ctl)
{
	size_t i;

	for (i = 0; i < sizeof(commands) / sizeof(commands[0]); i++) {
		if (strcmp(commands[i].name, ctl->command) != 0)
			continue;
		if (ctl->arg_count < commands[i].arg_count ||
		    (ctl->arg_count > commands[i].arg_count &&
			!commands[i].accepts_more_args)) {
			fprintf(stderr, "mvctl: %s takes %u argument%s\n",
			    ctl->command, commands[i].arg_count,
			    commands[i].arg_count == 1 ? "" : "s");
			return CTL_USAGE;
		}
		return commands[i].fn(ctl);
	}
	fprintf(stderr, "mvctl: unknown command '%s'\n", ctl->command);
	return CTL_USAGE;
}

int
main(int argc, char **argv)
{
	struct argp argp = {.options = program_options,
	    .parser = parse_option,
	    .args_doc = "COMMAND [ARG]",
	    .doc = program_doc};
	struct ctl ctl = {.wait_s = DEFAULT_WAIT_S, .within = ""};
	const char *sources_value = getenv(SOURCES_VARIABLE);
	int exit_code;

	argp_err_exit_status = CTL_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &ctl);
	if (ctl.source_count == 0 && sources_value != NULL)
		add_sources(&ctl, sources_value);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	exit_code = run_command(&ctl);
	curl_global_cleanup();
	return exit_code;
}
