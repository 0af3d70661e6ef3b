/// @file
/// Settings of a program: a JSON file checked whole against a table.
#ifndef MV_IO_SETTINGS_H
#define MV_IO_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define SETTINGS_TEXT_BYTES 256
#define SETTINGS_MAX_LIST   16

enum settings_kind {
	SETTINGS_TEXT,	  ///< char[SETTINGS_TEXT_BYTES]
	SETTINGS_INTEGER, ///< int64_t
	SETTINGS_NUMBER,  ///< double, not below 0; min is not used
	SETTINGS_BOOL,	  ///< bool
	SETTINGS_LIST,	  ///< struct settings_list: array of strings
	SETTINGS_ADDRESS, ///< char[SETTINGS_TEXT_BYTES] of "IP:port"
};

struct settings_list {
	uint32_t count;
	char items[SETTINGS_MAX_LIST][SETTINGS_TEXT_BYTES];
};

/// One key. A dot in the path names a nested object.
struct settings_field {
	const char *path;
	enum settings_kind kind;
	size_t offset;
	bool required;
	int64_t min;
	int64_t max;
	const char *fallback; ///< Default, as JSON text; NULL for empty or 0.
	const char *help;
	const char *unless; ///< With this key given, it is not required.
};

/// Loads and checks a whole file; prints every problem with its key's path.
///
/// @param path    the JSON file
/// @param fields  table of keys
/// @param count   their number
/// @param out     struct that the offsets refer to
/// @param errors  where problems are printed, a line each
/// @return number of problems
int settings_load(const char *path, const struct settings_field *fields,
    size_t count, void *out, FILE *errors);

/// Prints the table of keys: path, kind, default and meaning.
void settings_describe(
    const struct settings_field *fields, size_t count, FILE *out);

#endif
