/// @file
/// When a caller whose request was refused should come back.
///
/// Answers the load of callers that were refused at the same moment: they
/// return spread over the time in which they can still be served in time, not
/// as one wave.
#ifndef MV_CORE_REQUESTS_RETRY_AFTER_H
#define MV_CORE_REQUESTS_RETRY_AFTER_H

#include <stdint.h>

#include "core/random.h"

/// A refused request. Times are from now.
struct retry_after_request {
	int64_t target_left_us;	  ///< Until a response is late.
	int64_t deadline_left_us; ///< Until its deadline.
	int64_t service_us;	  ///< Its expected service time; 0: not known.
};

/// Draws the time after which the caller should come back.
int64_t retry_after_draw_us(
    struct random *random, const struct retry_after_request *request);

#endif
