/// @file
/// Rules as messages: whole files and deltas, validated on receipt.
#ifndef MV_IO_RULES_MESSAGE_H
#define MV_IO_RULES_MESSAGE_H

#include "core/rules/delta.h"
#include "core/rules/rules.h"
#include "wire/messages.h"

struct stream;

/// Validates received rules.
///
/// @param message   MESSAGE_RULES or MESSAGE_DELTA
/// @param in_force  rules in force, the base of a delta; may be NULL
/// @return the rules; or NULL with err->code ERR_NONE if the sender has
/// nothing newer, ERR_CONFLICT if the base of a delta is not in force, or any
/// other code if the message is corrupt or invalid
struct rules *rules_parse_message(const struct message *message,
    const struct rules *in_force, struct error *err);

/// Returns the size of the rule text or the delta's inserts in a message; 0 for
/// other messages.
int64_t rules_message_bytes(const struct message *message);

/// States the rules that the caller has, so that any holder can answer with a
/// delta from them. Release it with rules_pull_free.
void rules_pull_set_base(
    struct message_pull *pull, const struct rule_file *have);

void rules_pull_free(struct message_pull *pull);

/// Answer to a pull: nothing newer, a delta if the puller states what it has, or
/// the whole file.
struct rules_answer {
	enum message_type type; ///< MESSAGE_RULES or MESSAGE_DELTA.
	union {
		struct message_rules rules; ///< Version 0: nothing newer.
		struct message_delta delta;
	} u;
	struct delta delta; ///< Memory of u.delta.
};

/// Makes the answer to a pull. It refers to the text of the newest file.
///
/// @param newest  may be NULL
void rules_answer_init(struct rules_answer *answer,
    const struct message_pull *pull, const struct rule_file *newest);

void rules_answer_free(struct rules_answer *answer);

/// Sends the answer to a pull; see rules_answer_init.
///
/// @return its size in bytes, as it is sent
size_t rules_send(struct stream *stream, const struct message_pull *pull,
    const struct rule_file *newest);

#endif
