// Retry policy and retry budget.
#include <string.h>

#include "core/requests/retry.h"

#define RETRY_COST_MILLI   1000
#define RETRY_EARN_MILLI   200
#define RETRY_MAX_MILLI	   20000
#define RETRY_MAX_ATTEMPTS 3

/// Longest debt: after it the calls of repeated runs are not counted, so that
/// retries resume within a moderate time.
#define RETRY_MAX_DEBT_MILLI 20000
#define PERCENT		     100

void
retry_budget_init(struct retry_budget *budget)
{
	budget->tokens_milli = RETRY_MAX_MILLI;
	budget->earn_milli = RETRY_EARN_MILLI;
	budget->max_milli = RETRY_MAX_MILLI;
}

static void
clamp_tokens(struct retry_budget *budget)
{
	if (budget->tokens_milli > budget->max_milli)
		budget->tokens_milli = budget->max_milli;
}

void
retry_budget_configure(struct retry_budget *budget, uint32_t ratio_pct,
    uint32_t burst, uint32_t proxies)
{
	budget->earn_milli = (int64_t)ratio_pct * RETRY_COST_MILLI / PERCENT;
	budget->max_milli =
	    (int64_t)burst * RETRY_COST_MILLI / (proxies > 0 ? proxies : 1);
	// A limit below the cost of one retry would allow none.
	if (budget->max_milli < RETRY_COST_MILLI)
		budget->max_milli = RETRY_COST_MILLI;
	clamp_tokens(budget);
}

void
retry_budget_earn(struct retry_budget *budget)
{
	budget->tokens_milli += budget->earn_milli;
	clamp_tokens(budget);
}

void
retry_budget_charge(struct retry_budget *budget)
{
	budget->tokens_milli -= RETRY_COST_MILLI;
	if (budget->tokens_milli < -RETRY_MAX_DEBT_MILLI)
		budget->tokens_milli = -RETRY_MAX_DEBT_MILLI;
}

/// Tells whether the outcome of the last attempt allows a retry.
static bool
is_safe_to_retry(const struct retry_request *request)
{
	switch (request->outcome) {
	case OUTCOME_NOT_RUN:
	case OUTCOME_REFUSED:
		return true;
	case OUTCOME_ANSWERED:
		return request->failed && request->repeatable;
	case OUTCOME_UNKNOWN:
		return request->repeatable;
	}
	return false;
}

bool
retry_decide(struct retry_budget *budget, const struct retry_request *request,
    int64_t now_us)
{
	if (!request->body_kept || !is_safe_to_retry(request))
		return false;
	if (request->attempts >= RETRY_MAX_ATTEMPTS ||
	    request->deadline_us <= now_us)
		return false;
	if (request->max_arrivals > 0 &&
	    request->arrivals >= request->max_arrivals)
		return false;
	if (request->undelivered)
		return true;
	if (budget->tokens_milli < RETRY_COST_MILLI)
		return false;
	budget->tokens_milli -= RETRY_COST_MILLI;
	return true;
}

bool
retry_method_is_safe(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
	    strcmp(method, "OPTIONS") == 0;
}
