// Lookup in parsed rules, and their reference counts.
#include <assert.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/rules/rules.h"

/// Hash table of the match rules, keyed by host and prefix. A lookup tries each
/// prefix length that occurs, longest first.
struct rule_index {
	uint32_t *slots; ///< Position in routes + 1; 0: free slot.
	uint32_t mask;
	uint32_t length_count;
	uint32_t lengths[RULES_PATH_BYTES];
};

static uint64_t
hash_match(const char *host, const char *prefix, uint32_t prefix_bytes)
{
	return XXH3_64bits_withSeed(
	    prefix, prefix_bytes, XXH3_64bits(host, strlen(host)));
}

static void
index_add_length(struct rule_index *index, uint32_t length)
{
	uint32_t i = 0;

	while (i < index->length_count && index->lengths[i] > length)
		i++;
	if (i < index->length_count && index->lengths[i] == length)
		return;
	memmove(index->lengths + i + 1, index->lengths + i,
	    (index->length_count - i) * sizeof(index->lengths[0]));
	index->lengths[i] = length;
	index->length_count++;
}

void
rules_index_build(struct rules *rules)
{
	struct rule_index *index = calloc(1, sizeof(*index));
	uint32_t size = 16;
	uint32_t i;

	assert(index != NULL && rules->index == NULL);
	while (size < 2 * rules->match_count)
		size *= 2;
	index->mask = size - 1;
	index->slots = calloc(size, sizeof(*index->slots));
	assert(index->slots != NULL);
	for (i = 0; i < rules->route_count; i++) {
		const struct rule_route *r = &rules->routes[i];
		uint32_t at;

		if (r->name[0] == '\0')
			continue;
		at = (uint32_t)hash_match(r->host, r->path, r->path_bytes) &
		    index->mask;
		while (index->slots[at] != 0)
			at = (at + 1) & index->mask;
		index->slots[at] = i + 1;
		index_add_length(index, r->path_bytes);
	}
	rules->index = index;
}

static const struct rule_route *
index_find(const struct rules *rules, const char *host, const char *path,
    uint32_t path_bytes)
{
	const struct rule_index *index = rules->index;
	uint32_t at =
	    (uint32_t)hash_match(host, path, path_bytes) & index->mask;

	for (; index->slots[at] != 0; at = (at + 1) & index->mask) {
		const struct rule_route *r =
		    &rules->routes[index->slots[at] - 1];

		if (r->path_bytes == path_bytes &&
		    memcmp(r->path, path, path_bytes) == 0 &&
		    strcmp(r->host, host) == 0)
			return r;
	}
	return NULL;
}

/// Copies the host of a request without its port, in lower case.
///
/// @return false if there is no host or it is too long
static bool
normalize_host(const char *host, char out[RULES_HOST_BYTES])
{
	size_t n = host == NULL ? 0 : strcspn(host, ":");
	size_t i;

	if (n == 0 || n >= RULES_HOST_BYTES)
		return false;
	for (i = 0; i < n; i++)
		out[i] = (char)tolower((unsigned char)host[i]);
	out[n] = '\0';
	return true;
}

static const struct rule_route *
match_host(const struct rules *rules, const char *host, const char *path,
    size_t path_bytes)
{
	const struct rule_index *index = rules->index;
	char name[RULES_HOST_BYTES];
	uint32_t i;

	if (index == NULL || !normalize_host(host, name))
		return NULL;
	for (i = 0; i < index->length_count; i++) {
		const struct rule_route *r;

		if (index->lengths[i] > path_bytes)
			continue;
		r = index_find(rules, name, path, index->lengths[i]);
		if (r != NULL)
			return r;
	}
	return NULL;
}

uint32_t
rules_draw_target(const struct rule_route *route, uint64_t draw)
{
	uint64_t at;
	uint32_t i;

	if (route->target_count <= 1 || route->weight_sum == 0)
		return route->service;
	at = draw % route->weight_sum;
	for (i = 0; i + 1 < route->target_count; i++) {
		if (at < route->targets[i].weight)
			break;
		at -= route->targets[i].weight;
	}
	return route->targets[i].service;
}

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
	rule_file_unref(rules->file);
	free(rules->ranks);
	free(rules->services);
	free(rules->routes);
	free(rules->workspaces);
	key_table_free(rules->keys);
	text_pool_free(&rules->texts);
	if (rules->index != NULL)
		free(rules->index->slots);
	free(rules->index);
	free(rules);
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
rules_match(const struct rules *rules, const char *method, const char *host,
    const char *path)
{
	size_t path_bytes = strcspn(path, "?");
	const struct rule_route *found =
	    match_host(rules, host, path, path_bytes);
	uint32_t i;

	if (found != NULL)
		return found;
	for (i = 0; i < rules->route_count; i++) {
		const struct rule_route *route = &rules->routes[i];

		if (route->name[0] != '\0')
			continue;
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
rules_find_workspace(
    const struct rules *rules, const char *name, size_t name_bytes)
{
	uint32_t low = 0;
	uint32_t high = rules->workspace_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		const char *at = rules->workspaces[middle].name;
		int order = strncmp(at, name, name_bytes);

		if (order == 0 && at[name_bytes] == '\0')
			return (int)middle;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
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
