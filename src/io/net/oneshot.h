/// @file
/// A question to another process on a stream of its own, and the answer.
#ifndef MV_IO_NET_ONESHOT_H
#define MV_IO_NET_ONESHOT_H

#include "io/net/net.h"

/// Told of the answer, or of the failure with answer NULL. Called once.
typedef void oneshot_fn(
    void *arg, const struct message *answer, const struct error *err);

/// Asks and waits for one message until a deadline. The callback never comes
/// from inside.
void oneshot_call(struct loop *loop, const struct address *to,
    enum message_type type, const void *value, int64_t deadline_us,
    oneshot_fn *fn, void *arg);

#endif
