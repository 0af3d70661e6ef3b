// Log lines: format, limits, collection by thread.
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "io/clock.h"
#include "io/log/log.h"
#include "io/log/log_writer.h"

#define BUFFER_BYTES (64 * 1024)

/// A line that is cut still ends in valid JSON.
#define END_BYTES 4

#define SENTENCE_BYTES 512

/// Between two lines that tell of lines left out.
#define TELL_US (1 * US_PER_S)

struct log_state {
	int fd;
	enum log_level level;
	bool json;
	uint32_t lines_per_s;
};

static struct log_state state = {.fd = STDOUT_FILENO, .level = LOG_INFO};

/// What a thread has collected and may still write.
static _Thread_local struct {
	char buffer[BUFFER_BYTES];
	size_t used_bytes;
	uint32_t lines;
	double allowed; ///< Lines that it may write now.
	int64_t allowed_at_us;
	uint64_t left_out;	  ///< Lines over the limit, not yet told.
	int64_t tell_deadline_us; ///< Earliest time to tell of them.
	int64_t stamp_s;
	char stamp_text[32];
} mine;

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

/// Takes a line from what this thread may write; a second's worth can be saved.
static bool
is_allowed(enum log_level level)
{
	int64_t now_us;

	if (state.lines_per_s == 0 || level == LOG_ERROR)
		return true;
	now_us = clock_now_us();
	mine.allowed += (double)(now_us - mine.allowed_at_us) *
	    state.lines_per_s / (double)US_PER_S;
	mine.allowed_at_us = now_us;
	if (mine.allowed > state.lines_per_s)
		mine.allowed = state.lines_per_s;
	if (mine.allowed < 1) {
		mine.left_out++;
		return false;
	}
	mine.allowed -= 1;
	return true;
}

/// Formats the second of a time once and reuses it for the whole second.
static const char *
format_second(int64_t wall_us)
{
	int64_t second = wall_us / US_PER_S;
	time_t t = (time_t)second;
	struct tm tm;

	if (second == mine.stamp_s)
		return mine.stamp_text;
	mine.stamp_s = second;
	gmtime_r(&t, &tm);
	strftime(
	    mine.stamp_text, sizeof(mine.stamp_text), "%Y-%m-%dT%H:%M:%S", &tm);
	return mine.stamp_text;
}

static void put(struct log_line *line, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/// Adds a piece whole, or not at all.
static void
put(struct log_line *line, const char *fmt, ...)
{
	size_t room_bytes = sizeof(line->text) - END_BYTES - line->used_bytes;
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line->text + line->used_bytes, room_bytes, fmt, ap);
	va_end(ap);
	if (n > 0 && (size_t)n < room_bytes)
		line->used_bytes += (size_t)n;
}

/// Escapes for a JSON string. Control characters become spaces, and so does
/// what is not ASCII: a caller's bytes may be no text at all.
static void
put_escaped(struct log_line *line, const char *value, size_t size_bytes)
{
	char out[SENTENCE_BYTES];
	size_t used = 0;
	size_t i;

	for (i = 0; i < size_bytes && used + 3 < sizeof(out); i++) {
		unsigned char c = (unsigned char)value[i];

		if (c == '"' || c == '\\')
			out[used++] = '\\';
		out[used++] = c < 0x20 || c >= 0x7f ? ' ' : (char)c;
	}
	out[used] = '\0';
	put(line, "\"%s\"", out);
}

static void
put_plain(struct log_line *line, const char *value)
{
	char out[SENTENCE_BYTES];
	char *at;

	snprintf(out, sizeof(out), "%s", value);
	for (at = out; *at != '\0'; at++)
		if ((unsigned char)*at < 0x20 || *at == 0x7f)
			*at = ' ';
	put(line, "%s", out);
}

static void
start_line(struct log_line *line, enum log_level level, const char *part,
    const char *text)
{
	int64_t wall_us = clock_wall_us();
	const char *second = format_second(wall_us);
	int micro = (int)(wall_us % US_PER_S);

	line->open = true;
	line->level = level;
	line->used_bytes = 0;
	if (state.json) {
		put(line,
		    "{\"time\":\"%s.%06dZ\",\"level\":\"%s\",\"part\":\"%s\","
		    "\"text\":",
		    second, micro, level_names[level], part);
		put_escaped(line, text, strlen(text));
	} else {
		put(line, "%s.%06dZ %-5s %s: ", second, micro,
		    level_names[level], part);
		put_plain(line, text);
	}
}

static void
tell_left_out(const char *text, uint64_t lines)
{
	struct log_line told;

	mine.left_out = 0;
	mine.tell_deadline_us = clock_now_us() + TELL_US;
	start_line(&told, LOG_WARN, "log", text);
	log_number(&told, "lines", (int64_t)lines);
	log_end(&told);
	// If this line is left out itself, so is what it told.
	mine.lines += (uint32_t)lines - 1;
}

bool
log_begin(struct log_line *line, enum log_level level, const char *part,
    const char *text)
{
	line->open = log_enabled(level) && is_allowed(level);
	if (!line->open)
		return false;
	if (mine.left_out > 0 && clock_now_us() >= mine.tell_deadline_us)
		tell_left_out("Left lines out: over the limit.", mine.left_out);
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
	if (!line->open)
		return;
	put(line, state.json ? ",\"%s\":" : " %s=", key);
	put_escaped(line, value.data, value.size_bytes);
}

void
log_number(struct log_line *line, const char *key, int64_t value)
{
	if (line->open)
		put(line, state.json ? ",\"%s\":%" PRId64 : " %s=%" PRId64, key,
		    value);
}

void
log_ms(struct log_line *line, const char *key, int64_t value_us)
{
	if (line->open)
		put(line, state.json ? ",\"%s\":%.1f" : " %s=%.1f", key,
		    (double)value_us / (double)US_PER_MS);
}

void
log_end(struct log_line *line)
{
	if (!line->open)
		return;
	if (state.json)
		line->text[line->used_bytes++] = '}';
	line->text[line->used_bytes++] = '\n';
	if (mine.used_bytes + line->used_bytes > sizeof(mine.buffer))
		log_flush();
	memcpy(mine.buffer + mine.used_bytes, line->text, line->used_bytes);
	mine.used_bytes += line->used_bytes;
	mine.lines++;
	line->open = false;
	if (line->level == LOG_ERROR)
		log_flush();
}

void
log_write(enum log_level level, const char *part, const char *fmt, ...)
{
	char text[SENTENCE_BYTES];
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
	char text[SENTENCE_BYTES];
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
	uint64_t left_out;

	if (mine.used_bytes == 0)
		return;
	left_out = log_writer_put(mine.buffer, mine.used_bytes, mine.lines);
	mine.used_bytes = 0;
	mine.lines = 0;
	// Goes out with the next lines of this thread.
	if (left_out > 0)
		tell_left_out("Left lines out: the reader was behind.",
		    left_out + mine.left_out);
}

void
log_close(void)
{
	log_flush();
	log_flush();
	log_writer_stop();
}
