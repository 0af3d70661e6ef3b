// Start-time fair queueing among workspaces.
#include <stddef.h>

#include "core/requests/fair_queue.h"

/// Bounds of a weight: a hundredth and a hundred times that of the mean.
#define WEIGHT_MIN 10
#define WEIGHT_MAX 100000

/// Requests that a workspace may send at once without falling behind others.
#define CREDIT_REQUESTS 4

/// Requests beyond its share from which on a workspace counts as above it: callers
/// do not come evenly.
#define OVER_SHARE_REQUESTS 2

/// Starts over which averages are taken.
#define TURN_SAMPLES 32

/// Least part of the starts that is left to those who are overtaken.
#define OTHERS_MIN 0.02

static const struct fair_flow *
find_flow(const struct fair_queue *queue, uint64_t workspace)
{
	uint32_t i;

	for (i = 0; i < queue->flow_count; i++)
		if (queue->flows[i].workspace == workspace)
			return &queue->flows[i];
	return NULL;
}

/// Finds a workspace, or replaces the one that was charged least.
static struct fair_flow *
find_or_add_flow(struct fair_queue *queue, uint64_t workspace)
{
	struct fair_flow *least = &queue->flows[0];
	uint32_t i;

	for (i = 0; i < queue->flow_count; i++) {
		struct fair_flow *flow = &queue->flows[i];

		if (flow->workspace == workspace)
			return flow;
		if (flow->charged_until_us < least->charged_until_us)
			least = flow;
	}
	if (queue->flow_count < FAIR_QUEUE_FLOWS)
		least = &queue->flows[queue->flow_count++];
	least->workspace = workspace;
	least->charged_until_us = queue->virtual_us;
	return least;
}

int64_t
fair_queue_cost_us(int64_t slot_time_us, uint32_t weight)
{
	return slot_time_us * FAIR_QUEUE_WEIGHT /
	    (weight == 0 ? FAIR_QUEUE_WEIGHT : weight);
}

bool
fair_queue_is_over_share(
    const struct fair_queue *queue, int64_t tag_us, int64_t cost_us)
{
	return tag_us > queue->virtual_us + OVER_SHARE_REQUESTS * cost_us;
}

int64_t
fair_queue_tag(
    const struct fair_queue *queue, uint64_t workspace, int64_t cost_us)
{
	const struct fair_flow *flow = find_flow(queue, workspace);
	int64_t least_us = queue->virtual_us - CREDIT_REQUESTS * cost_us;

	if (flow == NULL || flow->charged_until_us < least_us)
		return least_us;
	return flow->charged_until_us;
}

void
fair_queue_charge(struct fair_queue *queue, uint64_t workspace, int64_t tag_us,
    int64_t cost_us)
{
	find_or_add_flow(queue, workspace)->charged_until_us = tag_us + cost_us;
}

void
fair_queue_correct(
    struct fair_queue *queue, uint64_t workspace, int64_t cost_us)
{
	find_or_add_flow(queue, workspace)->charged_until_us += cost_us;
}

void
fair_queue_start(
    struct fair_queue *queue, int64_t tag_us, int64_t cost_us, uint32_t present)
{
	int64_t step_us = cost_us / present;

	if (tag_us > queue->virtual_us + step_us)
		step_us = tag_us - queue->virtual_us;

	queue->virtual_us += step_us;
	queue->step_us += ((double)step_us - queue->step_us) / TURN_SAMPLES;
}

void
fair_queue_note_turn(struct fair_queue *queue, bool went_ahead)
{
	queue->overtaking +=
	    ((went_ahead ? 1 : 0) - queue->overtaking) / TURN_SAMPLES;
}

uint32_t
fair_queue_ahead(
    const struct fair_queue *queue, int64_t tag_us, uint32_t queued_ahead)
{
	double others = 1 - queue->overtaking;
	double overtaken =
	    queued_ahead / (others < OTHERS_MIN ? OTHERS_MIN : others);
	double until_turn;

	// Others may go ahead until the virtual time reaches the tag.
	until_turn = queued_ahead +
	    (double)(tag_us - queue->virtual_us) /
		(queue->step_us < 1 ? 1 : queue->step_us);
	return (uint32_t)(overtaken < until_turn ? overtaken : until_turn);
}

uint32_t
fair_queue_weight(uint64_t rate_milli, uint64_t mean_milli)
{
	double weight;

	if (rate_milli == 0 || mean_milli == 0)
		return FAIR_QUEUE_WEIGHT;
	weight = (double)rate_milli / (double)mean_milli * FAIR_QUEUE_WEIGHT;
	if (weight < WEIGHT_MIN)
		return WEIGHT_MIN;
	return weight > WEIGHT_MAX ? WEIGHT_MAX : (uint32_t)weight;
}
