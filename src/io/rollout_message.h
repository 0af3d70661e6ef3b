/// @file
/// Conversion of roll-outs and their counts to messages and back.
#ifndef MV_IO_ROLLOUT_MESSAGE_H
#define MV_IO_ROLLOUT_MESSAGE_H

#include "core/rollout/rollout_counts.h"
#include "core/rollout/rollout_table.h"
#include "wire/messages.h"

/// Records in one datagram.
#define ROLLOUT_DATAGRAM_RECORDS 4

/// Fills a list with the records above a revision, the lowest first. The items
/// point into the table.
///
/// @param items  room for max of them
void rollout_message_fill(const struct rollout_table *table, uint64_t revision,
    struct message_rollout *items, uint32_t max, struct list *out);

/// Merges received records into a table. Drops those that are not valid.
///
/// @return whether the table changed
bool rollout_message_merge(
    struct rollout_table *table, const struct list *records, struct error *err);

/// Encodes counts, as many routes as a datagram takes.
void rollout_message_pack_counts(msgpack_sbuffer *out,
    const struct message_rollout_counts *head,
    const struct rollout_counts *counts);

/// Reads received counts.
///
/// @return 0, or -1 with err set
int rollout_message_read_counts(const struct message_rollout_counts *m,
    struct rollout_counts *out, struct error *err);

#endif
