/// @file
/// Settings of a program: a JSON file validated against a table of keys.
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
	const char *default_json; ///< Default, as JSON; NULL: empty or 0.
	const char *help;
	const char *required_unless; ///< Not required if this key is set.
};

/// Loads and validates a file; prints every problem with the path of its key.
///
/// @param path    the JSON file
/// @param fields  table of keys
/// @param count   number of fields
/// @param out     struct that the offsets refer to
/// @param errors  receives one line per problem
/// @return number of problems
int settings_load(const char *path, const struct settings_field *fields,
    size_t count, void *out, FILE *errors);

/// Prints a line for each key: path, kind, default and help.
void settings_describe(
    const struct settings_field *fields, size_t count, FILE *out);

#endif
