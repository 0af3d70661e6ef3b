// Lookup in and life time of parsed rules.
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/rules.h"

struct rules *
rules_ref(struct rules *rules)
{
	atomic_fetch_add(&rules->refs, 1);
	return rules;
}

void
rules_unref(struct rules *rules)
{
	if (rules == NULL)
		return;
	assert(atomic_load(&rules->refs) > 0);
	if (atomic_fetch_sub(&rules->refs, 1) != 1)
		return;
	free(rules->text);
	free(rules->ranks);
	free(rules->services);
	free(rules->routes);
	free(rules);
}

uint64_t
rules_hash(const char *text, size_t text_bytes)
{
	return XXH3_64bits(text, text_bytes);
}

static bool
path_matches(
    const struct rule_route *route, const char *path, size_t path_bytes)
{
	if (path_bytes < route->path_bytes)
		return false;
	if (!route->prefix && path_bytes != route->path_bytes)
		return false;
	return memcmp(route->path, path, route->path_bytes) == 0;
}

static bool
method_matches(const struct rule_route *route, const char *method)
{
	return strcmp(route->method, "*") == 0 ||
	    strcmp(route->method, method) == 0;
}

const struct rule_route *
rules_match(const struct rules *rules, const char *method, const char *path)
{
	size_t path_bytes = strcspn(path, "?");
	uint32_t i;

	for (i = 0; i < rules->route_count; i++) {
		const struct rule_route *route = &rules->routes[i];

		if (path_matches(route, path, path_bytes) &&
		    method_matches(route, method))
			return route;
	}
	return NULL;
}

int
rules_find_rank(const struct rules *rules, const char *name)
{
	uint32_t i;

	for (i = 0; i < rules->rank_count; i++)
		if (strcmp(rules->ranks[i].name, name) == 0)
			return (int)i;
	return -1;
}

int
rules_find_service(const struct rules *rules, const char *name)
{
	uint32_t i;

	for (i = 0; i < rules->service_count; i++)
		if (strcmp(rules->services[i].name, name) == 0)
			return (int)i;
	return -1;
}
