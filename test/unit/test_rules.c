// Compares parsed rule files with golden files, and matching with a naive
// implementation that scans the whole file for each request. Checks deltas.
#include <dirent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "core/rules/delta.h"
#include "core/rules/rules.h"
#include "unit/support.h"

#define MAX_DUMP 65536

static size_t
dump_rules(const struct rules *r, char *out)
{
	size_t n = (size_t)snprintf(out, MAX_DUMP,
	    "version %" PRIu64 " by %s\n", r->version, r->file->owner);
	uint32_t i;

	for (i = 0; i < r->rank_count; i++)
		n += (size_t)snprintf(out + n, MAX_DUMP - n,
		    "rank %s worth %u target %" PRId64 " us keep %u by %s\n",
		    r->ranks[i].name, r->ranks[i].worth, r->ranks[i].target_us,
		    r->ranks[i].keep_pct, r->ranks[i].owner);
	for (i = 0; i < r->service_count; i++)
		n += (size_t)snprintf(out + n, MAX_DUMP - n,
		    "service %s slots %u connections %u by %s\n",
		    r->services[i].name, r->services[i].slots,
		    r->services[i].connections, r->services[i].owner);
	for (i = 0; i < r->route_count; i++) {
		const struct rule_route *t = &r->routes[i];

		n += (size_t)snprintf(out + n, MAX_DUMP - n,
		    "route %s %s%s to %s rank %s%s within %" PRId64
		    " us by %s\n",
		    t->method, t->path, t->prefix ? "*" : "",
		    r->services[t->service].name, r->ranks[t->rank].name,
		    t->once ? " once" : "", t->timeout_us, t->owner);
	}
	return n;
}

static void
dump_errors(const struct rules_errors *errors, char *out)
{
	size_t n = 0;
	uint32_t i;

	for (i = 0; i < errors->count; i++)
		n += (size_t)snprintf(out + n, MAX_DUMP - n, "%u:%u: %s\n",
		    errors->items[i].line, errors->items[i].column,
		    errors->items[i].text);
}

static void
check_golden(const char *name)
{
	static struct rules_errors errors;
	static char dump[MAX_DUMP];
	char path[300];
	char *text;
	char *expected;
	size_t text_bytes;
	size_t expected_bytes;
	struct rules *rules;

	snprintf(path, sizeof(path), "golden/%s", name);
	text = test_read_file(path, &text_bytes);
	snprintf(path, sizeof(path), "golden/%.*s.out", (int)(strlen(name) - 3),
	    name);
	dump[0] = '\0';
	rules = rules_parse(text, text_bytes, &errors);
	if (rules != NULL)
		dump_rules(rules, dump);
	else
		dump_errors(&errors, dump);
	rules_unref(rules);
	if (getenv("TEST_ACCEPT") != NULL) {
		FILE *f = fopen(path, "w");

		assert_non_null(f);
		fputs(dump, f);
		fclose(f);
	}
	expected = test_read_file(path, &expected_bytes);
	if (strcmp(expected, dump) != 0)
		print_error(
		    "%s: expected\n%s\ngot\n%s\n", name, expected, dump);
	assert_string_equal(expected, dump);
	free(text);
	free(expected);
}

static void
test_golden_files(void **state)
{
	DIR *dir = opendir("golden");
	struct dirent *entry;
	uint32_t count = 0;

	(void)state;
	assert_non_null(dir);
	while ((entry = readdir(dir)) != NULL) {
		size_t n = strlen(entry->d_name);

		if (n < 4 || strcmp(entry->d_name + n - 3, ".mv") != 0)
			continue;
		check_golden(entry->d_name);
		count++;
	}
	closedir(dir);
	assert_true(count >= 6);
}

/// Builds a random rule file. It is invalid if two of its routes are the same.
static char *
make_rule_file(struct random *random, uint64_t version, size_t *bytes)
{
	static const char *const known_methods[] = {"GET", "POST", "*"};
	static const char *const path_parts[] = {
	    "/a", "/b", "/ab", "/abc", "/"};
	char *out = malloc(MAX_DUMP);
	size_t n = (size_t)snprintf(out, MAX_DUMP,
	    "version %" PRIu64 " # o\nrank r0 worth=1 target=1s # o\n"
	    "rank r1 worth=2 target=1s keep=5%% # o\n"
	    "service s0 slots=1 connections=1 # o\n"
	    "service s1 slots=2 connections=2 # o\n",
	    version);
	uint32_t routes = 1 + random_below(random, 12);
	uint32_t i;

	for (i = 0; i < routes; i++)
		n += (size_t)snprintf(out + n, MAX_DUMP - n,
		    "route %s %s%s%s s%u rank=r%u deadline=%us # o\n",
		    known_methods[random_below(random, 3)],
		    path_parts[random_below(random, 4)],
		    path_parts[random_below(random, 5)],
		    random_below(random, 2) ? "*" : "", random_below(random, 2),
		    random_below(random, 2), 1 + random_below(random, 9));
	*bytes = n;
	return out;
}

