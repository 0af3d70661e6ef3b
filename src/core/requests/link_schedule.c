// Order of the bytes that leave this VM.
#include <stddef.h>
#include <string.h>

#include "core/requests/link_schedule.h"

/// Part of the link that is planned with. Acknowledgements, gossip and answers
/// to callers pass beside it.
#define USED_PERMILLE 960
#define PERMILLE      1000

/// What may be on its way to the link, in time. Enough for a late timer, and
/// short beside the target of any request.
#define DEPTH_US 5000

/// A piece takes about this long on the link.
#define PIECE_US	4000
#define MIN_PIECE_BYTES 4096
#define MAX_PIECE_BYTES 65536

/// A body that leaves later than this before its target does not reach its caller
/// in time: what is on its way to the link, and the ingress, take as long.
#define ARRIVAL_MARGIN_US 20000

/// An answer has so long to leave, whatever its deadline: its request may have run once
/// and for all. An ingress waits as long for the head.
#define LAST_ANSWER_US 100000

/// A body whose deadline is so near goes before one for a proxy that leaves, if that has
/// the second time left.
#define NEAR_DEADLINE_US 300000
#define AMPLE_TIME_US	 2000000

/// Packets of a stream: data and heads, IP included.
#define PACKET_DATA_BYTES 1448
#define PACKET_HEAD_BYTES 52

void
link_schedule_init(struct link_schedule *s, double link_mbps)
{
	memset(s, 0, sizeof(*s));
	// Megabits a second are bits a microsecond.
	s->bytes_per_us = link_mbps / 8 * USED_PERMILLE / PERMILLE;
}

/// Bytes of the packets that carry data.
static int64_t
packed_bytes(int64_t size_bytes)
{
	return size_bytes +
	    (size_bytes + PACKET_DATA_BYTES - 1) / PACKET_DATA_BYTES *
	    PACKET_HEAD_BYTES;
}

static void
update_backlog(struct link_schedule *s, int64_t now_us)
{
	if (now_us <= s->updated_us)
		return;
	s->backlog_bytes -= s->bytes_per_us * (double)(now_us - s->updated_us);
	if (s->backlog_bytes < 0)
		s->backlog_bytes = 0;
	s->updated_us = now_us;
}

void
link_schedule_charge(
    struct link_schedule *s, int64_t size_bytes, int64_t now_us)
{
	if (s->bytes_per_us <= 0)
		return;
	update_backlog(s, now_us);
	s->backlog_bytes += (double)packed_bytes(size_bytes);
}

void
link_schedule_add(struct link_schedule *s, struct link_flow *flow)
{
	flow->next = NULL;
	flow->prev = s->last;
	if (s->last != NULL)
		s->last->next = flow;
	else
		s->first = flow;
	s->last = flow;
	s->queued_bytes += flow->queued_bytes;
}

void
link_schedule_remove(struct link_schedule *s, struct link_flow *flow)
{
	if (flow->prev != NULL)
		flow->prev->next = flow->next;
	else
		s->first = flow->next;
	if (flow->next != NULL)
		flow->next->prev = flow->prev;
	else
		s->last = flow->prev;
	s->queued_bytes -= flow->queued_bytes;
}

void
link_schedule_expect(struct link_schedule *s, struct link_flow *flow)
{
	flow->prev = NULL;
	flow->next = s->first_expected;
	if (flow->next != NULL)
		flow->next->prev = flow;
	s->first_expected = flow;
	s->expected_bytes += flow->left_bytes;
}

void
link_schedule_unexpect(struct link_schedule *s, struct link_flow *flow)
{
	if (flow->prev != NULL)
		flow->prev->next = flow->next;
	else
		s->first_expected = flow->next;
	if (flow->next != NULL)
		flow->next->prev = flow->prev;
	s->expected_bytes -= flow->left_bytes;
}

void
link_schedule_queue(
    struct link_schedule *s, struct link_flow *flow, int64_t size_bytes)
{
	flow->queued_bytes += size_bytes;
	if (flow->left_bytes < flow->queued_bytes)
		flow->left_bytes = flow->queued_bytes;
	s->queued_bytes += size_bytes;
}

void
link_schedule_take(
    struct link_schedule *s, struct link_flow *flow, int64_t size_bytes)
{
	flow->queued_bytes -= size_bytes;
	flow->left_bytes -= size_bytes;
	if (flow->left_bytes < flow->queued_bytes)
		flow->left_bytes = flow->queued_bytes;
	s->queued_bytes -= size_bytes;
}

