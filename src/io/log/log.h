/// @file
/// Structured logger: one line per decision, with a short sentence and the
/// inputs of the decision as fields.
///
/// Each thread buffers its lines, and the event loop passes them to a writer
/// thread. A slow reader therefore blocks no other thread: lines that do not
/// fit into the ring buffer are dropped and counted, and so are lines over the
/// rate limit of a thread.
#ifndef MV_IO_LOG_LOG_H
#define MV_IO_LOG_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "wire/codec.h"

/// Maximum length of a line; fields that do not fit are omitted.
#define LOG_LINE_BYTES 1536

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

struct log_settings {
	const char *path;     ///< File to append to, or "" for standard output.
	enum log_level level; ///< Minimum level that is written.
	bool json;	      ///< JSON lines instead of text.
	uint32_t lines_per_s; ///< Limit per thread; 0: none. Errors are exempt.
};

/// Sets up logging for the whole process and starts the writer thread.
///
/// @return 0, or -1 with err set
int log_open(const struct log_settings *settings, struct error *err);

/// Writes the remaining lines, for a bounded time.
void log_close(void);

/// Parses "debug", "info", "warn" or "error".
///
/// @return 0, or -1 if the name is none of these
int log_parse_level(const char *name, enum log_level *level);

/// Returns whether lines of a level are written.
bool log_enabled(enum log_level level);

/// A line under construction.
struct log_line {
	enum log_level level;
	size_t used_bytes;
	bool enabled; ///< False if the line is dropped; fields are ignored.
	char text[LOG_LINE_BYTES];
};

/// Begins a line.
///
/// @param part  fixed prefix that names the component, such as "route"
/// @param text  a short sentence
/// @return false if the line is dropped
bool log_begin(struct log_line *line, enum log_level level, const char *part,
    const char *text);

/// Adds a field. Control characters in a value become spaces.
void log_text(struct log_line *line, const char *key, const char *value);
void log_bytes(struct log_line *line, const char *key, struct bytes value);
void log_number(struct log_line *line, const char *key, int64_t value);

/// Adds a duration in milliseconds; the key should end in "_ms".
void log_ms(struct log_line *line, const char *key, int64_t value_us);

void log_end(struct log_line *line);

/// Writes a line without fields.
void log_write(enum log_level level, const char *part, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/// Writes "what: step: text." of an error, with its peer as a field.
void log_error(enum log_level level, const char *part, const char *what,
    const struct error *err);

/// Passes the buffered lines of this thread to the writer thread.
void log_flush(void);

#endif
