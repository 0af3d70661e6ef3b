// Retry policy.
#include <string.h>

#include "core/retry.h"

#define RETRY_COST_MILLI   1000
#define RETRY_EARN_MILLI   200
#define RETRY_MAX_MILLI	   20000
#define RETRY_MAX_ATTEMPTS 3

void
retry_budget_init(struct retry_budget *budget)
{
	budget->tokens_milli = RETRY_MAX_MILLI;
}

void
retry_budget_earn(struct retry_budget *budget)
{
	budget->tokens_milli += RETRY_EARN_MILLI;
	if (budget->tokens_milli > RETRY_MAX_MILLI)
		budget->tokens_milli = RETRY_MAX_MILLI;
}

bool
retry_decide(struct retry_budget *budget, const struct retry_request *request,
    int64_t now_us)
{
	if (request->outcome == OUTCOME_ANSWERED || !request->body_kept)
		return false;
	if (request->outcome == OUTCOME_UNKNOWN && !request->repeatable)
		return false;
	if (request->attempts >= RETRY_MAX_ATTEMPTS ||
	    request->deadline_us <= now_us)
		return false;
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
