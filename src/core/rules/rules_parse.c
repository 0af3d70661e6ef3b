// Parses and validates rule files.
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/rules_words.h"

/// Parses the option base=N of the version rule.
static bool
parse_base(struct parser *p)
{
	struct word v;
	uint32_t used;

	if (!parser_word_option(&p->words[2], "base", &v)) {
		parser_fail(p, p->line, p->words[2].column,
		    "unexpected word after version");
		return false;
	}
	if (!parser_read_number(&v, INT64_MAX, &p->base, &used) ||
	    used != v.text_bytes || p->base >= p->rules->version) {
		parser_fail(p, p->line, v.column,
		    "base must be a whole number below the version");
		return false;
	}
	p->has_base = true;
	return true;
}

static void
parse_version(struct parser *p)
{
	uint64_t n;
	uint32_t used;
	const struct word *w = &p->words[1];

	if (!parser_need_words(p, 2, "version N [base=N]"))
		return;
	if (p->word_count > 3) {
		parser_fail(p, p->line, p->words[3].column,
		    "unexpected word after version");
		return;
	}
	if (p->has_version) {
		parser_fail(
		    p, p->line, p->words[0].column, "version is given twice");
		return;
	}
	if (!parser_read_number(w, INT64_MAX, &n, &used) ||
	    used != w->text_bytes || n == 0) {
		parser_fail(p, p->line, w->column,
		    "version must be a whole number above 0");
		return;
	}
	p->rules->version = n;
	if (p->word_count == 3 && !parse_base(p))
		return;
	p->has_version = true;
	memcpy(p->version_owner, p->owner, sizeof(p->version_owner));
}

static void
parse_rank(struct parser *p)
{
	struct rules *r = p->rules;
	struct rule_rank rank = {.line = p->line};
	bool has_keep = false;
	bool ok;
	uint32_t i;

	if (!parser_need_words(p, 4, "rank NAME worth=N target=TIME [keep=N%]"))
		return;
	ok = parser_read_name(p, &p->words[1], "rank", rank.name);
	for (i = 2; i < p->word_count; i++) {
		const struct word *w = &p->words[i];
		struct word v;

		if (rank.worth == 0 && parser_word_option(w, "worth", &v))
			ok &= parser_read_count(
			    p, &v, "worth", 1000000, &rank.worth);
		else if (rank.target_us == 0 &&
		    parser_word_option(w, "target", &v))
			ok &= parser_read_duration(
			    p, &v, "target", &rank.target_us);
		else if (!has_keep && parser_word_option(w, "keep", &v))
			ok &= has_keep =
			    parser_read_percent(p, &v, &rank.keep_pct);
		else {
			parser_fail_option(p, w, "rank");
			ok = false;
		}
	}
	if (!ok)
		return;
	if (rank.worth == 0 || rank.target_us == 0) {
		parser_fail(p, p->line, p->words[0].column,
		    "rank needs worth= and target=");
		return;
	}
	if (rules_find_rank(r, rank.name) >= 0) {
		parser_fail(p, p->line, p->words[1].column,
		    "rank '%s' is already defined", rank.name);
		return;
	}
	if (r->rank_count == RULES_MAX_RANKS) {
		parser_fail(p, p->line, p->words[0].column,
		    "more than %d ranks", RULES_MAX_RANKS);
		return;
	}
	memcpy(rank.owner, p->owner, sizeof(rank.owner));
	r->ranks = parser_grow(r->ranks, r->rank_count, sizeof(*r->ranks));
	r->ranks[r->rank_count++] = rank;
}

static bool
parse_health(
    struct parser *p, const struct word *w, struct rule_service *service)
{
	if (w->text_bytes == 0 || w->text[0] != '/' ||
	    w->text_bytes >= sizeof(service->health)) {
		parser_fail(p, p->line, w->column,
		    "health must start with '/' and be under %d characters",
		    RULES_PATH_BYTES);
		return false;
	}
	memcpy(service->health, w->text, w->text_bytes);
	return true;
}

