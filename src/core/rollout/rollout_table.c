// Table of roll-outs.
#include <string.h>

#include "core/rollout/rollout_table.h"

const char *
rollout_state_name(enum rollout_state state)
{
	switch (state) {
	case ROLLOUT_RUNNING:
		return "running";
	case ROLLOUT_COMPLETED:
		return "completed";
	case ROLLOUT_ROLLED_BACK:
		return "rolled_back";
	}
	return "unknown";
}

uint64_t
rollout_table_revision(const struct rollout_table *table)
{
	uint64_t revision = 0;
	uint32_t i;

	for (i = 0; i < table->count; i++)
		if (table->items[i].revision > revision)
			revision = table->items[i].revision;
	return revision;
}

const struct rollout *
rollout_table_find(
    const struct rollout_table *table, const char *service, const char *version)
{
	uint32_t i;

	for (i = 0; i < table->count; i++)
		if (strcmp(table->items[i].service, service) == 0 &&
		    strcmp(table->items[i].version, version) == 0)
			return &table->items[i];
	return NULL;
}

/// Removes the record that ended and whose order is the oldest.
///
/// @return whether there was one
static bool
remove_oldest_ended(struct rollout_table *table)
{
	uint32_t oldest = table->count;
	uint32_t i;

	for (i = 0; i < table->count; i++)
		if (table->items[i].state != ROLLOUT_RUNNING &&
		    (oldest == table->count ||
			table->items[i].order < table->items[oldest].order))
			oldest = i;
	if (oldest == table->count)
		return false;
	table->count--;
	memmove(&table->items[oldest], &table->items[oldest + 1],
	    (table->count - oldest) * sizeof(table->items[0]));
	return true;
}

bool
rollout_table_merge(struct rollout_table *table, const struct rollout *record)
{
	const struct rollout *mine =
	    rollout_table_find(table, record->service, record->version);

	if (mine != NULL) {
		if (mine->revision >= record->revision)
			return false;
		table->items[mine - table->items] = *record;
		return true;
	}
	if (table->count == ROLLOUT_MAX_RECORDS && !remove_oldest_ended(table))
		return false;
	table->items[table->count++] = *record;
	return true;
}

const struct rollout *
rollout_table_find_running(
    const struct rollout_table *table, const char *service)
{
	const struct rollout *last = rollout_table_find_last(table, service);

	return last != NULL && last->state == ROLLOUT_RUNNING ? last : NULL;
}

const struct rollout *
rollout_table_find_last(const struct rollout_table *table, const char *service)
{
	const struct rollout *last = NULL;
	uint32_t i;

	for (i = 0; i < table->count; i++)
		if (strcmp(table->items[i].service, service) == 0 &&
		    (last == NULL || table->items[i].order > last->order))
			last = &table->items[i];
	return last;
}

uint32_t
rollout_table_since(const struct rollout_table *table, uint64_t revision,
    struct rollout *out, uint32_t max)
{
	uint32_t count = 0;

	while (count < max) {
		const struct rollout *next = NULL;
		uint32_t i;

		for (i = 0; i < table->count; i++)
			if (table->items[i].revision > revision &&
			    (next == NULL ||
				table->items[i].revision < next->revision))
				next = &table->items[i];
		if (next == NULL)
			break;
		out[count++] = *next;
		revision = next->revision;
	}
	return count;
}

void
rollout_table_get_filter(const struct rollout_table *table, const char *service,
    struct rollout_filter *out)
{
	const struct rollout *running =
	    rollout_table_find_running(table, service);
	const struct rollout *completed = NULL;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < table->count; i++) {
		const struct rollout *r = &table->items[i];

		if (strcmp(r->service, service) != 0)
			continue;
		if (r->state == ROLLOUT_COMPLETED &&
		    (completed == NULL || r->order > completed->order))
			completed = r;
		if (r->state == ROLLOUT_ROLLED_BACK &&
		    out->barred_count < ROLLOUT_MAX_BARRED)
			memcpy(out->barred[out->barred_count++], r->version,
			    sizeof(r->version));
	}
	if (running != NULL) {
		out->running = true;
		out->order = running->order;
		out->share_permille = running->share_permille;
		memcpy(out->version, running->version, sizeof(out->version));
	} else if (completed != NULL) {
		out->completed = true;
		memcpy(out->version, completed->version, sizeof(out->version));
	}
}

enum rollout_side
rollout_filter_side(const struct rollout_filter *filter, const char *version)
{
	uint32_t i;

	for (i = 0; i < filter->barred_count; i++)
		if (strcmp(filter->barred[i], version) == 0)
			return ROLLOUT_SIDE_BARRED;
	if ((filter->running || filter->completed) &&
	    strcmp(filter->version, version) == 0)
		return ROLLOUT_SIDE_NEW;
	return ROLLOUT_SIDE_OLD;
}

bool
rollout_filter_wants_new(
    const struct rollout_filter *filter, uint32_t draw_permille)
{
	if (filter->completed)
		return true;
	return filter->running && draw_permille < filter->share_permille;
}