int64_t
link_schedule_transfer_us(const struct link_schedule *s, int64_t size_bytes)
{
	if (s->bytes_per_us <= 0)
		return 0;
	return (int64_t)((double)packed_bytes(size_bytes) / s->bytes_per_us);
}

/// What a flow can still reach if it has the link for itself.
enum link_reach {
	REACH_NOTHING, ///< Its caller will have left.
	REACH_DEADLINE,
	REACH_TARGET,
};

static bool
is_past(int64_t time_us, int64_t end_us)
{
	return end_us != 0 && time_us > end_us;
}

static enum link_reach
find_reach(
    const struct link_schedule *s, const struct link_flow *flow, int64_t now_us)
{
	int64_t arrival_us =
	    now_us + link_schedule_transfer_us(s, flow->left_bytes);

	if (is_past(arrival_us, flow->deadline_us) ||
	    is_past(arrival_us, flow->receiver_end_us) ||
	    is_past(arrival_us, s->end_us))
		return REACH_NOTHING;
	return flow->target_deadline_us == 0 ||
		arrival_us + ARRIVAL_MARGIN_US <= flow->target_deadline_us
	    ? REACH_TARGET
	    : REACH_DEADLINE;
}

/// Time at which a flow to a proxy that leaves is cut; INT64_MAX if its receiver
/// stays, or does not get it whole in any case.
static int64_t
find_cut_us(const struct link_flow *flow, enum link_reach reach)
{
	if (flow->receiver_end_us == 0 || reach == REACH_NOTHING)
		return INT64_MAX;
	if (flow->deadline_us != 0 && flow->deadline_us < flow->receiver_end_us)
		return flow->deadline_us;
	return flow->receiver_end_us;
}

/// Whether a flow to a proxy that stays is about to be ended by its deadline.
static bool
is_near_deadline(
    const struct link_flow *flow, enum link_reach reach, int64_t now_us)
{
	return flow->receiver_end_us == 0 && reach != REACH_NOTHING &&
	    flow->deadline_us != 0 &&
	    flow->deadline_us - now_us <= NEAR_DEADLINE_US;
}

/// Whether a flow goes before another. The first one added goes before its
/// equals.
static bool
goes_before(const struct link_schedule *s, const struct link_flow *flow,
    const struct link_flow *other, int64_t now_us)
{
	enum link_reach reach = find_reach(s, flow, now_us);
	enum link_reach other_reach = find_reach(s, other, now_us);
	int64_t cut_us = find_cut_us(flow, reach);
	int64_t other_cut_us = find_cut_us(other, other_reach);

	// What a proxy lacks when it ends is cut; what others get is only late, unless
	// their callers are about to leave.
	if (cut_us != other_cut_us) {
		if (is_near_deadline(other, other_reach, now_us))
			return cut_us - now_us <= AMPLE_TIME_US;
		if (is_near_deadline(flow, reach, now_us))
			return other_cut_us - now_us > AMPLE_TIME_US;
		return cut_us < other_cut_us;
	}
	if (flow->begun != other->begun)
		return flow->begun;
	if (flow->worth != other->worth)
		return flow->worth > other->worth;
	if (reach != other_reach)
		return reach > other_reach;
	if (reach == REACH_TARGET)
		return flow->target_deadline_us < other->target_deadline_us;
	// Late bodies get what others leave: as many as possible arrive.
	return flow->left_bytes < other->left_bytes;
}

struct link_flow *
link_schedule_next(struct link_schedule *s, int64_t now_us)
{
	struct link_flow *best = NULL;
	struct link_flow *flow;

	if (s->queued_bytes == 0 || link_schedule_wait_us(s, now_us) > 0)
		return NULL;
	for (flow = s->first; flow != NULL; flow = flow->next)
		if (flow->queued_bytes > 0 && !flow->blocked &&
		    (best == NULL || goes_before(s, flow, best, now_us)))
			best = flow;
	return best;
}

int64_t
link_schedule_answer_deadline_us(int64_t deadline_us, int64_t now_us)
{
	int64_t last_us = now_us + LAST_ANSWER_US;

	return deadline_us > last_us ? deadline_us : last_us;
}

struct link_flow *
link_schedule_find_late(const struct link_schedule *s, int64_t now_us)
{
	struct link_flow *flow;

	for (flow = s->first; flow != NULL; flow = flow->next)
		if (flow->deadline_us != 0 && now_us > flow->deadline_us)
			return flow;
	return NULL;
}

