/// @file
/// HTTP heads that every reader reads in the same way: names are tokens, values hold
/// no control character but the tab, and no field stands twice that may stand once.
/// Each head is checked before it is sent on, whatever library read it.
#ifndef MV_WIRE_HEAD_H
#define MV_WIRE_HEAD_H

#include <stdbool.h>

#include "wire/messages.h"

/// Returns whether text is a token (RFC 9110, section 5.6.2).
bool head_is_token(struct bytes text);

/// Returns whether a request target holds neither blanks nor control characters.
bool head_is_target(struct bytes target);

/// Returns whether a list of tokens between commas holds a name, whatever its case.
bool head_tokens_hold(struct bytes tokens, struct bytes name);

/// Checks the name and the value of one field.
///
/// @return 0, or -1 with err set, which names the field
int head_check_field(struct bytes name, struct bytes value, struct error *err);

/// Checks the fields of a head. Its framing is not among them: the sender adds it.
///
/// @param internal_prefix  fields with this prefix stand once
/// @return 0, or -1 with err set, which names the field
int head_check(const struct message_header *fields, uint32_t count,
    const char *internal_prefix, struct error *err);

/// Sets an error about a field. Bytes of its name that are not printable become '?'.
///
/// @return -1
int head_field_error(struct error *err, struct bytes name, const char *what);

#endif
