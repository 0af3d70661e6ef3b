/// @file
/// Rules as messages: whole files and deltas, checked when they come in.
#ifndef MV_IO_RULES_MESSAGE_H
#define MV_IO_RULES_MESSAGE_H

#include "core/rules/rules.h"
#include "wire/messages.h"

struct stream;

/// Validates received rules.
///
/// @param message   MESSAGE_RULES or MESSAGE_DELTA
/// @param have      rules in force, which a delta starts from; may be NULL
/// @return the rules; or NULL with err->code ERR_NONE if the sender has
/// nothing newer, ERR_CONFLICT if a delta does not start from what is in force,
/// or any other code if what came is damaged
struct rules *rules_from_message(
    const struct message *message, const struct rules *have, struct error *err);

/// Length of the rules or delta in a message.
int64_t rules_message_bytes(const struct message *message);

/// Answers a pull: nothing newer, a delta if the caller's version is kept here,
/// or the whole file.
///
/// @param newest  may be NULL
/// @param kept    versions to make a delta from
void rules_send(struct stream *stream, const struct message_pull *pull,
    const struct rule_file *newest, const struct rule_signatures *kept);

#endif
