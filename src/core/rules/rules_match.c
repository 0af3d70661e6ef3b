// Parses and checks match rules and limits.
#include <assert.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/rules_words.h"

static const char match_usage[] =
    "match NAME host=HOST prefix=PATH kind=KIND timeout=TIME target=TIME "
    "rank=N to=SERVICE[:WEIGHT],... [attempts=N] [public]";

static const struct {
	const char *name;
	enum rule_kind kind;
} match_kinds[] = {
    {"safe", RULE_KIND_SAFE},
    {"unsafe", RULE_KIND_UNSAFE},
    {"upload", RULE_KIND_UPLOAD},
    {"download", RULE_KIND_DOWNLOAD},
};

const char *
rules_kind_name(enum rule_kind kind)
{
	size_t i;

	for (i = 0; i < sizeof(match_kinds) / sizeof(match_kinds[0]); i++)
		if (match_kinds[i].kind == kind)
			return match_kinds[i].name;
	return "method";
}

bool
rules_kind_is_safe(enum rule_kind kind)
{
	return kind == RULE_KIND_SAFE || kind == RULE_KIND_DOWNLOAD;
}

/// Options that were given in a match rule.
struct match_seen {
	bool host, prefix, kind, timeout, target, rank, attempts, to, public;
};

static bool
read_host(struct parser *p, const struct word *w, struct route_texts *texts)
{
	char *c;

	if (!parser_read_label(p, w, "host", texts->host, sizeof(texts->host)))
		return false;
	for (c = texts->host; *c != '\0'; c++)
		*c = (char)tolower((unsigned char)*c);
	return true;
}

static bool
read_prefix(struct parser *p, const struct word *w, struct rule_route *route,
    struct route_texts *texts)
{
	if (w->text_bytes == 0 || w->text[0] != '/' ||
	    w->text_bytes >= RULES_PATH_BYTES ||
	    memchr(w->text, '?', w->text_bytes) != NULL) {
		parser_fail(p, p->line, w->column,
		    "prefix must start with '/', hold no '?' and be under %d "
		    "characters",
		    RULES_PATH_BYTES);
		return false;
	}
	route->prefix = true;
	route->path_bytes = w->text_bytes;
	memcpy(texts->path, w->text, w->text_bytes);
	return true;
}

static bool
read_kind(struct parser *p, const struct word *w, struct rule_route *route)
{
	size_t i;

	for (i = 0; i < sizeof(match_kinds) / sizeof(match_kinds[0]); i++) {
		if (!parser_word_equals(w, match_kinds[i].name))
			continue;
		route->kind = match_kinds[i].kind;
		return true;
	}
	parser_fail(p, p->line, w->column,
	    "kind must be safe, unsafe, upload or download");
	return false;
}

static bool
read_timeout(struct parser *p, const struct word *w, struct rule_route *route)
{
	if (!parser_read_duration(p, w, "timeout", &route->timeout_us))
		return false;
	if (route->timeout_us <= RULES_MAX_MATCH_TIMEOUT_US)
		return true;
	parser_fail(p, p->line, w->column, "timeout must be at most 600s");
	return false;
}

/// Parses one "SERVICE" or "SERVICE:WEIGHT".
static bool
read_target(struct parser *p, const struct word *w, struct rule_route *route,
    struct pending_route *pending)
{
	const char *colon = memchr(w->text, ':', w->text_bytes);
	struct rule_target *target = &route->targets[route->target_count];
	struct word name = *w;
	char checked[RULES_NAME_BYTES];
	struct word weight;
	uint64_t n = 1;
	uint32_t used;

	if (colon != NULL) {
		name.text_bytes = (uint32_t)(colon - w->text);
		weight.text = colon + 1;
		weight.text_bytes = w->text_bytes - name.text_bytes - 1;
		weight.column = w->column + name.text_bytes + 1;
		if (!parser_read_number(&weight, RULES_MAX_WEIGHT, &n, &used) ||
		    used != weight.text_bytes) {
			parser_fail(p, p->line, weight.column,
			    "weight must be a whole number up to %d",
			    RULES_MAX_WEIGHT);
			return false;
		}
	}
	if (!parser_read_name(p, &name, "service", checked))
		return false;
	target->weight = (uint32_t)n;
	route->weight_sum += target->weight;
	pending->targets[route->target_count++] = name;
	return true;
}

static bool
read_targets(struct parser *p, const struct word *w, struct rule_route *route,
    struct pending_route *pending)
{
	struct word part = *w;
	uint32_t left = w->text_bytes;

