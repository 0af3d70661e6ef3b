// Quotas of workspaces: tokens from the accountant, and requests that wait for one.
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/ingress/ingress_request.h"

#define STATUS_TOO_MANY 429

/// Items of one ask: so many fit a datagram, and so do those of its answer.
#define MAX_ITEMS 32

/// Part of its time that a request waits for a token at most, and the longest
/// wait: that of an election among the sources.
#define WAIT_DIVISOR 4
#define WAIT_MAX_US  (1 * US_PER_S)

/// Time between checks for overdue answers while requests wait.
#define CHECK_PERIOD_US (20 * US_PER_MS)

COUNTER_DEFINE(count_asks, "quota_asks_sent", "Asks for tokens");
COUNTER_DEFINE(
    count_overdue, "quota_asks_overdue", "Asks whose answer was overdue");
COUNTER_DEFINE(count_waits, "quota_waits", "Requests that waited for a token");
COUNTER_DEFINE(
    count_full, "quota_refused", "Requests refused: workspace at its limit");

/// The quota that a request counts against; 0: none. Calls of backend servers and
/// public routes count against none.
static uint64_t
find_quota(const struct ingress_request *r)
{
	if (!r->keyed || r->route->is_public ||
	    r->ingress->quota.share.entry_count == 0)
		return 0;
	return quota_workspace_hash(r->workspace);
}

static void
refuse_full(struct ingress_request *r, int64_t retry_us)
{
	counter_add(&count_full, 1);
	ingress_conclude(r, STATUS_TOO_MANY, ingress_not_run_outcome(r),
	    retry_us, "its workspace is at its limit");
}

static bool
can_ask(const struct quota_client *q)
{
	return q->udp.loop != NULL &&
	    (q->has_accountant || q->source_count > 0);
}

static void
set_timer(struct ingress *ingress)
{
	struct quota_client *q = &ingress->quota;
	int64_t now_us = loop_now_us(ingress->loop);
	int64_t at_us =
	    can_ask(q) ? quota_share_ask_deadline_us(&q->share) : INT64_MAX;

	if (q->first != NULL && at_us > now_us + CHECK_PERIOD_US)
		at_us = now_us + CHECK_PERIOD_US;
	if (at_us == INT64_MAX)
		loop_timer_clear(ingress->loop, &q->timer);
	else
		loop_timer_set(ingress->loop, &q->timer, at_us);
}

/// Chooses the source to ask: the one that leads, or each in turn.
static const struct address *
choose_source(struct quota_client *q)
{
	if (q->has_accountant)
		return &q->accountant;
	return &q->sources[q->turn++ % q->source_count];
}

