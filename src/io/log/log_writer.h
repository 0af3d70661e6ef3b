/// @file
/// Writer thread of the logger, so that no other thread blocks on log output.
#ifndef MV_IO_LOG_LOG_WRITER_H
#define MV_IO_LOG_LOG_WRITER_H

#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

/// Starts the thread.
///
/// @param fd  descriptor to write to; is not closed
/// @return 0, or -1 with err set
int log_writer_start(int fd, struct error *err);

/// Queues lines, or drops them if the ring buffer is full. Can be called from
/// any thread; never blocks on the descriptor once the writer thread runs.
///
/// @return number of lines dropped earlier, reported once lines fit again
uint64_t log_writer_put(const char *lines, size_t size_bytes, uint32_t count);

/// Waits until all lines are written, for a bounded time.
void log_writer_stop(void);

#endif
