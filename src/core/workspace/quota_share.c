// Tokens of a proxy, and the asks for more.
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/workspace/quota_share.h"

#define MICRO 1e-6

/// Least time between asks: requests that wait are gathered for so long.
#define ASK_PERIOD_US 20000

/// The same while no source answers, or none leads.
#define RETRY_PERIOD_US 60000

/// The same while only expected requests need tokens.
#define RESTOCK_PERIOD_US 100000

/// Time after which an answer is overdue, beside the round trips measured.
#define ANSWER_TIMEOUT_US 80000

/// Longest such time. Requests that wait need their tokens before they give up: on
/// a link that is full they are asked for more than once.
#define ANSWER_TIMEOUT_MAX_US 300000

/// Time without an answer after which other sources are asked, beside the round
/// trips measured: a link that is full holds answers up for longer than most.
#define SILENCE_US 300000

/// Bound on the difference between the rates of two clocks, as a divisor.
#define CLOCK_DRIFT_DIVISOR 5000

/// Time over which demand is averaged.
#define DEMAND_AVERAGE_US 1000000.0

/// Requests expected during the life of a token from which on tokens are kept in
/// stock: with fewer, most of them would end unspent.
#define STOCK_MIN_EXPECTED 0.7

/// Requests for which tokens are kept: those of this time and a round trip.
#define STOCK_US 150000

/// Most tokens that one ask may name for one workspace.
#define ASK_MAX_TOKENS 10000

/// Longest life and wait that an answer may state.
#define GRANT_MAX_US 10000000

/// Longest time that a caller at the limit is told to wait.
#define RETRY_MAX_US 2000000

void
quota_share_free(struct quota_share *share)
{
	free(share->entries);
	free(share->listed);
	memset(share, 0, sizeof(*share));
}

static struct quota_entry *
find_entry(const struct quota_share *share, uint64_t workspace)
{
	uint32_t low = 0;
	uint32_t high = share->entry_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		struct quota_entry *e = &share->entries[middle];

		if (e->workspace == workspace)
			return e;
		if (e->workspace < workspace)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

static int
compare_entries(const void *a, const void *b)
{
	const struct quota_entry *x = a;
	const struct quota_entry *y = b;

	return x->workspace < y->workspace ? -1 : x->workspace > y->workspace;
}

static void
list_entry(struct quota_share *share, struct quota_entry *e)
{
	if (e->listed)
		return;
	e->listed = true;
	share->listed[share->listed_count++] = (uint32_t)(e - share->entries);
}

void
quota_share_set_limits(struct quota_share *share, const struct rules *rules)
{
	struct quota_entry *entries =
	    calloc(rules->workspace_count + 1, sizeof(*entries));
	uint32_t count = 0;
	uint32_t i;

	assert(entries != NULL);
	for (i = 0; i < rules->workspace_count; i++) {
		const struct quota_entry *old;
		uint64_t hash;

		if (rules->workspaces[i].rate_milli == 0)
			continue;
		hash = quota_workspace_hash(rules->workspaces[i].name);
		old = find_entry(share, hash);
		if (old != NULL)
			entries[count] = *old;
		entries[count].workspace = hash;
		entries[count++].listed = false;
	}
	qsort(entries, count, sizeof(*entries), compare_entries);
	free(share->entries);
	share->entries = entries;
	share->entry_count = count;
	free(share->listed);
	share->listed = calloc(count + 1, sizeof(*share->listed));
	assert(share->listed != NULL);
	share->listed_count = share->waiting = 0;
	for (i = 0; i < count; i++) {
		share->waiting += entries[i].waiting;
		if (entries[i].waiting > 0)
			list_entry(share, &entries[i]);
	}
}

static void
age_demand(struct quota_entry *e, int64_t now_us)
{
	int64_t elapsed_us = now_us - e->demand_us;

	if (elapsed_us <= 0)
		return;
	e->demand_per_s *= exp(-(double)elapsed_us / DEMAND_AVERAGE_US);
	e->demand_us = now_us;
}

/// Tokens that can still be spent.
static uint32_t
count_tokens(struct quota_entry *e, int64_t now_us)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < QUOTA_BATCHES; i++) {
		if (e->batches[i].expires_us <= now_us)
			e->batches[i].tokens = 0;
		sum += e->batches[i].tokens;
	}
	return sum;
}

/// Spends a token of the batch that ends first.
static bool
spend_token(struct quota_entry *e, int64_t now_us)
{
	struct quota_batch *first = NULL;
	uint32_t i;

	if (count_tokens(e, now_us) == 0)
		return false;
	for (i = 0; i < QUOTA_BATCHES; i++) {
		struct quota_batch *b = &e->batches[i];

		if (b->tokens > 0 &&
		    (first == NULL || b->expires_us < first->expires_us))
			first = b;
	}
	first->tokens--;
	return true;
}

