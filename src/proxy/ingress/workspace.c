// Workspaces of requests: the callers' keys, and calls of backend servers.
#include <stdio.h>
#include <string.h>

#include "io/dialect.h"
#include "io/log/counters.h"
#include "proxy/ingress/ingress_request.h"

#define STATUS_UNAUTHORIZED	   401
#define STATUS_SERVICE_UNAVAILABLE 503

COUNTER_DEFINE(count_no_key, "ingress_no_key", "Refused: no key was given");
COUNTER_DEFINE(
    count_unknown_key, "ingress_unknown_key", "Refused: no workspace's key");
COUNTER_DEFINE(count_withdrawn, "ingress_key_withdrawn",
    "Refused: the key was withdrawn while they waited");
COUNTER_DEFINE(count_orphans, "ingress_orphan_calls",
    "Refused: calls of a request that does not run here");

static const char *
find_key(const struct ingress_request *r)
{
	return ingress_find_header(
	    r, r->ingress->dialect->headers.workspace_key);
}

static const struct rule_workspace *
find_holder(const struct rules *rules, const char *key)
{
	uint32_t at = key == NULL
	    ? KEY_TABLE_NONE
	    : key_table_find(rules->keys, key, strlen(key));

	return at == KEY_TABLE_NONE ? NULL : &rules->workspaces[at];
}

/// Finds the workspace of a request that has no key of its own.
static const struct rule_workspace *
find_inherited(const struct ingress_request *r)
{
	const char *name = r->workspace;
	int at;

	// A backend server passes on the name that it received.
	if (r->trusted)
		name = ingress_find_header(
		    r, r->ingress->dialect->headers.workspace);
	if (name == NULL)
		return NULL;
	at = rules_find_workspace(r->rules, name, strlen(name));
	return at < 0 ? NULL : &r->rules->workspaces[at];
}

static void
set_workspace(struct ingress_request *r, const struct rule_workspace *workspace)
{
	snprintf(r->workspace, sizeof(r->workspace), "%s", workspace->name);
	if (workspace->has_rank)
		r->rank = &r->rules->ranks[workspace->rank];
}

static bool
refuse(struct ingress_request *r, struct counter *counter, uint32_t status,
    int64_t retry_us, const char *why)
{
	counter_add(counter, 1);
	ingress_conclude(r, status, ingress_not_run_outcome(r), retry_us, why);
	return false;
}

bool
ingress_set_workspace(struct ingress_request *r)
{
	const struct rule_workspace *workspace;
	const char *key;

	if (r->rules->workspace_count == 0)
		return true;
	key = find_key(r);
	workspace = find_holder(r->rules, key);
	r->keyed = workspace != NULL;
	if (workspace == NULL && key == NULL && r->begun)
		workspace = find_inherited(r);
	if (workspace != NULL)
		set_workspace(r, workspace);
	if (workspace != NULL || r->route->is_public ||
	    (r->begun && key == NULL))
		return true;
	if (key != NULL)
		return refuse(r, &count_unknown_key, STATUS_UNAUTHORIZED, 0,
		    "no workspace has this key");
	if (r->states_parent)
		return refuse(r, &count_orphans, STATUS_SERVICE_UNAVAILABLE, 0,
		    "the request that it is a call of does not run here");
	return refuse(r, &count_no_key, STATUS_UNAUTHORIZED, 0,
	    "the key of a workspace is needed");
}

bool
ingress_key_holds(const struct ingress_request *r)
{
	const struct rules *now = r->ingress->rules;
	const struct rule_workspace *workspace;

	if (!r->keyed || r->rules == now || r->exchange == NULL ||
	    r->route->is_public || now->workspace_count == 0)
		return true;
	workspace = find_holder(now, find_key(r));
	return workspace != NULL && strcmp(workspace->name, r->workspace) == 0;
}

void
ingress_conclude_key_withdrawn(struct ingress_request *r)
{
	(void)refuse(r, &count_withdrawn, STATUS_UNAUTHORIZED, 0,
	    "its key has been withdrawn");
}
