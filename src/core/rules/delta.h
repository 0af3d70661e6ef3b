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

/// Line hashes of a text; enough to compute deltas from it.
struct delta_signature {
	uint32_t line_count;
	uint32_t line_hashes[]; ///< Equal lines have equal ones.
};

/// Computes the signature of a text. Release it with free().
struct delta_signature *delta_signature_make(
    const char *text, size_t text_bytes);

/// Computes a delta from a text of which only the signature is kept. Lines
/// with equal hashes count as equal, so the receiver must check the result.
void delta_make_from_signature(const struct delta_signature *old,
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
