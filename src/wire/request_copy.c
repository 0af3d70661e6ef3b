// Deep copies of requests and headers.
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "wire/request_copy.h"

static size_t
request_size(const struct message_request *r)
{
	const struct message_header *headers = r->headers.items;
	size_t size = sizeof(*r) + r->headers.count * sizeof(*headers);
	uint32_t i;

	for (i = 0; i < r->headers.count; i++)
		size +=
		    headers[i].name.size_bytes + headers[i].value.size_bytes;
	return size + r->rank.size_bytes + r->service.size_bytes +
	    r->method.size_bytes + r->target.size_bytes + r->key.size_bytes +
	    r->body.size_bytes + r->workspace.size_bytes;
}

/// Appends a byte string to the storage after the copied struct.
static struct bytes
copy_bytes(char **at, struct bytes from)
{
	struct bytes to = {*at, from.size_bytes};

	if (from.size_bytes > 0)
		memcpy(*at, from.data, from.size_bytes);
	*at += from.size_bytes;
	return to;
}

struct message_request *
message_request_copy(const struct message_request *r)
{
	struct message_request *copy = malloc(request_size(r));
	const struct message_header *from = r->headers.items;
	struct message_header *headers;
	char *at;
	uint32_t i;

	assert(copy != NULL);
	*copy = *r;
	headers = (struct message_header *)(copy + 1);
	at = (char *)(headers + r->headers.count);
	copy->headers.items = headers;
	for (i = 0; i < r->headers.count; i++) {
		headers[i].name = copy_bytes(&at, from[i].name);
		headers[i].value = copy_bytes(&at, from[i].value);
	}
	copy->rank = copy_bytes(&at, r->rank);
	copy->service = copy_bytes(&at, r->service);
	copy->method = copy_bytes(&at, r->method);
	copy->target = copy_bytes(&at, r->target);
	copy->key = copy_bytes(&at, r->key);
	copy->body = copy_bytes(&at, r->body);
	copy->workspace = copy_bytes(&at, r->workspace);
	return copy;
}

static uint32_t
store_text(struct header_list *list, struct bytes b)
{
	size_t at = list->text_bytes;

	if (at + b.size_bytes > list->text_capacity_bytes) {
		list->text_capacity_bytes = (at + b.size_bytes) * 2 + 256;
		list->text = realloc(list->text, list->text_capacity_bytes);
		assert(list->text != NULL);
	}
	if (b.size_bytes > 0)
		memcpy(list->text + at, b.data, b.size_bytes);
	list->text_bytes += b.size_bytes;
	return (uint32_t)at;
}

void
header_list_add(struct header_list *list, struct bytes name, struct bytes value)
{
	if (list->count == list->capacity) {
		list->capacity = list->capacity ? list->capacity * 2 : 16;
		list->items =
		    realloc(list->items, list->capacity * sizeof(*list->items));
		list->offsets = realloc(
		    list->offsets, list->capacity * 2 * sizeof(*list->offsets));
		assert(list->items != NULL && list->offsets != NULL);
	}
	list->offsets[2 * list->count] = store_text(list, name);
	list->offsets[2 * list->count + 1] = store_text(list, value);
	list->items[list->count].name.size_bytes = name.size_bytes;
	list->items[list->count].value.size_bytes = value.size_bytes;
	list->count++;
}

struct list
header_list_view(struct header_list *list)
{
	struct list view = {list->items, list->count};
	uint32_t i;

	for (i = 0; i < list->count; i++) {
		list->items[i].name.data = list->text + list->offsets[2 * i];
		list->items[i].value.data =
		    list->text + list->offsets[2 * i + 1];
	}
	return view;
}

void
header_list_remove(struct header_list *list, uint32_t index)
{
	uint32_t after = list->count - index - 1;

	memmove(&list->items[index], &list->items[index + 1],
	    after * sizeof(*list->items));
	memmove(&list->offsets[2 * index], &list->offsets[2 * (index + 1)],
	    after * 2 * sizeof(*list->offsets));
	list->count--;
}

bool
header_list_find(
    const struct list *headers, const char *name, struct bytes *value)
{
	const struct message_header *h = headers->items;
	size_t name_bytes = strlen(name);
	uint32_t i;

	for (i = 0; i < headers->count; i++) {
		if (h[i].name.size_bytes != name_bytes ||
		    strncasecmp(h[i].name.data, name, name_bytes) != 0)
			continue;
		*value = h[i].value;
		return true;
	}
	return false;
}

void
header_list_free(struct header_list *list)
{
	free(list->items);
	free(list->offsets);
	free(list->text);
	memset(list, 0, sizeof(*list));
}

uint64_t
message_request_hash(const struct message_request *m)
{
	XXH3_state_t *state = XXH3_createState();
	uint64_t hash;

	XXH3_64bits_reset(state);
	XXH3_64bits_update(state, m->method.data, m->method.size_bytes);
	XXH3_64bits_update(state, " ", 1);
	XXH3_64bits_update(state, m->target.data, m->target.size_bytes);
	XXH3_64bits_update(state, "\n", 1);
	XXH3_64bits_update(state, m->body.data, m->body.size_bytes);
	hash = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return hash;
}
