/// @file
/// JSON from texts that other processes sent, and its rendering. Neither fails
/// on bytes that are not UTF-8, which jansson refuses.
#ifndef MV_IO_JSON_TEXT_H
#define MV_IO_JSON_TEXT_H

#include <jansson.h>
#include <stddef.h>

/// Creates a JSON string. A byte that is not part of UTF-8 text becomes '?'.
json_t *json_text(const char *text);

/// The same for a text of a given length.
json_t *json_text_n(const char *text, size_t text_bytes);

/// Renders a JSON value and releases it.
///
/// @param root   NULL, if it could not be built, is logged and gives "{}"
/// @param flags  of json_dumps
/// @return the text, to be released with free(); never NULL
char *json_render(json_t *root, size_t flags);

#endif
