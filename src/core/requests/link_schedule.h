/// @file
/// Order of the bytes that leave this VM. Answers the load of long bodies that
/// fill the link of a VM: short messages go ahead of them, and the bodies share
/// the link by what their callers still gain.
///
/// Bodies are sent in pieces, each only when the link has carried most of what
/// was sent before, so that a short message waits for a few milliseconds of the
/// link at most.
#ifndef MV_CORE_REQUESTS_LINK_SCHEDULE_H
#define MV_CORE_REQUESTS_LINK_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

/// A body that leaves this VM, in part or whole.
struct link_flow {
	struct link_flow *next;
	struct link_flow *prev;
	uint32_t worth; ///< Worth of the rank of its request.
	bool begun;	///< Its request is a call of one that a server runs.
	bool blocked;	///< Its stream takes nothing at present.
	int64_t target_deadline_us; ///< Later it loses worth; 0: not known.
	int64_t deadline_us;	    ///< Later it is of no use; 0: not known.
	/// End of the proxy that gets it, which leaves; 0: it stays.
	int64_t receiver_end_us;
	int64_t queued_bytes; ///< Here and not sent.
	/// Not sent, with the part that has not arrived here yet. At least
	/// queued_bytes.
	int64_t left_bytes;
};

struct link_schedule {
	double bytes_per_us;  ///< What the link carries; 0: not known.
	double backlog_bytes; ///< Sent, and not carried yet.
	int64_t updated_us;   ///< Time of backlog_bytes.
	int64_t end_us;	      ///< End of this proxy, once it leaves; 0: none.
	/// Time that a planned stop leaves this proxy; 0: without a limit.
	int64_t stop_time_us;
	int64_t queued_bytes;	 ///< Of all flows.
	struct link_flow *first; ///< In the order in which they were added.
	struct link_flow *last;
	/// Answers of requests that wait or run here, with their usual sizes.
	struct link_flow *first_expected;
	int64_t expected_bytes; ///< Of those.
};

/// @param link_mbps  capacity of the link in Mbit/s; 0: not known, so that
///                   nothing is held back
void link_schedule_init(struct link_schedule *s, double link_mbps);

/// Counts bytes that were sent, with the heads of their packets.
void link_schedule_charge(
    struct link_schedule *s, int64_t size_bytes, int64_t now_us);

/// Adds a flow. Its fields may change while it is in the schedule; those that
/// count bytes change by the functions below.
void link_schedule_add(struct link_schedule *s, struct link_flow *flow);

void link_schedule_remove(struct link_schedule *s, struct link_flow *flow);

/// Adds an answer that a request which was accepted here will have.
void link_schedule_expect(struct link_schedule *s, struct link_flow *flow);

/// Removes an expected answer: it has begun, or there is none.
void link_schedule_unexpect(struct link_schedule *s, struct link_flow *flow);

/// Counts bytes of a body that have arrived for sending.
void link_schedule_queue(
    struct link_schedule *s, struct link_flow *flow, int64_t size_bytes);

/// Counts bytes of a body that were sent. They are charged apart.
void link_schedule_take(
    struct link_schedule *s, struct link_flow *flow, int64_t size_bytes);

/// Chooses the flow that sends the next piece: first what can still reach a proxy
/// that leaves, then begun work, then the highest worth, then what can still meet its
/// target, nearest target first, then the shortest.
///
/// @return NULL if nothing can be sent now
struct link_flow *link_schedule_next(struct link_schedule *s, int64_t now_us);

/// Returns the deadline of the body of an answer that begins now. One that comes in the
/// last moment has a while to leave.
int64_t link_schedule_answer_deadline_us(int64_t deadline_us, int64_t now_us);

/// Finds a flow whose deadline has passed; NULL if there is none. Until then even
/// one that cannot arrive any more is kept: its caller may take what comes.
struct link_flow *link_schedule_find_late(
    const struct link_schedule *s, int64_t now_us);

/// Largest piece to send at once.
int64_t link_schedule_piece_bytes(const struct link_schedule *s);

/// Time until a piece may be sent; 0: now.
int64_t link_schedule_wait_us(struct link_schedule *s, int64_t now_us);

/// Time in which the link carries a number of bytes; 0 if its rate is not
/// known.
int64_t link_schedule_transfer_us(
    const struct link_schedule *s, int64_t size_bytes);

/// Time until all that goes before a flow has left this VM, with the expected
/// answers.
int64_t link_schedule_ahead_us(
    struct link_schedule *s, const struct link_flow *flow, int64_t now_us);

/// Whether a flow to a proxy that leaves can be added, so that it and all others to such
/// proxies, expected ones too, still leave before they are cut.
bool link_schedule_keeps_cuts(
    struct link_schedule *s, const struct link_flow *added, int64_t now_us);

/// Time until all that waits or is expected has left this VM.
///
/// @param longest_us  flows that alone take longer are left out; 0: none is
int64_t link_schedule_all_us(
    struct link_schedule *s, int64_t longest_us, int64_t now_us);

#endif
