/// @file
/// State of the rule parser, and its words, names and numbers.
#ifndef MV_CORE_RULES_RULES_WORDS_H
#define MV_CORE_RULES_RULES_WORDS_H

#include <stdbool.h>

#include "core/rules/rules.h"

#define MAX_WORDS 16

struct word {
	const char *text;
	uint32_t text_bytes;
	uint32_t column;
};

/// A reference from a route that is resolved once the whole file is read.
struct pending_route {
	bool is_match;
	struct word targets[RULES_MAX_TARGETS]; ///< Of a match rule.
	struct word service;
	struct word rank;
	char service_name[RULES_NAME_BYTES];
	char rank_name[RULES_NAME_BYTES];
};

struct parser {
	struct rules *rules;
	struct rules_errors *errors;
	struct pending_route *pending;
	uint32_t line;
	struct word words[MAX_WORDS];
	uint32_t word_count;
	char owner[RULES_OWNER_BYTES];
	// What the version rule says.
	bool has_version;
	bool has_base;
	uint64_t base;
	char version_owner[RULES_OWNER_BYTES];
};

/// Notes an error at a line and column.
void parser_fail(struct parser *p, uint32_t line, uint32_t column,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

bool parser_word_equals(const struct word *w, const char *text);

/// Copies a name of [a-z0-9_-]; reports anything else.
bool parser_read_name(struct parser *p, const struct word *w, const char *what,
    char out[RULES_NAME_BYTES]);

/// Parses a decimal number that fills the word up to a suffix.
bool parser_read_number(
    const struct word *w, uint64_t max, uint64_t *out, uint32_t *used_bytes);

bool parser_read_count(struct parser *p, const struct word *w, const char *what,
    uint32_t max, uint32_t *out);

bool parser_read_percent(struct parser *p, const struct word *w, uint32_t *out);

bool parser_read_duration(
    struct parser *p, const struct word *w, const char *what, int64_t *out_us);

/// Splits a word at "key=" and yields the value.
bool parser_word_option(
    const struct word *w, const char *key, struct word *value);

/// Cuts the comment off a line and stores who asked for the rule.
///
/// @return length of the line before the comment
uint32_t parser_take_owner(
    struct parser *p, const char *line, uint32_t line_bytes);

bool parser_split_words(
    struct parser *p, const char *line, uint32_t line_bytes);

bool parser_check_bytes(
    struct parser *p, const char *line, uint32_t line_bytes);

/// Makes room for one more item, which is zeroed.
void *parser_grow(void *items, uint32_t count, size_t item_bytes);

/// Reports an option that is unknown or that was given before.
void parser_fail_option(
    struct parser *p, const struct word *w, const char *directive);

bool parser_need_words(struct parser *p, uint32_t count, const char *usage);

/// Adds a route whose references are resolved later.
void parser_add_route(struct parser *p, struct rule_route *route,
    const struct pending_route *pending);

// Match rules and limits, in rules_match.c.

void parser_parse_match(struct parser *p);

void parser_parse_limits(struct parser *p);

/// Resolves the services and the rank of a match rule.
void parser_resolve_match(struct parser *p, struct rule_route *route,
    const struct pending_route *pending);

/// Reports match rules that have the same name or the same place.
void parser_check_matches(struct parser *p);

/// Resolves the names that routes refer to.
void parser_resolve_routes(struct parser *p);

/// Reports ranks that are promised more than there is.
void parser_check_shares(struct parser *p);

/// Puts the routes in the order in which they are tried.
void rules_sort_routes(struct rules *rules);

/// Puts the errors in the order of their places.
void rules_sort_errors(struct rules_errors *errors);

#endif