/// Tokens to keep in stock.
static uint32_t
target_stock(const struct quota_share *share, const struct quota_entry *e)
{
	double expected;

	if (e->demand_per_s * MICRO * (double)e->life_us < STOCK_MIN_EXPECTED)
		return 0;
	expected =
	    e->demand_per_s * MICRO * (double)(STOCK_US + share->round_trip_us);
	return expected < ASK_MAX_TOKENS ? (uint32_t)expected + 1
					 : ASK_MAX_TOKENS;
}

/// Tokens to ask for beside those that requests wait for.
static uint32_t
spare_wanted(
    const struct quota_share *share, struct quota_entry *e, int64_t now_us)
{
	uint32_t target = target_stock(share, e);
	uint32_t have = count_tokens(e, now_us) + e->asked;

	if (target <= have || now_us < e->full_until_us)
		return 0;
	return target - have;
}

/// Time until a caller that is refused now may expect room: those refused before
/// it come back as well.
static int64_t
retry_after_us(const struct quota_entry *e, int64_t now_us)
{
	int64_t retry_us = e->full_until_us - now_us;
	double factor = 1 + e->demand_per_s * MICRO * (double)retry_us;
	double scaled_us = (double)retry_us * factor;

	return scaled_us < RETRY_MAX_US ? (int64_t)scaled_us : RETRY_MAX_US;
}

enum quota_verdict
quota_share_take(struct quota_share *share, uint64_t workspace, bool waits,
    int64_t now_us, int64_t *retry_us)
{
	struct quota_entry *e = find_entry(share, workspace);

	if (e == NULL)
		return QUOTA_PASS;
	age_demand(e, now_us);
	if (!waits)
		e->demand_per_s += 1000000.0 / DEMAND_AVERAGE_US;
	// Those that wait come first.
	if ((waits || e->waiting == 0) && spend_token(e, now_us)) {
		if (spare_wanted(share, e, now_us) > 0)
			list_entry(share, e);
		return QUOTA_PASS;
	}
	if (now_us < e->full_until_us) {
		*retry_us = retry_after_us(e, now_us);
		e->refused++;
		return QUOTA_FULL;
	}
	if (!waits) {
		e->waiting++;
		share->waiting++;
	}
	list_entry(share, e);
	return QUOTA_WAIT;
}

void
quota_share_stop_waiting(struct quota_share *share, uint64_t workspace)
{
	struct quota_entry *e = find_entry(share, workspace);

	if (e == NULL || e->waiting == 0)
		return;
	e->waiting--;
	share->waiting--;
}

int64_t
quota_share_ask_deadline_us(const struct quota_share *share)
{
	if (share->listed_count == 0)
		return INT64_MAX;
	if (share->waiting == 0)
		return share->last_ask_us + RESTOCK_PERIOD_US;
	return share->last_ask_us +
	    (share->unanswered > 0 ? RETRY_PERIOD_US : ASK_PERIOD_US);
}

static struct quota_ask
compose_item(struct quota_share *share, struct quota_entry *e, int64_t now_us)
{
	struct quota_ask ask = {
	    .workspace = e->workspace, .refused = e->refused};

	if (e->waiting > e->asked)
		ask.wanted = e->waiting - e->asked;
	if (ask.wanted > ASK_MAX_TOKENS)
		ask.wanted = ASK_MAX_TOKENS;
	age_demand(e, now_us);
	ask.spare = spare_wanted(share, e, now_us);
	return ask;
}

uint32_t
quota_share_compose_ask(struct quota_share *share, struct quota_ask *asks,
    uint32_t max_asks, int64_t now_us, uint32_t *sequence)
{
	struct quota_sent_ask *sent;
	uint32_t count = 0;

	if (now_us < quota_share_ask_deadline_us(share))
		return 0;
	while (share->listed_count > 0 && count < max_asks) {
		struct quota_entry *e =
		    &share->entries[share->listed[--share->listed_count]];
		struct quota_ask ask = compose_item(share, e, now_us);

		e->listed = false;
		if (ask.wanted + ask.spare == 0)
			continue;
		e->asked += ask.wanted + ask.spare;
		e->asked_us = now_us;
		e->refused = 0;
		asks[count++] = ask;
	}
	if (count == 0)
		return 0;
	if (++share->last_sequence == 0)
		share->last_sequence = 1;
	*sequence = share->last_sequence;
	sent = &share->asks[*sequence % QUOTA_ASKS];
	sent->sequence = *sequence;
	sent->sent_us = now_us;
	sent->overdue = false;
	share->last_ask_us = now_us;
	return count;
}

/// Compares the accountant's clock with the own one. Both may run at slightly
/// different rates, so that what was seen long ago loses its weight.
static void
compare_clocks(struct quota_share *share, int64_t clock_us,
    int64_t round_trip_us, int64_t now_us)
{
	int64_t offset_us = now_us - clock_us;
	int64_t drift_us = (now_us - share->clock_us) / CLOCK_DRIFT_DIVISOR;

	share->clock_us = now_us;
	if (!share->has_clock || offset_us < share->clock_offset_us + drift_us)
		share->clock_offset_us = offset_us;
	else
		share->clock_offset_us += drift_us;
	if (!share->has_clock ||
	    round_trip_us < share->round_trip_min_us + drift_us)
		share->round_trip_min_us = round_trip_us;
	else
		share->round_trip_min_us += drift_us;
	share->has_clock = true;
}

