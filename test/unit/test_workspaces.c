// Workspaces in rule files: keys, ranks and quotas, and what is refused.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "core/rules/rules.h"
#include "unit/support.h"

#define HEAD                                                                   \
	"version 2 # o\nservice s connections=9 health=/h # o\n"               \
	"match m host=h.example prefix=/a/ kind=safe timeout=2s target=500ms " \
	"rank=3 to=s # o\n"

#define MANY_WORKSPACES 1000
#define KEYS_EACH	3
#define KEY_BYTES	24

static struct rules_errors errors;

static struct rules *
parse(const char *lines)
{
	char text[2048];

	snprintf(text, sizeof(text), "%s%s", HEAD, lines);
	return rules_parse(text, strlen(text), &errors);
}

static void
expect_refused(const char *lines, uint32_t line, const char *expected)
{
	assert_null(parse(lines));
	if (strstr(errors.items[0].text, expected) == NULL)
		assert_string_equal(errors.items[0].text, expected);
	assert_int_equal(errors.items[0].line, line);
	assert_null(strstr(errors.items[0].text, "secret"));
}

static const struct rule_workspace *
find_holder(const struct rules *rules, const char *key)
{
	uint32_t at = key_table_find(rules->keys, key, strlen(key));

	return at == KEY_TABLE_NONE ? NULL : &rules->workspaces[at];
}

static void
test_parsed(void **state)
{
	struct rules *rules = parse("workspace b keys=k1,k2 rank=0 rate=428 "
				    "burst=12.5 # o\nworkspace a keys= # o\n"
				    "workspace c keys=k3 rate=0.007 # o\n");
	const struct rule_workspace *w;

	(void)state;
	assert_non_null(rules);
	assert_int_equal(rules->workspace_count, 3);
	w = find_holder(rules, "k2");
	assert_string_equal(w->name, "b");
	assert_int_equal(w->rate_milli, 428000);
	assert_int_equal(w->burst_milli, 12500);
	// A rank of its own: the callers of a workspace use any route.
	assert_string_equal(rules->ranks[w->rank].name, ".0");
	assert_int_equal(rules->ranks[w->rank].target_us, 500000);
	w = find_holder(rules, "k3");
	assert_string_equal(w->name, "c");
	assert_int_equal(w->rate_milli, 7);
	assert_false(w->has_rank);
	assert_null(find_holder(rules, "k"));
	assert_null(find_holder(rules, ""));
	assert_int_equal(rules_find_workspace(rules, "bx", 1), 1);
	assert_int_equal(rules_find_workspace(rules, "bx", 2), -1);
	rules_unref(rules);
}

static void
test_refused(void **state)
{
	(void)state;
	expect_refused("workspace a keys=secret # o\n"
		       "workspace b keys=x,secret # o\n",
	    5, "key 2 of workspace 'b' is held by workspace 'a' of line 4");
	expect_refused("workspace a keys=secret,secret # o\n", 4,
	    "key 2 of workspace 'a' is there twice");
	expect_refused("workspace a keys=x # o\nworkspace a keys=y # o\n", 5,
	    "workspace 'a' repeats line 4");
	expect_refused("workspace a keys=x keys=secret # o\n", 4,
	    "unknown or repeated option 'keys=' of workspace");
	expect_refused("rank r keys=secret worth=1 # o\n", 4,
	    "unknown or repeated option 'keys=' of rank");
	expect_refused(
	    "workspace a keys=secret,,x # o\n", 4, "key 2 must have");
	expect_refused("workspace a rate=1 # o\n", 4, "expected: workspace");
	expect_refused("workspace a keys=x rate=1.0001 # o\n", 4, "rate must");
	expect_refused("workspace a keys=x rate=-1 # o\n", 4, "rate must");
	expect_refused("workspace a keys=x burst=1. # o\n", 4, "burst must");
	expect_refused("workspace a keys=x rank=x # o\n", 4, "rank must");
}

/// A thousand workspaces in one version, as an operator may reload at any time.
static void
test_many(void **state)
{
	char *text = malloc(
	    sizeof(HEAD) + MANY_WORKSPACES * (64 + KEYS_EACH * KEY_BYTES));
	struct random random = {.seed = test_first_seed()};
	size_t n = (size_t)sprintf(text, "%s", HEAD);
	char key[KEY_BYTES + 1];
	struct rules *rules;
	uint32_t i;
	uint32_t k;

	(void)state;
	key_table_set_seed(random_next(&random));
	for (i = 0; i < MANY_WORKSPACES; i++) {
		n += (size_t)sprintf(text + n, "workspace w%u keys=", i);
		for (k = 0; k < KEYS_EACH; k++)
			n += (size_t)sprintf(
			    text + n, "%skey%020u.%u", k == 0 ? "" : ",", i, k);
		n += (size_t)sprintf(text + n, " rate=%u burst=5 # o\n", i + 1);
	}
	rules = rules_parse(text, n, &errors);
	assert_non_null(rules);
	for (i = 0; i < MANY_WORKSPACES; i++) {
		snprintf(key, sizeof(key), "key%020u", i);
		assert_null(find_holder(rules, key));
	}
	for (i = 0; i < MANY_WORKSPACES; i++) {
		char whole[KEY_BYTES + 8];

		snprintf(whole, sizeof(whole), "key%020u.%u", i, i % KEYS_EACH);
		assert_int_equal(find_holder(rules, whole)->rate_milli,
		    (uint64_t)(i + 1) * 1000);
	}
	rules_unref(rules);
	free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_parsed),
	    cmocka_unit_test(test_refused),
	    cmocka_unit_test(test_many),
	};

	return cmocka_run_group_tests_name("workspaces", tests, NULL, NULL);
}