static void
send_ask(struct ingress *ingress)
{
	struct quota_client *q = &ingress->quota;
	struct quota_ask asks[MAX_ITEMS];
	struct message_quota_item items[MAX_ITEMS];
	struct message_quota_ask m = {
	    .sender = ingress->settings.incarnation, .items = {items, 0}};
	msgpack_sbuffer out;
	uint32_t i;

	if (!can_ask(q))
		return;
	m.items.count = quota_share_compose_ask(&q->share, asks, MAX_ITEMS,
	    loop_now_us(ingress->loop), &m.sequence);
	if (m.items.count == 0)
		return;
	for (i = 0; i < m.items.count; i++) {
		items[i].workspace = asks[i].workspace;
		items[i].wanted = asks[i].wanted;
		items[i].spare = asks[i].spare;
		items[i].refused = asks[i].refused;
	}
	counter_add(&count_asks, 1);
	msgpack_sbuffer_init(&out);
	message_pack(&out, MESSAGE_QUOTA_ASK, &m);
	if (out.size <= DATAGRAM_MAX_BYTES)
		datagram_send(&q->udp, choose_source(q), MESSAGE_QUOTA_ASK,
		    out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

static void
on_timer(void *arg)
{
	struct ingress *ingress = arg;
	struct quota_client *q = &ingress->quota;

	if (quota_share_expire_asks(&q->share, loop_now_us(ingress->loop))) {
		counter_add(&count_overdue, 1);
		// Any other source knows who leads, once one does.
		if (quota_share_is_silent(
			&q->share, loop_now_us(ingress->loop)))
			q->has_accountant = false;
	}
	send_ask(ingress);
	set_timer(ingress);
}

bool
ingress_take_quota(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;
	struct quota_client *q = &ingress->quota;
	uint64_t quota = find_quota(r);
	int64_t now_us = loop_now_us(ingress->loop);
	int64_t retry_us = 0;
	int64_t wait_us;

	if (quota == 0)
		return true;
	switch (quota_share_take(&q->share, quota, false, now_us, &retry_us)) {
	case QUOTA_PASS:
		set_timer(ingress);
		return true;
	case QUOTA_FULL:
		refuse_full(r, retry_us);
		return false;
	case QUOTA_WAIT:
		break;
	}
	counter_add(&count_waits, 1);
	r->quota_waiting = true;
	r->quota_prev = q->last;
	if (q->last != NULL)
		q->last->quota_next = r;
	else
		q->first = r;
	q->last = r;
	wait_us = (r->deadline_us - now_us) / WAIT_DIVISOR;
	loop_timer_set(ingress->loop, &r->timer,
	    now_us + (wait_us < WAIT_MAX_US ? wait_us : WAIT_MAX_US));
	set_timer(ingress);
	return false;
}

/// Sends or refuses those that wait, as far as tokens came. Each may free others.
static void
resume_waiting(struct ingress *ingress)
{
	struct quota_client *q = &ingress->quota;
	struct ingress_request *r;

	for (r = q->first; r != NULL; r = r->quota_next)
		r->visit_pending = true;
	for (;;) {
		enum quota_verdict verdict;
		int64_t retry_us = 0;

		for (r = q->first; r != NULL && !r->visit_pending;)
			r = r->quota_next;
		if (r == NULL)
			return;
		r->visit_pending = false;
		verdict = quota_share_take(&q->share,
		    quota_workspace_hash(r->workspace), true,
		    loop_now_us(ingress->loop), &retry_us);
		if (verdict == QUOTA_WAIT)
			continue;
		ingress_stop_quota_wait(r);
		if (verdict == QUOTA_FULL) {
			refuse_full(r, retry_us);
			continue;
		}
		loop_timer_set(ingress->loop, &r->timer, r->deadline_us);
		ingress_attempt_start(r);
	}
}

static void
take_leader(struct quota_client *q, const struct address *from,
    const struct message_quota_answer *m)
{
	char text[ADDRESS_TEXT_BYTES];

	q->has_accountant = false;
	if (!m->refused) {
		q->accountant = *from;
		q->has_accountant = true;
	} else if (bytes_copy(m->leader, text, sizeof(text)) == 0 &&
	    address_parse_server(text, &q->accountant) == 0)
		q->has_accountant = !address_equals(&q->accountant, from);
}

static bool
is_source(const struct quota_client *q, const struct address *from)
{
	uint32_t i;

	if (q->has_accountant && address_equals(&q->accountant, from))
		return true;
	for (i = 0; i < q->source_count; i++)
		if (address_equals(&q->sources[i], from))
			return true;
	return false;
}

static void
on_message(void *owner, const struct address *from, struct message *message)
{
	struct ingress *ingress = owner;
	struct quota_client *q = &ingress->quota;
	const struct message_quota_answer *m = &message->u.quota_answer;
	const struct message_quota_grant *grants = m->grants.items;
	int64_t now_us = loop_now_us(ingress->loop);
	int64_t granted_us;
	uint32_t i;

	if (message->type != MESSAGE_QUOTA_ANSWER ||
	    m->sender != ingress->settings.incarnation || !is_source(q, from))
		return;
	if (!address_equals(from, &q->clock_of))
		quota_share_forget_clock(&q->share);
	q->clock_of = *from;
	granted_us = quota_share_receive_answer(
	    &q->share, m->sequence, (int64_t)m->clock_us, now_us);
	if (granted_us < 0)
		return;
	take_leader(q, from, m);
	if (m->refused)
		quota_share_give_up_asks(&q->share);
	for (i = 0; i < m->grants.count; i++) {
		struct quota_grant g = {grants[i].asked, grants[i].tokens,
		    grants[i].life_us, grants[i].wait_us};

		quota_share_add_grant(
		    &q->share, grants[i].workspace, &g, granted_us, now_us);
	}
	resume_waiting(ingress);
	set_timer(ingress);
}

void
ingress_quota_open(struct ingress *ingress)
{
	ingress->quota.timer.fn = on_timer;
	ingress->quota.timer.arg = ingress;
}

void
ingress_quota_close(struct ingress *ingress)
{
	struct quota_client *q = &ingress->quota;

	loop_timer_clear(ingress->loop, &q->timer);
	datagram_close(&q->udp);
	while (q->first != NULL)
		ingress_stop_quota_wait(q->first);
	quota_share_free(&q->share);
}

void
ingress_quota_set_rules(struct ingress *ingress)
{
	struct quota_client *q = &ingress->quota;
	struct address bound;
	struct error err;

	if (ingress->rules->workspace_count == 0 && q->share.entry_count == 0)
		return;
	quota_share_set_limits(&q->share, ingress->rules);
	if (q->share.entry_count > 0 && q->udp.loop == NULL &&
	    datagram_open(&q->udp, ingress->loop, &ingress->settings.quota,
		ingress, on_message, &bound, &err) != 0)
		log_error(LOG_ERROR, "quota",
		    "Cannot ask for tokens: limited workspaces are refused",
		    &err);
	// Those whose workspace has no limit any more.
	resume_waiting(ingress);
	set_timer(ingress);
}

void
ingress_set_sources(struct ingress *ingress, const struct address *sources,
    uint32_t count, const struct address *leader)
{
	struct quota_client *q = &ingress->quota;

	q->source_count =
	    count < INGRESS_MAX_SOURCES ? count : INGRESS_MAX_SOURCES;
	memcpy(q->sources, sources, q->source_count * sizeof(*sources));
	if (leader != NULL && !q->has_accountant) {
		q->accountant = *leader;
		q->has_accountant = true;
	}
}
