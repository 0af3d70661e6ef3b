/// @file
/// Retry policy: only one layer retries, within a budget and where it is safe.
#ifndef MV_CORE_REQUESTS_RETRY_H
#define MV_CORE_REQUESTS_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "core/requests/outcome.h"

/// Token bucket that limits retries to a share of recent requests. Each ingress
/// has its own part of the budget of the whole mesh.
struct retry_budget {
	int64_t tokens_milli; ///< Below zero: a debt.
	int64_t earn_milli;   ///< Added by each first attempt.
	int64_t max_milli;
};

/// Properties of a request that the decision depends on.
struct retry_request {
	enum outcome outcome;
	bool repeatable; ///< Safe method, or guarded by an idempotency key.
	bool body_kept;	 ///< The whole request can be sent again.
	bool failed;	 ///< The backend server returned an error.
	/// No backend server has received it: the next one is the first.
	bool undelivered;
	uint32_t attempts;
	uint32_t arrivals;     ///< Backend servers that may have received it.
	uint32_t max_arrivals; ///< Limit of the route; 0: none.
	int64_t deadline_us;
};

/// Sets the default limits: a fifth of the requests, and a burst of twenty.
void retry_budget_init(struct retry_budget *budget);

/// Sets the limits.
///
/// @param ratio_pct  retries per hundred requests
/// @param burst      burst of retries of all proxies together
/// @param proxies    number of proxies that share the burst
void retry_budget_configure(struct retry_budget *budget, uint32_t ratio_pct,
    uint32_t burst, uint32_t proxies);

/// Adds the tokens that a first attempt earns.
void retry_budget_earn(struct retry_budget *budget);

/// Takes the tokens of a call that a repeated run makes. It is sent in any case,
/// so that tokens may fall below zero.
void retry_budget_charge(struct retry_budget *budget);

/// Decides whether to retry, and takes the tokens of a retry if so. The first
/// delivery to a backend server takes none.
bool retry_decide(struct retry_budget *budget,
    const struct retry_request *request, int64_t now_us);

/// Tells whether a method is safe to repeat.
bool retry_method_is_safe(const char *method);

#endif
