// Computes and applies line deltas.
#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/rules/delta.h"

/// Blocks have at least this many lines on average, and about MAX_MEAN_BLOCKS of
/// them describe a long text.
#define MIN_MEAN_LINES	16
#define MAX_MEAN_BLOCKS 256

/// Longest block, in mean lengths.
#define MAX_BLOCK_MEANS 8

/// Lines of a text, each with its newline.
struct lines {
	const char **start; ///< count + 1 entries, the last is the end.
	uint32_t *hashes;
	uint32_t count;
};

static struct lines
split_lines(const char *text, size_t text_bytes)
{
	const char *end = text + text_bytes;
	struct lines lines = {NULL, NULL, 0};
	uint32_t capacity = 0;

	for (;;) {
		const char *eol;

		if (lines.count + 1 >= capacity) {
			capacity = capacity ? capacity * 2 : 64;
			lines.start = realloc(
			    lines.start, capacity * sizeof(*lines.start));
			lines.hashes = realloc(
			    lines.hashes, capacity * sizeof(*lines.hashes));
			assert(lines.start != NULL && lines.hashes != NULL);
		}
		lines.start[lines.count] = text;
		if (text == end)
			break;
		eol = memchr(text, '\n', (size_t)(end - text));
		text = eol == NULL ? end : eol + 1;
		lines.hashes[lines.count] =
		    (uint32_t)XXH3_64bits(lines.start[lines.count],
			(size_t)(text - lines.start[lines.count]));
		lines.count++;
	}
	return lines;
}

static void
free_lines(struct lines *lines)
{
	free(lines->start);
	free(lines->hashes);
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
insert_text(struct delta_step *step, const char *begin, const char *end)
{
	if (step->insert_bytes == 0)
		step->insert = begin;
	step->insert_bytes += (uint32_t)(end - begin);
}

/// Copies old lines after the last step: extends it if they follow its own.
///
/// @return the last step then
static struct delta_step *
copy_lines(struct delta *delta, uint32_t *capacity, struct delta_step *last,
    uint32_t from, uint32_t count)
{
	bool follows = last->insert_bytes == 0 &&
	    (last->copy_count == 0 ||
		from == last->copy_from + last->copy_count);

	if (!follows)
		last = add_step(delta, capacity);
	if (last->copy_count == 0)
		last->copy_from = from;
	last->copy_count += count;
	return last;
}

void
delta_make(const char *old_text, size_t old_bytes, const char *new_text,
    size_t new_bytes, struct delta *delta)
{
	struct lines old = split_lines(old_text, old_bytes);
	struct lines new = split_lines(new_text, new_bytes);
	struct line_index index = index_lines(&old);
	struct delta_step *step;
	uint32_t capacity = 0;
	uint32_t expected = 0;
	uint32_t j;

	memset(delta, 0, sizeof(*delta));
	step = add_step(delta, &capacity);
	for (j = 0; j < new.count; j++) {
		int64_t i = find_line(&index, &old, &new, j, expected);

		if (i < 0) {
			insert_text(step, new.start[j], new.start[j + 1]);
			continue;
		}
		step = copy_lines(delta, &capacity, step, (uint32_t)i, 1);
		expected = (uint32_t)i + 1;
	}
	free(index.buckets);
	free(index.next);
	free_lines(&new);
	free_lines(&old);
}

/// Chooses the mean length of a block for a number of lines.
static uint32_t
choose_mean_lines(uint32_t line_count)
{
	uint32_t mean_lines = MIN_MEAN_LINES;

	while (line_count / mean_lines > MAX_MEAN_BLOCKS)
		mean_lines *= 2;
	return mean_lines;
}

/// Returns the line after the block that begins at a line. The first line of a
/// rule file, which differs in each version, is a block of its own.
static uint32_t
find_block_end(const struct lines *lines, uint32_t begin, uint32_t mean_lines)
{
	uint32_t end = begin;

	do
		end++;
	while (begin > 0 && end < lines->count &&
	    (uint64_t)end - begin < (uint64_t)MAX_BLOCK_MEANS * mean_lines &&
	    (lines->hashes[end - 1] & (mean_lines - 1)) != 0);
	return end;
}

static struct delta_blocks
divide_lines(const struct lines *lines, uint32_t mean_lines)
{
	struct delta_blocks blocks = {.mean_lines = mean_lines};
	uint32_t begin;
	uint32_t end;

	blocks.items = calloc(lines->count + 1, sizeof(*blocks.items));
	assert(blocks.items != NULL);
	for (begin = 0; begin < lines->count; begin = end) {
		struct delta_block *block = &blocks.items[blocks.count++];

		end = find_block_end(lines, begin, mean_lines);
		block->line_count = end - begin;
		block->hash = (uint32_t)XXH3_64bits(lines->start[begin],
		    (size_t)(lines->start[end] - lines->start[begin]));
	}
	return blocks;
}

void
delta_blocks_make(const char *text, size_t text_bytes, uint32_t mean_lines,
    struct delta_blocks *blocks)
{
	struct lines lines = split_lines(text, text_bytes);

	*blocks = divide_lines(&lines,
	    mean_lines > 0 ? mean_lines : choose_mean_lines(lines.count));
	free_lines(&lines);
}

void
delta_blocks_free(struct delta_blocks *blocks)
{
	free(blocks->items);
	memset(blocks, 0, sizeof(*blocks));
}

/// A known block and the line at which it begins.
struct block_position {
	struct delta_block block;
	uint32_t line;
};

static int
compare_positions(const void *a, const void *b)
{
	const struct block_position *x = a;
	const struct block_position *y = b;

	return x->block.hash < y->block.hash ? -1
					     : x->block.hash > y->block.hash;
}

/// Lists the blocks of a text by their hashes.
static struct block_position *
index_blocks(const struct delta_blocks *blocks)
{
	struct block_position *index =
	    calloc(blocks->count + 1, sizeof(*index));
	uint32_t line = 0;
	uint32_t i;

	assert(index != NULL);
	for (i = 0; i < blocks->count; i++) {
		index[i].block = blocks->items[i];
		index[i].line = line;
		line += blocks->items[i].line_count;
	}
	qsort(index, blocks->count, sizeof(*index), compare_positions);
	return index;
}

void
delta_make_from_blocks(const struct delta_blocks *old, const char *new_text,
    size_t new_bytes, struct delta *delta)
{
	struct lines lines = split_lines(new_text, new_bytes);
	struct delta_blocks new = divide_lines(&lines, old->mean_lines);
	struct block_position *index = index_blocks(old);
	struct delta_step *step;
	uint32_t capacity = 0;
	uint32_t line = 0;
	uint32_t i;

	memset(delta, 0, sizeof(*delta));
	step = add_step(delta, &capacity);
	for (i = 0; i < new.count; i++) {
		struct block_position key = {.block = new.items[i]};
		const struct block_position *found = bsearch(
		    &key, index, old->count, sizeof(key), compare_positions);
		uint32_t end = line + new.items[i].line_count;

		if (found != NULL &&
		    found->block.line_count == new.items[i].line_count)
			step = copy_lines(delta, &capacity, step, found->line,
			    new.items[i].line_count);
		else
			insert_text(step, lines.start[line], lines.start[end]);
		line = end;
	}
	free(index);
	delta_blocks_free(&new);
	free_lines(&lines);
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
