// Buckets of tokens of the limited workspaces.
#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/workspace/quota_ledger.h"

#define MICRO 1e-6

/// Time over which use, refusals and unmet demand are averaged.
#define AVERAGE_US 1000000.0

/// Part of the bucket that is kept for requests that wait: only what is above it
/// is granted for requests that are merely expected.
#define KEPT_FOR_WAITING 0.5

/// Longest time for which a proxy is told not to ask. The bucket must not run
/// over meanwhile.
#define WAIT_MAX_US 500000

/// Most unmet demand that one ask may state.
#define UNMET_MAX 10000

/// Life of tokens of a workspace without a limit.
#define UNLIMITED_LIFE_US 1000000

uint64_t
quota_workspace_hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

void
quota_ledger_init(
    struct quota_ledger *ledger, const struct quota_bounds *bounds)
{
	memset(ledger, 0, sizeof(*ledger));
	ledger->bounds = *bounds;
}

void
quota_ledger_free(struct quota_ledger *ledger)
{
	free(ledger->accounts);
	ledger->accounts = NULL;
	ledger->account_count = 0;
	ledger->version = 0;
}

static struct quota_account *
find_account(const struct quota_ledger *ledger, uint64_t workspace)
{
	uint32_t low = 0;
	uint32_t high = ledger->account_count;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		struct quota_account *a = &ledger->accounts[middle];

		if (a->workspace == workspace)
			return a;
		if (a->workspace < workspace)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

/// Fills the bucket and ages the averages up to now.
static void
update(struct quota_account *a, int64_t now_us)
{
	int64_t elapsed_us = now_us - a->updated_us;
	double kept;

	if (elapsed_us <= 0)
		return;
	a->updated_us = now_us;
	a->level += a->plan.rate_per_s * MICRO * (double)elapsed_us;
	if (a->level > a->plan.depth)
		a->level = a->plan.depth;
	kept = exp(-(double)elapsed_us / AVERAGE_US);
	a->unmet *= kept;
	a->used_per_s *= kept;
	a->refused_per_s *= kept;
}

struct quota_use
quota_account_use(const struct quota_account *account, int64_t now_us)
{
	struct quota_account a = *account;

	update(&a, now_us);
	return (struct quota_use){a.used_per_s, a.refused_per_s, a.level};
}

void
quota_ledger_begin(struct quota_ledger *ledger, bool reserve, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < ledger->account_count; i++) {
		struct quota_account *a = &ledger->accounts[i];

		update(a, now_us);
		a->level = reserve ? a->plan.reserve : 0;
		a->unmet = 0;
		a->updated_us = now_us;
	}
}

static int
compare_accounts(const void *a, const void *b)
{
	const struct quota_account *x = a;
	const struct quota_account *y = b;

	return x->workspace < y->workspace ? -1 : x->workspace > y->workspace;
}

void
quota_ledger_set_limits(
    struct quota_ledger *ledger, const struct rules *rules, int64_t now_us)
{
	struct quota_account *accounts =
	    calloc(rules->workspace_count + 1, sizeof(*accounts));
	uint32_t count = 0;
	uint32_t i;

	assert(accounts != NULL);
	for (i = 0; i < rules->workspace_count; i++) {
		const struct rule_workspace *w = &rules->workspaces[i];
		struct quota_account *a = &accounts[count];
		struct quota_account *old;

		if (w->rate_milli == 0)
			continue;
		a->workspace = quota_workspace_hash(w->name);
		old = find_account(ledger, a->workspace);
		if (old != NULL) {
			update(old, now_us);
			*a = *old;
		}
		snprintf(a->name, sizeof(a->name), "%s", w->name);
		a->rate_milli = w->rate_milli;
		a->burst_milli = w->burst_milli;
		a->plan = quota_plan_make(
		    &ledger->bounds, w->rate_milli, w->burst_milli);
		a->updated_us = now_us;
		if (a->level > a->plan.depth)
			a->level = a->plan.depth;
		count++;
	}
	qsort(accounts, count, sizeof(*accounts), compare_accounts);
	free(ledger->accounts);
	ledger->accounts = accounts;
	ledger->account_count = count;
	ledger->version = rules->version;
}

static uint32_t
whole_tokens(double level, uint32_t most)
{
	if (level < 1)
		return 0;
	return level >= most ? most : (uint32_t)level;
}

struct quota_grant
quota_ledger_grant(
    struct quota_ledger *ledger, const struct quota_ask *ask, int64_t now_us)
{
	struct quota_account *a = find_account(ledger, ask->workspace);
	struct quota_grant grant = {.asked = ask->wanted + ask->spare,
	    .tokens = ask->wanted,
	    .life_us = UNLIMITED_LIFE_US};
	uint32_t missing;
	double wait_us;

	if (a == NULL)
		return grant;
	update(a, now_us);
	grant.life_us = a->plan.life_us;
	grant.tokens = whole_tokens(a->level, ask->wanted);
	a->level -= grant.tokens;
	if (grant.tokens < ask->wanted) {
		missing = ask->wanted - grant.tokens;
		a->unmet += missing < UNMET_MAX ? missing : UNMET_MAX;
		// Those who asked before come first.
		wait_us = a->unmet / a->plan.rate_per_s / MICRO;
		grant.wait_us =
		    wait_us < WAIT_MAX_US ? (int64_t)wait_us : WAIT_MAX_US;
	} else {
		uint32_t spare = whole_tokens(
		    a->level - a->plan.depth * KEPT_FOR_WAITING, ask->spare);

		a->level -= spare;
		grant.tokens += spare;
	}
	a->used_per_s += grant.tokens;
	a->granted_count += grant.tokens;
	a->refused_per_s += ask->refused;
	a->refused_count += ask->refused;
	return grant;
}
