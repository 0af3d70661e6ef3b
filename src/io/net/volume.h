/// @file
/// Bytes sent to other processes, by kind of message and distance, with the
/// heads of their packets. Served as `sent_bytes{message,distance}` with the
/// other metrics.
#ifndef MV_IO_NET_VOLUME_H
#define MV_IO_NET_VOLUME_H

#include <stddef.h>

#include "core/membership/membership.h"
#include "io/net/address.h"
#include "wire/messages.h"

/// Bytes of the heads of a packet, IP included.
#define VOLUME_TCP_HEAD_BYTES 52
#define VOLUME_UDP_HEAD_BYTES 28

/// Sets the distance of a VM. Until then it counts as unknown. May be called
/// from any thread.
void volume_set_distance(const struct address *vm, enum distance distance);

/// Counts a message. May be called from any thread.
void volume_count(
    enum message_type type, const struct address *to, size_t size_bytes);

#endif
