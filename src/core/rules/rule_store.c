// State machine of the source: accepts, stores and restores rule files.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/delta.h"
#include "core/rules/rule_since.h"
#include "core/rules/rule_store.h"

#define HEAD_BYTES 64
#define LINE_BYTES 192

#define CHANGE_FORMAT \
	"change %" PRIu64 " %" PRIu64 " base %d %" PRIu64 " at %" PRId64 "\n"
#define STEP_FORMAT "copy %u %u insert %u\n"

void
rule_store_free(struct rule_store *store)
{
	rule_file_unref(store->current);
	free(store->since);
	free(store->history);
	memset(store, 0, sizeof(*store));
}

/// Properties of a file that decide whether it is accepted.
struct candidate {
	struct rule_store_id id;
	bool has_base;
	uint64_t base;
};

static bool
is_in_history(const struct rule_store *store, const struct rule_store_id *id)
{
	uint32_t i;

	for (i = store->history_count; i > 0; i--)
		if (store->history[i - 1].version == id->version &&
		    store->history[i - 1].hash == id->hash)
			return true;
	return false;
}

static enum rule_store_verdict
check_candidate(const struct rule_store *store, const struct candidate *c)
{
	uint64_t accepted =
	    store->current == NULL ? 0 : store->current->version;

	if (store->current != NULL && c->id.version == accepted &&
	    c->id.hash == store->current->hash)
		return RULE_STORE_DUPLICATE;
	if (c->has_base && is_in_history(store, &c->id))
		return RULE_STORE_SUPERSEDED;
	if (c->has_base && c->base == accepted && c->id.version > accepted)
		return RULE_STORE_ACCEPTED;
	if (!c->has_base && c->id.version == accepted + 1)
		return RULE_STORE_ACCEPTED;
	if (c->has_base && c->base > accepted)
		return RULE_STORE_GAP;
	if (c->id.version > accepted)
		return c->has_base ? RULE_STORE_CONFLICT : RULE_STORE_GAP;
	return c->id.version < accepted || store->current == NULL
	    ? RULE_STORE_OLD
	    : RULE_STORE_CONFLICT;
}

enum rule_store_verdict
rule_store_check(const struct rule_store *store, const struct rule_file *file)
{
	struct candidate c = {
	    {file->version, file->hash}, file->has_base, file->base};

	return check_candidate(store, &c);
}

/// Growing buffer for an entry or a snapshot.
struct text {
	char *bytes;
	size_t used;
	size_t capacity;
};

static void
text_append(struct text *t, const char *bytes, size_t size_bytes)
{
	if (t->used + size_bytes + 1 > t->capacity) {
		t->capacity = 2 * (t->used + size_bytes + 1);
		t->bytes = realloc(t->bytes, t->capacity);
		assert(t->bytes != NULL);
	}
	if (size_bytes > 0)
		memcpy(t->bytes + t->used, bytes, size_bytes);
	t->used += size_bytes;
	t->bytes[t->used] = '\0';
}

/// Encodes an entry: a head line, then for each delta step a line
/// "copy FROM COUNT insert BYTES" and the inserted bytes.
char *
rule_store_encode(const struct rule_store *store, const struct rule_file *file,
    int64_t accepted_us, uint32_t *size_bytes)
{
	const struct rule_file *old = store->current;
	struct text out = {NULL, 0, 0};
	char line[LINE_BYTES];
	struct delta delta;
	uint32_t i;
	int n;

	delta_make(old == NULL ? "" : old->text,
	    old == NULL ? 0 : old->text_bytes, file->text, file->text_bytes,
	    &delta);
	n = snprintf(line, sizeof(line), CHANGE_FORMAT, file->version,
	    file->hash, file->has_base, file->base, accepted_us);
	text_append(&out, line, (size_t)n);
	for (i = 0; i < delta.step_count; i++) {
		const struct delta_step *step = &delta.steps[i];

		n = snprintf(line, sizeof(line), STEP_FORMAT, step->copy_from,
		    step->copy_count, step->insert_bytes);
		text_append(&out, line, (size_t)n);
		text_append(&out, step->insert, step->insert_bytes);
	}
	delta_free(&delta);
	*size_bytes = (uint32_t)out.used;
	return out.bytes;
}

/// Reads the next line and advances past it.
///
/// @return 0, or -1 if there is no complete line that fits the buffer
static int
read_line(const char **at, const char *end, char line[LINE_BYTES])
{
	const char *eol = memchr(*at, '\n', (size_t)(end - *at));
	size_t n = eol == NULL ? 0 : (size_t)(eol - *at);

	if (eol == NULL || n >= LINE_BYTES)
		return -1;
	memcpy(line, *at, n);
	line[n] = '\0';
	*at = eol + 1;
	return 0;
}

