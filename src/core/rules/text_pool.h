/// @file
/// Texts that are released all at once, packed into large blocks.
#ifndef MV_CORE_RULES_TEXT_POOL_H
#define MV_CORE_RULES_TEXT_POOL_H

#include <stddef.h>

struct text_block;

/// Zero it before the first use.
struct text_pool {
	struct text_block *blocks; ///< Newest first.
};

/// Copies a text.
///
/// @param known  an earlier copy, which serves again if it is equal; may be NULL
const char *text_pool_copy(
    struct text_pool *pool, const char *text, const char *known);

void text_pool_free(struct text_pool *pool);

#endif