/// Best route of the naive implementation, identified by its deadline.
struct naive {
	uint32_t deadline_s;
	size_t path_bytes;
	int exact;
	int named;
};

static void
naive_line(
    const char *line, const char *method, const char *path, struct naive *best)
{
	char m[16];
	char p[64];
	char rest[64];
	unsigned int deadline_s;
	size_t n;
	struct naive candidate;

	if (sscanf(line, "route %15s %63s %63s rank=%*s deadline=%us", m, p,
		rest, &deadline_s) != 4)
		return;
	n = strlen(p);
	candidate.exact = p[n - 1] != '*';
	if (!candidate.exact)
		p[--n] = '\0';
	candidate.path_bytes = n;
	candidate.named = strcmp(m, "*") != 0;
	candidate.deadline_s = deadline_s;
	if (candidate.named && strcmp(m, method) != 0)
		return;
	if (strncmp(p, path, n) != 0 || (candidate.exact && path[n] != '\0'))
		return;
	if (best->deadline_s == 0 || candidate.path_bytes > best->path_bytes ||
	    (candidate.path_bytes == best->path_bytes &&
		(candidate.exact > best->exact ||
		    (candidate.exact == best->exact &&
			candidate.named > best->named))))
		*best = candidate;
}

static uint32_t
naive_match(const char *text, const char *method, const char *path)
{
	struct naive best = {0, 0, 0, 0};

	while (*text != '\0') {
		char line[200];
		size_t n = strcspn(text, "\n");

		snprintf(line, sizeof(line), "%.*s", (int)n, text);
		naive_line(line, method, path, &best);
		text += n + (text[n] == '\n');
	}
	return best.deadline_s;
}

static void
test_match_equals_naive(void **state)
{
	static const char *const known_methods[] = {"GET", "POST", "PUT"};
	static const char *const known_paths[] = {"/a/a", "/a/b", "/b/abc",
	    "/ab/", "/abc/abc", "/b/b/c", "/ab/abx", "/c", "/a/ab"};
	static struct rules_errors errors;
	uint64_t seed;
	uint32_t files = 0;

	(void)state;
	for (seed = 1; seed <= 2000; seed++) {
		struct random random = {seed, 0};
		size_t bytes;
		char *text = make_rule_file(&random, 1, &bytes);
		struct rules *rules = rules_parse(text, bytes, &errors);
		size_t m;
		size_t p;

		for (m = 0; rules != NULL && m < 3; m++)
			for (p = 0; p < 9; p++) {
				const struct rule_route *route =
				    rules_match(rules, known_methods[m], NULL,
					known_paths[p]);
				uint32_t got_s = route == NULL
				    ? 0
				    : (uint32_t)(route->timeout_us / 1000000);

				if (got_s !=
				    naive_match(
					text, known_methods[m], known_paths[p]))
					print_error("seed %" PRIu64
						    " %s %s\n%s",
					    seed, known_methods[m],
					    known_paths[p], text);
				assert_int_equal(got_s,
				    naive_match(text, known_methods[m],
					known_paths[p]));
			}
		files += rules != NULL;
		rules_unref(rules);
		free(text);
	}
	assert_true(files > 500);
}

/// Applying a chain of deltas yields the same bytes as the whole files.
static void
test_delta_chain(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 300; seed++) {
		struct random random = {seed, 0};
		size_t have_bytes;
		char *have = make_rule_file(&random, 1, &have_bytes);
		uint64_t version;

		for (version = 2; version < 8; version++) {
			size_t new_bytes;
			size_t got_bytes;
			char *new =
			    make_rule_file(&random, version, &new_bytes);
			struct delta delta;
			struct error err;
			char *got;

			delta_make(have, have_bytes, new, new_bytes, &delta);
			assert_int_equal(delta_apply(have, have_bytes,
					     delta.steps, delta.step_count,
					     MAX_DUMP, &got, &got_bytes, &err),
			    0);
			assert_int_equal(got_bytes, new_bytes);
			assert_memory_equal(got, new, new_bytes);
			delta_free(&delta);
			free(have);
			free(new);
			have = got;
			have_bytes = got_bytes;
		}
		free(have);
	}
}

/// A process that has only the new file makes a delta from any other one, by the
/// blocks that its owner states.
static void
test_delta_from_blocks(void **state)
{
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 300; seed++) {
		struct random random = {seed, 0};
		size_t have_bytes;
		size_t new_bytes;
		size_t got_bytes;
		char *have = make_rule_file(&random, 1, &have_bytes);
		char *new = make_rule_file(&random, 7, &new_bytes);
		uint32_t mean_lines = 1u << random_below(&random, 6);
		struct delta_blocks blocks;
		struct delta delta;
		struct error err;
		char *got;

		delta_blocks_make(have, have_bytes, mean_lines, &blocks);
		delta_make_from_blocks(&blocks, new, new_bytes, &delta);
		assert_int_equal(
		    delta_apply(have, have_bytes, delta.steps, delta.step_count,
			MAX_DUMP, &got, &got_bytes, &err),
		    0);
		assert_int_equal(got_bytes, new_bytes);
		assert_memory_equal(got, new, new_bytes);
		delta_free(&delta);
		delta_blocks_free(&blocks);
		free(got);
		free(new);
		free(have);
	}
}