/// Decodes the delta steps of an entry; they point into its bytes.
static int
decode_steps(
    const char *at, const char *end, struct delta *out, struct error *err)
{
	char line[LINE_BYTES];

	memset(out, 0, sizeof(*out));
	while (at < end) {
		struct delta_step step = {0};

		if (read_line(&at, end, line) != 0 ||
		    sscanf(line, "copy %" SCNu32 " %" SCNu32 " insert %" SCNu32,
			&step.copy_from, &step.copy_count,
			&step.insert_bytes) != 3 ||
		    step.insert_bytes > (size_t)(end - at))
			return error_set(err, ERR_CORRUPT, "decode rules", "",
			    "delta step is malformed");
		step.insert = at;
		at += step.insert_bytes;
		out->steps =
		    realloc(out->steps, (out->step_count + 1) * sizeof(step));
		assert(out->steps != NULL);
		out->steps[out->step_count++] = step;
	}
	return 0;
}

/// Builds the file of an entry by applying its delta to the accepted file.
static struct rule_file *
decode_rules(const struct rule_store *store, const char *at, const char *end,
    const struct rule_store_id *id, struct error *err)
{
	const struct rule_file *old = store->current;
	struct rule_file *file = NULL;
	struct delta delta;
	size_t text_bytes;
	char *text;

	if (decode_steps(at, end, &delta, err) != 0)
		goto out;
	if (delta_apply(old == NULL ? "" : old->text,
		old == NULL ? 0 : old->text_bytes, delta.steps,
		delta.step_count, RULES_MAX_BYTES, &text, &text_bytes,
		err) != 0)
		goto out;
	file = rule_file_open(text, text_bytes);
	free(text);
	if (file == NULL || file->version != id->version ||
	    file->hash != id->hash) {
		error_set(err, ERR_CORRUPT, "decode rules", "",
		    "text rebuilt for version %" PRIu64 " does not match its "
		    "version or hash",
		    id->version);
		rule_file_unref(file);
		file = NULL;
	}
out:
	free(delta.steps);
	return file;
}

/// Decodes a head line "accepted N" and the file text that follows it.
static struct rule_file *
decode_accepted(const char *bytes, uint32_t size_bytes, int64_t *accepted_us,
    struct error *err)
{
	const char *end = bytes + size_bytes;
	struct rule_file *file = NULL;
	char head[LINE_BYTES];

	if (read_line(&bytes, end, head) == 0 &&
	    sscanf(head, "accepted %" SCNd64, accepted_us) == 1)
		file = rule_file_open(bytes, (size_t)(end - bytes));
	if (file == NULL)
		error_set(err, ERR_CORRUPT, "decode rules", "",
		    "accepted line or rule file is malformed");
	return file;
}

static void
history_add(struct rule_store *store, const struct rule_store_id *id)
{
	if (store->history == NULL) {
		store->history =
		    calloc(RULE_STORE_HISTORY, sizeof(*store->history));
		assert(store->history != NULL);
	}
	if (store->history_count == RULE_STORE_HISTORY) {
		store->history_count--;
		memmove(store->history, store->history + 1,
		    store->history_count * sizeof(*store->history));
	}
	store->history[store->history_count++] = *id;
}

/// Takes ownership of the reference.
static void
set_current(struct rule_store *store, struct rule_file *file)
{
	rule_file_unref(store->current);
	store->current = file;
}

static void
update_since(struct rule_store *store, const struct rule_file *new)
{
	struct rule_since old = {store->since, store->line_count};
	uint64_t *since =
	    rule_since_create(new, store->current, &old, &store->line_count);

	free(store->since);
	store->since = since;
}

int
rule_store_apply(struct rule_store *store, const char *entry,
    uint32_t size_bytes, struct error *err)
{
	const char *at = entry;
	struct candidate c = {0};
	enum rule_store_verdict verdict;
	char head[LINE_BYTES];
	int64_t accepted_us;
	struct rule_file *file;
	int has_base;

	if (read_line(&at, entry + size_bytes, head) != 0 ||
	    sscanf(head,
		"change %" SCNu64 " %" SCNu64 " base %d %" SCNu64
		" at %" SCNd64,
		&c.id.version, &c.id.hash, &has_base, &c.base,
		&accepted_us) != 5)
		return error_set(err, ERR_CORRUPT, "decode rules", "",
		    "head line of the log entry is malformed");
	c.has_base = has_base != 0;
	verdict = check_candidate(store, &c);
	if (verdict != RULE_STORE_ACCEPTED)
		return verdict;
	file = decode_rules(store, at, entry + size_bytes, &c.id, err);
	if (file == NULL)
		return -1;
	update_since(store, file);
	set_current(store, file);
	store->accepted_us = accepted_us;
	history_add(store, &c.id);
	return verdict;
}

