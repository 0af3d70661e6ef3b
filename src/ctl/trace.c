// mvctl trace: merges the log lines of one request from several processes.
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl/ctl.h"
#include "io/clock.h"

#define MAX_LINES     2000
#define MAX_PROCESSES 64
#define NAME_BYTES    64

/// A log line about the request or about a call made on its behalf.
struct trace_line {
	int64_t time_us; ///< Clock of its process; print_trace() corrects it.
	uint32_t process;
	json_t *fields;
};

/// A process and how far its clock is ahead of that of the first ingress.
struct trace_process {
	char name[NAME_BYTES];
	bool has_offset;
	int64_t offset_us;
};

struct trace {
	const char *id;
	struct trace_process processes[MAX_PROCESSES];
	uint32_t process_count;
	struct trace_line lines[MAX_LINES];
	uint32_t line_count;
};

static const char *
get_string(const json_t *fields, const char *key)
{
	const char *text = json_string_value(json_object_get(fields, key));

	return text == NULL ? "" : text;
}

static double
get_number(const json_t *fields, const char *key)
{
	return json_number_value(json_object_get(fields, key));
}

/// Reads "2026-12-04T10:00:00.123456Z".
///
/// @return 0, or -1 if the text is not a time
static int
parse_time(const char *text, int64_t *out_us)
{
	struct tm tm = {0};
	int micro;

	if (sscanf(text, "%d-%d-%dT%d:%d:%d.%dZ", &tm.tm_year, &tm.tm_mon,
		&tm.tm_mday, &tm.tm_hour, &tm.tm_min, &tm.tm_sec, &micro) != 7)
		return -1;
	tm.tm_year -= 1900;
	tm.tm_mon -= 1;
	*out_us = (int64_t)timegm(&tm) * US_PER_S + micro;
	return 0;
}

static uint32_t
find_process(struct trace *trace, const char *name)
{
	uint32_t i;

	for (i = 0; i < trace->process_count; i++)
		if (strcmp(trace->processes[i].name, name) == 0)
			return i;
	if (i == MAX_PROCESSES)
		return MAX_PROCESSES - 1;
	snprintf(trace->processes[i].name, NAME_BYTES, "%s", name);
	trace->process_count++;
	return i;
}

/// Returns whether a name is that of the request or of a call that a backend
/// server made for it: "REQUEST.CALL".
static bool
matches_request(const struct trace *trace, const char *name)
{
	size_t n = strlen(trace->id);

	return strncmp(name, trace->id, n) == 0 &&
	    (name[n] == '\0' || name[n] == '.');
}

/// Adds a line if it belongs to the request. Log collectors put the name of the
/// process before the JSON; without one, the file name is used.
static void
add_line(struct trace *trace, const char *file, char *line)
{
	char name[NAME_BYTES];
	char *start = strchr(line, '{');
	char *space;
	struct trace_line *l;
	json_t *fields;
	int64_t time_us;

	if (start == NULL || trace->line_count == MAX_LINES)
		return;
	fields = json_loads(start, JSON_DISABLE_EOF_CHECK, NULL);
	if (!matches_request(trace, get_string(fields, "request")) ||
	    parse_time(get_string(fields, "time"), &time_us) != 0) {
		json_decref(fields);
		return;
	}
	snprintf(name, sizeof(name), "%s", file);
	if (start > line) {
		while (start > line && start[-1] == ' ')
			*--start = '\0';
		space = strrchr(line, ' ');
		snprintf(
		    name, sizeof(name), "%s", space == NULL ? line : space + 1);
	}
	l = &trace->lines[trace->line_count++];
	l->time_us = time_us;
	l->process = find_process(trace, name);
	l->fields = fields;
}

static int
read_file(struct trace *trace, const char *path)
{
	const char *slash = strrchr(path, '/');
	size_t size_bytes;
	char *bytes = ctl_read_file(path, &size_bytes);
	char *save;
	char *line;

	if (bytes == NULL)
		return -1;
	for (line = strtok_r(bytes, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save))
		if (strstr(line, trace->id) != NULL)
			add_line(trace, slash == NULL ? path : slash + 1, line);
	free(bytes);
	return 0;
}

/// Finds the line with which the egress logged the execution of an attempt.
static const struct trace_line *
find_execution(const struct trace *trace, const struct trace_line *sent)
{
	const char *name = get_string(sent->fields, "request");
	uint32_t i;

	for (i = 0; i < trace->line_count; i++) {
		const struct trace_line *l = &trace->lines[i];

		if (l->process != sent->process &&
		    json_object_get(l->fields, "run_ms") != NULL &&
		    json_object_get(l->fields, "from") != NULL &&
		    strcmp(get_string(l->fields, "part"), "egress") == 0 &&
		    strcmp(get_string(l->fields, "request"), name) == 0 &&
		    strcmp(trace->processes[l->process].name,
			get_string(sent->fields, "to")) == 0)
			return l;
	}
	return NULL;
}