/// A long text of which a few lines change: the others are not sent again.
static void
test_delta_from_blocks_is_small(void **state)
{
	struct random random = {5, 0};
	char *have = calloc(1, 400000);
	char *new = calloc(1, 400000);
	size_t have_bytes = 0;
	size_t new_bytes = 0;
	size_t sent_bytes = 0;
	struct delta_blocks blocks;
	struct delta delta;
	uint32_t i;

	(void)state;
	for (i = 0; i < 3000; i++) {
		char line[100];
		int n = snprintf(line, sizeof(line), "route %08x%08x # op\n",
		    (unsigned)random_next(&random),
		    (unsigned)random_next(&random));

		memcpy(have + have_bytes, line, (size_t)n);
		have_bytes += (size_t)n;
		if (i == 1000)
			line[6] = 'x';
		if (i == 2000)
			continue;
		memcpy(new + new_bytes, line, (size_t)n);
		new_bytes += (size_t)n;
	}
	delta_blocks_make(have, have_bytes, 0, &blocks);
	assert_in_range(blocks.count, 100, 300);
	delta_make_from_blocks(&blocks, new, new_bytes, &delta);
	for (i = 0; i < delta.step_count; i++)
		sent_bytes += delta.steps[i].insert_bytes;
	assert_in_range(sent_bytes, 1, new_bytes / 20);
	delta_free(&delta);
	delta_blocks_free(&blocks);
	free(have);
	free(new);
}

/// Blocks that describe no text give a delta that is refused or yields other
/// bytes, and nothing else.
static void
test_delta_from_hostile_blocks(void **state)
{
	static const char text[] = "a\nb\nc\nd\n";
	struct random random = {9, 0};
	uint32_t i;
	uint32_t j;

	(void)state;
	for (i = 0; i < 2000; i++) {
		struct delta_block items[8];
		struct delta_blocks blocks = {.items = items,
		    .count = random_below(&random, 9),
		    .mean_lines = random_below(&random, 3) == 0
			? UINT32_MAX
			: random_below(&random, 40)};
		struct delta delta;
		struct error err;
		size_t got_bytes;
		char *got;

		for (j = 0; j < blocks.count; j++) {
			items[j].hash = random_below(&random, 2) == 0
			    ? (uint32_t)random_next(&random)
			    : (uint32_t)rule_file_hash(text, 2);
			items[j].line_count = random_below(&random, 2) == 0
			    ? 1
			    : (uint32_t)random_next(&random);
		}
		delta_make_from_blocks(&blocks, text, sizeof(text) - 1, &delta);
		if (delta_apply(text, sizeof(text) - 1, delta.steps,
			delta.step_count, 100, &got, &got_bytes, &err) == 0)
			free(got);
		delta_free(&delta);
	}
}

/// Rejects steps that copy lines that do not exist, and results that are too
/// large.
static void
test_bad_deltas(void **state)
{
	struct delta_step steps[] = {
	    {.copy_from = 0, .copy_count = 4},
	    {.copy_from = 9, .copy_count = 1},
	    {.copy_from = UINT32_MAX, .copy_count = UINT32_MAX},
	};
	struct error err;
	size_t got_bytes;
	char *got;
	size_t i;

	(void)state;
	for (i = 0; i < 3; i++)
		assert_int_equal(delta_apply("a\nb\nc\n", 6, &steps[i], 1, 100,
				     &got, &got_bytes, &err),
		    -1);
	steps[0].copy_count = 3;
	assert_int_equal(
	    delta_apply("a\nb\nc\n", 6, steps, 1, 5, &got, &got_bytes, &err),
	    -1);
}

/// A long owner is cut between characters, so that it stays valid text.
static void
test_long_owner_is_cut_between_characters(void **state)
{
	static struct rules_errors errors;
	char text[400] = "version 1 # ";
	struct rules *rules;
	size_t i;

	(void)state;
	for (i = 0; i < 70; i++)
		strcat(text, "\xc3\xa9");
	strcat(text, "\nrank a worth=1 target=1s # o\n");
	rules = rules_parse(text, strlen(text), &errors);
	assert_non_null(rules);
	assert_int_equal(
	    strlen(rules->file->owner), (RULES_OWNER_BYTES - 1) / 2 * 2);
	rules_unref(rules);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden_files),
	    cmocka_unit_test(test_long_owner_is_cut_between_characters),
	    cmocka_unit_test(test_match_equals_naive),
	    cmocka_unit_test(test_delta_chain),
	    cmocka_unit_test(test_delta_from_blocks),
	    cmocka_unit_test(test_delta_from_blocks_is_small),
	    cmocka_unit_test(test_delta_from_hostile_blocks),
	    cmocka_unit_test(test_bad_deltas),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
