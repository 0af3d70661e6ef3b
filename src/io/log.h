/// @file
/// Logger: short sentences, each with the prefix of its part.
///
/// Lines are buffered for each thread; the event loop flushes them before it
/// waits, so that a line costs a request no system call.
#ifndef MV_IO_LOG_H
#define MV_IO_LOG_H

#include <stdbool.h>

#include "core/error.h"

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

/// Sets up logging for the whole process.
///
/// @param path   file to append to, or "" for standard error
/// @param level  least severe level that is written
/// @param json   JSON lines instead of text
/// @return 0, or -1 with err set
int log_open(
    const char *path, enum log_level level, bool json, struct error *err);

/// Parses "debug", "info", "warn" or "error".
///
/// @return 0, or -1 if the name is none of these
int log_parse_level(const char *name, enum log_level *level);

/// Tells whether lines of a level are written.
bool log_enabled(enum log_level level);

/// Writes one line.
///
/// @param part  fixed prefix of the part that speaks, such as "route"
void log_write(enum log_level level, const char *part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/// Writes an error with its step and peer.
void log_error(enum log_level level, const char *part, const char *what,
    const struct error *err);

/// Writes out what this thread has buffered.
void log_flush(void);

#endif
