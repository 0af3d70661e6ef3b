/// @file
/// Wire encoding of the messages between replicas.
#ifndef MV_IO_REPLICA_REPLICA_MESSAGE_H
#define MV_IO_REPLICA_REPLICA_MESSAGE_H

#include "core/replica/replica.h"
#include "io/net/net.h"

/// A message decoded from the wire, with the snapshot and entries it refers to.
struct replica_inbound {
	struct replica_message message;
	struct replica_snapshot snapshot;
	struct replica_entry *entries;
};

void replica_message_send(struct stream *stream, uint64_t cluster,
    const struct replica_message *message);

/// Validates and decodes a message; its data points into the wire message.
///
/// @return 0, or -1 with err set; replica_inbound_free only after 0
int replica_message_decode(const struct message_raft *raft,
    struct replica_inbound *in, struct error *err);

void replica_inbound_free(struct replica_inbound *in);

#endif
