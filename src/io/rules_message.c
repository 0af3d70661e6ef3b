// Sends rules as messages and validates received ones.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/delta.h"
#include "io/log/counters.h"
#include "io/net/net.h"
#include "io/rules_message.h"

COUNTER_DEFINE(count_files, "config_files_sent", "Whole rule files sent");
COUNTER_DEFINE(
    count_deltas, "config_deltas_sent", "Differences between versions sent");

/// Parses a rule file and verifies the version and hash of its message.
static struct rules *
parse_verified(const char *text, size_t text_bytes, uint64_t version,
    uint64_t hash, struct error *err)
{
	struct rules_errors *errors;
	struct rules *rules;

	if (rule_file_hash(text, text_bytes) != hash) {
		error_set(err, ERR_CORRUPT, "check rules", "",
		    "the text of version %" PRIu64 " does not match its hash",
		    version);
		return NULL;
	}
	errors = malloc(sizeof(*errors));
	assert(errors != NULL);
	rules = rules_parse(text, text_bytes, errors);
	if (rules == NULL)
		error_set(err, ERR_INVALID, "check rules", "",
		    "version %" PRIu64 ", line %u: %s", version,
		    errors->items[0].line, errors->items[0].text);
	else if (rules->version != version) {
		error_set(err, ERR_CORRUPT, "check rules", "",
		    "the text has version %" PRIu64 ", its message %" PRIu64,
		    rules->version, version);
		rules_unref(rules);
		rules = NULL;
	}
	free(errors);
	return rules;
}

static struct rules *
apply_delta(const struct message_delta *m, const struct rules *in_force,
    struct error *err)
{
	const struct message_delta_step *message_steps = m->steps.items;
	struct delta_step *steps;
	struct rules *rules = NULL;
	char *text;
	size_t text_bytes;
	uint32_t i;

	if (in_force == NULL || in_force->version != m->from_version ||
	    in_force->file->hash != m->from_hash) {
		error_set(err, ERR_CONFLICT, "apply delta", "",
		    "the delta starts from version %" PRIu64
		    ", which is not in force here",
		    m->from_version);
		return NULL;
	}
	steps = calloc(m->steps.count + 1, sizeof(*steps));
	assert(steps != NULL);
	for (i = 0; i < m->steps.count; i++) {
		steps[i].copy_from = message_steps[i].copy_from;
		steps[i].copy_count = message_steps[i].copy_count;
		steps[i].insert = message_steps[i].insert.data;
		steps[i].insert_bytes = message_steps[i].insert.size_bytes;
	}
	if (delta_apply(in_force->file->text, in_force->file->text_bytes, steps,
		m->steps.count, RULES_MAX_BYTES, &text, &text_bytes,
		err) == 0) {
		rules =
		    parse_verified(text, text_bytes, m->version, m->hash, err);
		free(text);
	}
	free(steps);
	return rules;
}

struct rules *
rules_parse_message(const struct message *message, const struct rules *in_force,
    struct error *err)
{
	const struct message_rules *m = &message->u.rules;

	memset(err, 0, sizeof(*err));
	if (message->type == MESSAGE_DELTA)
		return apply_delta(&message->u.delta, in_force, err);
	if (message->type != MESSAGE_RULES) {
		error_set(err, ERR_SYNTAX, "check rules", "",
		    "unexpected message type %d", message->type);
		return NULL;
	}
	if (m->version == 0)
		return NULL;
	return parse_verified(
	    m->text.data, m->text.size_bytes, m->version, m->hash, err);
}

int64_t
rules_message_bytes(const struct message *message)
{
	const struct message_delta_step *steps;
	int64_t total = 0;
	uint32_t i;

	if (message->type == MESSAGE_RULES)
		return message->u.rules.text.size_bytes;
	if (message->type != MESSAGE_DELTA)
		return 0;
	steps = message->u.delta.steps.items;
	for (i = 0; i < message->u.delta.steps.count; i++)
		total += steps[i].insert.size_bytes;
	return total;
}

