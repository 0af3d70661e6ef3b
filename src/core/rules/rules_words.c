// Splits rule lines into words, and parses names, numbers and options.
#include <assert.h>
#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistr.h>

#include "core/rules/rules_words.h"

/// Bits that mark the second and later bytes of a character in UTF-8.
#define UTF8_TAIL_MASK 0xc0
#define UTF8_TAIL      0x80

void
parser_fail(
    struct parser *p, uint32_t line, uint32_t column, const char *fmt, ...)
{
	struct rules_error *e;
	va_list ap;

	if (p->errors->count++ >= RULES_MAX_ERRORS)
		return;
	e = &p->errors->items[p->errors->count - 1];
	e->line = line;
	e->column = column;
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
}

bool
parser_word_equals(const struct word *w, const char *text)
{
	return strlen(text) == w->text_bytes &&
	    memcmp(w->text, text, w->text_bytes) == 0;
}

static bool
is_name_char(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
	    c == '_';
}

bool
parser_read_name(struct parser *p, const struct word *w, const char *what,
    char out[RULES_NAME_BYTES])
{
	uint32_t i;

	if (w->text_bytes == 0 || w->text_bytes >= RULES_NAME_BYTES) {
		parser_fail(p, p->line, w->column,
		    "%s name must have 1 to %d characters", what,
		    RULES_NAME_BYTES - 1);
		return false;
	}
	for (i = 0; i < w->text_bytes; i++) {
		if (is_name_char(w->text[i]))
			continue;
		parser_fail(p, p->line, w->column + i,
		    "%s name may hold only a-z, 0-9, '-' and '_'", what);
		return false;
	}
	memcpy(out, w->text, w->text_bytes);
	out[w->text_bytes] = '\0';
	return true;
}

bool
parser_read_number(
    const struct word *w, uint64_t max, uint64_t *out, uint32_t *used_bytes)
{
	uint64_t n = 0;
	uint32_t i;

	for (i = 0; i < w->text_bytes; i++) {
		char c = w->text[i];

		if (c < '0' || c > '9')
			break;
		if (n > (max - (uint64_t)(c - '0')) / 10)
			return false;
		n = n * 10 + (uint64_t)(c - '0');
	}
	*out = n;
	*used_bytes = i;
	return i > 0;
}

bool
parser_read_count(struct parser *p, const struct word *w, const char *what,
    uint32_t max, uint32_t *out)
{
	uint64_t n;
	uint32_t used;

	if (!parser_read_number(w, max, &n, &used) || used != w->text_bytes ||
	    n == 0) {
		parser_fail(p, p->line, w->column,
		    "%s must be a whole number from 1 to %u", what, max);
		return false;
	}
	*out = (uint32_t)n;
	return true;
}

bool
parser_read_percent(struct parser *p, const struct word *w, uint32_t *out)
{
	uint64_t n;
	uint32_t used;

	if (!parser_read_number(w, 100, &n, &used) ||
	    used + 1 != w->text_bytes || w->text[used] != '%') {
		parser_fail(p, p->line, w->column,
		    "keep must be a percentage from 0%% to 100%%");
		return false;
	}
	*out = (uint32_t)n;
	return true;
}

static bool
is_label_char(char c)
{
	return isalnum((unsigned char)c) || c == '-' || c == '_' || c == '.';
}

bool
parser_read_label(struct parser *p, const struct word *w, const char *what,
    char *out, size_t out_bytes)
{
	uint32_t i;

	if (w->text_bytes == 0 || w->text_bytes >= out_bytes) {
		parser_fail(p, p->line, w->column,
		    "%s must have 1 to %zu characters", what, out_bytes - 1);
		return false;
	}
	for (i = 0; i < w->text_bytes; i++) {
		if (is_label_char(w->text[i]))
			continue;
		parser_fail(p, p->line, w->column + i,
		    "%s may hold only letters, digits, '-', '_' and '.'", what);
		return false;
	}
	memcpy(out, w->text, w->text_bytes);
	out[w->text_bytes] = '\0';
	return true;
}

static int64_t
duration_unit_us(const char *unit, uint32_t unit_bytes)
{
	if (unit_bytes == 2 && memcmp(unit, "us", 2) == 0)
		return 1;
	if (unit_bytes == 2 && memcmp(unit, "ms", 2) == 0)
		return 1000;
	if (unit_bytes == 1 && unit[0] == 's')
		return 1000000;
	return 0;
}

bool
parser_read_duration(
    struct parser *p, const struct word *w, const char *what, int64_t *out_us)
{
	uint64_t n;
	uint32_t used;
	int64_t unit_us = 0;

	if (parser_read_number(w, RULES_MAX_DEADLINE_US, &n, &used))
		unit_us =
		    duration_unit_us(w->text + used, w->text_bytes - used);
	if (unit_us == 0 || n == 0 ||
	    n > (uint64_t)(RULES_MAX_DEADLINE_US / unit_us)) {
		parser_fail(p, p->line, w->column,
		    "%s must be a time such as 800ms or 5s, at most 3600s",
		    what);
		return false;
	}
	*out_us = (int64_t)n * unit_us;
	return true;
}

bool
parser_word_option(const struct word *w, const char *key, struct word *value)
{
	uint32_t key_bytes = (uint32_t)strlen(key);

	if (w->text_bytes <= key_bytes || w->text[key_bytes] != '=' ||
	    memcmp(w->text, key, key_bytes) != 0)
		return false;
	value->text = w->text + key_bytes + 1;
	value->text_bytes = w->text_bytes - key_bytes - 1;
	value->column = w->column + key_bytes + 1;
	return true;
}

