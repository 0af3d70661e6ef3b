/// @file
/// What is known of a request once its handling ended.
#ifndef MV_CORE_OUTCOME_H
#define MV_CORE_OUTCOME_H

enum outcome {
	OUTCOME_ANSWERED, ///< The backend server answered.
	OUTCOME_NOT_RUN,  ///< Proved: the backend server never got it.
	OUTCOME_UNKNOWN,  ///< It may have run.
};

/// Names an outcome as in the Magnolia-Outcome header.
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
	}
	return "unknown";
}

#endif
