// Seeds and test files for the unit tests.
#include <stdio.h>
#include <stdlib.h>

#include "unit/support.h"

uint64_t
test_first_seed(void)
{
	const char *seed = getenv("TEST_SEED");

	return seed == NULL ? 1 : strtoull(seed, NULL, 10);
}

uint64_t
test_seed_count(uint64_t default_count)
{
	const char *count = getenv("TEST_SEEDS");

	if (getenv("TEST_SEED") != NULL)
		return 1;
	return count == NULL ? default_count : strtoull(count, NULL, 10);
}

char *
test_read_file(const char *path, size_t *size_bytes)
{
	FILE *f = fopen(path, "rb");
	char *bytes = malloc(1 << 20);

	assert_non_null(f);
	assert_non_null(bytes);
	*size_bytes = fread(bytes, 1, (1 << 20) - 1, f);
	bytes[*size_bytes] = '\0';
	fclose(f);
	return bytes;
}
