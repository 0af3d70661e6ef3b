// Checks across a whole rule file; sorts its routes and errors.
#include <stdlib.h>

#include "core/rules/rules_words.h"

void
parser_resolve_routes(struct parser *p)
{
	struct rules *r = p->rules;
	uint32_t i;

	for (i = 0; i < r->route_count; i++) {
		const struct pending_route *pending = &p->pending[i];
		int service;
		int rank;

		if (pending->is_match) {
			parser_resolve_match(p, &r->routes[i], pending);
			continue;
		}
		service = rules_find_service(r, pending->service_name);
		rank = rules_find_rank(r, pending->rank_name);
		if (service < 0)
			parser_fail(p, r->routes[i].line,
			    pending->service.column,
			    "service '%s' is not defined",
			    pending->service_name);
		if (rank < 0)
			parser_fail(p, r->routes[i].line, pending->rank.column,
			    "rank '%s' is not defined", pending->rank_name);
		r->routes[i].service = (uint32_t)service;
		r->routes[i].targets[0].service = (uint32_t)service;
		r->routes[i].rank = (uint32_t)rank;
		if (rank >= 0)
			r->routes[i].target_us = r->ranks[rank].target_us;
	}
}

void
parser_check_shares(struct parser *p)
{
	struct rules *r = p->rules;
	uint32_t sum_pct = 0;
	uint32_t i;

	for (i = 0; i < r->rank_count; i++) {
		sum_pct += r->ranks[i].keep_pct;
		if (sum_pct > 100) {
			parser_fail(p, r->ranks[i].line, 1,
			    "keep of all ranks adds up to more than 100%%");
			return;
		}
	}
}

static int
compare_routes(const void *a, const void *b)
{
	const struct rule_route *x = a;
	const struct rule_route *y = b;

	if (x->path_bytes != y->path_bytes)
		return x->path_bytes > y->path_bytes ? -1 : 1;
	if (x->prefix != y->prefix)
		return x->prefix ? 1 : -1;
	if ((x->method[0] == '*') != (y->method[0] == '*'))
		return x->method[0] == '*' ? 1 : -1;
	return x->line < y->line ? -1 : 1;
}

static int
compare_errors(const void *a, const void *b)
{
	const struct rules_error *x = a;
	const struct rules_error *y = b;

	if (x->line != y->line)
		return x->line < y->line ? -1 : 1;
	return x->column < y->column ? -1 : x->column > y->column;
}

void
rules_sort_errors(struct rules_errors *errors)
{
	uint32_t count = errors->count;

	if (count > RULES_MAX_ERRORS)
		count = RULES_MAX_ERRORS;
	qsort(errors->items, count, sizeof(errors->items[0]), compare_errors);
}

void
rules_sort_routes(struct rules *rules)
{
	if (rules->route_count > 0)
		qsort(rules->routes, rules->route_count,
		    sizeof(rules->routes[0]), compare_routes);
}
