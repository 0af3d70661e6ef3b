/// @file
/// Conversion between core gossip and wire messages.
#ifndef MV_WIRE_GOSSIP_CODEC_H
#define MV_WIRE_GOSSIP_CODEC_H

#include "core/membership/membership.h"
#include "wire/messages.h"

/// Fills a message with a member. It borrows the strings of the member.
void member_to_message(const struct member *member, struct message_member *out);

/// Copies and validates a received member.
///
/// @return 0, or -1 with err set
int member_from_message(
    const struct message_member *in, struct member *out, struct error *err);

/// Encodes a gossip message into an empty buffer. Leaves out updates from the
/// last one on until it fits a datagram; a table exchange repairs the loss.
void gossip_pack(msgpack_sbuffer *out, const struct gossip *gossip);

/// Copies and validates a received gossip message.
///
/// @return 0, or -1 with err set
int gossip_from_message(
    const struct message_gossip *in, struct gossip *out, struct error *err);

#endif
