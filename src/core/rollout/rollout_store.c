// State machine of the source for roll-outs.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rollout/rollout_store.h"

#define TAG	   "rollout "
#define LINE_BYTES 384

#define ORDER_FORMAT "rollout order %s %s within %" PRId64 "\n"
#define STEP_FORMAT                                                           \
	"rollout step %s %s from %" PRIu64 " state %d share %u used %" PRId64 \
	" why %s\n"
#define RECORD_FORMAT                                                          \
	"%s %s %d %u %" PRIu64 " %" PRIu64 " %" PRId64 " %" PRId64 " %" PRId64 \
	" %s\n"

/// Formats of scanf: the widths are those of MEMBER_NAME_BYTES and of
/// MEMBER_VERSION_BYTES.
#define ORDER_SCAN "rollout order %39s %23s within %" SCNd64
#define STEP_SCAN                              \
	"rollout step %39s %23s from %" SCNu64 \
	" state %d share %u used %" SCNd64 " why %127[^\n]"
#define RECORD_SCAN                                                    \
	"%39s %23s %d %u %" SCNu64 " %" SCNu64 " %" SCNd64 " %" SCNd64 \
	" %" SCNd64 " %127[^\n]"

bool
rollout_word_is_valid(const char *word, size_t max_bytes)
{
	size_t i;

	for (i = 0; word[i] != '\0'; i++)
		if (word[i] <= ' ' || word[i] > '~')
			return false;
	return i > 0 && i < max_bytes;
}

bool
rollout_store_owns(const char *entry, uint32_t size_bytes)
{
	return size_bytes >= strlen(TAG) &&
	    memcmp(entry, TAG, strlen(TAG)) == 0;
}

const struct rollout_progress *
rollout_store_progress(
    const struct rollout_store *store, const struct rollout *record)
{
	return &store->progress[record - store->table.items];
}

enum rollout_verdict
rollout_store_check(
    const struct rollout_store *store, const struct rollout_order *order)
{
	const struct rollout_table *table = &store->table;
	const struct rollout *last =
	    rollout_table_find_last(table, order->service);
	const struct rollout *same =
	    rollout_table_find(table, order->service, order->version);
	uint32_t running = 0;
	uint32_t i;

	if (last != NULL && last == same &&
	    (last->state == ROLLOUT_COMPLETED ||
		rollout_store_progress(store, last)->within_ms ==
		    order->within_ms))
		return ROLLOUT_DUPLICATE;
	if (last != NULL && last->state == ROLLOUT_RUNNING)
		return ROLLOUT_IN_PROGRESS;
	if (same != NULL && same->state == ROLLOUT_ROLLED_BACK)
		return ROLLOUT_REJECTED;
	for (i = 0; i < table->count; i++)
		running += table->items[i].state == ROLLOUT_RUNNING;
	return running == ROLLOUT_MAX_RECORDS ? ROLLOUT_FULL : ROLLOUT_ACCEPTED;
}

static char *
encode(uint32_t *size_bytes, int n, const char *line)
{
	char *entry = strdup(line);

	assert(entry != NULL && n > 0 && n < LINE_BYTES);
	*size_bytes = (uint32_t)n;
	return entry;
}

char *
rollout_store_encode_order(
    const struct rollout_order *order, uint32_t *size_bytes)
{
	char line[LINE_BYTES];
	int n = snprintf(line, sizeof(line), ORDER_FORMAT, order->service,
	    order->version, order->within_ms);

	return encode(size_bytes, n, line);
}

char *
rollout_store_encode_step(const struct rollout_step *step, uint32_t *size_bytes)
{
	char line[LINE_BYTES];
	int n = snprintf(line, sizeof(line), STEP_FORMAT, step->service,
	    step->version, step->from_revision, (int)step->state,
	    step->share_permille, step->used_ms,
	    step->why[0] == '\0' ? "-" : step->why);

	return encode(size_bytes, n, line);
}

/// Sets the progress of a record, whose index may change with a merge.
static void
merge(struct rollout_store *store, const struct rollout *record,
    const struct rollout_progress *progress)
{
	struct rollout_store old = *store;
	const struct rollout *r;
	uint32_t i;

	rollout_table_merge(&store->table, record);
	for (i = 0; i < store->table.count; i++) {
		r = rollout_table_find(&old.table,
		    store->table.items[i].service,
		    store->table.items[i].version);
		if (r != NULL)
			store->progress[i] = *rollout_store_progress(&old, r);
	}
	r = rollout_table_find(&store->table, record->service, record->version);
	if (r != NULL)
		store->progress[r - store->table.items] = *progress;
}

static int
apply_order(struct rollout_store *store, const struct rollout_order *order)
{
	enum rollout_verdict verdict = rollout_store_check(store, order);
	struct rollout record = {.state = ROLLOUT_RUNNING};
	struct rollout_progress progress = {
	    .within_ms = order->within_ms, .begun_ms = -1, .why = "ordered"};

	if (verdict != ROLLOUT_ACCEPTED)
		return verdict;
	memcpy(record.service, order->service, sizeof(record.service));
	memcpy(record.version, order->version, sizeof(record.version));
	record.order = record.revision = ++store->revision;
	merge(store, &record, &progress);
	return verdict;
}

