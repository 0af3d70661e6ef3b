// Requests of operators: submit, status, show, forget, replace.
#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/net/oneshot.h"
#include "io/replica/replica_admin.h"
#include "source/source.h"

#define MAX_PENDING	   64
#define FORWARD_TIMEOUT_US (3 * US_PER_S)

COUNTER_DEFINE(count_submits, "source_submits", "Files submitted");
COUNTER_DEFINE(count_refused, "source_submits_refused", "Files refused");

static const char no_leader[] =
    "{\"result\":\"unavailable\",\"why\":\"no leader is known to this "
    "replica: it cannot reach a quorum of the sources\"}";

/// Body for a file that does not parse. Release it with free().
static char *
render_errors(const struct rules_errors *errors)
{
	json_t *root = json_pack("{s:s, s:i, s:[]}", "result", "invalid",
	    "count", (int)errors->count, "errors");
	uint32_t shown =
	    errors->count < RULES_MAX_ERRORS ? errors->count : RULES_MAX_ERRORS;
	uint32_t i;
	char *text;

	for (i = 0; i < shown; i++)
		json_array_append_new(json_object_get(root, "errors"),
		    json_pack("{s:i, s:i, s:s}", "line",
			(int)errors->items[i].line, "column",
			(int)errors->items[i].column, "text",
			errors->items[i].text));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static const char *
verdict_name(int verdict)
{
	switch (verdict) {
	case RULE_STORE_ACCEPTED:
		return "accepted";
	case RULE_STORE_ALREADY:
		return "already accepted";
	case RULE_STORE_CONFLICT:
		return "conflict";
	case RULE_STORE_OLD:
	case RULE_STORE_SUPERSEDED:
		return "old version";
	case RULE_STORE_GAP:
		return "version gap";
	default:
		return "unknown";
	}
}

char *
operator_verdict_body(const struct source *source, const struct rule_file *file,
    int verdict, uint32_t *status)
{
	const struct rule_file *current = source->store.current;
	char hash[20];
	json_t *root;
	char *text;

	*status = source->dialect->verdict_status(verdict);
	if (*status != 200)
		counter_add(&count_refused, 1);
	snprintf(hash, sizeof(hash), "%016" PRIx64,
	    current == NULL ? 0 : current->hash);
	root = json_pack("{s:s, s:I, s:{s:I, s:s, s:s}}", "result",
	    verdict_name(verdict), "version", (json_int_t)file->version,
	    "accepted", "version",
	    current == NULL ? (json_int_t)0 : (json_int_t)current->version,
	    "hash", hash, "owner", current == NULL ? "" : current->owner);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	log_write(LOG_INFO, "source", "Version %" PRIu64 " by %s: %s.",
	    file->version, file->owner, verdict_name(verdict));
	return text;
}

/// A request on its way to the leader.
struct forward {
	operator_reply_fn *fn;
	void *arg;
	bool submit;
};

static void
on_forwarded(void *arg, const struct message *answer, const struct error *err)
{
	struct forward *forward = arg;
	const struct message_operator_answer *a;
	char *body;

	(void)err;
	if (answer == NULL || answer->type != MESSAGE_OPERATOR_ANSWER) {
		forward->fn(forward->arg, 503, US_PER_S,
		    forward->submit ? "{\"result\":\"unknown\",\"why\":\"the "
				      "leader did not "
				      "answer; send the same file again\"}"
				    : no_leader);
		free(forward);
		return;
	}
	a = &answer->u.operator_answer;
	body = strndup(a->body.data, a->body.size_bytes);
	assert(body != NULL);
	forward->fn(forward->arg, a->status, a->retry_left_us, body);
	free(body);
	free(forward);
}

/// Passes a request on to the leader.
static void
forward_request(struct source *source, const char *method, const char *target,
    const char *body, size_t body_bytes, operator_reply_fn *fn, void *arg)
{
	struct message_operator m;
	struct forward *forward;
	struct address to;
	char *text;

	if (source->host.replica.leader == source->host.replica.settings.id ||
	    address_parse(replica_host_leader_address(&source->host), &to) !=
		0) {
		if (strcmp(target, "/status") != 0) {
			fn(arg, 503, US_PER_S, no_leader);
			return;
		}
		text = status_render(source, false);
		fn(arg, 503, US_PER_S, text);
		free(text);
		return;
	}
	forward = calloc(1, sizeof(*forward));
	assert(forward != NULL);
	forward->fn = fn;
	forward->arg = arg;
	forward->submit = strcmp(target, "/rules") == 0;
	m.method = bytes_from(method);
	m.target = bytes_from(target);
	m.body.data = body;
	m.body.size_bytes = (uint32_t)body_bytes;
	oneshot_call(source->loop, &to, MESSAGE_OPERATOR, &m,
	    loop_now_us(source->loop) + FORWARD_TIMEOUT_US, on_forwarded,
	    forward);
}

static void
start_read(struct source *source, int kind, struct rule_file *file,
    operator_reply_fn *fn, void *arg)
{
	struct pending *p = pending_read(source, kind);

	p->fn = fn;
	p->arg = arg;
	p->file = file;
	replica_read(
	    &source->host.replica, p->context, loop_now_us(source->loop));
}

static void
handle_submit(struct source *source, const char *body, size_t body_bytes,
    operator_reply_fn *fn, void *arg)
{
	struct rules_errors *errors = malloc(sizeof(*errors));
	struct rules *rules;
	char *text;

	assert(errors != NULL);
	counter_add(&count_submits, 1);
	rules = rules_parse(body == NULL ? "" : body, body_bytes, errors);
	if (rules == NULL) {
		counter_add(&count_refused, 1);
		text = render_errors(errors);
		fn(arg, 400, 0, text);
		free(text);
	} else
		start_read(source, PENDING_SUBMIT, rule_file_ref(rules->file),
		    fn, arg);
	rules_unref(rules);
	free(errors);
}

static void
handle_forget(
    struct source *source, const char *name, operator_reply_fn *fn, void *arg)
{
	if (report_table_forget(&source->reports, name))
		fn(arg, 200, 0, "{\"result\":\"forgotten\"}");
	else
		fn(arg, 404, 0, "{\"result\":\"unknown proxy\"}");
}

static void
handle_replace(struct source *source, const char *body, size_t body_bytes,
    operator_reply_fn *fn, void *arg)
{
	char text[REPLICA_ADMIN_TEXT_BYTES];
	uint32_t status =
	    replica_admin_replace(&source->host, body, body_bytes, text);

	fn(arg, status, 0, text);
}

void
operator_handle(struct source *source, const char *method, const char *target,
    const char *body, size_t body_bytes, bool forwarded, operator_reply_fn *fn,
    void *arg)
{
	bool post = strcmp(method, "POST") == 0;
	bool get = strcmp(method, "GET") == 0;

	if (source->pending_count >= MAX_PENDING) {
		fn(arg, 503, US_PER_S,
		    "{\"result\":\"unavailable\",\"why\":\"the source is at "
		    "its limits\"}");
		return;
	}
	if (!replica_is_leader(&source->host.replica)) {
		if (forwarded)
			fn(arg, 503, US_PER_S, no_leader);
		else
			forward_request(
			    source, method, target, body, body_bytes, fn, arg);
		return;
	}
	if (post && strcmp(target, "/rules") == 0)
		handle_submit(source, body, body_bytes, fn, arg);
	else if (get && strcmp(target, "/rules") == 0)
		start_read(source, PENDING_SHOW, NULL, fn, arg);
	else if (get && strcmp(target, "/status") == 0)
		start_read(source, PENDING_STATUS, NULL, fn, arg);
	else if (post && strncmp(target, "/forget?name=", 13) == 0)
		handle_forget(source, target + 13, fn, arg);
	else if (post && strcmp(target, "/replicas") == 0)
		handle_replace(source, body, body_bytes, fn, arg);
	else
		fn(arg, 404, 0, "{\"result\":\"not found\"}");
}