static void
parse_service(struct parser *p)
{
	struct rules *r = p->rules;
	struct rule_service service = {.line = p->line};
	bool ok;
	uint32_t i;

	if (!parser_need_words(p, 4, "service NAME slots=N connections=N"))
		return;
	ok = parser_read_name(p, &p->words[1], "service", service.name);
	for (i = 2; i < p->word_count; i++) {
		const struct word *w = &p->words[i];
		struct word v;

		if (service.slots == 0 && parser_word_option(w, "slots", &v))
			ok &= parser_read_count(
			    p, &v, "slots", 10000, &service.slots);
		else if (service.connections == 0 &&
		    parser_word_option(w, "connections", &v))
			ok &= parser_read_count(
			    p, &v, "connections", 10000, &service.connections);
		else if (service.health[0] == '\0' &&
		    parser_word_option(w, "health", &v))
			ok &= parse_health(p, &v, &service);
		else if (service.protocol[0] == '\0' &&
		    parser_word_option(w, "protocol", &v))
			ok &= parser_read_name(
			    p, &v, "protocol", service.protocol);
		else if (!service.tls && parser_word_equals(w, "tls"))
			service.tls = true;
		else {
			parser_fail_option(p, w, "service");
			ok = false;
		}
	}
	if (!ok)
		return;
	if (service.connections == 0 ||
	    (service.slots == 0 && service.health[0] == '\0')) {
		parser_fail(p, p->line, p->words[0].column,
		    "service needs slots= and connections=");
		return;
	}
	if (rules_find_service(r, service.name) >= 0) {
		parser_fail(p, p->line, p->words[1].column,
		    "service '%s' is already defined", service.name);
		return;
	}
	memcpy(service.owner, p->owner, sizeof(service.owner));
	r->services =
	    parser_grow(r->services, r->service_count, sizeof(*r->services));
	r->services[r->service_count++] = service;
}

static bool
parse_method(
    struct parser *p, const struct word *w, char out[RULES_METHOD_BYTES])
{
	static const char *const known_methods[] = {
	    "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
	size_t i;

	for (i = 0; i < sizeof(known_methods) / sizeof(known_methods[0]); i++) {
		if (!parser_word_equals(w, known_methods[i]))
			continue;
		snprintf(out, RULES_METHOD_BYTES, "%s", known_methods[i]);
		return true;
	}
	parser_fail(p, p->line, w->column,
	    "method must be GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or *");
	return false;
}

static bool
parse_path(struct parser *p, const struct word *w, struct rule_route *route,
    struct route_texts *texts)
{
	const char *star = memchr(w->text, '*', w->text_bytes);

	if (w->text[0] != '/' || w->text_bytes >= RULES_PATH_BYTES ||
	    memchr(w->text, '?', w->text_bytes) != NULL) {
		parser_fail(p, p->line, w->column,
		    "path must start with '/', hold no '?' and be under %d "
		    "characters",
		    RULES_PATH_BYTES);
		return false;
	}
	if (star != NULL && star != w->text + w->text_bytes - 1) {
		parser_fail(p, p->line, w->column + (uint32_t)(star - w->text),
		    "'*' may only end a path");
		return false;
	}
	route->prefix = star != NULL;
	route->path_bytes = w->text_bytes - (star != NULL ? 1 : 0);
	memcpy(texts->path, w->text, route->path_bytes);
	return true;
}

static const struct rule_route *
find_same_route(const struct rules *r, const struct rule_route *route,
    const struct route_texts *texts)
{
	uint32_t i;

	for (i = 0; i < r->route_count; i++) {
		const struct rule_route *other = &r->routes[i];

		if (other->name[0] == '\0' && other->prefix == route->prefix &&
		    strcmp(other->path, texts->path) == 0 &&
		    strcmp(other->method, texts->method) == 0)
			return other;
	}
	return NULL;
}

static bool
parse_route_options(
    struct parser *p, struct rule_route *route, struct pending_route *pending)
{
	bool ok = true;
	uint32_t i;

