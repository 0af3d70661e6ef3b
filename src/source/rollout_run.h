/// @file
/// Runs the roll-outs at the leading source: collects counts, decides, notifies.
#ifndef MV_SOURCE_ROLLOUT_RUN_H
#define MV_SOURCE_ROLLOUT_RUN_H

#include "core/rollout/rollout_judge.h"
#include "source/source.h"

/// Starts the timer.
void rollout_run_start(struct source *source);

void rollout_run_stop(struct source *source);

/// Follows the table after log entries or a snapshot were applied.
void rollout_run_follow(struct source *source);

/// Handles a datagram: counts of a proxy, or as publish_receive_datagram.
void rollout_run_receive_datagram(
    void *owner, const struct address *from, struct message *message);

#endif
