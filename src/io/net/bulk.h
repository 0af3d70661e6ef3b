/// @file
/// Bodies that leave this VM over streams, paced to its link and ordered by
/// core/requests/link_schedule. All other messages of these streams go at once.
#ifndef MV_IO_NET_BULK_H
#define MV_IO_NET_BULK_H

#include "core/requests/link_schedule.h"
#include "io/net/net.h"

/// The link of this VM, as seen by one event loop.
struct bulk_link;

/// A body that is sent over a stream, in pieces.
struct bulk_body;

/// Shorter answers are sent at once, in one message.
#define BULK_MIN_BYTES (8u * 1024)

/// What the order of bodies depends on.
struct bulk_terms {
	uint32_t worth;
	bool begun;
	int64_t target_deadline_us; ///< 0: not known.
	int64_t deadline_us;	    ///< 0: not known.
	int64_t receiver_end_us;    ///< As in struct link_flow.
	int64_t total_bytes;	    ///< Length of the body; -1: not known.
	/// Called when a body is ended since it cannot arrive in time. May be
	/// NULL; never called after the stream was closed.
	void (*on_late)(void *arg, uint64_t id);
	void *arg;
};

/// @param link_mbps     capacity of the link; 0: not known
/// @param stop_time_us  from the order to stop to the end of this process
/// @return the link, or NULL if its capacity is not known: nothing is paced
struct bulk_link *bulk_link_create(
    struct loop *loop, double link_mbps, int64_t stop_time_us);

void bulk_link_destroy(struct bulk_link *link);

/// Makes a stream count on the link. Does nothing without a link.
void bulk_link_attach(struct bulk_link *link, struct stream *stream);

/// Sets when this process ends, which leaves.
void bulk_link_set_end(struct bulk_link *link, int64_t end_us);

/// Sets when the proxy at the other end of a stream ends, for the bodies on it.
void bulk_link_set_receiver_end(
    struct bulk_link *link, const struct stream *stream, int64_t end_us);

/// Begins a body. It follows all messages sent before.
struct bulk_body *bulk_body_open(struct bulk_link *link, struct stream *stream,
    uint64_t id, const struct bulk_terms *terms);

/// Finds a body that has not been sent whole; NULL if there is none.
struct bulk_body *bulk_body_find(
    const struct bulk_link *link, const struct stream *stream, uint64_t id);

/// Queues a part of a body. The body ends with its last part, once that is sent.
void bulk_body_send(struct bulk_body *body, const struct message_body *part);

/// Drops what has not been sent of a body. The peer gets its end as failed.
void bulk_body_drop(struct bulk_body *body);

/// Returns the order of bodies on the link, for decisions that depend on it; NULL
/// without a link.
struct link_schedule *bulk_link_schedule(struct bulk_link *link);

/// Number of bodies that have not left this VM.
uint32_t bulk_link_count_bodies(const struct bulk_link *link);

#endif