	route->weighted = memchr(w->text, ':', w->text_bytes) != NULL;
	for (;;) {
		const char *comma = memchr(part.text, ',', left);

		part.text_bytes =
		    comma == NULL ? left : (uint32_t)(comma - part.text);
		if (route->target_count == RULES_MAX_TARGETS) {
			parser_fail(p, p->line, part.column,
			    "more than %d services", RULES_MAX_TARGETS);
			return false;
		}
		if (!read_target(p, &part, route, pending))
			return false;
		if (comma == NULL)
			break;
		left -= part.text_bytes + 1;
		part.text = comma + 1;
		part.column += part.text_bytes + 1;
	}
	if (route->weight_sum > 0)
		return true;
	parser_fail(p, p->line, w->column, "weights add up to 0");
	return false;
}

bool
parser_read_rank_number(struct parser *p, const struct word *w, uint32_t *out)
{
	uint64_t n;
	uint32_t used;

	if (!parser_read_number(w, RULES_MAX_WEIGHT - 1, &n, &used) ||
	    used != w->text_bytes) {
		parser_fail(p, p->line, w->column,
		    "rank must be a whole number from 0 to %d",
		    RULES_MAX_WEIGHT - 1);
		return false;
	}
	*out = (uint32_t)n;
	return true;
}

/// Reads "public", or "public=no", which states the default.
static bool
read_public(const struct word *w, struct rule_route *route)
{
	route->is_public = parser_word_equals(w, "public");
	route->has_public =
	    route->is_public || parser_word_equals(w, "public=no");
	return route->has_public;
}

static bool
read_option(struct parser *p, const struct word *w, struct match_seen *seen,
    struct rule_route *route, struct route_texts *texts,
    struct pending_route *pending)
{
	struct word v;

	if (!seen->host && parser_word_option(w, "host", &v))
		return seen->host = read_host(p, &v, texts);
	if (!seen->prefix && parser_word_option(w, "prefix", &v))
		return seen->prefix = read_prefix(p, &v, route, texts);
	if (!seen->kind && parser_word_option(w, "kind", &v))
		return seen->kind = read_kind(p, &v, route);
	if (!seen->timeout && parser_word_option(w, "timeout", &v))
		return seen->timeout = read_timeout(p, &v, route);
	if (!seen->target && parser_word_option(w, "target", &v))
		return seen->target = parser_read_duration(
			   p, &v, "target", &route->target_us);
	if (!seen->rank && parser_word_option(w, "rank", &v))
		return seen->rank =
			   parser_read_rank_number(p, &v, &route->rank_number);
	if (!seen->attempts && parser_word_option(w, "attempts", &v))
		return seen->attempts = parser_read_count(
			   p, &v, "attempts", 1000, &route->attempts);
	if (!seen->to && parser_word_option(w, "to", &v))
		return seen->to = read_targets(p, &v, route, pending);
	if (!seen->public && read_public(w, route))
		return seen->public = true;
	parser_fail_option(p, w, "match");
	return false;
}

void
parser_parse_match(struct parser *p)
{
	struct rules *r = p->rules;
	struct rule_route route = {.line = p->line};
	struct pending_route pending = {.is_match = true};
	struct route_texts texts = {.method = "*"};
	struct match_seen seen = {0};
	bool ok;
	uint32_t i;

	if (!parser_need_words(p, 3, match_usage))
		return;
	ok = parser_read_label(
	    p, &p->words[1], "match name", texts.name, sizeof(texts.name));
	for (i = 2; i < p->word_count; i++)
		ok &= read_option(
		    p, &p->words[i], &seen, &route, &texts, &pending);
	if (!ok)
		return;
	if (!seen.host || !seen.prefix || !seen.kind || !seen.timeout ||
	    !seen.target || !seen.rank || !seen.to) {
		parser_fail(p, p->line, p->words[0].column, "expected: %s",
		    match_usage);
		return;
	}
	parser_add_route(p, &route, &texts, &pending);
	r->match_count++;
}

static bool
read_bytes(struct parser *p, const struct word *w, const char *what,
    int64_t *out_bytes)
{
	uint64_t n;
	uint32_t used;

	if (!parser_read_number(w, INT64_MAX, &n, &used) ||
	    used != w->text_bytes || n == 0) {
		parser_fail(p, p->line, w->column,
		    "%s must be a whole number of bytes above 0", what);
		return false;
	}
	*out_bytes = (int64_t)n;
	return true;
}

