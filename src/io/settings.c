// Loads JSON settings and validates them against a table.
#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "io/net/address.h"
#include "io/settings.h"

struct loader {
	const char *path;
	const struct settings_field *fields;
	size_t count;
	char *out;
	FILE *errors;
	int problems;
};

static void
report_problem(struct loader *l, const char *key, const char *problem)
{
	fprintf(l->errors, "%s: %s: %s\n", l->path, key, problem);
	l->problems++;
}

/// Finds the value at a dotted path.
static json_t *
find_value(json_t *root, const char *path)
{
	char step[SETTINGS_TEXT_BYTES];
	json_t *at = root;

	while (at != NULL && *path != '\0') {
		size_t n = strcspn(path, ".");

		snprintf(step, sizeof(step), "%.*s", (int)n, path);
		at = json_object_get(at, step);
		path += n + (path[n] == '.');
	}
	return at;
}

static void
store_text(
    struct loader *l, const struct settings_field *f, const json_t *value)
{
	char *at = l->out + f->offset;
	struct address address;

	if (!json_is_string(value)) {
		report_problem(l, f->path, "must be a string");
		return;
	}
	if (json_string_length(value) >= SETTINGS_TEXT_BYTES) {
		report_problem(l, f->path, "is too long");
		return;
	}
	strcpy(at, json_string_value(value));
	if (f->kind == SETTINGS_ADDRESS && at[0] != '\0' &&
	    address_parse(at, &address) != 0)
		report_problem(l, f->path, "must be IP:port");
}

static void
store_integer(
    struct loader *l, const struct settings_field *f, const json_t *value)
{
	char problem[128];
	int64_t n;

	if (!json_is_integer(value)) {
		report_problem(l, f->path, "must be a whole number");
		return;
	}
	n = json_integer_value(value);
	if (n < f->min || n > f->max) {
		snprintf(problem, sizeof(problem),
		    "must be from %" PRId64 " to %" PRId64, f->min, f->max);
		report_problem(l, f->path, problem);
		return;
	}
	*(int64_t *)(l->out + f->offset) = n;
}

static void
store_number(
    struct loader *l, const struct settings_field *f, const json_t *value)
{
	char problem[64];
	double n = json_number_value(value);

	if (!json_is_number(value) || n < 0 || n > (double)f->max) {
		snprintf(problem, sizeof(problem),
		    "must be a number from 0 to %" PRId64, f->max);
		report_problem(l, f->path, problem);
		return;
	}
	*(double *)(l->out + f->offset) = n;
}

static void
store_list(
    struct loader *l, const struct settings_field *f, const json_t *value)
{
	struct settings_list *list = (void *)(l->out + f->offset);
	char problem[64];
	size_t i;

	if (!json_is_array(value) ||
	    json_array_size(value) > SETTINGS_MAX_LIST) {
		snprintf(problem, sizeof(problem),
		    "must be a list of at most %d strings", SETTINGS_MAX_LIST);
		report_problem(l, f->path, problem);
		return;
	}
	list->count = 0;
	for (i = 0; i < json_array_size(value); i++) {
		const char *text = json_string_value(json_array_get(value, i));

		if (text == NULL || strlen(text) >= SETTINGS_TEXT_BYTES) {
			report_problem(
			    l, f->path, "must hold short strings only");
			return;
		}
		strcpy(list->items[list->count++], text);
	}
}

static void
store_value(
    struct loader *l, const struct settings_field *f, const json_t *value)
{
	switch (f->kind) {
	case SETTINGS_TEXT:
	case SETTINGS_ADDRESS:
		store_text(l, f, value);
		break;
	case SETTINGS_NUMBER:
		store_number(l, f, value);
		break;
	case SETTINGS_INTEGER:
		store_integer(l, f, value);
		break;
	case SETTINGS_BOOL:
		if (!json_is_boolean(value))
			report_problem(l, f->path, "must be true or false");
		else
			*(bool *)(l->out + f->offset) = json_is_true(value);
		break;
	case SETTINGS_LIST:
		store_list(l, f, value);
		break;
	}
}

static void
store_default(struct loader *l, const struct settings_field *f)
{
	json_t *value;

	if (f->default_json == NULL)
		return;
	value = json_loads(f->default_json, JSON_DECODE_ANY, NULL);
	store_value(l, f, value);
	json_decref(value);
}

/// Returns whether a path is a known key, or an object with known keys.
static bool
is_known_key(const struct loader *l, const char *path, bool object)
{
	size_t n = strlen(path);
	size_t i;

	for (i = 0; i < l->count; i++) {
		if (strcmp(l->fields[i].path, path) == 0)
			return true;
		if (object && strncmp(l->fields[i].path, path, n) == 0 &&
		    l->fields[i].path[n] == '.')
			return true;
	}
	return false;
}

static void
report_unknown_keys(struct loader *l, json_t *object, const char *prefix)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		char path[2 * SETTINGS_TEXT_BYTES];

		snprintf(path, sizeof(path), "%s%s", prefix, key);
		if (!is_known_key(l, path, json_is_object(value))) {
			report_problem(l, path, "unknown key");
			continue;
		}
		if (!json_is_object(value) || strlen(prefix) > 200)
			continue;
		strncat(path, ".", sizeof(path) - strlen(path) - 1);
		report_unknown_keys(l, value, path);
	}
}

int
settings_load(const char *path, const struct settings_field *fields,
    size_t count, void *out, FILE *errors)
{
	struct loader l = {path, fields, count, out, errors, 0};
	json_error_t je;
	json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &je);
	size_t i;

	if (root == NULL) {
		fprintf(errors, "%s:%d:%d: %s\n", path,
		    je.line < 0 ? 0 : je.line, je.column < 0 ? 0 : je.column,
		    je.text);
		return 1;
	}
	if (!json_is_object(root)) {
		report_problem(&l, "(file)", "must be a JSON object");
		goto out;
	}
	report_unknown_keys(&l, root, "");
	for (i = 0; i < count; i++) {
		json_t *value = find_value(root, fields[i].path);

		if (value != NULL)
			store_value(&l, &fields[i], value);
		else if (fields[i].required &&
		    (fields[i].required_unless == NULL ||
			find_value(root, fields[i].required_unless) == NULL))
			report_problem(&l, fields[i].path, "is missing");
		else
			store_default(&l, &fields[i]);
	}
out:
	json_decref(root);
	return l.problems;
}

void
settings_describe(const struct settings_field *fields, size_t count, FILE *out)
{
	static const char *const kind_names[] = {
	    "text", "integer", "number", "bool", "list", "IP:port"};
	size_t i;

	for (i = 0; i < count; i++)
		fprintf(out, "  %-28s %-8s %-12s %s\n", fields[i].path,
		    kind_names[fields[i].kind],
		    fields[i].required ? "(required)"
			: fields[i].default_json != NULL
			? fields[i].default_json
			: "",
		    fields[i].help);
}
