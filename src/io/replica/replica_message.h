/// @file
/// Messages of the replicated log on the wire.
#ifndef MV_IO_REPLICA_REPLICA_MESSAGE_H
#define MV_IO_REPLICA_REPLICA_MESSAGE_H

#include "core/replica/replica.h"
#include "io/net/net.h"

/// A message read from the wire, with what it borrows.
struct replica_inbound {
	struct replica_message message;
	struct replica_snapshot snapshot;
	struct replica_entry *entries;
};

void replica_message_send(struct stream *stream, uint64_t cluster,
    const struct replica_message *message);

/// Checks and converts a message; its data points into the wire message.
///
/// @return 0, or -1 with err set; replica_inbound_free only after 0
int replica_message_read(const struct message_raft *raft,
    struct replica_inbound *in, struct error *err);

void replica_inbound_free(struct replica_inbound *in);

#endif
