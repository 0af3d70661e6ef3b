/// @file
/// Connections of a replica to the others, by replica id.
///
/// A replica that lost its disk gets a new id, so a process meets more ids than
/// a config holds. Only the ids in use have an entry.
#ifndef MV_IO_REPLICA_REPLICA_STREAMS_H
#define MV_IO_REPLICA_REPLICA_STREAMS_H

#include "core/replica/replica_config.h"
#include "io/net/net.h"

/// Every member of a config, and some replicas that are joining or were
/// removed: they get responses.
#define REPLICA_STREAM_COUNT (REPLICA_MAX_PEERS + 8)

struct replica_streams;

/// Connection to another replica.
struct replica_stream {
	struct replica_streams *streams;
	uint64_t id;	       ///< 0: unused entry.
	struct stream *stream; ///< NULL while not connected.
	uint64_t last_use;     ///< Position of its last use among all uses.
	int64_t redial_deadline_us;
	int64_t unacked_since_us; ///< Oldest message not acknowledged; 0: none.
};

struct replica_streams {
	struct loop *loop;
	void *owner;
	/// Handles a message of a replica.
	void (*receive)(
	    void *owner, struct stream *stream, const struct message *message);
	uint64_t use_count;
	uint32_t used_count; ///< Entries with an id.
	struct replica_stream items[REPLICA_STREAM_COUNT];
};

void replica_streams_init(struct replica_streams *streams, struct loop *loop,
    void *owner,
    void (*receive)(
	void *owner, struct stream *stream, const struct message *message));

/// Closes all streams.
void replica_streams_close(struct replica_streams *streams);

/// Returns the stream to a replica, which may not be connected yet, to send a
/// message that it acknowledges. Takes the entry of the id that was used least
/// recently if the table has none for this one.
///
/// @return NULL if the replica cannot be dialled now
struct stream *replica_streams_get(
    struct replica_streams *streams, const struct replica_peer *peer);

/// Counts the messages sent to a replica so far as acknowledged.
void replica_streams_note_response(
    struct replica_streams *streams, uint64_t id);

#endif
