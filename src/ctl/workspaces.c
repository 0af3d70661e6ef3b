// mvctl workspaces: prints the limits of workspaces and how far they are used.
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "ctl/ctl.h"

static double
get_number(const json_t *object, const char *key)
{
	return json_number_value(json_object_get(object, key));
}

static void
print_workspaces(const json_t *workspaces)
{
	const json_t *rest = json_object_get(workspaces, "rest");
	const json_t *item;
	size_t i;

	printf("%-24s %10s %10s %10s %10s %10s\n", "workspace", "rate/s",
	    "burst", "used/s", "refused/s", "left");
	json_array_foreach(json_object_get(workspaces, "top"), i, item)
	    printf("%-24.24s %10.1f %10.1f %10.1f %10.1f %10.1f\n",
		json_string_value(json_object_get(item, "name")),
		get_number(item, "rate"), get_number(item, "burst"),
		get_number(item, "used_per_s"),
		get_number(item, "refused_per_s"), get_number(item, "left"));
	if (get_number(rest, "workspaces") > 0)
		printf("%.0f others %44.1f %10.1f\n",
		    get_number(rest, "workspaces"),
		    get_number(rest, "used_per_s"),
		    get_number(rest, "refused_per_s"));
}

int
ctl_workspaces(struct ctl *ctl)
{
	struct ctl_response response;
	const json_t *workspaces;
	json_t *root;
	bool confirmed;

	if (!ctl_send_request(ctl, "GET", "/status", NULL, 0, &response)) {
		fprintf(stderr, "mvctl: no source answered: %s\n",
		    response.failure);
		ctl_response_free(&response);
		return CTL_UNAVAILABLE;
	}
	root = json_loads(response.body, 0, NULL);
	ctl_response_free(&response);
	workspaces = json_object_get(root, "workspaces");
	confirmed = json_is_true(json_object_get(root, "confirmed"));
	if (ctl->json) {
		if (workspaces == NULL)
			printf("{}");
		else
			json_dumpf(workspaces, stdout, JSON_INDENT(2));
		printf("\n");
	} else if (workspaces == NULL)
		printf("no workspace has a limit\n");
	else
		print_workspaces(workspaces);
	json_decref(root);
	return confirmed ? CTL_OK : CTL_UNAVAILABLE;
}
