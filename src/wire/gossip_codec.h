/// @file
/// Conversion between gossip of the core and its messages.
#ifndef MV_WIRE_GOSSIP_CODEC_H
#define MV_WIRE_GOSSIP_CODEC_H

#include "core/membership/membership.h"
#include "wire/messages.h"

/// Fills a message that borrows the strings of a member.
void member_to_message(const struct member *member, struct message_member *out);

/// Copies and checks a member that came in.
///
/// @return 0, or -1 with err set
int member_from_message(
    const struct message_member *in, struct member *out, struct error *err);

/// Appends an encoded gossip message.
void gossip_pack(msgpack_sbuffer *out, const struct gossip *gossip);

/// Copies and checks a gossip message that came in.
///
/// @return 0, or -1 with err set
int gossip_from_message(
    const struct message_gossip *in, struct gossip *out, struct error *err);

#endif
