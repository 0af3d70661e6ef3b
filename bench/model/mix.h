/// @file
/// Traffic mix: services, kinds of requests and faults of a simulation.
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

/// A service. Its backend servers are assigned to the data centres round-robin.
struct mix_service {
	char name[MEMBER_NAME_BYTES];
	uint32_t servers;
	uint32_t slots;
	/// Bounds of the servers' speeds, which are evenly spaced.
	uint32_t slowest_pct;
	uint32_t fastest_pct;
	/// Neighbours on the servers' VMs: in each period a server is slowed by
	/// the factor with a probability. A period of 0: no neighbours.
	int64_t neighbour_period_us;
	uint32_t neighbour_pct;
	double neighbour_factor;
};

/// A kind of request.
struct mix_kind {
	char name[RULES_NAME_BYTES];
	uint32_t service;
	double rate_per_s; ///< Of callers; 0: only servers send it.
	int64_t work_us;   ///< Mean time at a server of speed 100 %.
	int64_t target_us;
	int64_t deadline_us;
	double worth;		 ///< Of a response within the target.
	double worth_late;	 ///< Of a later one within the deadline.
	uint32_t rank;		 ///< 0: highest.
	uint32_t caller_retries; ///< After a refusal or a failure.
	bool safe;		 ///< Repeating it is safe.
	/// Kind that its server requests before its own work; -1: none.
	int callee;
	uint32_t calls_pct;   ///< Share of requests that make such calls.
	uint32_t calls_count; ///< Parallel calls of each of those.
	/// Requests that cannot be told from the others and take so many times
	/// as long.
	uint32_t heavy_pct;
	double heavy_factor;
};

enum mix_event_type {
	MIX_BURST,   ///< The rate of a kind is multiplied by factor.
	MIX_SLOW,    ///< Work at servers takes factor times as long.
	MIX_FAILING, ///< Servers fail a fraction of their work.
	MIX_RESTART, ///< Servers crash, then restart with a slow start.
	MIX_LIMIT,   ///< Servers state a limit of factor requests a second.
};

/// A temporary change of load, or a fault.
struct mix_event {
	enum mix_event_type type;
	int64_t at_us;
	int64_t duration_us;
	uint32_t index;	  ///< Of the kind (MIX_BURST) or service.
	uint32_t servers; ///< Number of servers affected.
	double factor;	  ///< For MIX_FAILING: failure rate.
};

struct mix {
	char name[MEMBER_NAME_BYTES];
	uint32_t dcs;
	uint32_t dcs_in_region;
	int64_t dc_latency_us;	   ///< One way, in a region.
	int64_t region_latency_us; ///< One way, between regions.
	int64_t caller_latency_us; ///< One way, to a proxy.
	int64_t slow_start_us;	   ///< Time at half speed after a restart.
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