	for (i = 4; i < p->word_count; i++) {
		const struct word *w = &p->words[i];
		struct word v;

		if (pending->rank.text == NULL &&
		    parser_word_option(w, "rank", &v)) {
			pending->rank = v;
			ok &=
			    parser_read_name(p, &v, "rank", pending->rank_name);
		} else if (route->timeout_us == 0 &&
		    parser_word_option(w, "deadline", &v))
			ok &= parser_read_duration(
			    p, &v, "deadline", &route->timeout_us);
		else if (!route->once && parser_word_equals(w, "once"))
			route->once = true;
		else {
			parser_fail_option(p, w, "route");
			ok = false;
		}
	}
	return ok;
}

static void
parse_route(struct parser *p)
{
	struct rules *r = p->rules;
	struct rule_route route = {.line = p->line};
	struct pending_route pending = {0};
	struct route_texts texts = {{0}};
	const struct rule_route *same;
	bool ok;

	if (!parser_need_words(p, 4,
		"route METHOD PATH SERVICE rank=NAME deadline=TIME [once]"))
		return;
	ok = parse_method(p, &p->words[1], texts.method);
	ok &= parse_path(p, &p->words[2], &route, &texts);
	pending.service = p->words[3];
	ok &=
	    parser_read_name(p, &p->words[3], "service", pending.service_name);
	ok &= parse_route_options(p, &route, &pending);
	if (!ok)
		return;
	if (pending.rank.text == NULL || route.timeout_us == 0) {
		parser_fail(p, p->line, p->words[0].column,
		    "route needs rank= and deadline=");
		return;
	}
	same = find_same_route(r, &route, &texts);
	if (same != NULL) {
		parser_fail(p, p->line, p->words[1].column,
		    "route repeats line %u", same->line);
		return;
	}
	route.target_count = route.weight_sum = route.targets[0].weight = 1;
	parser_add_route(p, &route, &texts, &pending);
}

static void
parse_line(struct parser *p, const char *line, uint32_t line_bytes)
{
	uint32_t rule_bytes;

	if (!parser_check_bytes(p, line, line_bytes))
		return;
	rule_bytes = parser_split_comment(p, line, line_bytes);
	if (!parser_split_words(p, line, rule_bytes) || p->word_count == 0)
		return;
	if (p->owner[0] == '\0') {
		parser_fail(p, p->line, rule_bytes + 1,
		    "no comment naming who asked for this rule");
	}
	if (!p->has_version && !parser_word_equals(&p->words[0], "version") &&
	    p->rules->rank_count + p->rules->service_count == 0 &&
	    p->errors->count == 0)
		parser_fail(p, p->line, 1, "the first rule must be: version N");
	if (parser_word_equals(&p->words[0], "version"))
		parse_version(p);
	else if (parser_word_equals(&p->words[0], "rank"))
		parse_rank(p);
	else if (parser_word_equals(&p->words[0], "service"))
		parse_service(p);
	else if (parser_word_equals(&p->words[0], "route"))
		parse_route(p);
	else if (parser_word_equals(&p->words[0], "match"))
		parser_parse_match(p);
	else if (parser_word_equals(&p->words[0], "limits"))
		parser_parse_limits(p);
	else if (parser_word_equals(&p->words[0], "workspace"))
		parser_parse_workspace(p);
	else
		parser_fail(p, p->line, p->words[0].column,
		    "unknown rule; expected version, rank, service, route, "
		    "match, limits or workspace");
}

/// Parses a line if it is the version rule; skips any other line.
static void
parse_version_line(struct parser *p, const char *line, uint32_t line_bytes)
{
	uint32_t rule_bytes = parser_split_comment(p, line, line_bytes);

	p->line++;
	if (parser_split_words(p, line, rule_bytes) && p->word_count > 0 &&
	    parser_word_equals(&p->words[0], "version"))
		parse_version(p);
}

static void
parse_lines(struct parser *p, const char *text, size_t text_bytes)
{
	const char *end = text + text_bytes;

	while (text < end) {
		const char *eol = memchr(text, '\n', (size_t)(end - text));
		const char *next = eol == NULL ? end : eol + 1;

		p->line++;
		if (eol == NULL)
			eol = end;
		if (eol > text && eol[-1] == '\r')
			eol--;
		parse_line(p, text, (uint32_t)(eol - text));
		text = next;
	}
}

static struct rule_file *
make_file(const struct parser *p, const char *text, size_t text_bytes)
{
	struct rule_file *file = rule_file_create(text, text_bytes);

	file->version = p->rules->version;
	file->has_base = p->has_base;
	file->base = p->base;
	memcpy(file->owner, p->version_owner, sizeof(file->owner));
	return file;
}

struct rule_file *
rule_file_open(const char *text, size_t text_bytes)
{
	struct rules_errors *errors = calloc(1, sizeof(*errors));
	struct rules rules = {0};
	struct parser p = {.errors = errors, .rules = &rules};
	const char *end = text + text_bytes;
	const char *at = text;

	assert(errors != NULL);
	while (at < end && !p.has_version && errors->count == 0) {
		const char *eol = memchr(at, '\n', (size_t)(end - at));

		parse_version_line(
		    &p, at, (uint32_t)((eol == NULL ? end : eol) - at));
		at = eol == NULL ? end : eol + 1;
	}
	free(errors);
	return p.has_version ? make_file(&p, text, text_bytes) : NULL;
}

struct rules *
rules_parse(const char *text, size_t text_bytes, struct rules_errors *errors)
{
	struct parser p = {.errors = errors};

	errors->count = 0;
	if (text_bytes > RULES_MAX_BYTES) {
		parser_fail(
		    &p, 1, 1, "file is larger than %d bytes", RULES_MAX_BYTES);
		return NULL;
	}
	p.rules = calloc(1, sizeof(*p.rules));
	assert(p.rules != NULL);
	atomic_init(&p.rules->refs, 1);
	parse_lines(&p, text, text_bytes);
	if (!p.has_version && errors->count == 0)
		parser_fail(&p, 1, 1, "the first rule must be: version N");
	parser_resolve_routes(&p);
	parser_resolve_workspaces(&p);
	parser_check_shares(&p);
	parser_check_matches(&p);
	free(p.pending);
	if (errors->count > 0) {
		rules_sort_errors(errors);
		rules_unref(p.rules);
		return NULL;
	}
	rules_sort_routes(p.rules);
	if (p.rules->match_count > 0)
		rules_index_build(p.rules);
	p.rules->file = make_file(&p, text, text_bytes);
	return p.rules;
}