void
rules_pull_set_base(struct message_pull *pull, const struct rule_file *have)
{
	struct delta_blocks blocks;
	struct message_block *items;
	uint32_t i;

	delta_blocks_make(have->text, have->text_bytes, 0, &blocks);
	items = calloc(blocks.count + 1, sizeof(*items));
	assert(items != NULL);
	for (i = 0; i < blocks.count; i++) {
		items[i].hash = blocks.items[i].hash;
		items[i].line_count = blocks.items[i].line_count;
	}
	pull->mean_lines = blocks.mean_lines;
	pull->blocks.items = items;
	pull->blocks.count = blocks.count;
	delta_blocks_free(&blocks);
}

void
rules_pull_free(struct message_pull *pull)
{
	free(pull->blocks.items);
	memset(&pull->blocks, 0, sizeof(pull->blocks));
}

static void
make_delta(const struct message_pull *pull, const struct rule_file *newest,
    struct delta *delta)
{
	const struct message_block *items = pull->blocks.items;
	struct delta_blocks base = {
	    .mean_lines = pull->mean_lines, .count = pull->blocks.count};
	uint32_t i;

	base.items = calloc(base.count + 1, sizeof(*base.items));
	assert(base.items != NULL);
	for (i = 0; i < base.count; i++) {
		base.items[i].hash = items[i].hash;
		base.items[i].line_count = items[i].line_count;
	}
	delta_make_from_blocks(&base, newest->text, newest->text_bytes, delta);
	delta_blocks_free(&base);
}

static void
answer_with_delta(struct rules_answer *answer, const struct message_pull *pull,
    const struct rule_file *newest)
{
	struct message_delta *m = &answer->u.delta;
	struct message_delta_step *steps;
	uint32_t i;

	answer->type = MESSAGE_DELTA;
	m->from_version = pull->have_version;
	m->from_hash = pull->have_hash;
	m->version = newest->version;
	m->hash = newest->hash;
	make_delta(pull, newest, &answer->delta);
	steps = calloc(answer->delta.step_count + 1, sizeof(*steps));
	assert(steps != NULL);
	for (i = 0; i < answer->delta.step_count; i++) {
		const struct delta_step *step = &answer->delta.steps[i];

		steps[i].copy_from = step->copy_from;
		steps[i].copy_count = step->copy_count;
		steps[i].insert.data = step->insert;
		steps[i].insert.size_bytes = step->insert_bytes;
	}
	m->steps.items = steps;
	m->steps.count = answer->delta.step_count;
}

void
rules_answer_init(struct rules_answer *answer, const struct message_pull *pull,
    const struct rule_file *newest)
{
	struct message_rules *m = &answer->u.rules;

	memset(answer, 0, sizeof(*answer));
	answer->type = MESSAGE_RULES;
	if (newest == NULL || newest->version <= pull->have_version)
		return;
	if (pull->mean_lines > 0 && pull->blocks.count > 0) {
		answer_with_delta(answer, pull, newest);
		return;
	}
	m->version = newest->version;
	m->hash = newest->hash;
	m->text.data = newest->text;
	m->text.size_bytes = (uint32_t)newest->text_bytes;
}

void
rules_answer_free(struct rules_answer *answer)
{
	if (answer->type != MESSAGE_DELTA)
		return;
	free(answer->u.delta.steps.items);
	delta_free(&answer->delta);
}

size_t
rules_send(struct stream *stream, const struct message_pull *pull,
    const struct rule_file *newest)
{
	size_t queued_bytes = stream_queued_bytes(stream);
	struct rules_answer answer;

	rules_answer_init(&answer, pull, newest);
	if (answer.type == MESSAGE_DELTA)
		counter_add(&count_deltas, 1);
	else if (answer.u.rules.version != 0)
		counter_add(&count_files, 1);
	stream_send(stream, answer.type, &answer.u);
	rules_answer_free(&answer);
	return stream_queued_bytes(stream) - queued_bytes;
}