/// Returns the largest length up to max_bytes that ends between two characters
/// of a longer UTF-8 text.
static uint32_t
cut_text(const char *text, uint32_t max_bytes)
{
	while (max_bytes > 0 &&
	    ((unsigned char)text[max_bytes] & UTF8_TAIL_MASK) == UTF8_TAIL)
		max_bytes--;
	return max_bytes;
}

uint32_t
parser_split_comment(struct parser *p, const char *line, uint32_t line_bytes)
{
	const char *hash = memchr(line, '#', line_bytes);
	const char *end = line + line_bytes;
	uint32_t owner_bytes;

	p->owner[0] = '\0';
	if (hash == NULL)
		return line_bytes;
	line_bytes = (uint32_t)(hash - line);
	for (hash++; hash < end && (*hash == ' ' || *hash == '\t'); hash++)
		;
	while (end > hash && (end[-1] == ' ' || end[-1] == '\t'))
		end--;
	owner_bytes = (uint32_t)(end - hash);
	if (owner_bytes >= RULES_OWNER_BYTES)
		owner_bytes = cut_text(hash, RULES_OWNER_BYTES - 1);
	memcpy(p->owner, hash, owner_bytes);
	p->owner[owner_bytes] = '\0';
	return line_bytes;
}

bool
parser_split_words(struct parser *p, const char *line, uint32_t line_bytes)
{
	uint32_t i = 0;

	p->word_count = 0;
	while (i < line_bytes) {
		uint32_t start;

		while (i < line_bytes && (line[i] == ' ' || line[i] == '\t'))
			i++;
		start = i;
		while (i < line_bytes && line[i] != ' ' && line[i] != '\t')
			i++;
		if (i == start)
			break;
		if (p->word_count == MAX_WORDS) {
			parser_fail(p, p->line, start + 1, "too many words");
			return false;
		}
		p->words[p->word_count].text = line + start;
		p->words[p->word_count].text_bytes = i - start;
		p->words[p->word_count++].column = start + 1;
	}
	return true;
}

/// Tells whether a line has only printable ASCII characters and tabs, as nearly
/// all have. Without branches, so that the compiler vectorizes it.
static bool
is_plain(const char *line, uint32_t line_bytes)
{
	uint32_t others = 0;
	uint32_t i;

	for (i = 0; i < line_bytes; i++) {
		unsigned char c = (unsigned char)line[i];

		others |= (c < 0x20) & (c != '\t');
		others |= c >= 0x7f;
	}
	return others == 0;
}

bool
parser_check_bytes(struct parser *p, const char *line, uint32_t line_bytes)
{
	const uint8_t *invalid;
	uint32_t i;

	if (is_plain(line, line_bytes))
		return true;
	invalid = u8_check((const uint8_t *)line, line_bytes);
	if (invalid != NULL) {
		parser_fail(p, p->line,
		    (uint32_t)((const char *)invalid - line) + 1,
		    "byte 0x%02x is not part of UTF-8 text", *invalid);
		return false;
	}
	for (i = 0; i < line_bytes; i++) {
		unsigned char c = (unsigned char)line[i];

		if (c >= 0x20 ? c != 0x7f : c == '\t')
			continue;
		parser_fail(p, p->line, i + 1, "control character 0x%02x", c);
		return false;
	}
	return true;
}

void *
parser_grow(void *items, uint32_t count, size_t item_bytes)
{
	void *grown = items;

	if ((count & (count - 1)) == 0) {
		grown = realloc(items, (count ? count * 2 : 1) * item_bytes);
		assert(grown != NULL);
	}
	memset((char *)grown + count * item_bytes, 0, item_bytes);
	return grown;
}

void
parser_fail_option(
    struct parser *p, const struct word *w, const char *directive)
{
	uint32_t shown_bytes = w->text_bytes > 40 ? 40 : w->text_bytes;
	struct word secret;

	if (parser_word_option(w, "keys", &secret))
		shown_bytes = w->text_bytes - secret.text_bytes;
	parser_fail(p, p->line, w->column,
	    "unknown or repeated option '%.*s' of %s", (int)shown_bytes,
	    w->text, directive);
}

bool
parser_need_words(struct parser *p, uint32_t count, const char *usage)
{
	if (p->word_count >= count)
		return true;
	parser_fail(p, p->line, p->words[0].column, "expected: %s", usage);
	return false;
}

void
parser_add_route(struct parser *p, struct rule_route *route,
    const struct route_texts *texts, const struct pending_route *pending)
{
	struct rules *r = p->rules;
	// Neighbours often have the same texts.
	const struct rule_route *last =
	    r->route_count > 0 ? &r->routes[r->route_count - 1] : NULL;

	route->owner = text_pool_copy(
	    &r->texts, p->owner, last == NULL ? NULL : last->owner);
	route->host = text_pool_copy(
	    &r->texts, texts->host, last == NULL ? NULL : last->host);
	route->method = text_pool_copy(
	    &r->texts, texts->method, last == NULL ? NULL : last->method);
	route->name = text_pool_copy(&r->texts, texts->name, NULL);
	route->path = text_pool_copy(&r->texts, texts->path, NULL);
	r->routes = parser_grow(r->routes, r->route_count, sizeof(*r->routes));
	p->pending =
	    parser_grow(p->pending, r->route_count, sizeof(*p->pending));
	p->pending[r->route_count] = *pending;
	r->routes[r->route_count++] = *route;
}