void
parser_parse_limits(struct parser *p)
{
	struct rule_limits l = {.given = true, .line = p->line};
	bool ok = true;
	uint32_t i;

	if (p->rules->limits.given) {
		parser_fail(p, p->line, p->words[0].column,
		    "limits repeat line %u", p->rules->limits.line);
		return;
	}
	for (i = 1; i < p->word_count; i++) {
		const struct word *w = &p->words[i];
		struct word v;

		if (l.header_bytes == 0 && parser_word_option(w, "headers", &v))
			ok &= read_bytes(p, &v, "headers", &l.header_bytes);
		else if (l.body_bytes == 0 && parser_word_option(w, "body", &v))
			ok &= read_bytes(p, &v, "body", &l.body_bytes);
		else if (l.header_timeout_us == 0 &&
		    parser_word_option(w, "header_timeout", &v))
			ok &= parser_read_duration(
			    p, &v, "header_timeout", &l.header_timeout_us);
		else if (l.idle_timeout_us == 0 &&
		    parser_word_option(w, "idle_timeout", &v))
			ok &= parser_read_duration(
			    p, &v, "idle_timeout", &l.idle_timeout_us);
		else {
			parser_fail_option(p, w, "limits");
			ok = false;
		}
	}
	if (ok)
		p->rules->limits = l;
}

int
parser_find_or_add_numbered_rank(struct parser *p, uint32_t number,
    int64_t target_us, const char *owner, uint32_t line)
{
	struct rules *r = p->rules;
	struct rule_rank rank = {.line = line,
	    .worth = RULES_MAX_WEIGHT - number,
	    .target_us = target_us};
	int at;

	snprintf(rank.name, sizeof(rank.name), "%c%u",
	    RULES_NUMBERED_RANK_PREFIX, number);
	at = rules_find_rank(r, rank.name);
	if (at >= 0) {
		if (r->ranks[at].target_us < target_us)
			r->ranks[at].target_us = target_us;
		return at;
	}
	if (r->rank_count == RULES_MAX_RANKS) {
		parser_fail(p, line, 1, "more than %d ranks", RULES_MAX_RANKS);
		return 0;
	}
	strcpy(rank.owner, owner);
	r->ranks = parser_grow(r->ranks, r->rank_count, sizeof(*r->ranks));
	r->ranks[r->rank_count] = rank;
	return (int)r->rank_count++;
}

void
parser_resolve_match(struct parser *p, struct rule_route *route,
    const struct pending_route *pending)
{
	uint32_t i;

	for (i = 0; i < route->target_count; i++) {
		const struct word *w = &pending->targets[i];
		char name[RULES_NAME_BYTES];
		int service;

		snprintf(
		    name, sizeof(name), "%.*s", (int)w->text_bytes, w->text);
		service = rules_find_service(p->rules, name);
		if (service < 0)
			parser_fail(p, route->line, w->column,
			    "service '%s' is not defined", name);
		route->targets[i].service = (uint32_t)service;
	}
	route->service = route->targets[0].service;
	route->rank = (uint32_t)parser_find_or_add_numbered_rank(
	    p, route->rank_number, route->target_us, route->owner, route->line);
}

static int
compare_names(const void *a, const void *b)
{
	const struct rule_route *x = *(const struct rule_route *const *)a;
	const struct rule_route *y = *(const struct rule_route *const *)b;
	int order = strcmp(x->name, y->name);

	if (order != 0)
		return order;
	return x->line < y->line ? -1 : 1;
}

static int
compare_host_and_prefix(const void *a, const void *b)
{
	const struct rule_route *x = *(const struct rule_route *const *)a;
	const struct rule_route *y = *(const struct rule_route *const *)b;
	int order = strcmp(x->host, y->host);

	if (order == 0)
		order = strcmp(x->path, y->path);
	if (order != 0)
		return order;
	return x->line < y->line ? -1 : 1;
}

void
parser_check_matches(struct parser *p)
{
	const struct rules *r = p->rules;
	const struct rule_route **sorted;
	uint32_t count = 0;
	uint32_t i;

	if (r->match_count == 0)
		return;
	sorted = calloc(r->match_count, sizeof(const struct rule_route *));
	assert(sorted != NULL);
	for (i = 0; i < r->route_count; i++)
		if (r->routes[i].name[0] != '\0')
			sorted[count++] = &r->routes[i];
	qsort(sorted, count, sizeof(*sorted), compare_names);
	for (i = 1; i < count; i++)
		if (strcmp(sorted[i - 1]->name, sorted[i]->name) == 0)
			parser_fail(p, sorted[i]->line, 1,
			    "match '%s' repeats line %u", sorted[i]->name,
			    sorted[i - 1]->line);
	qsort(sorted, count, sizeof(*sorted), compare_host_and_prefix);
	for (i = 1; i < count; i++)
		if (strcmp(sorted[i - 1]->host, sorted[i]->host) == 0 &&
		    strcmp(sorted[i - 1]->path, sorted[i]->path) == 0)
			parser_fail(p, sorted[i]->line, 1,
			    "host and prefix repeat line %u",
			    sorted[i - 1]->line);
	free(sorted);
}
