// Computes and applies line deltas.
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/rules/delta.h"

/// Lines of a text, each with its newline. If only the hashes of the lines are
/// known, start is NULL.
struct lines {
	/// count + 1 entries, the last is the end of the text; or NULL.
	const char **start;
	const uint32_t *hashes;
	uint32_t *own_hashes; ///< Allocated hashes; NULL if borrowed.
	uint32_t count;
};

static struct lines
split_lines(const char *text, size_t text_bytes)
{
	const char *end = text + text_bytes;
	struct lines lines = {NULL, NULL, NULL, 0};
	uint32_t capacity = 0;

	for (;;) {
		const char *eol;

		if (lines.count + 1 >= capacity) {
			capacity = capacity ? capacity * 2 : 64;
			lines.start = realloc(
			    lines.start, capacity * sizeof(*lines.start));
			lines.own_hashes = realloc(lines.own_hashes,
			    capacity * sizeof(*lines.own_hashes));
			assert(lines.start != NULL && lines.own_hashes != NULL);
		}
		lines.start[lines.count] = text;
		if (text == end)
			break;
		eol = memchr(text, '\n', (size_t)(end - text));
		text = eol == NULL ? end : eol + 1;
		lines.own_hashes[lines.count] =
		    (uint32_t)XXH3_64bits(lines.start[lines.count],
			(size_t)(text - lines.start[lines.count]));
		lines.count++;
	}
	lines.hashes = lines.own_hashes;
	return lines;
}

static void
free_lines(struct lines *lines)
{
	free(lines->start);
	free(lines->own_hashes);
}

static size_t
line_bytes(const struct lines *lines, uint32_t i)
{
	return (size_t)(lines->start[i + 1] - lines->start[i]);
}

static int
lines_equal(
    const struct lines *a, uint32_t i, const struct lines *b, uint32_t j)
{
	size_t n;

	if (a->hashes[i] != b->hashes[j])
		return 0;
	if (a->start == NULL || b->start == NULL)
		return 1;
	n = line_bytes(a, i);
	return n == line_bytes(b, j) &&
	    memcmp(a->start[i], b->start[j], n) == 0;
}

/// Hash table of lines by line hash. Chains hold position + 1; 0 ends one.
struct line_index {
	uint32_t *buckets;
	uint32_t *next;
	uint32_t mask;
};

static struct line_index
index_lines(const struct lines *lines)
{
	struct line_index index = {.mask = 15};
	uint32_t i;

	while (index.mask < lines->count)
		index.mask = index.mask * 2 + 1;
	index.buckets = calloc(index.mask + 1, sizeof(*index.buckets));
	index.next = calloc(lines->count + 1, sizeof(*index.next));
	assert(index.buckets != NULL && index.next != NULL);
	for (i = lines->count; i-- > 0;) {
		uint32_t b = (uint32_t)lines->hashes[i] & index.mask;

		index.next[i] = index.buckets[b];
		index.buckets[b] = i + 1;
	}
	return index;
}

/// Finds an old line equal to a new one, preferring the expected position.
///
/// @return its position, or -1
static int64_t
find_line(const struct line_index *index, const struct lines *old,
    const struct lines *new, uint32_t j, uint32_t expected)
{
	uint32_t at;

	if (expected < old->count && lines_equal(old, expected, new, j))
		return expected;
	at = index->buckets[(uint32_t) new->hashes[j] & index->mask];
	while (at != 0 && !lines_equal(old, at - 1, new, j))
		at = index->next[at - 1];
	return (int64_t)at - 1;
}

static struct delta_step *
add_step(struct delta *delta, uint32_t *capacity)
{
	if (delta->step_count == *capacity) {
		*capacity = *capacity ? *capacity * 2 : 16;
		delta->steps =
		    realloc(delta->steps, *capacity * sizeof(*delta->steps));
		assert(delta->steps != NULL);
	}
	memset(&delta->steps[delta->step_count], 0, sizeof(*delta->steps));
	return &delta->steps[delta->step_count++];
}

