/// @file
/// Opening of TCP connections without waiting.
#ifndef MV_IO_NET_DIAL_H
#define MV_IO_NET_DIAL_H

#include "core/error.h"
#include "io/net/address.h"

/// Starts to connect. The descriptor does not block, and sends at once.
///
/// @return the descriptor, or -1 with err set
int dial_start(const struct address *to, struct error *err);

/// Tells how a connection ended up, once its descriptor is ready to write.
///
/// @return 0, or the error number
int dial_result(int fd);

#endif
