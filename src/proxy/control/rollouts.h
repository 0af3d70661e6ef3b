/// @file
/// Roll-outs as a proxy knows them, and the counts of its backend server.
#ifndef MV_PROXY_CONTROL_ROLLOUTS_H
#define MV_PROXY_CONTROL_ROLLOUTS_H

#include "proxy/control/control.h"

/// Merges received records. New ones take effect in the next view.
///
/// @param from  kind of the sender, for the log
/// @return whether there were any: the sources should learn that they are here
bool rollouts_merge(
    struct control *control, const struct list *records, const char *from);

/// Tells whether a roll-out of the backend server's service runs.
bool rollouts_concern_backend(const struct control *control);

/// Sends counts of the backend server to the leading source. Called on the
/// control loop.
///
/// @param arg     the control thread's state
void rollouts_send_counts(void *arg, const struct egress_counts *counts);

/// Notes that this proxy stopped using a new version, for the sources. Called on
/// the control loop.
void rollouts_note_stopped(void *arg, uint64_t order);

#endif
