// Table of the versions in force at the proxies.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/membership/report_table.h"

void
report_table_free(struct report_table *table)
{
	free(table->items);
	table->items = NULL;
	table->count = table->capacity = 0;
}

static uint32_t
report_position(const struct report_table *table, const char *name)
{
	uint32_t low = 0;
	uint32_t high = table->count;

	while (low < high) {
		uint32_t mid = (low + high) / 2;

		if (strcmp(table->items[mid].member.name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static struct report *
insert_report(struct report_table *table, uint32_t at)
{
	if (table->count == table->capacity) {
		table->capacity = table->capacity ? table->capacity * 2 : 32;
		table->items = realloc(
		    table->items, table->capacity * sizeof(*table->items));
		assert(table->items != NULL);
	}
	memmove(table->items + at + 1, table->items + at,
	    (table->count - at) * sizeof(*table->items));
	table->count++;
	memset(&table->items[at], 0, sizeof(table->items[at]));
	return &table->items[at];
}

/// Returns whether a report is a late one of an earlier process, or of this one.
static bool
is_outdated(const struct report *r, const struct member *member)
{
	if (member->incarnation != r->member.incarnation)
		return member->incarnation < r->member.incarnation;
	return member->version < r->member.version;
}

const struct report *
report_table_update(struct report_table *table, const struct member *member,
    bool leaving, int64_t now_us)
{
	uint32_t at = report_position(table, member->name);
	struct report *r;

	if (at == table->count ||
	    strcmp(table->items[at].member.name, member->name) != 0)
		r = insert_report(table, at);
	else
		r = &table->items[at];
	if (is_outdated(r, member)) {
		if (now_us - r->reported_us <= table->stale_us)
			return r;
		// The later process never reported again: this one is there.
		r->version_seen = 0;
	}
	r->member = *member;
	if (member->version > r->version_seen)
		r->version_seen = member->version;
	r->reported_us = now_us;
	r->left = leaving;
	return r;
}

void
report_table_set_rollouts(struct report_table *table,
    const struct member *member, uint64_t revision, uint64_t stopped)
{
	uint32_t at = report_position(table, member->name);
	struct report *r = &table->items[at];

	if (at == table->count || strcmp(r->member.name, member->name) != 0 ||
	    r->member.incarnation != member->incarnation)
		return;
	r->rollout_revision = revision;
	r->rollout_stopped = stopped;
}

uint32_t
report_table_count_stopped(const struct report_table *table, uint64_t order,
    int64_t now_us, uint32_t *members)
{
	uint32_t stopped = 0;
	uint32_t i;

	*members = 0;
	for (i = 0; i < table->count; i++) {
		const struct report *r = &table->items[i];

		if (r->left || now_us - r->reported_us > table->stale_us)
			continue;
		(*members)++;
		stopped += r->rollout_stopped == order;
	}
	return stopped;
}

static void
remove_report(struct report_table *table, uint32_t at)
{
	table->count--;
	memmove(table->items + at, table->items + at + 1,
	    (table->count - at) * sizeof(*table->items));
}

bool
report_table_remove(struct report_table *table, const char *name)
{
	uint32_t at = report_position(table, name);

	if (at == table->count ||
	    strcmp(table->items[at].member.name, name) != 0)
		return false;
	remove_report(table, at);
	return true;
}

void
report_table_expire(struct report_table *table, int64_t now_us)
{
	uint32_t i;

	for (i = table->count; i-- > 0;)
		if (now_us - table->items[i].reported_us > table->forget_us)
			remove_report(table, i);
}

bool
report_table_in_force(const struct report_table *table,
    const struct report *report, uint64_t version, int64_t now_us)
{
	return report->member.version >= version &&
	    now_us - report->reported_us <= table->stale_us;
}

struct report_sum
report_table_sum(const struct report_table *table, const char *region,
    uint64_t version, int64_t now_us)
{
	struct report_sum sum = {0, 0};
	uint32_t i;

	for (i = 0; i < table->count; i++) {
		const struct report *r = &table->items[i];

		if (r->left ||
		    (region != NULL && strcmp(r->member.region, region) != 0))
			continue;
		sum.members++;
		sum.in_force +=
		    report_table_in_force(table, r, version, now_us);
	}
	return sum;
}
