/// @file
/// Line deltas between two versions of a rule file.
#ifndef MV_CORE_RULES_DELTA_H
#define MV_CORE_RULES_DELTA_H

#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

/// Copies a range of old lines, then inserts new text.
struct delta_step {
	uint32_t copy_from; ///< First old line, from 0.
	uint32_t copy_count;
	const char *insert;
	uint32_t insert_bytes;
};

struct delta {
	struct delta_step *steps;
	uint32_t step_count;
};

/// Computes a delta. Its inserted text points into the new text.
void delta_make(const char *old_text, size_t old_bytes, const char *new_text,
    size_t new_bytes, struct delta *delta);

/// A run of lines of a text.
struct delta_block {
	uint32_t hash; ///< Equal blocks have equal ones.
	uint32_t line_count;
};

/// A text as its blocks. Only the lines of a block and the one before it decide
/// where the block lies, so that a change leaves the other blocks as they are.
struct delta_blocks {
	struct delta_block *items;
	uint32_t count;
	uint32_t mean_lines; ///< Mean length of a block; a power of two.
};

/// Divides a text into blocks. Release them with delta_blocks_free.
///
/// @param mean_lines  0: chosen by the length of the text, so that the blocks
///                    are small, but not many
void delta_blocks_make(const char *text, size_t text_bytes, uint32_t mean_lines,
    struct delta_blocks *blocks);

void delta_blocks_free(struct delta_blocks *blocks);

/// Computes a delta from a text of which only the blocks are known, by any
/// process that has the new text. Blocks with equal hashes count as equal, so
/// the receiver must check the result.
///
/// @param old  mean_lines must be a power of two; nothing else is assumed of it
void delta_make_from_blocks(const struct delta_blocks *old,
    const char *new_text, size_t new_bytes, struct delta *delta);

void delta_free(struct delta *delta);

/// Builds the new text.
///
/// @param max_bytes  bound on the result
/// @param out        receives the text; release it with free()
/// @return 0, or -1 with err set
int delta_apply(const char *old_text, size_t old_bytes,
    const struct delta_step *steps, uint32_t step_count, size_t max_bytes,
    char **out, size_t *out_bytes, struct error *err);

#endif
