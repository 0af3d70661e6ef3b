/// @file
/// Table of the versions in force at the proxies, as reported to a source.
#ifndef MV_CORE_MEMBERSHIP_REPORT_TABLE_H
#define MV_CORE_MEMBERSHIP_REPORT_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"

struct report {
	struct member member;  ///< Its version is in force at that process.
	uint64_t version_seen; ///< Highest ever reported under that name.
	int64_t reported_us;
	bool left;
	uint64_t rollout_revision; ///< Highest of the roll-outs known there.
	uint64_t rollout_stopped; ///< Order that it stopped following; 0: none.
	uint64_t rollout_notified; ///< Revision that it was last notified of.
	int64_t rollout_notice_us; ///< Time of that notice.
};

struct report_table {
	struct report *items; ///< Sorted by name.
	uint32_t count;
	uint32_t capacity;
	int64_t stale_us;  ///< Age from which a report is not trusted.
	int64_t forget_us; ///< Age from which a report is removed.
};

/// Totals over the proxies of one region or of all regions.
struct report_sum {
	uint32_t members;
	uint32_t in_force;
};

void report_table_free(struct report_table *table);

/// Adds or updates the report of a proxy. Ignores an outdated report, unless the
/// newer one is stale: a report that another program wrote, or that a process
/// with its clock ahead sent, must not keep out the true ones.
///
/// @return the entry
const struct report *report_table_update(struct report_table *table,
    const struct member *member, bool leaving, int64_t now_us);

/// Sets the revision of the roll-outs that a process of a proxy knows, and the
/// order whose version it stopped using.
void report_table_set_rollouts(struct report_table *table,
    const struct member *member, uint64_t revision, uint64_t stopped);

/// Counts the proxies with fresh reports that stopped using the version of an
/// order.
///
/// @param members  receives the number of proxies with fresh reports
uint32_t report_table_count_stopped(const struct report_table *table,
    uint64_t order, int64_t now_us, uint32_t *members);

/// Removes a proxy by name.
///
/// @return whether it was in the table
bool report_table_remove(struct report_table *table, const char *name);

/// Removes proxies whose last report is older than forget_us.
void report_table_expire(struct report_table *table, int64_t now_us);

/// Returns whether a fresh report confirms this or a later version in force.
bool report_table_in_force(const struct report_table *table,
    const struct report *report, uint64_t version, int64_t now_us);

/// Counts proxies that have not left, and those with a version in force.
///
/// @param region  NULL for all regions
struct report_sum report_table_sum(const struct report_table *table,
    const char *region, uint64_t version, int64_t now_us);

#endif
