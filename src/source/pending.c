// Requests that wait for reads and entries of the replicated log.
#include <assert.h>
#include <stdlib.h>

#include "io/clock.h"
#include "io/rollout_message.h"
#include "io/rules_message.h"
#include "source/source.h"

static void
pending_free(struct pending_request *p)
{
	struct pending_request **at = &p->source->pending;

	while (*at != p)
		at = &(*at)->next;
	*at = p->next;
	p->source->pending_count--;
	rule_file_unref(p->file);
	free(p);
}

struct pending_request *
pending_add_read(struct source *source, int kind)
{
	struct pending_request *p = calloc(1, sizeof(*p));

	assert(p != NULL);
	p->source = source;
	p->kind = kind;
	p->context = ++source->next_context;
	p->next = source->pending;
	source->pending = p;
	source->pending_count++;
	return p;
}

static void
reply(struct pending_request *p, uint32_t status, int64_t retry_us,
    const char *body)
{
	operator_reply_fn *fn = p->fn;
	void *arg = p->arg;

	pending_free(p);
	fn(arg, status, retry_us, body);
}

static void
reply_unconfirmed(struct pending_request *p)
{
	char *body;

	if (p->kind != PENDING_STATUS) {
		reply(p, 503, US_PER_S,
		    "{\"result\":\"unavailable\",\"why\":\"this replica "
		    "cannot reach a quorum of the sources\"}");
		return;
	}
	body = status_render(p->source, false);
	reply(p, 503, US_PER_S, body);
	free(body);
}

/// Checks a submitted file against the newest version, which the read has
/// confirmed, and proposes it if it is acceptable.
static void
propose_submitted(struct pending_request *p)
{
	struct source *source = p->source;
	enum rule_store_verdict verdict =
	    rule_store_check(&source->store, p->file);
	struct error err;
	uint32_t size_bytes;
	uint32_t status;
	char *entry;
	char *body;
	int rc;

	if (verdict != RULE_STORE_ACCEPTED) {
		body = verdict_render(source, p->file, verdict, &status);
		reply(p, status, 0, body);
		free(body);
		return;
	}
	entry = rule_store_encode(
	    &source->store, p->file, clock_wall_us(), &size_bytes);
	p->kind = PENDING_PROPOSED;
	p->term = source->host.replica.term;
	rc = replica_propose(&source->host.replica, entry, size_bytes,
	    &p->index, loop_now_us(source->loop), &err);
	free(entry);
	if (rc != 0)
		reply(p, 503, US_PER_S,
		    "{\"result\":\"unavailable\",\"why\":\"the source is at "
		    "its limits\"}");
}

/// Checks an order against the state that the read has confirmed, and proposes it
/// if it is acceptable.
static void
propose_rollout(struct pending_request *p)
{
	struct source *source = p->source;
	enum rollout_verdict verdict =
	    rollout_store_check(&source->rollouts, &p->order);
	struct error err;
	uint32_t size_bytes;
	uint32_t status = 400;
	char *entry;
	char *body;
	int rc;

	if (verdict != ROLLOUT_ACCEPTED ||
	    rollout_order_check_service(source, &p->order, &err) != 0) {
		body = verdict != ROLLOUT_ACCEPTED
		    ? rollout_order_render_verdict(
			  source, &p->order, verdict, &status)
		    : rollout_order_render_error(&err);
		reply(p, status, 0, body);
		free(body);
		return;
	}
	entry = rollout_store_encode_order(&p->order, &size_bytes);
	p->kind = PENDING_PROPOSED;
	p->term = source->host.replica.term;
	rc = replica_propose(&source->host.replica, entry, size_bytes,
	    &p->index, loop_now_us(source->loop), &err);
	free(entry);
	if (rc != 0)
		reply(p, 503, US_PER_S,
		    "{\"result\":\"unavailable\",\"why\":\"the source is at "
		    "its limits\"}");
}

