// Formats log lines, limits their rate and buffers them per thread.
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/log/log_writer.h"

#define BUFFER_BYTES (64 * 1024)

/// Reserved for the closing brace and newline: a full line must end in valid
/// JSON.
#define LINE_END_BYTES 4

#define MESSAGE_BYTES 512

COUNTER_DEFINE(count_dropped, "log_lines_limited",
    "Log lines dropped over the rate limit");

/// Interval between two reports of dropped lines.
#define DROP_REPORT_INTERVAL_US (1 * US_PER_S)

struct log_state {
	int fd;
	enum log_level level;
	bool json;
	uint32_t lines_per_s;
};

static struct log_state state = {.fd = STDOUT_FILENO, .level = LOG_INFO};

/// Buffered lines and rate limit (a token bucket) of a thread.
static _Thread_local struct {
	char buffer[BUFFER_BYTES];
	size_t used_bytes;
	uint32_t lines;
	double tokens; ///< Lines that it may write now.
	int64_t tokens_updated_us;
	uint64_t dropped; ///< Lines over the limit, not yet reported.
	int64_t next_drop_report_us; ///< Earliest next report.
	int64_t cached_second;
	char cached_second_text[32];
} thread_log;

static const char *const level_names[] = {"debug", "info", "warn", "error"};

