/// @file
/// Shared by the unit tests.
#ifndef MV_TEST_UNIT_SUPPORT_H
#define MV_TEST_UNIT_SUPPORT_H

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/// Number of seeds of a seeded test: the default, or TEST_SEEDS. With
/// TEST_SEED just that one is run.
uint64_t test_first_seed(void);
uint64_t test_seed_count(uint64_t fallback);

/// Reads a whole file, with a NUL behind it; fails the test if it cannot.
char *test_read_file(const char *path, size_t *size_bytes);

#endif