static void
show_rollouts(struct pending_request *p)
{
	uint32_t status;
	char *body =
	    rollout_order_render_show(p->source, p->order.service, &status);

	reply(p, status, 0, body);
	free(body);
}

/// Replies with the newest version but not its text, which the proxy pulls from
/// the nearest holder.
static void
reply_confirm(struct pending_request *p, bool ok)
{
	const struct rule_file *current = p->source->store.current;
	struct message_busy busy = {.retry_left_us = US_PER_S};
	struct message_rollout rollouts[ROLLOUT_MAX_RECORDS];
	struct message_rules m = {0};

	rollout_message_fill(&p->source->rollouts.table, 0, rollouts,
	    ROLLOUT_MAX_RECORDS, &m.rollouts);
	if (current != NULL) {
		m.version = current->version;
		m.hash = current->hash;
	}
	if (p->stream != NULL && ok)
		stream_send(p->stream, MESSAGE_RULES, &m);
	else if (p->stream != NULL)
		stream_send(p->stream, MESSAGE_BUSY, &busy);
	pending_free(p);
}

static void
complete_read(struct pending_request *p, bool ok)
{
	const struct rule_file *current = p->source->store.current;
	char *body;

	if (p->kind == PENDING_CONFIRM) {
		reply_confirm(p, ok);
		return;
	}
	if (!ok) {
		reply_unconfirmed(p);
		return;
	}
	switch (p->kind) {
	case PENDING_STATUS:
		body = status_render(p->source, true);
		reply(p, 200, 0, body);
		free(body);
		break;
	case PENDING_SHOW:
		reply(p, current == NULL ? 404 : 200, 0,
		    current == NULL ? "no file is accepted yet\n"
				    : current->text);
		break;
	case PENDING_SUBMIT:
		propose_submitted(p);
		break;
	case PENDING_ROLLOUT:
		propose_rollout(p);
		break;
	case PENDING_ROLLOUT_SHOW:
		show_rollouts(p);
		break;
	case PENDING_PROPOSED:
	case PENDING_CONFIRM:
		break;
	}
}

void
pending_complete_read(struct source *source, uint64_t context, bool ok)
{
	struct pending_request *p = source->pending;

	while (p != NULL && p->context != context)
		p = p->next;
	if (p != NULL && p->kind != PENDING_PROPOSED)
		complete_read(p, ok);
}

static const char unknown_outcome_body[] =
    "{\"result\":\"unknown\",\"why\":\"the leader changed while the file "
    "was being accepted; send the same file again\"}";

static const char unknown_order_body[] =
    "{\"result\":\"unknown\",\"why\":\"the leader changed while the order "
    "was being accepted; send the same order again\"}";

static void
reply_unknown(struct pending_request *p)
{
	reply(p, 503, US_PER_S,
	    p->file != NULL ? unknown_outcome_body : unknown_order_body);
}

void
pending_complete_proposal(
    struct source *source, const struct replica_entry *entry, int verdict)
{
	struct pending_request *p = source->pending;
	uint32_t status;
	char *body;

	while (p != NULL &&
	    (p->kind != PENDING_PROPOSED || p->index != entry->index))
		p = p->next;
	if (p == NULL)
		return;
	if (p->term != entry->term || verdict < 0) {
		reply_unknown(p);
		return;
	}
	body = p->file != NULL
	    ? verdict_render(source, p->file, verdict, &status)
	    : rollout_order_render_verdict(source, &p->order, verdict, &status);
	reply(p, status, 0, body);
	free(body);
}

void
pending_fail_proposals(struct source *source)
{
	struct pending_request *p = source->pending;

	while (p != NULL) {
		struct pending_request *next = p->next;

		if (p->kind == PENDING_PROPOSED)
			reply_unknown(p);
		p = next;
	}
}

void
pending_detach_stream(struct source *source, const struct stream *stream)
{
	struct pending_request *p;

	for (p = source->pending; p != NULL; p = p->next)
		if (p->stream == stream)
			p->stream = NULL;
}