char *
rule_store_snapshot(const struct rule_store *store, uint32_t *size_bytes)
{
	struct text out = {NULL, 0, 0};
	char line[LINE_BYTES];
	uint32_t i;
	int n;

	if (store->current == NULL) {
		*size_bytes = 0;
		return calloc(1, 1);
	}
	n = snprintf(line, sizeof(line), "since %u", store->line_count);
	text_append(&out, line, (size_t)n);
	for (i = 1; i <= store->line_count; i++) {
		n = snprintf(line, sizeof(line), " %" PRIu64, store->since[i]);
		text_append(&out, line, (size_t)n);
	}
	n = snprintf(line, sizeof(line), "\nhistory %u", store->history_count);
	text_append(&out, line, (size_t)n);
	for (i = 0; i < store->history_count; i++) {
		n = snprintf(line, sizeof(line), " %" PRIu64 ":%" PRIu64,
		    store->history[i].version, store->history[i].hash);
		text_append(&out, line, (size_t)n);
	}
	n = snprintf(
	    line, sizeof(line), "\naccepted %" PRId64 "\n", store->accepted_us);
	text_append(&out, line, (size_t)n);
	text_append(&out, store->current->text, store->current->text_bytes);
	*size_bytes = (uint32_t)out.used;
	return out.bytes;
}

/// Reads a line of any length that starts with a prefix, and advances past it.
///
/// @return the rest of the line, to be released with free(); or NULL
static char *
read_prefixed_line(
    const char **at, const char *end, const char *prefix, struct error *err)
{
	const char *eol = memchr(*at, '\n', (size_t)(end - *at));
	size_t n = strlen(prefix);
	char *line;

	if (eol == NULL || (size_t)(eol - *at) < n ||
	    memcmp(*at, prefix, n) != 0) {
		error_set(err, ERR_CORRUPT, "restore", "",
		    "snapshot line is missing or has a wrong prefix");
		return NULL;
	}
	line = strndup(*at + n, (size_t)(eol - *at) - n);
	assert(line != NULL);
	*at = eol + 1;
	return line;
}

/// Decodes the since line "N v v v ...": the line count, then a version each.
static uint64_t *
decode_since(const char *line, uint32_t *count, struct error *err)
{
	uint64_t *since;
	char *at;
	uint32_t i;

	*count = (uint32_t)strtoul(line, &at, 10);
	if (*count == 0 || *count > RULES_MAX_BYTES) {
		error_set(err, ERR_CORRUPT, "restore", "",
		    "line count is out of range");
		return NULL;
	}
	since = calloc((size_t)*count + 1, sizeof(*since));
	assert(since != NULL);
	for (i = 1; i <= *count; i++)
		since[i] = strtoull(at, &at, 10);
	return since;
}

/// Decodes the history line "N version:hash ...".
static int
decode_history(struct rule_store *store, const char *line, struct error *err)
{
	char *at;
	uint32_t count = (uint32_t)strtoul(line, &at, 10);
	uint32_t i;

	if (count > RULE_STORE_HISTORY)
		return error_set(err, ERR_CORRUPT, "restore", "",
		    "history has too many entries");
	for (i = 0; i < count; i++) {
		struct rule_store_id id;

		id.version = strtoull(at, &at, 10);
		if (*at != ':')
			return error_set(err, ERR_CORRUPT, "restore", "",
			    "history entry is malformed");
		id.hash = strtoull(at + 1, &at, 10);
		history_add(store, &id);
	}
	return 0;
}

static int
decode_store(
    struct rule_store *new, const char *at, const char *end, struct error *err)
{
	char *since = read_prefixed_line(&at, end, "since ", err);
	struct rule_file *file;
	char *history = NULL;
	int rc = -1;

	if (since == NULL)
		return -1;
	new->since = decode_since(since, &new->line_count, err);
	if (new->since == NULL)
		goto out;
	history = read_prefixed_line(&at, end, "history ", err);
	if (history == NULL || decode_history(new, history, err) != 0)
		goto out;
	file =
	    decode_accepted(at, (uint32_t)(end - at), &new->accepted_us, err);
	if (file == NULL)
		goto out;
	set_current(new, file);
	if (new->line_count != rule_since_count_lines(new->current)) {
		error_set(err, ERR_CORRUPT, "restore", "",
		    "line count does not match the rule file");
		goto out;
	}
	rc = 0;
out:
	free(history);
	free(since);
	return rc;
}

int
rule_store_restore(struct rule_store *store, const char *snapshot,
    uint32_t size_bytes, struct error *err)
{
	struct rule_store new = {0};

	if (size_bytes > 0 &&
	    decode_store(&new, snapshot, snapshot + size_bytes, err) != 0) {
		rule_store_free(&new);
		return -1;
	}
	rule_store_free(store);
	*store = new;
	return 0;
}
