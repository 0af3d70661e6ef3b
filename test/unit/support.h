/// @file
/// Seeds and test files for the unit tests.
#ifndef MV_TEST_UNIT_SUPPORT_H
#define MV_TEST_UNIT_SUPPORT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/// Returns the first seed of a seeded test: TEST_SEED, or 1.
uint64_t test_first_seed(void);

/// Returns the number of seeds of a seeded test: 1 with TEST_SEED, else
/// TEST_SEEDS, else the default.
uint64_t test_seed_count(uint64_t default_count);

/// Reads a file of less than 1 MiB and appends a NUL; fails the test if it
/// cannot be opened. The caller frees the bytes.
char *test_read_file(const char *path, size_t *size_bytes);

#endif
