/// @file
/// Retry policy: one layer, within a budget, only where it is safe.
#ifndef MV_CORE_REQUESTS_RETRY_H
#define MV_CORE_REQUESTS_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "core/requests/outcome.h"

/// Share of recent requests that may reach a second backend server. Each
/// ingress spends its own part of what the whole mesh may.
struct retry_budget {
	int64_t tokens_milli;
	int64_t earn_milli; ///< For each first attempt.
	int64_t max_milli;
};

/// What the decision depends on.
struct retry_request {
	enum outcome outcome;
	bool repeatable; ///< Safe method, or guarded by an idempotency key.
	bool body_kept;	 ///< The whole request can still be sent again.
	bool failed;	 ///< The backend server answered with a failure.
	/// No backend server got it so far: the next is the first one.
	bool unseen;
	uint32_t attempts;
	uint32_t arrivals;     ///< Backend servers that may have got it.
	uint32_t max_arrivals; ///< 0: no bound of the route.
	int64_t deadline_us;
};

/// Starts with a fifth of the requests and twenty at once.
void retry_budget_init(struct retry_budget *budget);

/// Sets the bounds.
///
/// @param ratio_pct  retries for each hundred requests
/// @param burst      retries at once, of all proxies together
/// @param proxies    number of proxies that share the burst
void retry_budget_configure(struct retry_budget *budget, uint32_t ratio_pct,
    uint32_t burst, uint32_t proxies);

/// Counts a first attempt, which earns a part of a retry.
void retry_budget_earn(struct retry_budget *budget);

/// Decides whether to try again, and spends from the budget if so.
bool retry_decide(struct retry_budget *budget,
    const struct retry_request *request, int64_t now_us);

/// Tells whether a method is safe to repeat.
bool retry_method_is_safe(const char *method);

#endif
