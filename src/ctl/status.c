// mvctl status: prints the accepted version and where it is in force.
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ctl/ctl.h"
#include "io/clock.h"

#define POLL_US (100 * US_PER_MS)
/// Time for which a source must have received reports before its list of
/// proxies is complete.
#define REPORTS_COMPLETE_MS 6000

static int64_t
get_number(const json_t *root, const char *key)
{
	return json_integer_value(json_object_get(root, key));
}

static const char *
get_string(const json_t *root, const char *key)
{
	const char *text = json_string_value(json_object_get(root, key));

	return text == NULL ? "" : text;
}

/// Returns whether the accepted version is confirmed and in force at all
/// proxies.
static bool
is_in_force(const json_t *root)
{
	return json_is_true(json_object_get(root, "confirmed")) &&
	    json_is_object(json_object_get(root, "accepted")) &&
	    get_number(root, "members") > 0 &&
	    get_number(root, "in_force") == get_number(root, "members") &&
	    get_number(root, "heard_for_ms") >= REPORTS_COMPLETE_MS;
}

static void
print_accepted(const json_t *accepted)
{
	time_t at;
	char text[40];
	struct tm tm;

	if (!json_is_object(accepted)) {
		printf("accepted: nothing yet\n");
		return;
	}
	at = (time_t)(get_number(accepted, "accepted_at_ms") / 1000);
	gmtime_r(&at, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm);
	printf("accepted: version %" PRId64 " (hash %s) at %s by: %s\n",
	    get_number(accepted, "version"), get_string(accepted, "hash"), text,
	    get_string(accepted, "owner"));
}

static void
print_rules(const json_t *root)
{
	const json_t *rule;
	size_t i;

	json_array_foreach(json_object_get(root, "rules"), i, rule)
	    printf("  line %-4" PRId64 " since version %-6" PRId64
		   " in force %" PRId64 " of %" PRId64 "  %.60s\n",
		get_number(rule, "line"), get_number(rule, "since_version"),
		get_number(rule, "in_force"), get_number(root, "members"),
		get_string(rule, "rule"));
}

static void
print_status(const json_t *root)
{
	const json_t *item;
	size_t i;

	if (!json_is_true(json_object_get(root, "confirmed")))
		printf("NOT CONFIRMED: this source cannot reach a quorum; "
		       "the status below may be out of date\n");
	print_accepted(json_object_get(root, "accepted"));
	printf("in force: %" PRId64 " of %" PRId64 " proxies\n",
	    get_number(root, "in_force"), get_number(root, "members"));
	json_array_foreach(json_object_get(root, "regions"), i, item)
	    printf("  region %s: %" PRId64 " of %" PRId64 "\n",
		get_string(item, "region"), get_number(item, "in_force"),
		get_number(item, "members"));
	json_array_foreach(json_object_get(root, "stragglers"), i, item)
	    printf("  straggler %s in %s: version %" PRId64
		   ", silent for %" PRId64 " ms\n",
		get_string(item, "name"), get_string(item, "region"),
		get_number(item, "version"), get_number(item, "silent_ms"));
	json_array_foreach(json_object_get(root, "servers"), i,
	    item) if (get_string(item, "version")[0] != '\0')
	    printf("  %s: %" PRId64 " servers of version %s\n",
		get_string(item, "service"), get_number(item, "servers"),
		get_string(item, "version"));
	print_rules(root);
}

/// Requests the status once, without a retry.
///
/// @param failure  receives the error if no source answered
/// @return the status, or NULL if no source answered
static json_t *
fetch_status(struct ctl *ctl, char *failure, size_t failure_bytes)
{
	struct ctl_response response;
	json_t *root = NULL;

	if (ctl_send_request(ctl, "GET", "/status", NULL, 0, &response))
		root = json_loads(response.body, 0, NULL);
	else
		snprintf(failure, failure_bytes, "%s", response.failure);
	ctl_response_free(&response);
	return root;
}

int
ctl_status(struct ctl *ctl)
{
	int64_t deadline_us = clock_now_us() + ctl->wait_s * US_PER_S;
	char failure[256] = "";
	json_t *root = fetch_status(ctl, failure, sizeof(failure));
	int exit_code = CTL_OK;

	while (ctl->wait && clock_now_us() < deadline_us &&
	    (root == NULL || !is_in_force(root))) {
		json_decref(root);
		usleep((useconds_t)POLL_US);
		root = fetch_status(ctl, failure, sizeof(failure));
	}
	if (root == NULL) {
		fprintf(stderr, "mvctl: no source answered: %s\n", failure);
		return CTL_UNAVAILABLE;
	}
	if (ctl->json) {
		json_dumpf(root, stdout, JSON_INDENT(2));
		printf("\n");
	} else
		print_status(root);
	if (!json_is_true(json_object_get(root, "confirmed")))
		exit_code = CTL_UNAVAILABLE;
	else if (ctl->wait && !is_in_force(root))
		exit_code = CTL_NOT_IN_FORCE;
	json_decref(root);
	return exit_code;
}
