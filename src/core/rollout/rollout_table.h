/// @file
/// Table of roll-outs, as each process keeps it, and what it says of the servers
/// of a service.
#ifndef MV_CORE_ROLLOUT_ROLLOUT_TABLE_H
#define MV_CORE_ROLLOUT_ROLLOUT_TABLE_H

#include "core/rollout/rollout.h"

#define ROLLOUT_MAX_BARRED ROLLOUT_MAX_RECORDS

/// At most one record for each version of a service.
struct rollout_table {
	struct rollout items[ROLLOUT_MAX_RECORDS];
	uint32_t count;
};

/// What a server's version means for the requests of its service.
enum rollout_side {
	ROLLOUT_SIDE_OLD, ///< Any version that no order names.
	ROLLOUT_SIDE_NEW, ///< That a roll-out moves requests to, or has moved.
	ROLLOUT_SIDE_BARRED, ///< Rolled back: it gets none.
};

/// The part of the table that concerns one service.
struct rollout_filter {
	bool running;
	bool completed;
	uint64_t order;		 ///< Of the one that runs.
	uint32_t share_permille; ///< Of the requests, to new ones; if running.
	char version[MEMBER_VERSION_BYTES]; ///< Running, or completed last.
	char barred[ROLLOUT_MAX_BARRED][MEMBER_VERSION_BYTES];
	uint32_t barred_count;
};

/// Adds a record, or replaces an older one of the same version. A record never
/// replaces one of a later revision.
///
/// @return whether the table changed
bool rollout_table_merge(
    struct rollout_table *table, const struct rollout *record);

/// Returns the highest revision in the table; 0: it is empty.
uint64_t rollout_table_revision(const struct rollout_table *table);

/// Returns the record of a version of a service, or NULL.
const struct rollout *rollout_table_find(const struct rollout_table *table,
    const char *service, const char *version);

/// Returns the roll-out of a service that runs, or NULL.
const struct rollout *rollout_table_find_running(
    const struct rollout_table *table, const char *service);

/// Returns the roll-out of a service that was ordered last, or NULL.
const struct rollout *rollout_table_find_last(
    const struct rollout_table *table, const char *service);

/// Copies the records above a revision, the lowest first.
///
/// @return their number, max at most
uint32_t rollout_table_since(const struct rollout_table *table,
    uint64_t revision, struct rollout *out, uint32_t max);

/// Collects what the table says of a service.
void rollout_table_get_filter(const struct rollout_table *table,
    const char *service, struct rollout_filter *out);

/// Tells what a server's version means.
enum rollout_side rollout_filter_side(
    const struct rollout_filter *filter, const char *version);

/// Decides by a draw whether a request goes to a new server.
///
/// @param draw_permille  0 to 999, one for each request
bool rollout_filter_wants_new(
    const struct rollout_filter *filter, uint32_t draw_permille);

#endif
