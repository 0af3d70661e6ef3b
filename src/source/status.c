// Renders the status: the accepted version and where it is in force.
#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/json_text.h"
#include "source/source.h"

#define MAX_STRAGGLERS 100

static json_t *
render_accepted(const struct rule_store *store)
{
	const struct rule_file *r = store->current;
	char hash[20];

	if (r == NULL)
		return json_null();
	snprintf(hash, sizeof(hash), "%016" PRIx64, r->hash);
	return json_pack("{s:I, s:s, s:o, s:I}", "version",
	    (json_int_t)r->version, "hash", hash, "owner", json_text(r->owner),
	    "accepted_at_ms", (json_int_t)(store->accepted_us / US_PER_MS));
}

static bool
is_first_of_region(const struct report_table *table, uint32_t at)
{
	uint32_t i;

	for (i = 0; i < at; i++)
		if (!table->items[i].left &&
		    strcmp(table->items[i].member.region,
			table->items[at].member.region) == 0)
			return false;
	return !table->items[at].left;
}

static json_t *
render_regions(const struct source *source, uint64_t version, int64_t now_us)
{
	const struct report_table *table = &source->reports;
	json_t *regions = json_array();
	uint32_t i;

	for (i = 0; i < table->count; i++) {
		const char *name = table->items[i].member.region;
		struct report_sum sum;

		if (!is_first_of_region(table, i))
			continue;
		sum = report_table_sum(table, name, version, now_us);
		if (version == 0)
			sum.in_force = 0;
		json_array_append_new(regions,
		    json_pack("{s:o, s:i, s:i}", "region", json_text(name),
			"in_force", (int)sum.in_force, "members",
			(int)sum.members));
	}
	return regions;
}

static json_t *
render_stragglers(const struct source *source, uint64_t version, int64_t now_us)
{
	const struct report_table *table = &source->reports;
	json_t *stragglers = json_array();
	uint32_t i;

	for (i = 0; i < table->count; i++) {
		const struct report *r = &table->items[i];

		if (r->left ||
		    report_table_in_force(table, r, version, now_us) ||
		    json_array_size(stragglers) == MAX_STRAGGLERS)
			continue;
		json_array_append_new(stragglers,
		    json_pack("{s:o, s:o, s:I, s:I}", "name",
			json_text(r->member.name), "region",
			json_text(r->member.region), "version",
			(json_int_t)r->member.version, "silent_ms",
			(json_int_t)((now_us - r->reported_us) / US_PER_MS)));
	}
	return stragglers;
}

/// Renders a line of the rules without the keys that it holds: a status is for
/// everybody who operates, and ends up in files.
static json_t *
render_line(const char *line, size_t line_bytes)
{
	static const char option[] = "keys=";
	char *text = strndup(line, line_bytes);
	char *keys;
	json_t *out;

	assert(text != NULL);
	keys = strncmp(text, "workspace", strlen("workspace")) == 0
	    ? strstr(text, option)
	    : NULL;
	if (keys != NULL) {
		keys += strlen(option);
		line_bytes = strcspn(keys, " \t");
		memmove(keys, keys + line_bytes, strlen(keys + line_bytes) + 1);
	}
	out = json_text(text);
	free(text);
	return out;
}

/// Renders a row for each rule: the version since which it is unchanged, and
/// the number of proxies where it is in force.
static json_t *
render_rules(const struct source *source, int64_t now_us)
{
	const struct rule_store *store = &source->store;
	json_t *rules = json_array();
	const char *at = store->current == NULL ? "" : store->current->text;
	uint32_t line;

	for (line = 1; *at != '\0'; line++) {
		size_t n = strcspn(at, "\n");
		size_t blank = strspn(at, " \t\r");

		if (blank < n && at[blank] != '#') {
			uint64_t since = store->since[line];
			struct report_sum sum = report_table_sum(
			    &source->reports, NULL, since, now_us);

			json_array_append_new(rules,
			    json_pack("{s:i, s:o, s:I, s:i}", "line", (int)line,
				"rule", render_line(at + blank, n - blank),
				"since_version", (json_int_t)since, "in_force",
				(int)sum.in_force));
		}
		at += n + (at[n] == '\n');
	}
	return rules;
}

static json_t *
render_replicas(const struct replica_config *config)
{
	json_t *replicas = json_array();
	uint32_t i;

	for (i = 0; i < config->voter_count; i++)
		json_array_append_new(replicas,
		    json_pack("{s:I, s:o}", "id",
			(json_int_t)config->voters[i].id, "address",
			json_text(config->voters[i].address)));
	return replicas;
}

/// Finds the row of a version of a service, or adds it.
static json_t *
get_server_row(json_t *rows, const struct member *m)
{
	json_t *row;
	size_t i;

	json_array_foreach(rows, i,
	    row) if (strcmp(json_string_value(json_object_get(row, "service")),
			 m->service) == 0 &&
	    strcmp(json_string_value(json_object_get(row, "version")),
		m->server_version) == 0) return row;
	row = json_pack("{s:o, s:o, s:i}", "service", json_text(m->service),
	    "version", json_text(m->server_version), "servers", 0);
	json_array_append_new(rows, row);
	return row;
}

/// Renders the number of servers that take work, by service and version.
static json_t *
render_servers(const struct source *source, int64_t now_us)
{
	const struct report_table *table = &source->reports;
	json_t *rows = json_array();
	uint32_t i;

	for (i = 0; i < table->count; i++) {
		const struct report *r = &table->items[i];
		json_t *row;

		if (r->left || now_us - r->reported_us > table->stale_us ||
		    !backend_state_takes_work(r->member.backend))
			continue;
		row = get_server_row(rows, &r->member);
		json_object_set_new(row, "servers",
		    json_integer(
			json_integer_value(json_object_get(row, "servers")) +
			1));
	}
	return rows;
}

char *
status_render(const struct source *source, bool confirmed)
{
	const struct replica *r = &source->host.replica;
	const struct rule_file *current = source->store.current;
	uint64_t version = current == NULL ? 0 : current->version;
	int64_t now_us = loop_now_us(source->loop);
	struct report_sum sum =
	    report_table_sum(&source->reports, NULL, version, now_us);
	json_t *root = json_pack(
	    "{s:b, s:o, s:i, s:i, s:I, s:o, s:o, s:o, s:o, s:o, s:I, s:I, "
	    "s:o}",
	    "confirmed", confirmed, "accepted", render_accepted(&source->store),
	    "in_force", current == NULL ? 0 : (int)sum.in_force, "members",
	    (int)sum.members, "heard_for_ms",
	    (json_int_t)((now_us - source->started_us) / US_PER_MS), "regions",
	    render_regions(source, version, now_us), "stragglers",
	    render_stragglers(source, version, now_us), "rules",
	    render_rules(source, now_us), "servers",
	    render_servers(source, now_us), "replicas",
	    render_replicas(&r->config), "replica", (json_int_t)r->settings.id,
	    "leader", (json_int_t)r->leader, "storage",
	    json_text(replica_has_failed(r) ? r->failure.text : "ok"));

	if (source->quotas.account_count > 0)
		json_object_set_new(root, "workspaces", quota_render(source));
	return json_render(root, JSON_COMPACT);
}