int
log_open(const struct log_settings *settings, struct error *err)
{
	state.level = settings->level;
	state.json = settings->json;
	state.lines_per_s = settings->lines_per_s;
	if (settings->path[0] != '\0')
		state.fd = open(settings->path,
		    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
	if (state.fd < 0)
		return error_set(err, ERR_IO, "open log", settings->path, "%s",
		    strerror(errno));
	return log_writer_start(state.fd, err);
}

int
log_parse_level(const char *name, enum log_level *level)
{
	int i;

	for (i = LOG_DEBUG; i <= LOG_ERROR; i++) {
		if (strcmp(name, level_names[i]) != 0)
			continue;
		*level = (enum log_level)i;
		return 0;
	}
	return -1;
}

bool
log_enabled(enum log_level level)
{
	return level >= state.level;
}

/// Takes a token for a line; the bucket holds the tokens of one second.
static bool
take_token(enum log_level level)
{
	int64_t now_us;

	if (state.lines_per_s == 0 || level == LOG_ERROR)
		return true;
	now_us = clock_now_us();
	thread_log.tokens += (double)(now_us - thread_log.tokens_updated_us) *
	    state.lines_per_s / (double)US_PER_S;
	thread_log.tokens_updated_us = now_us;
	if (thread_log.tokens > state.lines_per_s)
		thread_log.tokens = state.lines_per_s;
	if (thread_log.tokens < 1) {
		thread_log.dropped++;
		counter_add(&count_dropped, 1);
		return false;
	}
	thread_log.tokens -= 1;
	return true;
}

/// Formats a time up to its seconds; the text is cached for that second.
static const char *
format_second(int64_t wall_us)
{
	int64_t second = wall_us / US_PER_S;
	time_t t = (time_t)second;
	struct tm tm;

	if (second == thread_log.cached_second)
		return thread_log.cached_second_text;
	thread_log.cached_second = second;
	gmtime_r(&t, &tm);
	strftime(thread_log.cached_second_text,
	    sizeof(thread_log.cached_second_text), "%Y-%m-%dT%H:%M:%S", &tm);
	return thread_log.cached_second_text;
}

static void append(struct log_line *line, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/// Appends formatted text if it fits as a whole.
static void
append(struct log_line *line, const char *fmt, ...)
{
	size_t available_bytes =
	    sizeof(line->text) - LINE_END_BYTES - line->used_bytes;
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line->text + line->used_bytes, available_bytes, fmt, ap);
	va_end(ap);
	if (n > 0 && (size_t)n < available_bytes)
		line->used_bytes += (size_t)n;
}

/// Appends a JSON string. Control characters and non-ASCII bytes become spaces:
/// values from callers may not be valid text.
static void
append_quoted(struct log_line *line, const char *value, size_t size_bytes)
{
	char out[MESSAGE_BYTES];
	size_t used = 0;
	size_t i;

	for (i = 0; i < size_bytes && used + 3 < sizeof(out); i++) {
		unsigned char c = (unsigned char)value[i];

		if (c == '"' || c == '\\')
			out[used++] = '\\';
		out[used++] = c < 0x20 || c >= 0x7f ? ' ' : (char)c;
	}
	out[used] = '\0';
	append(line, "\"%s\"", out);
}

static void
append_plain(struct log_line *line, const char *value)
{
	char out[MESSAGE_BYTES];
	char *at;

	snprintf(out, sizeof(out), "%s", value);
	for (at = out; *at != '\0'; at++)
		if ((unsigned char)*at < 0x20 || *at == 0x7f)
			*at = ' ';
	append(line, "%s", out);
}

static void
start_line(struct log_line *line, enum log_level level, const char *part,
    const char *text)
{
	int64_t wall_us = clock_wall_us();
	const char *second = format_second(wall_us);
	int micro = (int)(wall_us % US_PER_S);

	line->enabled = true;
	line->level = level;
	line->used_bytes = 0;
	if (state.json) {
		append(line,
		    "{\"time\":\"%s.%06dZ\",\"level\":\"%s\",\"part\":\"%s\","
		    "\"text\":",
		    second, micro, level_names[level], part);
		append_quoted(line, text, strlen(text));
	} else {
		append(line, "%s.%06dZ %-5s %s: ", second, micro,
		    level_names[level], part);
		append_plain(line, text);
	}
}

static void
report_dropped(const char *text, uint64_t lines)
{
	struct log_line report;

	thread_log.dropped = 0;
	thread_log.next_drop_report_us =
	    clock_now_us() + DROP_REPORT_INTERVAL_US;
	start_line(&report, LOG_WARN, "log", text);
	log_number(&report, "lines", (int64_t)lines);
	log_end(&report);
	// If this report is dropped with its batch, the next one counts these
	// lines again.
	thread_log.lines += (uint32_t)lines - 1;
}

bool
log_begin(struct log_line *line, enum log_level level, const char *part,
    const char *text)
{
	line->enabled = log_enabled(level) && take_token(level);
	if (!line->enabled)
		return false;
	if (thread_log.dropped > 0 &&
	    clock_now_us() >= thread_log.next_drop_report_us)
		report_dropped("Dropped log lines over the rate limit.",
		    thread_log.dropped);
	start_line(line, level, part, text);
	return true;
}

void
log_text(struct log_line *line, const char *key, const char *value)
{
	struct bytes bytes = {value, (uint32_t)strlen(value)};

	log_bytes(line, key, bytes);
}

void
log_bytes(struct log_line *line, const char *key, struct bytes value)
{
	if (!line->enabled)
		return;
	append(line, state.json ? ",\"%s\":" : " %s=", key);
	append_quoted(line, value.data, value.size_bytes);
}

void
log_number(struct log_line *line, const char *key, int64_t value)
{
	if (line->enabled)
		append(line, state.json ? ",\"%s\":%" PRId64 : " %s=%" PRId64,
		    key, value);
}

void
log_ms(struct log_line *line, const char *key, int64_t value_us)
{
	if (line->enabled)
		append(line, state.json ? ",\"%s\":%.1f" : " %s=%.1f", key,
		    (double)value_us / (double)US_PER_MS);
}

void
log_end(struct log_line *line)
{
	if (!line->enabled)
		return;
	if (state.json)
		line->text[line->used_bytes++] = '}';
	line->text[line->used_bytes++] = '\n';
	if (thread_log.used_bytes + line->used_bytes >
	    sizeof(thread_log.buffer))
		log_flush();
	memcpy(thread_log.buffer + thread_log.used_bytes, line->text,
	    line->used_bytes);
	thread_log.used_bytes += line->used_bytes;
	thread_log.lines++;
	line->enabled = false;
	if (line->level == LOG_ERROR)
		log_flush();
}

void
log_write(enum log_level level, const char *part, const char *fmt, ...)
{
	char text[MESSAGE_BYTES];
	struct log_line line;
	va_list ap;

	if (!log_enabled(level))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	log_begin(&line, level, part, text);
	log_end(&line);
}

void
log_error(enum log_level level, const char *part, const char *what,
    const struct error *err)
{
	char text[MESSAGE_BYTES];
	struct log_line line;

	if (!log_enabled(level))
		return;
	snprintf(text, sizeof(text), "%s: %s: %s.", what, err->step, err->text);
	log_begin(&line, level, part, text);
	if (err->peer[0] != '\0')
		log_text(&line, "peer", err->peer);
	log_end(&line);
}

void
log_flush(void)
{
	uint64_t dropped;

	if (thread_log.used_bytes == 0)
		return;
	dropped = log_writer_put(
	    thread_log.buffer, thread_log.used_bytes, thread_log.lines);
	thread_log.used_bytes = 0;
	thread_log.lines = 0;
	// The report goes out with this thread's next batch.
	if (dropped > 0)
		report_dropped("Dropped log lines: the reader was too slow.",
		    dropped + thread_log.dropped);
}

void
log_close(void)
{
	log_flush();
	// The first flush may add a report of dropped lines.
	log_flush();
	log_writer_stop();
}
