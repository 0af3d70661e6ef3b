/// @file
/// Bytes sent to other processes, by kind of message and distance, with the
/// heads of their packets. Served as `sent_bytes{message,distance}` with the
/// other metrics.
#ifndef MV_IO_NET_VOLUME_H
#define MV_IO_NET_VOLUME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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

#define VOLUME_MAX_TYPES 64

/// What had been sent at a time. Set link_mbps and zero the rest.
struct volume_sample {
	double link_mbps; ///< Of this VM; 0: not known.
	int64_t taken_us;
	int64_t sent_bytes[VOLUME_MAX_TYPES]; ///< By type of message.
};

/// Logs the bytes sent since the sample by kind, if the link of this VM needs
/// longer than that to carry them: other messages wait behind them. Then takes
/// a new sample. Does nothing within 200 ms of the last sample.
///
/// @return whether a backlog was logged
bool volume_log_backlog(struct volume_sample *sample, int64_t now_us);

#endif
