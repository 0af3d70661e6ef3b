// Handles the requests of operators: submit, status, show, forget, replace.
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

#define MAX_PENDING_REQUESTS 64

/// Total timeout of a forwarded request: the time of two elections.
#define FORWARD_TIMEOUT_US (3 * US_PER_S)

/// Total timeout of a forwarded read, which the caller can retry at no cost.
#define FORWARD_READ_TIMEOUT_US (1 * US_PER_S)

/// Timeout of one attempt: a read round and a write to the disks of a quorum
/// across regions. Also bounds the time lost on a leader that is down.
#define FORWARD_ATTEMPT_TIMEOUT_US (700 * US_PER_MS)

/// Delay before the leader is looked up again.
#define FORWARD_RETRY_DELAY_US (50 * US_PER_MS)

COUNTER_DEFINE(count_submits, "source_submits", "Files submitted");

static const char no_leader_body[] =
    "{\"result\":\"unavailable\",\"why\":\"no leader is known to this "
    "replica: it cannot reach a quorum of the sources\"}";

/// A request being forwarded to the leader, which may change meanwhile.
struct forward {
	struct source *source;
	struct forward *next; ///< In source->forwards.
	char *method;
	char *target;
	char *body;
	size_t body_bytes;
	operator_reply_fn *fn;
	void *arg;
	int64_t deadline_us;
	struct loop_timer timer; ///< Next attempt.
	bool idempotent;	 ///< Executing it twice equals once.
	bool sent;		 ///< A leader may have received it.
	/// A read of the rules whose text is not that of this replica.
	bool leader_sends_text;
};

static void forward_attempt(void *arg);

static void
forward_free(struct forward *f)
{
	struct forward **at = &f->source->forwards;

	while (*at != f)
		at = &(*at)->next;
	*at = f->next;
	loop_timer_clear(f->source->loop, &f->timer);
	free(f->method);
	free(f->target);
	free(f->body);
	free(f);
}

/// Replies that no leader answered, for /status with the local state, and frees
/// the request.
static void
forward_fail(struct forward *f)
{
	char *text = NULL;

	if (strcmp(f->target, "/status") == 0)
		text = status_render(f->source, false);
	f->fn(f->arg, 503, US_PER_S,
	    text != NULL ? text
		: f->sent && strcmp(f->target, "/rules") == 0
		? "{\"result\":\"unknown\",\"why\":\"the leader did not "
		  "answer; send the same file again\"}"
		: no_leader_body);
	free(text);
	forward_free(f);
}

static void
on_forward_done(
    void *arg, const struct message *answer, const struct error *err)
{
	struct forward *f = arg;
	const struct message_operator_answer *a;
	char *body;

	if (answer != NULL && answer->type == MESSAGE_OPERATOR_ANSWER) {
		a = &answer->u.operator_answer;
		body = strndup(a->body.data, a->body.size_bytes);
		assert(body != NULL);
		f->fn(f->arg, a->status, a->retry_left_us, body);
		free(body);
		forward_free(f);
		return;
	}
	log_error(LOG_INFO, "source",
	    "The leader did not answer an operator's request", err);
	if (!f->idempotent) {
		forward_fail(f);
		return;
	}
	loop_timer_set(f->source->loop, &f->timer,
	    loop_now_us(f->source->loop) + FORWARD_RETRY_DELAY_US);
}

static bool
is_rules_read(const struct forward *f)
{
	return strcmp(f->method, "GET") == 0 &&
	    strcmp(f->target, "/rules") == 0;
}

/// The leader confirmed the newest version, as a quorum has it. If it is the
/// one here, its text need not come from the leader.
static void
on_confirmed(void *arg, const struct message *answer, const struct error *err)
{
	struct forward *f = arg;
	const struct rule_file *current = f->source->store.current;

	if (answer != NULL && answer->type == MESSAGE_RULES &&
	    current != NULL && answer->u.rules.version == current->version &&
	    answer->u.rules.hash == current->hash) {
		f->fn(f->arg, 200, 0, current->text);
		forward_free(f);
		return;
	}
	if (answer == NULL)
		log_error(LOG_INFO, "source",
		    "The leader did not confirm the newest version", err);
	f->leader_sends_text = true;
	loop_timer_set(
	    f->source->loop, &f->timer, loop_now_us(f->source->loop));
}

static void
request_confirmation(struct forward *f, const struct address *leader)
{
	struct message_pull pull = {.confirm = 1};

	oneshot_call(f->source->loop, leader, MESSAGE_PULL, &pull,
	    loop_now_us(f->source->loop) + FORWARD_ATTEMPT_TIMEOUT_US,
	    on_confirmed, f);
}

