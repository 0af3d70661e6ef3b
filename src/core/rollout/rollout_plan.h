/// @file
/// Plan of a roll-out: which share of a service's requests the new version gets
/// at a time, and when the roll-out is complete.
///
/// The load that it answers: a version that is bad from the start, under load or
/// late may get a bounded part of all requests until the deadline; so the share
/// stays small for more than half of the time. A good one has to have everything
/// by the deadline, and the work of the old servers to have ended by then, as
/// they stop at once when the roll-out is complete.
#ifndef MV_CORE_ROLLOUT_ROLLOUT_PLAN_H
#define MV_CORE_ROLLOUT_ROLLOUT_PLAN_H

#include <stdbool.h>
#include <stdint.h>

struct rollout_plan_state {
	int64_t used_ms;  ///< Since the order.
	int64_t begun_ms; ///< Since the order, at the first share; -1: none.
	int64_t within_ms;
	int64_t stage_ms; ///< Since the last change of the share.
	uint32_t share_permille;
	/// Of all requests until the deadline, those that a bad version may get.
	uint32_t exposure_permille;
	uint32_t new_slots; ///< Of servers of the version that take work.
	uint32_t old_slots;
	uint32_t old_running; ///< Requests at the old servers.
	uint64_t answers;     ///< Of the new version.
	int64_t all_answers;  ///< Of both versions since the order.
	int64_t silent_ms;    ///< Since the last counts of a new server.
	int64_t leading_ms;   ///< Since this source leads, and gets counts.
	bool doubted;	      ///< There is some evidence against the version.
};

enum rollout_plan_action {
	ROLLOUT_PLAN_WAIT,
	ROLLOUT_PLAN_STAGE, ///< Change the share.
	ROLLOUT_PLAN_COMPLETE,
};

struct rollout_plan_decision {
	enum rollout_plan_action action;
	uint32_t share_permille;
	const char *why;
};

struct rollout_plan_decision rollout_plan_decide(
    const struct rollout_plan_state *state);

#endif
