/// @file
/// Order of the requests of one rank among workspaces: each gets slot time in
/// proportion to its weight, whatever the others send (start-time fair queueing).
///
/// A request gets a tag when it arrives: the virtual time, or the end of what its
/// workspace has been charged, whichever is later. Requests of workspaces that use more than their share start
/// after the others, in the order of their tags, and the virtual time follows the tags of those that start. A
/// workspace that sends little thus goes ahead of one that floods; what it did not
/// use earlier is a credit of four requests at most.
#ifndef MV_CORE_REQUESTS_FAIR_QUEUE_H
#define MV_CORE_REQUESTS_FAIR_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/// Workspaces that a queue tells apart. With more, the one that was charged least
/// is forgotten.
#define FAIR_QUEUE_FLOWS 128

/// Weight of a workspace of the mean size.
#define FAIR_QUEUE_WEIGHT 1000

/// What a workspace has been charged.
struct fair_flow {
	uint64_t workspace;
	int64_t charged_until_us; ///< Virtual time.
};

/// Zero it before the first use.
struct fair_queue {
	int64_t virtual_us;
	/// Part of the queued requests started lately that had gone ahead of
	/// others when they arrived; a moving average.
	double overtaking;
	double step_us; ///< Moving average of the virtual time for each start.
	uint32_t flow_count;
	struct fair_flow flows[FAIR_QUEUE_FLOWS];
};

/// Returns the tag of a new request. A workspace that was not charged lately has a
/// credit of four requests, so that those that come together do not count as a flood.
///
/// @param workspace  hash of its name; 0 for requests of none, which count as one
/// @param cost_us    slot time that the request is expected to use, by its weight
int64_t fair_queue_tag(
    const struct fair_queue *queue, uint64_t workspace, int64_t cost_us);

/// Whether the workspace of a request with a tag uses more than its share. Others go
/// ahead of such requests only: the rest keeps the order of arrival, since each turn
/// that is changed makes somebody late.
bool fair_queue_is_over_share(
    const struct fair_queue *queue, int64_t tag_us, int64_t cost_us);

/// Charges a workspace for a request with a tag.
void fair_queue_charge(struct fair_queue *queue, uint64_t workspace,
    int64_t tag_us, int64_t cost_us);

/// Corrects a charge.
///
/// @param cost_us  added; a negative one is returned to the workspace
void fair_queue_correct(
    struct fair_queue *queue, uint64_t workspace, int64_t cost_us);

/// Returns slot time by a weight.
int64_t fair_queue_cost_us(int64_t slot_time_us, uint32_t weight);

/// Notes the start of a request. The virtual time also passes if only workspaces
/// with credit have a turn: none waits for ever.
///
/// @param present  requests that run or are queued, at least 1
void fair_queue_start(struct fair_queue *queue, int64_t tag_us, int64_t cost_us,
    uint32_t present);

/// Notes that a queued request starts.
///
/// @param went_ahead  whether it went ahead of others when it arrived
void fair_queue_note_turn(struct fair_queue *queue, bool went_ahead);

/// Estimates how many requests start before one whose workspace uses more than its
/// share: those that are queued ahead of it, and those of others that will yet go
/// ahead of it.
uint32_t fair_queue_ahead(
    const struct fair_queue *queue, int64_t tag_us, uint32_t queued_ahead);

/// Returns the weight of a workspace.
///
/// @param rate_milli  its limit; 0: none
/// @param mean_milli  mean limit of the limited workspaces; 0: there is none
uint32_t fair_queue_weight(uint64_t rate_milli, uint64_t mean_milli);

#endif
