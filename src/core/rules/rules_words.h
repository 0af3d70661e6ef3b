/// @file
/// State of the rule parser, and functions to read words of a rule.
#ifndef MV_CORE_RULES_RULES_WORDS_H
#define MV_CORE_RULES_RULES_WORDS_H

#include <stdbool.h>

#include "core/rules/rules.h"

#define MAX_WORDS 16

/// A word of a rule line. Points into the line; columns start at 1.
struct word {
	const char *text;
	uint32_t text_bytes;
	uint32_t column;
};

/// References of a route, resolved once the whole file is parsed.
struct pending_route {
	bool is_match;
	struct word targets[RULES_MAX_TARGETS]; ///< Of a match rule.
	struct word service;
	struct word rank;
	char service_name[RULES_NAME_BYTES];
	char rank_name[RULES_NAME_BYTES];
};

/// Texts of a route while it is parsed.
struct route_texts {
	char name[RULES_LABEL_BYTES];
	char host[RULES_HOST_BYTES];
	char method[RULES_METHOD_BYTES];
	char path[RULES_PATH_BYTES];
};

struct parser {
	struct rules *rules;
	struct rules_errors *errors;
	struct pending_route *pending;
	uint32_t line;
	struct word words[MAX_WORDS];
	uint32_t word_count;
	char owner[RULES_OWNER_BYTES];
	// Contents of the version rule.
	bool has_version;
	bool has_base;
	uint64_t base;
	char version_owner[RULES_OWNER_BYTES];
};

/// Records an error at a line and column.
void parser_fail(struct parser *p, uint32_t line, uint32_t column,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

bool parser_word_equals(const struct word *w, const char *text);

/// Copies a name of [a-z0-9_-]; reports other words.
bool parser_read_name(struct parser *p, const struct word *w, const char *what,
    char out[RULES_NAME_BYTES]);

/// Parses the decimal number at the start of a word.
///
/// @param used_bytes  receives the number of digits; a suffix may follow
/// @return false if there is none or it is above max
bool parser_read_number(
    const struct word *w, uint64_t max, uint64_t *out, uint32_t *used_bytes);

/// Parses a whole number from 1 to max; reports other words.
bool parser_read_count(struct parser *p, const struct word *w, const char *what,
    uint32_t max, uint32_t *out);

/// Parses a percentage such as 5%; reports other words.
bool parser_read_percent(struct parser *p, const struct word *w, uint32_t *out);

/// Parses a time such as 800ms or 5s; reports other words.
bool parser_read_duration(
    struct parser *p, const struct word *w, const char *what, int64_t *out_us);

/// Reads the value of a word of the form "key=value".
bool parser_word_option(
    const struct word *w, const char *key, struct word *value);

/// Stores the comment of a line as the owner of its rule.
///
/// @return length of the line before the comment
uint32_t parser_split_comment(
    struct parser *p, const char *line, uint32_t line_bytes);

/// Splits a line at blanks into p->words; reports too many words.
bool parser_split_words(
    struct parser *p, const char *line, uint32_t line_bytes);

/// Reports the first byte of a line that is not UTF-8 text, or else the first
/// control character; tabs are allowed.
bool parser_check_bytes(
    struct parser *p, const char *line, uint32_t line_bytes);

/// Copies a word of letters, digits, '-', '_' and '.'; reports other ones.
///
/// @param out  has room for out_bytes - 1 characters and NUL
bool parser_read_label(struct parser *p, const struct word *w, const char *what,
    char *out, size_t out_bytes);

/// Grows an array by one zeroed item. Allocates at powers of two.
void *parser_grow(void *items, uint32_t count, size_t item_bytes);

/// Reports an option that is unknown or given twice.
void parser_fail_option(
    struct parser *p, const struct word *w, const char *directive);

/// Reports a rule of fewer than count words, with its usage.
bool parser_need_words(struct parser *p, uint32_t count, const char *usage);

/// Adds a route with its texts; its references are resolved later.
void parser_add_route(struct parser *p, struct rule_route *route,
    const struct route_texts *texts, const struct pending_route *pending);

// Match rules and limits, implemented in rules_match.c.

void parser_parse_match(struct parser *p);

void parser_parse_limits(struct parser *p);

/// Parses the number of a rank, 0 for the highest; reports other words.
bool parser_read_rank_number(
    struct parser *p, const struct word *w, uint32_t *out);

/// Finds the rank of a rank number, or adds it.
///
/// @param target_us  response time that callers expect; the rank has the longest
///                   one of all that refer to it
/// @return index of the rank
int parser_find_or_add_numbered_rank(struct parser *p, uint32_t number,
    int64_t target_us, const char *owner, uint32_t line);

/// Resolves the services and the rank of a match rule.
void parser_resolve_match(struct parser *p, struct rule_route *route,
    const struct pending_route *pending);

/// Reports match rules with the same name, or the same host and prefix.
void parser_check_matches(struct parser *p);

// Workspaces, implemented in rules_workspace.c.

void parser_parse_workspace(struct parser *p);

/// Resolves the ranks of the workspaces and builds the table of their keys;
/// reports names and keys that two of them have. Call it once the routes are
/// resolved.
void parser_resolve_workspaces(struct parser *p);

/// Resolves the services and ranks that routes refer to; reports unknown ones.
void parser_resolve_routes(struct parser *p);

/// Reports ranks whose keep shares add up to more than 100%.
void parser_check_shares(struct parser *p);

/// Sorts the routes in match order, most specific first.
void rules_sort_routes(struct rules *rules);

/// Sorts the errors by line and column.
void rules_sort_errors(struct rules_errors *errors);

#endif
