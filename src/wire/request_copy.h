/// @file
/// Owned copies of messages that outlive their frame.
#ifndef MV_WIRE_REQUEST_COPY_H
#define MV_WIRE_REQUEST_COPY_H

#include <stdbool.h>

#include "wire/messages.h"

/// Copies a request into one allocation that starts with the struct.
///
/// @return the copy; release it with free()
struct message_request *message_request_copy(
    const struct message_request *request);

/// Hash of method, target and body: tells requests of one key apart.
uint64_t message_request_hash(const struct message_request *m);

/// Growing list of headers with its own storage.
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

/// Points a message field at the headers; valid until the next add.
struct list header_list_view(struct header_list *list);

/// Value of the first header of a name, without regard to case.
///
/// @return whether there is one
bool header_list_find(
    const struct list *headers, const char *name, struct bytes *value);

void header_list_free(struct header_list *list);

#endif
