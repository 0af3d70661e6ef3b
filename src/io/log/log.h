/// @file
/// Logger: a line a decision, with a short sentence and the inputs of the
/// decision as fields.
///
/// Lines are collected by each thread; the event loop hands them to a thread
/// of the logger, which alone writes. A reader that does not read therefore
/// delays nobody: what does not fit is left out and counted. So is what exceeds
/// the number of lines that a thread may write in a second.
#ifndef MV_IO_LOG_LOG_H
#define MV_IO_LOG_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "wire/codec.h"

/// Longest line; what a line has no room for is cut.
#define LOG_LINE_BYTES 1536

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

struct log_settings {
	const char *path;     ///< File to append to, or "" for standard output.
	enum log_level level; ///< Least severe level that is written.
	bool json;	      ///< JSON lines instead of text.
	uint32_t lines_per_s; ///< Of each thread; errors are not counted.
};

/// Sets up logging for the whole process, and starts the writer.
///
/// @return 0, or -1 with err set
int log_open(const struct log_settings *settings, struct error *err);

/// Writes out what is left, for a bounded time.
void log_close(void);

/// Parses "debug", "info", "warn" or "error".
///
/// @return 0, or -1 if the name is none of these
int log_parse_level(const char *name, enum log_level *level);

/// Tells whether lines of a level are written.
bool log_enabled(enum log_level level);

/// A line that is being put together.
struct log_line {
	enum log_level level;
	size_t used_bytes;
	bool open; ///< False if the line is left out; fields do nothing then.
	char text[LOG_LINE_BYTES];
};

/// Begins a line.
///
/// @param part  fixed prefix of the part that speaks, such as "route"
/// @param text  a short sentence
/// @return false if the line is left out
bool log_begin(struct log_line *line, enum log_level level, const char *part,
    const char *text);

/// Adds a field. Control characters in a value become spaces.
void log_text(struct log_line *line, const char *key, const char *value);
void log_bytes(struct log_line *line, const char *key, struct bytes value);
void log_number(struct log_line *line, const char *key, int64_t value);

/// Adds a time as milliseconds; name the key accordingly.
void log_ms(struct log_line *line, const char *key, int64_t value_us);

void log_end(struct log_line *line);

/// Writes a line without fields.
void log_write(enum log_level level, const char *part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/// Writes an error with its step and peer as fields.
void log_error(enum log_level level, const char *part, const char *what,
    const struct error *err);

/// Hands what this thread has collected to the writer.
void log_flush(void);

#endif
