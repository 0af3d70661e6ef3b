/// @file
/// One request to another process and its response, on a stream of its own.
#ifndef MV_IO_NET_ONESHOT_H
#define MV_IO_NET_ONESHOT_H

#include "io/net/net.h"

/// Called once with the response, or with response NULL and err on failure.
typedef void oneshot_fn(
    void *arg, const struct message *response, const struct error *err);

/// Sends a request and waits for one message until the deadline. Never calls fn
/// from inside this function.
void oneshot_call(struct loop *loop, const struct address *to,
    enum message_type type, const void *value, int64_t deadline_us,
    oneshot_fn *fn, void *arg);

#endif
