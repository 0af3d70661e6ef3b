// Parses and checks workspaces. No error text holds a key.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/rules_words.h"

#define MILLI	       1000
#define MILLI_DECIMALS 3

static const char workspace_usage[] =
    "workspace NAME keys=KEY,... [rank=N] [rate=N] [burst=N]";

/// Options that were given in a workspace rule.
struct workspace_seen {
	bool keys, rank;
};

/// Parses a number with up to three decimals; reports other words.
static bool
read_milli(
    struct parser *p, const struct word *w, const char *what, uint64_t *out)
{
	struct word rest = *w;
	uint64_t whole;
	uint64_t part = 0;
	uint32_t used;

	if (!parser_read_number(w, RULES_MAX_QUOTA, &whole, &used))
		goto bad;
	if (used < w->text_bytes) {
		rest.text = w->text + used + 1;
		rest.text_bytes = w->text_bytes - used - 1;
		if (w->text[used] != '.' || rest.text_bytes > MILLI_DECIMALS ||
		    !parser_read_number(&rest, MILLI, &part, &used) ||
		    used != rest.text_bytes)
			goto bad;
		for (; used < MILLI_DECIMALS; used++)
			part *= 10;
	}
	*out = whole * MILLI + part;
	return true;
bad:
	parser_fail(p, p->line, w->column,
	    "%s must be a number from 0 to %d with at most %d decimals", what,
	    RULES_MAX_QUOTA, MILLI_DECIMALS);
	return false;
}

static bool
is_key_char(char c)
{
	return c > ' ' && c < 0x7f && c != ',' && c != '#';
}

/// Checks the keys of a rule, and counts them.
static bool
read_keys(
    struct parser *p, const struct word *w, struct rule_workspace *workspace)
{
	uint32_t key_bytes = 0;
	uint32_t i;

	if (w->text_bytes == 0)
		return true;
	for (i = 0; i <= w->text_bytes; i++) {
		if (i < w->text_bytes && w->text[i] != ',') {
			key_bytes++;
			if (is_key_char(w->text[i]))
				continue;
			parser_fail(p, p->line, w->column + i,
			    "key %u may hold only visible ASCII characters",
			    workspace->key_count + 1);
			return false;
		}
		workspace->key_count++;
		if (key_bytes == 0 || key_bytes >= RULES_KEY_BYTES) {
			parser_fail(p, p->line, w->column + i - key_bytes,
			    "key %u must have 1 to %d characters",
			    workspace->key_count, RULES_KEY_BYTES - 1);
			return false;
		}
		key_bytes = 0;
	}
	return true;
}

static bool
read_option(struct parser *p, const struct word *w, struct workspace_seen *seen,
    struct rule_workspace *workspace, struct word *keys)
{
	struct word v;

	if (!seen->keys && parser_word_option(w, "keys", &v)) {
		*keys = v;
		return seen->keys = read_keys(p, &v, workspace);
	}
	if (!workspace->has_rank && parser_word_option(w, "rank", &v))
		return workspace->has_rank = parser_read_rank_number(
			   p, &v, &workspace->rank_number);
	if (!workspace->has_rate && parser_word_option(w, "rate", &v))
		return workspace->has_rate =
			   read_milli(p, &v, "rate", &workspace->rate_milli);
	if (!workspace->has_burst && parser_word_option(w, "burst", &v))
		return workspace->has_burst =
			   read_milli(p, &v, "burst", &workspace->burst_milli);
	parser_fail_option(p, w, "workspace");
	return false;
}