/// Finds the line with which the ingress logged the response to an attempt.
static const struct trace_line *
find_response(const struct trace *trace, const struct trace_line *sent)
{
	uint32_t i;

	for (i = 0; i < trace->line_count; i++) {
		const struct trace_line *l = &trace->lines[i];

		if (l->process == sent->process &&
		    json_object_get(l->fields, "attempt_ms") != NULL &&
		    json_object_get(l->fields, "from") != NULL &&
		    strcmp(get_string(l->fields, "request"),
			get_string(sent->fields, "request")) == 0)
			return l;
	}
	return NULL;
}

/// Estimates the clock offsets of the egresses, assuming that a request and its
/// response take the same time on the network.
static void
estimate_clock_offsets(struct trace *trace)
{
	uint32_t i;

	for (i = 0; i < trace->line_count; i++) {
		const struct trace_line *sent = &trace->lines[i];
		const struct trace_line *run;
		const struct trace_line *response;
		struct trace_process *p;
		int64_t egress_us;

		if (json_object_get(sent->fields, "to") == NULL)
			continue;
		run = find_execution(trace, sent);
		response = find_response(trace, sent);
		if (run == NULL || response == NULL)
			continue;
		p = &trace->processes[run->process];
		if (p->has_offset)
			continue;
		egress_us = (int64_t)((get_number(run->fields, "run_ms") +
					  get_number(run->fields, "queue_ms")) *
		    (double)US_PER_MS);
		p->has_offset = true;
		p->offset_us = (run->time_us - egress_us - sent->time_us +
				   run->time_us - response->time_us) /
		    2;
	}
}

static int
compare_lines(const void *a, const void *b)
{
	const struct trace_line *x = a;
	const struct trace_line *y = b;

	if (x->time_us != y->time_us)
		return x->time_us < y->time_us ? -1 : 1;
	return x < y ? -1 : 1;
}

static void
print_field(const char *key, const json_t *value)
{
	if (json_is_string(value))
		printf(" %s=%s", key, json_string_value(value));
	else if (json_is_integer(value))
		printf(" %s=%" JSON_INTEGER_FORMAT, key,
		    json_integer_value(value));
	else if (json_is_real(value))
		printf(" %s=%.1f", key, json_real_value(value));
}

static void
print_line(
    const struct trace *trace, const struct trace_line *l, int64_t start_us)
{
	static const char *const printed_keys[] = {
	    "time", "level", "part", "text", "request"};
	const char *name = get_string(l->fields, "request");
	const char *key;
	json_t *value;

	printf("%9.1f ms  %-20s %-8s %s",
	    (double)(l->time_us - start_us) / (double)US_PER_MS,
	    trace->processes[l->process].name, get_string(l->fields, "part"),
	    get_string(l->fields, "text"));
	if (strcmp(name, trace->id) != 0)
		printf(" call=%s", name + strlen(trace->id) + 1);
	json_object_foreach(l->fields, key, value)
	{
		size_t i;

		for (i = 0; i < sizeof(printed_keys) / sizeof(printed_keys[0]);
		     i++)
			if (strcmp(printed_keys[i], key) == 0)
				break;
		if (i == sizeof(printed_keys) / sizeof(printed_keys[0]))
			print_field(key, value);
	}
	printf("\n");
}

static void
print_trace(struct trace *trace)
{
	uint32_t i;

	estimate_clock_offsets(trace);
	for (i = 0; i < trace->process_count; i++) {
		const struct trace_process *p = &trace->processes[i];

		if (p->has_offset)
			printf("clock of %s: %+.1f ms, subtracted\n", p->name,
			    (double)p->offset_us / (double)US_PER_MS);
	}
	for (i = 0; i < trace->line_count; i++) {
		struct trace_line *l = &trace->lines[i];

		l->time_us -= trace->processes[l->process].offset_us;
	}
	qsort(trace->lines, trace->line_count, sizeof(trace->lines[0]),
	    compare_lines);
	printf("request %s, from %s\n", trace->id,
	    get_string(trace->lines[0].fields, "time"));
	for (i = 0; i < trace->line_count; i++)
		print_line(trace, &trace->lines[i], trace->lines[0].time_us);
}

int
ctl_trace(struct ctl *ctl)
{
	struct trace *trace = calloc(1, sizeof(*trace));
	int rc = CTL_OK;
	uint32_t i;

	if (trace == NULL)
		abort();
	trace->id = ctl->args[0];
	for (i = 1; i < ctl->arg_count && rc == CTL_OK; i++)
		if (read_file(trace, ctl->args[i]) != 0)
			rc = CTL_USAGE;
	if (rc == CTL_OK && trace->line_count == 0) {
		fprintf(
		    stderr, "mvctl: no line speaks of request %s\n", trace->id);
		rc = CTL_REFUSED;
	} else if (rc == CTL_OK)
		print_trace(trace);
	for (i = 0; i < trace->line_count; i++)
		json_decref(trace->lines[i].fields);
	free(trace);
	return rc;
}