static int
apply_step(struct rollout_store *store, const struct rollout_step *step)
{
	const struct rollout *mine =
	    rollout_table_find(&store->table, step->service, step->version);
	struct rollout_progress progress;
	struct rollout record;

	if (mine == NULL || mine->revision != step->from_revision ||
	    mine->state != ROLLOUT_RUNNING)
		return ROLLOUT_OUTDATED;
	record = *mine;
	progress = *rollout_store_progress(store, mine);
	record.state = step->state;
	record.share_permille = step->share_permille;
	record.revision = ++store->revision;
	progress.used_ms = step->used_ms;
	if (progress.begun_ms < 0 && step->share_permille > 0)
		progress.begun_ms = step->used_ms;
	memcpy(progress.why, step->why, sizeof(progress.why));
	merge(store, &record, &progress);
	return ROLLOUT_ACCEPTED;
}

int
rollout_store_apply(struct rollout_store *store, const char *entry,
    uint32_t size_bytes, struct error *err)
{
	struct rollout_order order = {{0}, {0}, 0};
	struct rollout_step step = {.from_revision = 0};
	char line[LINE_BYTES];
	int state;

	snprintf(line, sizeof(line), "%.*s", (int)size_bytes, entry);
	if (sscanf(line, ORDER_SCAN, order.service, order.version,
		&order.within_ms) == 3)
		return apply_order(store, &order);
	if (sscanf(line, STEP_SCAN, step.service, step.version,
		&step.from_revision, &state, &step.share_permille,
		&step.used_ms, step.why) == 7 &&
	    state >= ROLLOUT_RUNNING && state <= ROLLOUT_ROLLED_BACK &&
	    step.share_permille <= ROLLOUT_PERMILLE) {
		step.state = (enum rollout_state)state;
		return apply_step(store, &step);
	}
	return error_set(err, ERR_CORRUPT, "decode roll-out", "",
	    "the log entry is malformed");
}

char *
rollout_store_snapshot(const struct rollout_store *store, uint32_t *size_bytes)
{
	size_t capacity = (size_t)(store->table.count + 1) * LINE_BYTES;
	char *out = calloc(1, capacity);
	size_t used = 0;
	uint32_t i;

	assert(out != NULL);
	*size_bytes = 0;
	if (store->revision == 0)
		return out;
	used += (size_t)snprintf(out, capacity, TAG "%u %" PRIu64 "\n",
	    store->table.count, store->revision);
	for (i = 0; i < store->table.count; i++) {
		const struct rollout *r = &store->table.items[i];
		const struct rollout_progress *p = &store->progress[i];

		used += (size_t)snprintf(out + used, capacity - used,
		    RECORD_FORMAT, r->service, r->version, (int)r->state,
		    r->share_permille, r->order, r->revision, p->within_ms,
		    p->used_ms, p->begun_ms, p->why[0] == '\0' ? "-" : p->why);
	}
	*size_bytes = (uint32_t)used;
	return out;
}

/// Copies the next line and advances past it.
///
/// @return 0, or -1 if there is no complete line that fits
static int
next_line(const char **at, const char *end, char line[LINE_BYTES])
{
	const char *eol = memchr(*at, '\n', (size_t)(end - *at));
	size_t n = eol == NULL ? LINE_BYTES : (size_t)(eol - *at);

	if (n >= LINE_BYTES)
		return -1;
	memcpy(line, *at, n);
	line[n] = '\0';
	*at = eol + 1;
	return 0;
}

static int
read_record(struct rollout_store *store, const char *line)
{
	struct rollout *r = &store->table.items[store->table.count];
	struct rollout_progress *p = &store->progress[store->table.count];
	int state;

	if (sscanf(line, RECORD_SCAN, r->service, r->version, &state,
		&r->share_permille, &r->order, &r->revision, &p->within_ms,
		&p->used_ms, &p->begun_ms, p->why) != 10 ||
	    state < ROLLOUT_RUNNING || state > ROLLOUT_ROLLED_BACK ||
	    r->share_permille > ROLLOUT_PERMILLE)
		return -1;
	r->state = (enum rollout_state)state;
	store->table.count++;
	return 0;
}

int
rollout_store_restore(struct rollout_store *store, const char *snapshot,
    uint32_t size_bytes, uint32_t *used_bytes, struct error *err)
{
	struct rollout_store *new = calloc(1, sizeof(*new));
	const char *at = snapshot;
	const char *end = snapshot + size_bytes;
	char line[LINE_BYTES];
	uint32_t count = 0;
	int rc = 0;

	assert(new != NULL);
	if (rollout_store_owns(snapshot, size_bytes)) {
		if (next_line(&at, end, line) != 0 ||
		    sscanf(line, TAG "%u %" SCNu64, &count, &new->revision) !=
			2 ||
		    count > ROLLOUT_MAX_RECORDS)
			rc = -1;
		while (rc == 0 && new->table.count < count)
			if (next_line(&at, end, line) != 0 ||
			    read_record(new, line) != 0)
				rc = -1;
	}
	if (rc == 0) {
		*store = *new;
		*used_bytes = (uint32_t)(at - snapshot);
	} else
		error_set(err, ERR_CORRUPT, "restore", "",
		    "the roll-outs of the snapshot are malformed");
	free(new);
	return rc;
}
