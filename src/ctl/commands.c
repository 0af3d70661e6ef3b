// Commands of mvctl except status, trace and report.
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "core/rules/delta.h"
#include "core/rules/rules.h"
#include "ctl/ctl.h"
#include "io/clock.h"

#define RETRY_US 200000

static void
print_errors(const char *path, const struct rules_errors *errors)
{
	uint32_t shown =
	    errors->count < RULES_MAX_ERRORS ? errors->count : RULES_MAX_ERRORS;
	uint32_t i;

	for (i = 0; i < shown; i++)
		fprintf(stderr, "%s:%u:%u: %s\n", path, errors->items[i].line,
		    errors->items[i].column, errors->items[i].text);
	fprintf(stderr, "%s: refused, %u error%s\n", path, errors->count,
	    errors->count == 1 ? "" : "s");
}

/// Parses a file. Prints its errors and returns NULL if it has any. Release
/// *text with free() in both cases.
static struct rules *
load_rules(const char *path, char **text, size_t *text_bytes)
{
	struct rules_errors *errors;
	struct rules *rules;

	*text = ctl_read_file(path, text_bytes);
	if (*text == NULL)
		return NULL;
	errors = malloc(sizeof(*errors));
	if (errors == NULL)
		abort();
	rules = rules_parse(*text, *text_bytes, errors);
	if (rules == NULL)
		print_errors(path, errors);
	free(errors);
	return rules;
}

int
ctl_check(struct ctl *ctl)
{
	char *text;
	size_t text_bytes;
	struct rules *rules = load_rules(ctl->args[0], &text, &text_bytes);

	free(text);
	if (rules == NULL)
		return CTL_REFUSED;
	printf("%s: version %" PRIu64 ", %u ranks, %u services, %u routes",
	    ctl->args[0], rules->version, rules->rank_count,
	    rules->service_count, rules->route_count);
	if (rules->workspace_count > 0)
		printf(", %u workspaces", rules->workspace_count);
	printf("\n");
	rules_unref(rules);
	return CTL_OK;
}

static int
print_no_response(const struct ctl_response *response)
{
	fprintf(stderr, "mvctl: no source answered: %s\n",
	    response->failure[0] == '\0' ? "no source is given"
					 : response->failure);
	return CTL_UNAVAILABLE;
}

static const char *
get_string(const json_t *root, const char *key)
{
	const char *text = json_string_value(json_object_get(root, key));

	return text == NULL ? "" : text;
}

static void
print_submit_response(const struct ctl_response *response, const json_t *root)
{
	const json_t *accepted = json_object_get(root, "accepted");
	const char *why = get_string(root, "why");

	printf("version %" JSON_INTEGER_FORMAT ": %s\n",
	    json_integer_value(json_object_get(root, "version")),
	    get_string(root, "result"));
	if (why[0] != '\0')
		printf("why: %s\n", why);
	if (response->status == 409)
		printf("accepted is version %" JSON_INTEGER_FORMAT
		       " (hash %s) by: %s\n",
		    json_integer_value(json_object_get(accepted, "version")),
		    get_string(accepted, "hash"),
		    get_string(accepted, "owner"));
}

static int
get_exit_code(long status)
{
	if (status >= 200 && status < 300)
		return CTL_OK;
	if (status == 409)
		return CTL_CONFLICT;
	if (status == 503)
		return CTL_UNAVAILABLE;
	return CTL_REFUSED;
}

/// Submits a file. With --wait, retries until the timeout while no source is
/// available, which is safe since the same file is accepted only once.
static bool
submit_rules(struct ctl *ctl, const char *text, size_t text_bytes,
    struct ctl_response *response)
{
	int64_t deadline_us = clock_now_us() + ctl->wait_s * US_PER_S;

	for (;;) {
		bool responded = ctl_send_request(
		    ctl, "POST", "/rules", text, text_bytes, response);

		if ((responded && response->status != 503) || !ctl->wait ||
		    clock_now_us() >= deadline_us)
			return responded;
		ctl_response_free(response);
		usleep(RETRY_US);
	}
}

