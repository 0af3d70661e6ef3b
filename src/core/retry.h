/// @file
/// Retry policy: one layer, within a budget, only where it is safe.
#ifndef MV_CORE_RETRY_H
#define MV_CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "core/outcome.h"

/// Share of recent requests that may be retried.
struct retry_budget {
	int64_t tokens_milli;
};

/// What the decision depends on.
struct retry_request {
	enum outcome outcome;
	bool repeatable; ///< Safe method, or guarded by an idempotency key.
	bool body_kept;	 ///< The whole request can still be sent again.
	uint32_t attempts;
	int64_t deadline_us;
};

void retry_budget_init(struct retry_budget *budget);

/// Counts a first attempt, which earns a part of a retry.
void retry_budget_earn(struct retry_budget *budget);

/// Decides whether to try again, and spends from the budget if so.
bool retry_decide(struct retry_budget *budget,
    const struct retry_request *request, int64_t now_us);

/// Tells whether a method is safe to repeat.
bool retry_method_is_safe(const char *method);

#endif
