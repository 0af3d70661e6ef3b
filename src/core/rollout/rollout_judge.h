/// @file
/// Compares the new version of a service with the old one while a roll-out runs,
/// by route: failures, and answers far slower than the old version's median.
///
/// Each route has a cumulative sum of log likelihood ratios (Page's CUSUM test,
/// E. S. Page, Biometrika 41, 1954): of "the new version fails much more often"
/// against "as often as the old one does now". It forgets good answers, so that
/// a version that turns bad late is found as fast as one that is bad from the
/// start. What also hits the old servers at the time, such as a burst or a
/// service that both call, is no evidence: answers of both versions are compared
/// in windows of the same time. A few bad servers are not a bad version: without
/// the worst fifth of them there has to be a fault still.
#ifndef MV_CORE_ROLLOUT_ROLLOUT_JUDGE_H
#define MV_CORE_ROLLOUT_ROLLOUT_JUDGE_H

#include "core/rollout/rollout_counts.h"

#define ROLLOUT_JUDGE_ROUTES 16

/// Bad servers from which a proxy speaks for a version.
#define ROLLOUT_BAD_SERVERS 3

/// Kinds of bad answers, each with a test of its own.
enum rollout_fault {
	ROLLOUT_FAULT_FAILED,
	ROLLOUT_FAULT_SLOW,
	ROLLOUT_FAULTS,
};

/// Answers of one version.
struct rollout_sample {
	double answers;
	double failures;
	double runs[ROLLOUT_RUN_BUCKETS];
};

struct rollout_judge_route {
	uint64_t route;
	struct rollout_sample old; ///< Of which older ones weigh less.
	// Of the current window.
	struct rollout_sample old_now;
	struct rollout_sample new_now;
	double sums[ROLLOUT_FAULTS];	///< The tests.
	double shares[ROLLOUT_FAULTS];	///< Of bad answers, as expected last.
	uint64_t rises[ROLLOUT_FAULTS]; ///< Times that a test was at 0.
};

/// Answers of a server of the new version on a route since the test began to rise.
struct rollout_judge_tally {
	uint64_t rise; ///< Which rise of the test these belong to.
	uint32_t answers;
	uint32_t bad;
};

/// A server of the new version.
struct rollout_judge_server {
	uint64_t server;
	struct rollout_judge_tally tallies[ROLLOUT_JUDGE_ROUTES]
					  [ROLLOUT_FAULTS];
};

struct rollout_judge {
	struct rollout_judge_route routes[ROLLOUT_JUDGE_ROUTES];
	uint32_t route_count;
	struct rollout_judge_server *servers;
	uint32_t server_count;
	/// Servers of the new version that take work, if the caller knows: set
	/// it before rollout_judge_is_bad.
	uint32_t known_servers;
	uint64_t answers;	    ///< Of the new version.
	uint64_t old_answers;	    ///< Of the old version.
	int64_t window_deadline_us; ///< End of the current window; 0: none yet.
};

/// Evidence against a version.
struct rollout_finding {
	enum rollout_fault fault;
	uint64_t route;
	uint64_t answers; ///< Since the test began to rise, as the others.
	uint64_t bad;
	double expected;  ///< Share of bad answers, by the old version.
	uint32_t servers; ///< Of the new version that answered.
	uint32_t bad_servers;
};

void rollout_judge_init(struct rollout_judge *judge);

void rollout_judge_free(struct rollout_judge *judge);

/// Adds new counts of one server.
///
/// @param server  identifies it
/// @param is_new  it runs the new version
/// @param counts  what it answered since the last counts
void rollout_judge_add(struct rollout_judge *judge, uint64_t server,
    bool is_new, const struct rollout_counts *counts, int64_t now_us);

/// Ends the current window if it is over. Call it now and then also without new
/// counts.
void rollout_judge_tick(struct rollout_judge *judge, int64_t now_us);

/// Tells whether there is evidence against the new version that calls for more
/// answers before its share grows.
bool rollout_judge_doubts(const struct rollout_judge *judge);

/// Tells whether the new version is bad.
bool rollout_judge_is_bad(
    const struct rollout_judge *judge, struct rollout_finding *finding);

#endif