void
parser_parse_workspace(struct parser *p)
{
	struct rules *r = p->rules;
	struct rule_workspace workspace = {.line = p->line};
	struct workspace_seen seen = {0};
	struct word keys = {0};
	char name[RULES_LABEL_BYTES];
	char *text;
	bool ok;
	uint32_t i;

	if (!parser_need_words(p, 3, workspace_usage))
		return;
	ok = parser_read_label(
	    p, &p->words[1], "workspace name", name, sizeof(name));
	for (i = 2; i < p->word_count; i++)
		ok &= read_option(p, &p->words[i], &seen, &workspace, &keys);
	if (!ok)
		return;
	if (!seen.keys) {
		parser_fail(p, p->line, p->words[0].column, "expected: %s",
		    workspace_usage);
		return;
	}
	text = strndup(keys.text, keys.text_bytes);
	assert(text != NULL);
	workspace.name = text_pool_copy(&r->texts, name, NULL);
	workspace.owner = text_pool_copy(&r->texts, p->owner,
	    r->workspace_count > 0 ? r->workspaces[r->workspace_count - 1].owner
				   : NULL);
	workspace.keys = text_pool_copy(&r->texts, text, NULL);
	free(text);
	r->workspaces = parser_grow(
	    r->workspaces, r->workspace_count, sizeof(*r->workspaces));
	r->workspaces[r->workspace_count++] = workspace;
}

static int
compare_workspaces(const void *a, const void *b)
{
	const struct rule_workspace *x = a;
	const struct rule_workspace *y = b;
	int order = strcmp(x->name, y->name);

	if (order != 0)
		return order;
	return x->line < y->line ? -1 : 1;
}

/// Reports workspaces with the same name, after sorting them.
static void
check_names(struct parser *p)
{
	const struct rules *r = p->rules;
	uint32_t i;

	for (i = 1; i < r->workspace_count; i++)
		if (strcmp(r->workspaces[i - 1].name, r->workspaces[i].name) ==
		    0)
			parser_fail(p, r->workspaces[i].line, 1,
			    "workspace '%s' repeats line %u",
			    r->workspaces[i].name, r->workspaces[i - 1].line);
}

/// Response time that callers of a workspace expect at most, whichever route
/// their requests take.
static int64_t
longest_target_us(const struct rules *r)
{
	int64_t target_us = 0;
	uint32_t i;

	for (i = 0; i < r->route_count; i++)
		if (r->routes[i].target_us > target_us)
			target_us = r->routes[i].target_us;
	return target_us;
}

/// Adds the keys of a workspace to the table; reports those that are there.
static void
add_keys(struct parser *p, uint32_t workspace)
{
	struct rules *r = p->rules;
	const struct rule_workspace *w = &r->workspaces[workspace];
	const char *key = w->keys;
	uint32_t i;

	for (i = 0; i < w->key_count; i++) {
		size_t key_bytes = strcspn(key, ",");
		uint32_t holder =
		    key_table_add(r->keys, key, key_bytes, workspace);

		if (holder == workspace)
			parser_fail(p, w->line, 1,
			    "key %u of workspace '%s' is there twice", i + 1,
			    w->name);
		else if (holder != KEY_TABLE_NONE)
			parser_fail(p, w->line, 1,
			    "key %u of workspace '%s' is held by workspace "
			    "'%s' of line %u",
			    i + 1, w->name, r->workspaces[holder].name,
			    r->workspaces[holder].line);
		key += key_bytes + 1;
	}
}

/// Returns the mean rate of the limited workspaces.
static uint64_t
mean_rate_milli(const struct rules *r)
{
	uint64_t sum_milli = 0;
	uint32_t limited = 0;
	uint32_t i;

	for (i = 0; i < r->workspace_count; i++) {
		sum_milli += r->workspaces[i].rate_milli;
		limited += r->workspaces[i].rate_milli > 0;
	}
	return limited == 0 ? 0 : sum_milli / limited;
}

void
parser_resolve_workspaces(struct parser *p)
{
	struct rules *r = p->rules;
	int64_t target_us = longest_target_us(r);
	uint32_t key_count = 0;
	uint32_t i;

	if (r->workspace_count == 0)
		return;
	qsort(r->workspaces, r->workspace_count, sizeof(*r->workspaces),
	    compare_workspaces);
	check_names(p);
	for (i = 0; i < r->workspace_count; i++) {
		struct rule_workspace *w = &r->workspaces[i];

		key_count += w->key_count;
		if (w->has_rank)
			w->rank = (uint32_t)parser_find_or_add_numbered_rank(
			    p, w->rank_number, target_us, w->owner, w->line);
	}
	r->rate_mean_milli = mean_rate_milli(r);
	r->keys = key_table_create(key_count);
	for (i = 0; i < r->workspace_count; i++)
		add_keys(p, i);
}
