/// @file
/// Deep copies of requests and headers that outlive their frame.
#ifndef MV_WIRE_REQUEST_COPY_H
#define MV_WIRE_REQUEST_COPY_H

#include <stdbool.h>

#include "wire/messages.h"

/// Copies a request, its headers and texts into one allocation.
///
/// @return the copy; release it with free()
struct message_request *message_request_copy(
    const struct message_request *request);

/// Hashes method, target and body, to distinguish requests with the same key.
uint64_t message_request_hash(const struct message_request *m);

/// Growing list of headers that owns its texts.
struct header_list {
	struct message_header *items;
	uint32_t count;
	uint32_t capacity;
	char *text;
	size_t text_bytes;
	size_t text_capacity_bytes;
	uint32_t *offsets; ///< Pairs of name and value offsets into text.
};

/// Appends a copy of a header.
void header_list_add(
    struct header_list *list, struct bytes name, struct bytes value);

/// Returns the headers as a message field; valid until the next add.
struct list header_list_view(struct header_list *list);

/// Finds the first header of a name, ignoring case.
///
/// @return whether there is one; value is then set
bool header_list_find(
    const struct list *headers, const char *name, struct bytes *value);

/// Removes a header. Its texts stay until the list is freed.
void header_list_remove(struct header_list *list, uint32_t index);

void header_list_free(struct header_list *list);

#endif
