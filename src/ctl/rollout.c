// mvctl rollout: moves a service to another version, and shows how far it is.
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rollout/rollout_store.h"
#include "ctl/ctl.h"

#define MS_PER_S 1000

/// Largest number of a time, in any unit. The source has the bounds.
#define MAX_TIME 1e9

static const char *
get_string(const json_t *root, const char *key)
{
	const char *text = json_string_value(json_object_get(root, key));

	return text == NULL ? "" : text;
}

static int64_t
get_number(const json_t *root, const char *key)
{
	return json_integer_value(json_object_get(root, key));
}

static void
print_rollout(const json_t *r)
{
	printf("%s to %s: %s, %" PRId64 " of 1000 requests, %.1f s of %.1f s; "
	       "%s\n",
	    get_string(r, "service"), get_string(r, "version"),
	    get_string(r, "state"), get_number(r, "share_permille"),
	    (double)get_number(r, "used_ms") / MS_PER_S,
	    (double)get_number(r, "within_ms") / MS_PER_S,
	    get_string(r, "why"));
}

static void
print_answer(const json_t *root)
{
	const json_t *list = json_object_get(root, "rollouts");
	const json_t *item;
	size_t i;

	if (get_string(root, "result")[0] != '\0')
		printf("%s\n", get_string(root, "result"));
	if (get_string(root, "field")[0] != '\0')
		printf("%s: ", get_string(root, "field"));
	if (get_string(root, "state")[0] != '\0')
		print_rollout(root);
	else if (get_string(root, "why")[0] != '\0')
		printf("%s\n", get_string(root, "why"));
	if (json_object_get(root, "rollout") != NULL)
		print_rollout(json_object_get(root, "rollout"));
	json_array_foreach(list, i, item) print_rollout(item);
	if (list != NULL && json_array_size(list) == 0)
		printf("no roll-out was ordered\n");
}

static int
get_exit_code(long status)
{
	switch (status) {
	case 200:
		return CTL_OK;
	case 409:
		return CTL_CONFLICT;
	case 503:
		return CTL_UNAVAILABLE;
	default:
		return CTL_REFUSED;
	}
}

static int
call(struct ctl *ctl, const char *method, const char *target, const char *body)
{
	struct ctl_response response;
	json_t *root;
	int exit_code;

	if (!ctl_send_request(ctl, method, target, body,
		body == NULL ? 0 : strlen(body), &response)) {
		fprintf(stderr, "mvctl: no source answered: %s\n",
		    response.failure[0] == '\0' ? "no source is given"
						: response.failure);
		return CTL_UNAVAILABLE;
	}
	root = json_loads(response.body, 0, NULL);
	if (ctl->json || root == NULL)
		printf("%s\n", response.body);
	else
		print_answer(root);
	exit_code = get_exit_code(response.status);
	json_decref(root);
	ctl_response_free(&response);
	return exit_code;
}

/// Parses a time such as "90s", "15m", "500ms" or "2h"; plain numbers are
/// seconds.
///
/// @return milliseconds, or -1
static int64_t
parse_time_ms(const char *text)
{
	char *end;
	double value = strtod(text, &end);

	if (end == text || !(value > 0) || value > MAX_TIME)
		return -1;
	if (strcmp(end, "ms") == 0)
		return (int64_t)value;
	if (strcmp(end, "s") == 0 || end[0] == '\0')
		return (int64_t)(value * MS_PER_S);
	if (strcmp(end, "m") == 0)
		return (int64_t)(value * 60 * MS_PER_S);
	if (strcmp(end, "h") == 0)
		return (int64_t)(value * 3600 * MS_PER_S);
	return -1;
}

static int
start(struct ctl *ctl)
{
	int64_t within_ms = parse_time_ms(ctl->within);
	json_t *root;
	char *body;
	int exit_code;

	if (ctl->arg_count != 3 || within_ms < 0) {
		fprintf(stderr,
		    "mvctl: rollout start takes SERVICE VERSION --within "
		    "TIME, such as 90s, 15m or 2h\n");
		return CTL_USAGE;
	}
	root = json_pack("{s:s, s:s, s:I}", "service", ctl->args[1], "version",
	    ctl->args[2], "within_ms", (json_int_t)within_ms);
	body = json_dumps(root, JSON_COMPACT);
	exit_code = call(ctl, "POST", "/rollouts", body);
	free(body);
	json_decref(root);
	return exit_code;
}

static int
status(struct ctl *ctl)
{
	char target[160];

	if (ctl->arg_count > 2) {
		fprintf(stderr, "mvctl: rollout status takes [SERVICE]\n");
		return CTL_USAGE;
	}
	snprintf(target, sizeof(target), "/rollouts%s%s",
	    ctl->arg_count == 2 ? "/" : "",
	    ctl->arg_count == 2 ? ctl->args[1] : "");
	return call(ctl, "GET", target, NULL);
}

int
ctl_rollout(struct ctl *ctl)
{
	if (strcmp(ctl->args[0], "start") == 0)
		return start(ctl);
	if (strcmp(ctl->args[0], "status") == 0)
		return status(ctl);
	fprintf(stderr, "mvctl: rollout takes start or status\n");
	return CTL_USAGE;
}
