/// @file
/// Outcome of a request: whether a backend server ran it.
#ifndef MV_CORE_REQUESTS_OUTCOME_H
#define MV_CORE_REQUESTS_OUTCOME_H

#include <stdbool.h>

enum outcome {
	OUTCOME_ANSWERED, ///< The backend server answered.
	OUTCOME_NOT_RUN,  ///< Proven: the backend server did not run it.
	OUTCOME_UNKNOWN,  ///< It may have run.
	/// Proven: this attempt did not run. An earlier attempt with the same
	/// idempotency key may have run.
	OUTCOME_REFUSED,
};

/// Tells whether this attempt is proven not to have run.
static inline bool
outcome_is_not_run(enum outcome outcome)
{
	return outcome == OUTCOME_NOT_RUN || outcome == OUTCOME_REFUSED;
}

/// Returns the value of the Magnolia-Outcome header.
static inline const char *
outcome_name(enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_ANSWERED:
		return "answered";
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_UNKNOWN:
		return "unknown";
	case OUTCOME_REFUSED:
		return "refused";
	}
	return "unknown";
}

#endif