int64_t
link_schedule_piece_bytes(const struct link_schedule *s)
{
	int64_t piece_bytes = (int64_t)(s->bytes_per_us * PIECE_US);

	if (piece_bytes < MIN_PIECE_BYTES)
		return MIN_PIECE_BYTES;
	return piece_bytes < MAX_PIECE_BYTES ? piece_bytes : MAX_PIECE_BYTES;
}

int64_t
link_schedule_wait_us(struct link_schedule *s, int64_t now_us)
{
	double over_bytes;

	if (s->bytes_per_us <= 0)
		return 0;
	update_backlog(s, now_us);
	over_bytes = s->backlog_bytes - s->bytes_per_us * DEPTH_US;
	return over_bytes > 0 ? (int64_t)(over_bytes / s->bytes_per_us) + 1 : 0;
}

/// Bytes of a list of flows that go before another.
static int64_t
count_ahead(const struct link_schedule *s, const struct link_flow *list,
    const struct link_flow *flow, int64_t now_us)
{
	int64_t ahead_bytes = 0;

	for (; list != NULL; list = list->next)
		if (!goes_before(s, flow, list, now_us))
			ahead_bytes += list->left_bytes;
	return ahead_bytes;
}

int64_t
link_schedule_ahead_us(
    struct link_schedule *s, const struct link_flow *flow, int64_t now_us)
{
	if (s->bytes_per_us <= 0)
		return 0;
	update_backlog(s, now_us);
	return (int64_t)(s->backlog_bytes / s->bytes_per_us) +
	    link_schedule_transfer_us(s,
		count_ahead(s, s->first, flow, now_us) +
		    count_ahead(s, s->first_expected, flow, now_us));
}

/// Time at which the schedule would cut a flow.
static int64_t
cut_of(
    const struct link_schedule *s, const struct link_flow *flow, int64_t now_us)
{
	return find_cut_us(flow, find_reach(s, flow, now_us));
}

/// Bytes of a list of flows that are cut by a time.
static int64_t
count_cut_by(const struct link_schedule *s, const struct link_flow *list,
    int64_t by_us, int64_t now_us)
{
	int64_t bytes = 0;

	for (; list != NULL; list = list->next)
		if (cut_of(s, list, now_us) <= by_us)
			bytes += list->left_bytes;
	return bytes;
}

/// Whether all that is cut by a time leaves before, with a further flow.
static bool
keeps_cut(const struct link_schedule *s, const struct link_flow *added,
    int64_t by_us, int64_t now_us)
{
	int64_t bytes = added->left_bytes +
	    count_cut_by(s, s->first, by_us, now_us) +
	    count_cut_by(s, s->first_expected, by_us, now_us);

	return now_us + (int64_t)(s->backlog_bytes / s->bytes_per_us) +
	    link_schedule_transfer_us(s, bytes) <=
	    by_us;
}

bool
link_schedule_keeps_cuts(
    struct link_schedule *s, const struct link_flow *added, int64_t now_us)
{
	int64_t added_cut_us = cut_of(s, added, now_us);
	const struct link_flow *lists[] = {s->first, s->first_expected};
	const struct link_flow *flow;
	uint32_t i;

	if (s->bytes_per_us <= 0)
		return true;
	update_backlog(s, now_us);
	if (!keeps_cut(s, added, added_cut_us, now_us))
		return false;
	for (i = 0; i < 2; i++)
		for (flow = lists[i]; flow != NULL; flow = flow->next) {
			int64_t cut_us = cut_of(s, flow, now_us);

			if (cut_us > added_cut_us && cut_us != INT64_MAX &&
			    !keeps_cut(s, added, cut_us, now_us))
				return false;
		}
	return true;
}

static int64_t
count_left(const struct link_schedule *s, const struct link_flow *list,
    int64_t longest_us)
{
	int64_t bytes = 0;

	for (; list != NULL; list = list->next)
		if (longest_us == 0 ||
		    link_schedule_transfer_us(s, list->left_bytes) <=
			longest_us)
			bytes += list->left_bytes;
	return bytes;
}

int64_t
link_schedule_all_us(
    struct link_schedule *s, int64_t longest_us, int64_t now_us)
{
	if (s->bytes_per_us <= 0)
		return 0;
	update_backlog(s, now_us);
	return (int64_t)(s->backlog_bytes / s->bytes_per_us) +
	    link_schedule_transfer_us(s,
		count_left(s, s->first, longest_us) +
		    count_left(s, s->first_expected, longest_us));
}
