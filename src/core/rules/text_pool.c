// Packs short texts into blocks.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/text_pool.h"

#define BLOCK_BYTES 4096

struct text_block {
	struct text_block *next;
	size_t used_bytes;
	size_t size_bytes;
	char bytes[];
};

static struct text_block *
add_block(struct text_pool *pool, size_t min_bytes)
{
	size_t size_bytes = min_bytes > BLOCK_BYTES ? min_bytes : BLOCK_BYTES;
	struct text_block *block = malloc(sizeof(*block) + size_bytes);

	assert(block != NULL);
	block->next = pool->blocks;
	block->used_bytes = 0;
	block->size_bytes = size_bytes;
	pool->blocks = block;
	return block;
}

const char *
text_pool_copy(struct text_pool *pool, const char *text, const char *known)
{
	size_t text_bytes = strlen(text) + 1;
	struct text_block *block = pool->blocks;
	char *copy;

	if (text[0] == '\0')
		return "";
	if (known != NULL && strcmp(known, text) == 0)
		return known;
	if (block == NULL || block->size_bytes - block->used_bytes < text_bytes)
		block = add_block(pool, text_bytes);
	copy = block->bytes + block->used_bytes;
	memcpy(copy, text, text_bytes);
	block->used_bytes += text_bytes;
	return copy;
}

void
text_pool_free(struct text_pool *pool)
{
	while (pool->blocks != NULL) {
		struct text_block *next = pool->blocks->next;

		free(pool->blocks);
		pool->blocks = next;
	}
}