/// Sends the request to the current leader. Without one, retries after a short
/// delay: an election takes less time than operators wait.
static void
forward_attempt(void *arg)
{
	struct forward *f = arg;
	struct source *source = f->source;
	const struct replica *r = &source->host.replica;
	int64_t now_us = loop_now_us(source->loop);
	struct message_operator m;
	struct address to;

	if (now_us >= f->deadline_us) {
		forward_fail(f);
		return;
	}
	if (replica_is_leader(r)) {
		operator_handle(source, f->method, f->target, f->body,
		    f->body_bytes, true, f->fn, f->arg);
		forward_free(f);
		return;
	}
	if (r->leader == r->settings.id ||
	    address_parse(
		replica_host_get_leader_address(&source->host), &to) != 0) {
		loop_timer_set(
		    source->loop, &f->timer, now_us + FORWARD_RETRY_DELAY_US);
		return;
	}
	if (is_rules_read(f) && !f->leader_sends_text) {
		request_confirmation(f, &to);
		return;
	}
	f->sent = true;
	m.method = bytes_from_string(f->method);
	m.target = bytes_from_string(f->target);
	m.body.data = f->body;
	m.body.size_bytes = (uint32_t)f->body_bytes;
	oneshot_call(source->loop, &to, MESSAGE_OPERATOR, &m,
	    now_us + FORWARD_ATTEMPT_TIMEOUT_US, on_forward_done, f);
}

/// Forwards a request to the leader and retries until the timeout.
static void
forward_start(struct source *source, const char *method, const char *target,
    const char *body, size_t body_bytes, operator_reply_fn *fn, void *arg)
{
	struct forward *f = calloc(1, sizeof(*f));

	assert(f != NULL);
	f->source = source;
	f->next = source->forwards;
	source->forwards = f;
	f->method = strdup(method);
	f->target = strdup(target);
	f->body = malloc(body_bytes + 1);
	assert(f->method != NULL && f->target != NULL && f->body != NULL);
	if (body_bytes > 0)
		memcpy(f->body, body, body_bytes);
	f->body_bytes = body_bytes;
	f->fn = fn;
	f->arg = arg;
	f->deadline_us = loop_now_us(source->loop) +
	    (strcmp(method, "GET") == 0 ? FORWARD_READ_TIMEOUT_US
					: FORWARD_TIMEOUT_US);
	f->timer.fn = forward_attempt;
	f->timer.arg = f;
	// Resubmitting an accepted file or order succeeds.
	f->idempotent = strcmp(method, "GET") == 0 ||
	    strcmp(target, "/rules") == 0 ||
	    strcmp(target, ROLLOUTS_TARGET) == 0;
	forward_attempt(f);
}

static void
start_read(struct source *source, int kind, struct rule_file *file,
    operator_reply_fn *fn, void *arg)
{
	struct pending_request *p = pending_add_read(source, kind);

	p->fn = fn;
	p->arg = arg;
	p->file = file;
	replica_start_read(
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
		text = verdict_render_errors(errors);
		fn(arg, 400, 0, text);
		free(text);
	} else
		start_read(source, PENDING_SUBMIT, rule_file_ref(rules->file),
		    fn, arg);
	rules_unref(rules);
	free(errors);
}

static void
handle_rollout(struct source *source, const char *body, size_t body_bytes,
    operator_reply_fn *fn, void *arg)
{
	struct rollout_order order;
	struct pending_request *p;
	struct error err;
	char *text;

	if (rollout_order_parse(body, body_bytes, &order, &err) != 0) {
		text = rollout_order_render_error(&err);
		fn(arg, 400, 0, text);
		free(text);
		return;
	}
	p = pending_add_read(source, PENDING_ROLLOUT);
	p->fn = fn;
	p->arg = arg;
	p->order = order;
	replica_start_read(
	    &source->host.replica, p->context, loop_now_us(source->loop));
}

/// @param service  "": all roll-outs
static void
handle_rollout_show(struct source *source, const char *service,
    operator_reply_fn *fn, void *arg)
{
	struct pending_request *p =
	    pending_add_read(source, PENDING_ROLLOUT_SHOW);

	p->fn = fn;
	p->arg = arg;
	snprintf(p->order.service, sizeof(p->order.service), "%s", service);
	replica_start_read(
	    &source->host.replica, p->context, loop_now_us(source->loop));
}

static void
handle_forget(
    struct source *source, const char *name, operator_reply_fn *fn, void *arg)
{
	if (report_table_remove(&source->reports, name))
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

	if (source->pending_count >= MAX_PENDING_REQUESTS) {
		fn(arg, 503, US_PER_S,
		    "{\"result\":\"unavailable\",\"why\":\"the source is at "
		    "its limits\"}");
		return;
	}
	if (!replica_is_leader(&source->host.replica)) {
		if (forwarded)
			fn(arg, 503, US_PER_S, no_leader_body);
		else
			forward_start(
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
	else if (post && strcmp(target, ROLLOUTS_TARGET) == 0)
		handle_rollout(source, body, body_bytes, fn, arg);
	else if (get && strcmp(target, ROLLOUTS_TARGET) == 0)
		handle_rollout_show(source, "", fn, arg);
	else if (get &&
	    strncmp(target, ROLLOUTS_TARGET "/", strlen(ROLLOUTS_TARGET) + 1) ==
		0)
		handle_rollout_show(
		    source, target + strlen(ROLLOUTS_TARGET) + 1, fn, arg);
	else if (post && strcmp(target, "/replicas") == 0)
		handle_replace(source, body, body_bytes, fn, arg);
	else
		fn(arg, 404, 0, "{\"result\":\"not found\"}");
}

void
operator_cancel_forwards(struct source *source)
{
	while (source->forwards != NULL)
		forward_free(source->forwards);
}