static void
delta_from_lines(const struct lines *old, const char *new_text,
    size_t new_bytes, struct delta *delta)
{
	struct lines new = split_lines(new_text, new_bytes);
	struct line_index index = index_lines(old);
	struct delta_step *step;
	uint32_t capacity = 0;
	uint32_t expected = 0;
	uint32_t j;

	memset(delta, 0, sizeof(*delta));
	step = add_step(delta, &capacity);
	for (j = 0; j < new.count; j++) {
		int64_t i = find_line(&index, old, &new, j, expected);

		if (i < 0) {
			if (step->insert_bytes == 0)
				step->insert = new.start[j];
			step->insert_bytes += (uint32_t)line_bytes(&new, j);
			continue;
		}
		if (step->insert_bytes > 0 || step->copy_count == 0 ||
		    (uint32_t)i != expected) {
			if (step->insert_bytes > 0 || step->copy_count > 0)
				step = add_step(delta, &capacity);
			step->copy_from = (uint32_t)i;
		}
		step->copy_count++;
		expected = (uint32_t)i + 1;
	}
	free(index.buckets);
	free(index.next);
	free_lines(&new);
}

void
delta_make(const char *old_text, size_t old_bytes, const char *new_text,
    size_t new_bytes, struct delta *delta)
{
	struct lines old = split_lines(old_text, old_bytes);

	delta_from_lines(&old, new_text, new_bytes, delta);
	free_lines(&old);
}

struct delta_signature *
delta_signature_make(const char *text, size_t text_bytes)
{
	struct lines lines = split_lines(text, text_bytes);
	struct delta_signature *signature = malloc(sizeof(*signature) +
	    lines.count * sizeof(signature->line_hashes[0]));

	assert(signature != NULL);
	signature->line_count = lines.count;
	memcpy(signature->line_hashes, lines.hashes,
	    lines.count * sizeof(signature->line_hashes[0]));
	free_lines(&lines);
	return signature;
}

void
delta_make_from_signature(const struct delta_signature *old,
    const char *new_text, size_t new_bytes, struct delta *delta)
{
	struct lines lines = {
	    .hashes = old->line_hashes, .count = old->line_count};

	delta_from_lines(&lines, new_text, new_bytes, delta);
}

void
delta_free(struct delta *delta)
{
	free(delta->steps);
	memset(delta, 0, sizeof(*delta));
}

static int
append_bytes(
    char *out, size_t *used, size_t max_bytes, const char *from, size_t n)
{
	if (n > max_bytes - *used)
		return -1;
	if (n > 0)
		memcpy(out + *used, from, n);
	*used += n;
	return 0;
}

/// Returns the size of the result for its allocation; SIZE_MAX if a step
/// refers to lines that do not exist.
static size_t
result_size(const struct lines *old, const struct delta_step *steps,
    uint32_t step_count)
{
	size_t size = 0;
	uint32_t i;

	for (i = 0; i < step_count; i++) {
		const struct delta_step *s = &steps[i];

		if (s->copy_from > old->count ||
		    s->copy_count > old->count - s->copy_from)
			return SIZE_MAX;
		size += (size_t)(old->start[s->copy_from + s->copy_count] -
			    old->start[s->copy_from]) +
		    s->insert_bytes;
	}
	return size;
}

int
delta_apply(const char *old_text, size_t old_bytes,
    const struct delta_step *steps, uint32_t step_count, size_t max_bytes,
    char **out, size_t *out_bytes, struct error *err)
{
	struct lines old = split_lines(old_text, old_bytes);
	size_t size = result_size(&old, steps, step_count);
	size_t used = 0;
	uint32_t i;

	if (size > max_bytes) {
		free_lines(&old);
		return error_set(err, ERR_INVALID, "apply delta", "",
		    "a step copies lines that do not exist, or the result is "
		    "too large");
	}
	*out = malloc(size + 1);
	assert(*out != NULL);
	for (i = 0; i < step_count; i++) {
		const struct delta_step *s = &steps[i];
		const char *from = old.start[s->copy_from];
		size_t n =
		    (size_t)(old.start[s->copy_from + s->copy_count] - from);

		if (append_bytes(*out, &used, size, from, n) != 0 ||
		    append_bytes(
			*out, &used, size, s->insert, s->insert_bytes) != 0)
			abort();
	}
	(*out)[used] = '\0';
	*out_bytes = used;
	free_lines(&old);
	return 0;
}
