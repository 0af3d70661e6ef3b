/// @file
/// Mix of traffic that a model of a mesh is played with.
#ifndef MV_BENCH_MODEL_MIX_H
#define MV_BENCH_MODEL_MIX_H

#include <stdbool.h>
#include <stdint.h>

#include "core/error.h"
#include "core/membership/member.h"
#include "core/rules/rules.h"

#define MIX_MAX_SERVICES 8
#define MIX_MAX_KINDS	 16
#define MIX_MAX_EVENTS	 16
#define MIX_MAX_RANKS	 8

/// A service, whose backend servers are spread over the data centres in turn.
struct mix_service {
	char name[MEMBER_NAME_BYTES];
	uint32_t servers;
	uint32_t slots;
	/// Speeds of the servers, evenly spread between the two.
	uint32_t slowest_pct;
	uint32_t fastest_pct;
};

/// A kind of request.
struct mix_kind {
	char name[RULES_NAME_BYTES];
	uint32_t service;
	double per_s; ///< 0: only called by servers.
	int64_t work_us;
	int64_t target_us;
	int64_t deadline_us;
	double worth;	   ///< Of an answer within the target.
	double worth_late; ///< Of one within the deadline.
	uint32_t rank;	   ///< 0 goes first.
	uint32_t repeats;  ///< Of the caller, after a refusal or a failure.
	bool safe;	   ///< The mesh may run it again.
	/// Kind that its server calls before its own work; -1: none.
	int calls;
	uint32_t calls_pct;   ///< Requests that do so.
	uint32_t calls_count; ///< Calls of each, all at once.
};

enum mix_event_type {
	MIX_BURST,   ///< A kind comes factor times as often.
	MIX_SLOW,    ///< Servers take factor times as long.
	MIX_FAILING, ///< Servers fail a part of what they run.
	MIX_RESTART, ///< Servers are gone at once, then come back cold.
};

struct mix_event {
	enum mix_event_type type;
	int64_t at_us;
	int64_t for_us;
	uint32_t index;	  ///< Of the kind, or of the service.
	uint32_t servers; ///< Number of servers that it hits.
	double factor;	  ///< Or the part that fails.
};

struct mix {
	char name[MEMBER_NAME_BYTES];
	uint32_t dcs;
	uint32_t dcs_in_region;
	int64_t dc_us;	   ///< One way between data centres of a region.
	int64_t region_us; ///< One way between regions.
	int64_t caller_us; ///< One way between a caller and its proxy.
	int64_t cold_us;   ///< A server that has started is half as fast.
	int64_t run_us;
	struct mix_service services[MIX_MAX_SERVICES];
	uint32_t service_count;
	struct mix_kind kinds[MIX_MAX_KINDS];
	uint32_t kind_count;
	struct mix_event events[MIX_MAX_EVENTS];
	uint32_t event_count;
};

/// Reads a mix from a JSON file.
///
/// @return 0, or -1 with err set
int mix_load(const char *path, struct mix *mix, struct error *err);

#endif
