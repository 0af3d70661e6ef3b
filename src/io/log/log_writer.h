/// @file
/// The thread that writes log lines out, so that no other waits for it.
#ifndef MV_IO_LOG_LOG_WRITER_H
#define MV_IO_LOG_LOG_WRITER_H

#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

/// Starts the thread.
///
/// @param fd  where to write; stays open
/// @return 0, or -1 with err set
int log_writer_start(int fd, struct error *err);

/// Hands lines over. Any thread; never waits for the descriptor.
///
/// @return how many lines were left out before these, since the reader was
///         behind; told once there is room again
uint64_t log_writer_put(const char *lines, size_t size_bytes, uint32_t count);

/// Waits until all lines are out, for a bounded time.
void log_writer_stop(void);

#endif
