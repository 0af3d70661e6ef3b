// Accountant of the quotas of workspaces, in the leading source.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "source/source.h"

/// Part of the election timeout for which the last contact with a quorum proves
/// that no other replica leads: followers help no candidate for the whole of it
/// after they heard from this one.
#define LEASE_DIVISOR 2

/// Workspaces that a status lists.
#define MAX_SHOWN 20

#define MILLI 1000.0

/// Most items of an ask that are answered: as many as fit a datagram.
#define MAX_ITEMS 40

COUNTER_DEFINE(count_asks, "quota_asks", "Asks of proxies for tokens");
COUNTER_DEFINE(
    count_redirects, "quota_redirects", "Asks answered: another one leads");
COUNTER_DEFINE(count_granted, "quota_tokens_granted", "Tokens granted");
COUNTER_DEFINE(count_short, "quota_asks_short",
    "Workspaces that got fewer than they want");
COUNTER_DEFINE(
    count_begun, "quota_accounts_begun", "Times that this source took over");

/// Whether this replica leads, and no other one can.
static bool
may_grant(const struct source *source, int64_t now_us)
{
	const struct replica *r = &source->host.replica;

	return replica_is_leader(r) &&
	    now_us - replica_quorum_contact_us(r) <
	    r->settings.election_us / LEASE_DIVISOR;
}

/// Takes over the limits of the accepted version.
static void
update_limits(struct source *source)
{
	const struct rule_file *current = source->store.current;
	struct rules_errors *errors;
	struct rules *rules;

	if (current == NULL || current->version == source->quotas.version)
		return;
	errors = malloc(sizeof(*errors));
	assert(errors != NULL);
	rules = rules_parse(current->text, current->text_bytes, errors);
	free(errors);
	if (rules == NULL)
		return;
	quota_ledger_set_limits(
	    &source->quotas, rules, loop_now_us(source->loop));
	log_write(LOG_INFO, "quota",
	    "Accounts for %u limited workspaces of version %" PRIu64 ".",
	    source->quotas.account_count, rules->version);
	rules_unref(rules);
}

void
quota_follow(struct source *source)
{
	uint64_t term = source->host.replica.term;

	update_limits(source);
	if (term == source->quota_term)
		return;
	source->quota_term = term;
	source->quota_term_since_us = loop_now_us(source->loop);
}

void
quota_begin(struct source *source)
{
	int64_t now_us = loop_now_us(source->loop);
	// Only one other replica led within the span that a reserve is for.
	bool reserve = source->host.replica.term == source->quota_term + 1 &&
	    now_us - source->quota_term_since_us >=
		quota_reserve_period_us(&source->quotas.bounds);

	counter_add(&count_begun, 1);
	update_limits(source);
	quota_ledger_begin(&source->quotas, reserve, now_us);
	quota_follow(source);
}

static void
send_answer(struct source *source, const struct address *to,
    const struct message_quota_answer *answer)
{
	msgpack_sbuffer out;

	msgpack_sbuffer_init(&out);
	message_pack(&out, MESSAGE_QUOTA_ANSWER, answer);
	if (out.size <= DATAGRAM_MAX_BYTES)
		datagram_send(
		    &source->udp, to, MESSAGE_QUOTA_ANSWER, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

static int
compare_use(const void *a, const void *b)
{
	const struct quota_account *x = *(const struct quota_account *const *)a;
	const struct quota_account *y = *(const struct quota_account *const *)b;
	double order =
	    x->used_per_s + x->refused_per_s - y->used_per_s - y->refused_per_s;

	if (order != 0)
		return order > 0 ? -1 : 1;
	return strcmp(x->name, y->name);
}

static json_t *
render_account(const struct quota_account *a, int64_t now_us)
{
	struct quota_use use = quota_account_use(a, now_us);

	return json_pack("{s:s, s:f, s:f, s:f, s:f, s:f, s:I, s:I}", "name",
	    a->name, "rate", (double)a->rate_milli / MILLI, "burst",
	    (double)a->burst_milli / MILLI, "used_per_s", use.used_per_s,
	    "refused_per_s", use.refused_per_s, "left", use.left, "granted",
	    (json_int_t)a->granted_count, "refused",
	    (json_int_t)a->refused_count);
}

static json_t *
render_rest(
    const struct quota_account **accounts, uint32_t count, int64_t now_us)
{
	double used = 0;
	double refused = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct quota_use use = quota_account_use(accounts[i], now_us);

		used += use.used_per_s;
		refused += use.refused_per_s;
	}
	return json_pack("{s:i, s:f, s:f}", "workspaces", (int)count,
	    "used_per_s", used, "refused_per_s", refused);
}

json_t *
quota_render(const struct source *source)
{
	const struct quota_ledger *ledger = &source->quotas;
	int64_t now_us = loop_now_us(source->loop);
	const struct quota_account **sorted;
	uint32_t shown = ledger->account_count < MAX_SHOWN
	    ? ledger->account_count
	    : MAX_SHOWN;
	json_t *top = json_array();
	json_t *rest;
	uint32_t i;

	sorted = calloc(
	    ledger->account_count + 1, sizeof(const struct quota_account *));
	assert(sorted != NULL);
	for (i = 0; i < ledger->account_count; i++)
		sorted[i] = &ledger->accounts[i];
	qsort(sorted, ledger->account_count, sizeof(*sorted), compare_use);
	for (i = 0; i < shown; i++)
		json_array_append_new(top, render_account(sorted[i], now_us));
	rest =
	    render_rest(sorted + shown, ledger->account_count - shown, now_us);
	free(sorted);
	return json_pack("{s:o, s:o}", "top", top, "rest", rest);
}

void
quota_receive(struct source *source, const struct address *from,
    const struct message_quota_ask *ask)
{
	const struct message_quota_item *items = ask->items.items;
	struct message_quota_grant grants[MAX_ITEMS];
	struct message_quota_answer answer = {.sender = ask->sender,
	    .sequence = ask->sequence,
	    .grants = {grants, 0}};
	int64_t now_us = loop_now_us(source->loop);
	uint32_t i;

	counter_add(&count_asks, 1);
	answer.clock_us = (uint64_t)now_us;
	if (!may_grant(source, now_us)) {
		counter_add(&count_redirects, 1);
		answer.refused = 1;
		if (!replica_is_leader(&source->host.replica))
			answer.leader = bytes_from_string(
			    replica_host_get_leader_address(&source->host));
		send_answer(source, from, &answer);
		return;
	}
	update_limits(source);
	for (i = 0; i < ask->items.count && i < MAX_ITEMS; i++) {
		struct quota_ask q = {items[i].workspace, items[i].wanted,
		    items[i].spare, items[i].refused};
		struct quota_grant g =
		    quota_ledger_grant(&source->quotas, &q, now_us);

		grants[i].workspace = q.workspace;
		grants[i].asked = g.asked;
		grants[i].tokens = g.tokens;
		grants[i].life_us = g.life_us;
		grants[i].wait_us = g.wait_us;
		counter_add(&count_granted, g.tokens);
		counter_add(&count_short, g.wait_us > 0);
	}
	answer.grants.count = i;
	send_answer(source, from, &answer);
}
