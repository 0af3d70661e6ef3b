/// @file
/// Shared by all programs: command line, settings, log, termination signals.
#ifndef MV_IO_PROGRAM_H
#define MV_IO_PROGRAM_H

#include <stdbool.h>

#include "io/loop.h"
#include "io/settings.h"

/// Exit codes of all programs.
enum program_exit {
	EXIT_OK = 0,
	EXIT_FAILED = 1, ///< The program started and failed.
	EXIT_USAGE = 2,	 ///< Command line or settings are invalid.
};

/// Settings of the logger, at the start of every settings struct.
struct program_log_settings {
	char path[SETTINGS_TEXT_BYTES];
	char level[SETTINGS_TEXT_BYTES];
	bool json;
	int64_t lines_per_s;
};

/// Settings table entries for a struct with a `log` member. A request logs two
/// lines at its ingress and one at its egress: 500 lines per second cover the
/// 126 requests per second of a VM of the design size.
#define PROGRAM_LOG_FIELDS(struct_)                                            \
	{"log.path", SETTINGS_TEXT, offsetof(struct_, log.path), false, 0, 0,  \
	    "\"\"", "file to append to; empty: standard output"},              \
	    {"log.level", SETTINGS_TEXT, offsetof(struct_, log.level), false,  \
		0, 0, "\"info\"", "debug, info, warn or error"},               \
	    {"log.json", SETTINGS_BOOL, offsetof(struct_, log.json), false, 0, \
		0, "false", "JSON lines instead of text"},                     \
	{                                                                      \
		"log.lines_per_s", SETTINGS_INTEGER,                           \
		    offsetof(struct_, log.lines_per_s), false, 0, 1000000,     \
		    "500", "lines of each thread in a second; 0: no limit"     \
	}

/// An extra command line flag.
struct program_flag {
	const char *name;
	const char *help;
	bool *value;
};

struct program {
	const char *name;
	const char *purpose;
	const struct settings_field *fields;
	size_t field_count;
	void *settings;
	size_t settings_bytes;
	struct program_log_settings *log; ///< Inside settings.
	/// Validates the settings further; NULL for none.
	/// @return 0, or -1 with a line for each problem on standard error
	int (*validate)(void);
	const struct program_flag *flags;
	size_t flag_count;
};

/// Parses the command line, loads the settings and opens the log.
///
/// @return -1 to continue, or the exit code to end with
int program_start(const struct program *program, int argc, char **argv);

/// Blocks SIGTERM, SIGINT and SIGHUP in all threads, and ignores SIGPIPE and
/// SIGXFSZ. Call it before any thread starts.
void program_block_signals(void);

/// Calls fn on SIGTERM or SIGINT, and reloads the settings on SIGHUP.
///
/// @return 0, or -1 with err set
int program_watch_signals(
    struct loop *loop, void (*fn)(void *arg), void *arg, struct error *err);

/// Reloads the settings on SIGHUP and when their file changes.
///
/// @param on_change  receives the new settings, valid during the call; those
///                   that it does not apply take effect at the next start
void program_watch_settings(struct loop *loop,
    void (*on_change)(void *arg, const void *settings), void *arg);

/// Writes the bound addresses to a file for scripts; path "" writes nothing.
///
/// @param text  JSON text
/// @return 0, or -1 with err set
int program_write_bound_addresses(
    const char *path, const char *text, struct error *err);

#endif
