/// @file
/// Non-blocking TCP connect.
#ifndef MV_IO_NET_DIAL_H
#define MV_IO_NET_DIAL_H

#include "core/error.h"
#include "io/net/address.h"

/// Starts to connect. The socket is non-blocking and has TCP_NODELAY set.
///
/// @return the file descriptor, or -1 with err set
int dial_start(const struct address *to, struct error *err);

/// Returns the result of a connect whose descriptor has become writable.
///
/// @return 0, or the errno value of the failure
int dial_result(int fd);

#endif
