/// @file
/// Monotonic and wall clocks, in microseconds.
#ifndef MV_IO_CLOCK_H
#define MV_IO_CLOCK_H

#include <stdint.h>

#define US_PER_MS ((int64_t)1000)
#define US_PER_S  ((int64_t)1000000)

/// Deadline that never passes.
#define DEADLINE_NEVER_US INT64_MAX

/// Monotonic time of this VM. Not comparable between VMs.
int64_t clock_now_us(void);

/// Wall-clock time since the Unix epoch.
int64_t clock_wall_us(void);

#endif