void
quota_share_forget_clock(struct quota_share *share)
{
	share->has_clock = false;
}

int64_t
quota_share_receive_answer(struct quota_share *share, uint32_t sequence,
    int64_t clock_us, int64_t now_us)
{
	struct quota_sent_ask *sent = &share->asks[sequence % QUOTA_ASKS];
	int64_t sample_us = now_us - sent->sent_us;
	int64_t granted_us;

	if (sequence == 0 || sent->sequence != sequence)
		return -1;
	sent->sequence = 0;
	share->unanswered = 0;
	share->answered_us = now_us;
	share->round_trip_us += share->round_trip_us == 0
	    ? sample_us
	    : (sample_us - share->round_trip_us) / 8;
	compare_clocks(share, clock_us, sample_us, now_us);
	granted_us =
	    clock_us + share->clock_offset_us - share->round_trip_min_us;
	return granted_us > sent->sent_us ? granted_us : sent->sent_us;
}

/// Returns a free place for a batch, or else the batch that ends last.
static struct quota_batch *
choose_place(struct quota_entry *e)
{
	struct quota_batch *last = &e->batches[0];
	uint32_t i;

	for (i = 0; i < QUOTA_BATCHES; i++) {
		if (e->batches[i].tokens == 0)
			return &e->batches[i];
		if (e->batches[i].expires_us > last->expires_us)
			last = &e->batches[i];
	}
	return last;
}

static void
add_batch(struct quota_entry *e, uint32_t tokens, int64_t expires_us)
{
	struct quota_batch *into = choose_place(e);

	// Batches that share a place end together, with the first of them.
	if (into->tokens == 0 || into->expires_us > expires_us)
		into->expires_us = expires_us;
	into->tokens += tokens;
}

static int64_t
at_most(int64_t time_us, int64_t max_us)
{
	return time_us < max_us ? time_us : max_us;
}

void
quota_share_add_grant(struct quota_share *share, uint64_t workspace,
    const struct quota_grant *grant, int64_t granted_us, int64_t now_us)
{
	struct quota_entry *e = find_entry(share, workspace);
	int64_t expires_us;

	if (e == NULL)
		return;
	e->asked -= grant->asked < e->asked ? grant->asked : e->asked;
	e->life_us = grant->life_us;
	expires_us = granted_us + at_most(grant->life_us, GRANT_MAX_US);
	if (grant->tokens > 0 && expires_us > now_us)
		add_batch(e, grant->tokens, expires_us);
	e->full_until_us = grant->wait_us > 0
	    ? now_us + at_most(grant->wait_us, GRANT_MAX_US)
	    : 0;
	if (e->waiting > grant->tokens && grant->wait_us == 0)
		list_entry(share, e);
}

void
quota_share_give_up_asks(struct quota_share *share)
{
	uint32_t i;

	share->unanswered++;
	for (i = 0; i < share->entry_count; i++) {
		struct quota_entry *e = &share->entries[i];

		if (e->asked == 0)
			continue;
		e->asked = 0;
		if (e->waiting > 0)
			list_entry(share, e);
	}
}

/// Time after which an answer is overdue.
static int64_t
answer_timeout_us(const struct quota_share *share)
{
	int64_t timeout_us = ANSWER_TIMEOUT_US + 2 * share->round_trip_us;

	return timeout_us < ANSWER_TIMEOUT_MAX_US ? timeout_us
						  : ANSWER_TIMEOUT_MAX_US;
}

bool
quota_share_is_silent(const struct quota_share *share, int64_t now_us)
{
	return now_us - share->answered_us >
	    SILENCE_US + answer_timeout_us(share);
}

bool
quota_share_expire_asks(struct quota_share *share, int64_t now_us)
{
	int64_t timeout_us = answer_timeout_us(share);
	bool any = false;
	uint32_t i;

	for (i = 0; i < QUOTA_ASKS; i++) {
		struct quota_sent_ask *ask = &share->asks[i];

		if (ask->sequence == 0 || ask->overdue ||
		    now_us - ask->sent_us < timeout_us)
			continue;
		// Its answer is taken if it still comes.
		ask->overdue = true;
		any = true;
	}
	if (!any)
		return false;
	share->unanswered++;
	for (i = 0; i < share->entry_count; i++) {
		struct quota_entry *e = &share->entries[i];

		if (e->asked == 0 || now_us - e->asked_us < timeout_us)
			continue;
		e->asked = 0;
		if (e->waiting > 0)
			list_entry(share, e);
	}
	return true;
}