int
ctl_apply(struct ctl *ctl)
{
	struct ctl_response response;
	char *text;
	size_t text_bytes;
	struct rules *rules = load_rules(ctl->args[0], &text, &text_bytes);
	json_t *root;
	bool responded;
	int exit_code;

	if (rules == NULL) {
		free(text);
		return CTL_REFUSED;
	}
	rules_unref(rules);
	responded = submit_rules(ctl, text, text_bytes, &response);
	free(text);
	if (!responded)
		return print_no_response(&response);
	root = json_loads(response.body, 0, NULL);
	if (ctl->json)
		printf("%s\n", response.body);
	else
		print_submit_response(&response, root);
	exit_code = get_exit_code(response.status);
	json_decref(root);
	ctl_response_free(&response);
	if (exit_code == CTL_OK && ctl->wait)
		return ctl_status(ctl);
	return exit_code;
}

int
ctl_show(struct ctl *ctl)
{
	struct ctl_response response;
	int exit_code;

	if (!ctl_send_request(ctl, "GET", "/rules", NULL, 0, &response))
		return print_no_response(&response);
	exit_code = get_exit_code(response.status);
	fputs(response.body, exit_code == CTL_OK ? stdout : stderr);
	if (response.body_bytes > 0 &&
	    response.body[response.body_bytes - 1] != '\n')
		fputc('\n', stderr);
	ctl_response_free(&response);
	return exit_code;
}

static const char *
skip_lines(const char *text, uint32_t count)
{
	while (count-- > 0) {
		const char *eol = strchr(text, '\n');

		if (eol == NULL)
			return text + strlen(text);
		text = eol + 1;
	}
	return text;
}

static void
print_prefixed_lines(char mark, const char *text, const char *end)
{
	while (text < end) {
		size_t n = strcspn(text, "\n");

		if (text + n > end)
			n = (size_t)(end - text);
		printf("%c %.*s\n", mark, (int)n, text);
		text += n + 1;
	}
}

/// Prints the lines that differ; a moved line is printed as removed and added.
static void
print_diff(const char *old, const char *new, size_t new_bytes)
{
	struct delta delta;
	uint32_t at = 0;
	uint32_t i;

	delta_make(old, strlen(old), new, new_bytes, &delta);
	for (i = 0; i < delta.step_count; i++) {
		const struct delta_step *s = &delta.steps[i];

		if (s->copy_count > 0 && s->copy_from > at)
			print_prefixed_lines('-', skip_lines(old, at),
			    skip_lines(old, s->copy_from));
		if (s->copy_count > 0)
			at = s->copy_from + s->copy_count;
		print_prefixed_lines(
		    '+', s->insert, s->insert + s->insert_bytes);
	}
	print_prefixed_lines('-', skip_lines(old, at), old + strlen(old));
	delta_free(&delta);
}

int
ctl_diff(struct ctl *ctl)
{
	struct ctl_response response;
	char *text;
	size_t text_bytes;
	int exit_code;

	text = ctl_read_file(ctl->args[0], &text_bytes);
	if (text == NULL)
		return CTL_USAGE;
	if (!ctl_send_request(ctl, "GET", "/rules", NULL, 0, &response)) {
		free(text);
		return print_no_response(&response);
	}
	if (response.status == 200 || response.status == 404)
		print_diff(response.status == 200 ? response.body : "", text,
		    text_bytes);
	else
		fprintf(stderr, "%s\n", response.body);
	exit_code =
	    response.status == 404 ? CTL_OK : get_exit_code(response.status);
	ctl_response_free(&response);
	free(text);
	return exit_code;
}

static int
post_request(struct ctl *ctl, const char *target, const char *body)
{
	struct ctl_response response;
	int exit_code;

	if (!ctl_send_request(
		ctl, "POST", target, body, strlen(body), &response))
		return print_no_response(&response);
	exit_code = get_exit_code(response.status);
	printf("%s\n", response.body);
	ctl_response_free(&response);
	return exit_code;
}

int
ctl_forget(struct ctl *ctl)
{
	char target[160];

	snprintf(target, sizeof(target), "/forget?name=%s", ctl->args[0]);
	return post_request(ctl, target, "");
}

int
ctl_replace(struct ctl *ctl)
{
	json_t *root =
	    json_pack("{s:I, s:I, s:s}", "remove", (json_int_t)ctl->remove_id,
		"add", (json_int_t)ctl->add_id, "address", ctl->add_address);
	char *body = json_dumps(root, JSON_COMPACT);
	int exit_code = post_request(ctl, "/replicas", body);

	free(body);
	json_decref(root);
	return exit_code;
}
