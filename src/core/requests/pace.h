/// @file
/// How long work takes on the VM of a backend server at this moment, as the
/// server states it.
///
/// Answers the load of neighbours on the VM, which slow it for fractions of a
/// second: learnt means follow too slowly. Learnt times are therefore scaled by
/// the pace now over the mean pace at which they were learnt.
#ifndef MV_CORE_REQUESTS_PACE_H
#define MV_CORE_REQUESTS_PACE_H

#include <stdint.h>

/// What a backend server states of its load; see the dialect.
struct server_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	uint32_t pace_pct; ///< 100: work takes as long as usual; 0: not stated.
};

/// Zero it before the first use.
struct pace {
	uint32_t now_pct;	   ///< 0: never stated.
	int64_t valid_deadline_us; ///< After it now_pct is outdated.
	double mean_pct;	   ///< Moving average over statements.
};

/// Records a statement. A pace of 0 is none.
void pace_record(struct pace *pace, uint32_t pct, int64_t now_us);

/// Returns the pace now relative to the mean, in permille; 1000 if it is not
/// known. A high figure means that work takes longer.
int64_t pace_ratio_permille(const struct pace *pace, int64_t now_us);

#endif
