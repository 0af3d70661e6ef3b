/// @file
/// What a source knows of the versions in force at the proxies.
#ifndef MV_CORE_MEMBERSHIP_REPORT_TABLE_H
#define MV_CORE_MEMBERSHIP_REPORT_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"

struct report {
	struct member member;  ///< version: in force now at that process.
	uint64_t version_seen; ///< Highest ever seen at that name.
	int64_t heard_us;
	bool left;
};

struct report_table {
	struct report *items; ///< Sorted by name.
	uint32_t count;
	uint32_t capacity;
	int64_t stale_us;  ///< Silence after which a proxy may be behind.
	int64_t forget_us; ///< Silence after which it is dropped.
};

/// Sums over the proxies of a region, or of all.
struct report_sum {
	uint32_t members;
	uint32_t in_force;
};

void report_table_free(struct report_table *table);

/// Takes a report.
///
/// @return the entry
const struct report *report_table_note(struct report_table *table,
    const struct member *member, bool leaving, int64_t now_us);

/// Drops a proxy by name.
///
/// @return whether it was there
bool report_table_forget(struct report_table *table, const char *name);

/// Drops proxies not heard of for long.
void report_table_expire(struct report_table *table, int64_t now_us);

/// Tells whether a version or a later one is surely in force at a proxy.
bool report_table_in_force(const struct report_table *table,
    const struct report *report, uint64_t version, int64_t now_us);

/// @param region  NULL for all regions
struct report_sum report_table_sum(const struct report_table *table,
    const char *region, uint64_t version, int64_t now_us);

#endif
