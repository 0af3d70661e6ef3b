// Rules in and out of messages.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/delta.h"
#include "io/net/net.h"
#include "io/rules_message.h"

/// Parses a text and checks that it is what the sender says.
static struct rules *
check_text(const char *text, size_t text_bytes, uint64_t version, uint64_t hash,
    struct error *err)
{
	struct rules_errors *errors;
	struct rules *rules;

	if (rule_file_hash(text, text_bytes) != hash) {
		error_set(err, ERR_CORRUPT, "check rules", "",
		    "version %" PRIu64 " does not match its hash", version);
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
		    "text says version %" PRIu64 ", not %" PRIu64,
		    rules->version, version);
		rules_unref(rules);
		rules = NULL;
	}
	free(errors);
	return rules;
}

static struct rules *
apply_delta(
    const struct message_delta *m, const struct rules *have, struct error *err)
{
	const struct message_delta_step *from = m->steps.items;
	struct delta_step *steps;
	struct rules *rules = NULL;
	char *text;
	size_t text_bytes;
	uint32_t i;

	if (have == NULL || have->version != m->from_version ||
	    have->file->hash != m->from_hash) {
		error_set(err, ERR_CONFLICT, "apply delta", "",
		    "it starts from version %" PRIu64
		    ", which is not in force here",
		    m->from_version);
		return NULL;
	}
	steps = calloc(m->steps.count + 1, sizeof(*steps));
	assert(steps != NULL);
	for (i = 0; i < m->steps.count; i++) {
		steps[i].copy_from = from[i].copy_from;
		steps[i].copy_count = from[i].copy_count;
		steps[i].insert = from[i].insert.data;
		steps[i].insert_bytes = from[i].insert.size_bytes;
	}
	if (delta_apply(have->file->text, have->file->text_bytes, steps,
		m->steps.count, RULES_MAX_BYTES, &text, &text_bytes,
		err) == 0) {
		rules = check_text(text, text_bytes, m->version, m->hash, err);
		free(text);
	}
	free(steps);
	return rules;
}

struct rules *
rules_from_message(
    const struct message *message, const struct rules *have, struct error *err)
{
	const struct message_rules *m = &message->u.rules;

	memset(err, 0, sizeof(*err));
	if (message->type == MESSAGE_DELTA)
		return apply_delta(&message->u.delta, have, err);
	if (message->type != MESSAGE_RULES) {
		error_set(err, ERR_SYNTAX, "check rules", "",
		    "unexpected message %d", message->type);
		return NULL;
	}
	if (m->version == 0)
		return NULL;
	return check_text(
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

static void
send_delta(struct stream *stream, const struct message_pull *pull,
    const struct delta_signature *old, const struct rule_file *new)
{
	struct message_delta m = {.from_version = pull->have_version,
	    .from_hash = pull->have_hash,
	    .version = new->version,
	    .hash = new->hash};
	struct message_delta_step *steps;
	struct delta delta;
	uint32_t i;

	delta_make_from_signature(old, new->text, new->text_bytes, &delta);
	steps = calloc(delta.step_count + 1, sizeof(*steps));
	assert(steps != NULL);
	for (i = 0; i < delta.step_count; i++) {
		steps[i].copy_from = delta.steps[i].copy_from;
		steps[i].copy_count = delta.steps[i].copy_count;
		steps[i].insert.data = delta.steps[i].insert;
		steps[i].insert.size_bytes = delta.steps[i].insert_bytes;
	}
	m.steps.items = steps;
	m.steps.count = delta.step_count;
	stream_send(stream, MESSAGE_DELTA, &m);
	free(steps);
	delta_free(&delta);
}

void
rules_send(struct stream *stream, const struct message_pull *pull,
    const struct rule_file *newest, const struct rule_signatures *kept)
{
	const struct delta_signature *have;
	struct message_rules m = {0};

	if (newest == NULL || newest->version <= pull->have_version) {
		stream_send(stream, MESSAGE_RULES, &m);
		return;
	}
	have = rule_signatures_find(kept, pull->have_version, pull->have_hash);
	if (pull->allow_delta && have != NULL) {
		send_delta(stream, pull, have, newest);
		return;
	}
	m.version = newest->version;
	m.hash = newest->hash;
	m.text.data = newest->text;
	m.text.size_bytes = (uint32_t)newest->text_bytes;
	stream_send(stream, MESSAGE_RULES, &m);
}
