// Start-up, settings reload and termination signals of a program.
#include <argp.h>
#include <errno.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/workspace/key_table.h"
#include "io/clock.h"
#include "io/log/log.h"
#include "io/program.h"

/// Interval between checks of the settings file. Operators wait longer before
/// they check whether a change took effect.
/// Size from which the allocator maps a block on its own.
#define LARGE_BLOCK_BYTES (64 * 1024)

/// Free memory that the allocator keeps at the end of its heap.
#define KEPT_FREE_BYTES (64 * 1024)

#define SETTINGS_POLL_US (2 * US_PER_S)

#define MAX_FLAGS      8
#define KEY_CHECK      1000
#define KEY_DESCRIBE   1001
#define KEY_FIRST_FLAG 1100

const char *argp_program_version = "magnoliavalve " MV_VERSION;

struct command_line {
	const struct program *program;
	const char *settings_path;
	bool check_only;
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct command_line *c = state->input;
	const struct program *p = c->program;

	if (key >= KEY_FIRST_FLAG &&
	    key < KEY_FIRST_FLAG + (int)p->flag_count) {
		*p->flags[key - KEY_FIRST_FLAG].value = true;
		return 0;
	}
	switch (key) {
	case KEY_CHECK:
		c->check_only = true;
		return 0;
	case KEY_DESCRIBE:
		settings_describe(p->fields, p->field_count, stdout);
		exit(EXIT_OK);
	case ARGP_KEY_ARG:
		if (c->settings_path != NULL)
			argp_usage(state);
		c->settings_path = arg;
		return 0;
	case ARGP_KEY_END:
		if (c->settings_path == NULL)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int
open_log(const struct program *program, const char *path)
{
	const struct program_log_settings *log = program->log;
	struct log_settings settings = {.path = log->path,
	    .json = log->json,
	    .lines_per_s = (uint32_t)log->lines_per_s};
	struct error err;

	if (log_parse_level(log->level, &settings.level) != 0) {
		fprintf(stderr,
		    "%s: log.level: must be debug, info, warn or error\n",
		    path);
		return -1;
	}
	if (log_open(&settings, &err) != 0) {
		fprintf(stderr, "%s: log.path: %s\n", path, err.text);
		return -1;
	}
	return 0;
}

/// State for reloading the settings.
static struct {
	const struct program *program;
	const char *path;
	void (*on_change)(void *arg, const void *settings);
	void *arg;
	struct loop *loop;
	struct loop_timer timer;
	struct timespec modified;
	off_t size_bytes;
} reload;

/// Bounds what the allocator keeps. Rule files and their parsed forms are large
/// and short-lived: each gets pages of its own, which go back when it is freed.
/// (By default glibc raises the threshold with each such block.)
static void
limit_allocator(void)
{
	mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
	mallopt(M_TRIM_THRESHOLD, KEPT_FREE_BYTES);
	mallopt(M_ARENA_MAX, 1);
}

/// Without it callers could choose texts that collide with keys.
static void
seed_key_tables(void)
{
	uint64_t seed = 0;

	if (getrandom(&seed, sizeof(seed), 0) == sizeof(seed))
		key_table_set_seed(seed);
}

int
program_start(const struct program *program, int argc, char **argv)
{
	struct argp_option options[MAX_FLAGS + 3] = {
	    {.name = "check-settings",
		.key = KEY_CHECK,
		.doc = "Check the settings and exit"},
	    {.name = "describe-settings",
		.key = KEY_DESCRIBE,
		.doc = "List the settings and exit"},
	};
	struct argp argp = {.options = options,
	    .parser = parse_option,
	    .args_doc = "SETTINGS.json",
	    .doc = program->purpose};
	struct command_line c = {.program = program};
	size_t i;

	limit_allocator();
	seed_key_tables();
	for (i = 0; i < program->flag_count && i < MAX_FLAGS; i++) {
		options[i + 2].name = program->flags[i].name;
		options[i + 2].key = KEY_FIRST_FLAG + (int)i;
		options[i + 2].doc = program->flags[i].help;
	}
	program_block_signals();
	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &c);
	reload.program = program;
	reload.path = c.settings_path;
	if (settings_load(c.settings_path, program->fields,
		program->field_count, program->settings, stderr) > 0)
		return EXIT_USAGE;
	if (open_log(program, c.settings_path) != 0)
		return EXIT_USAGE;
	if (program->validate != NULL && program->validate() != 0)
		return EXIT_USAGE;
	if (c.check_only) {
		printf("%s: settings are valid\n", c.settings_path);
		return EXIT_OK;
	}
	return -1;
}

static void
init_signal_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
}

void
program_block_signals(void)
{
	sigset_t set;

	init_signal_set(&set);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	// Exceeding the file size limit fails the write, as a full disk does.
	signal(SIGXFSZ, SIG_IGN);
}

/// Watch for the signals of the process.
static struct {
	struct loop_watch watch;
	void (*fn)(void *arg);
	void *arg;
} signals;

/// Returns whether the settings file changed since the last check.
static bool
detect_settings_change(void)
{
	struct stat st;

	if (stat(reload.path, &st) != 0 ||
	    (st.st_mtim.tv_sec == reload.modified.tv_sec &&
		st.st_mtim.tv_nsec == reload.modified.tv_nsec &&
		st.st_size == reload.size_bytes))
		return false;
	reload.modified = st.st_mtim;
	reload.size_bytes = st.st_size;
	return true;
}

/// Reloads the settings. An invalid file changes nothing.
static void
reload_settings(void)
{
	const struct program *p = reload.program;
	void *new_settings;

	if (reload.on_change == NULL)
		return;
	detect_settings_change();
	new_settings = calloc(1, p->settings_bytes);
	if (new_settings == NULL)
		return;
	if (settings_load(reload.path, p->fields, p->field_count, new_settings,
		stderr) > 0)
		log_write(LOG_ERROR, "settings",
		    "Kept the current settings: %s is not valid.", reload.path);
	else {
		log_write(LOG_INFO, "settings",
		    "Reloaded the settings from %s.", reload.path);
		reload.on_change(reload.arg, new_settings);
	}
	free(new_settings);
}

static void
on_settings_timer(void *arg)
{
	(void)arg;
	if (detect_settings_change())
		reload_settings();
	loop_timer_set(reload.loop, &reload.timer,
	    loop_now_us(reload.loop) + SETTINGS_POLL_US);
}

void
program_watch_settings(struct loop *loop,
    void (*on_change)(void *arg, const void *settings), void *arg)
{
	reload.on_change = on_change;
	reload.arg = arg;
	reload.loop = loop;
	reload.timer.fn = on_settings_timer;
	detect_settings_change();
	loop_timer_set(loop, &reload.timer, loop_now_us(loop));
}

static void
on_signal(void *arg, uint32_t events)
{
	struct signalfd_siginfo info;

	(void)arg;
	(void)events;
	if (read(signals.watch.fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (info.ssi_signo == SIGHUP)
		reload_settings();
	else
		signals.fn(signals.arg);
}

int
program_watch_signals(
    struct loop *loop, void (*fn)(void *arg), void *arg, struct error *err)
{
	sigset_t set;
	int fd;

	init_signal_set(&set);
	fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (fd < 0)
		return error_set(
		    err, ERR_IO, "watch signals", "", "%s", strerror(errno));
	signals.fn = fn;
	signals.arg = arg;
	signals.watch.fn = on_signal;
	loop_watch_set(loop, &signals.watch, fd, LOOP_READ);
	return 0;
}

int
program_write_bound_addresses(
    const char *path, const char *text, struct error *err)
{
	char temporary_path[SETTINGS_TEXT_BYTES + 8];
	FILE *f;

	if (path[0] == '\0')
		return 0;
	snprintf(temporary_path, sizeof(temporary_path), "%s.new", path);
	f = fopen(temporary_path, "w");
	if (f == NULL || fputs(text, f) == EOF || fclose(f) != 0 ||
	    rename(temporary_path, path) != 0)
		return error_set(err, ERR_IO, "write addresses", path, "%s",
		    strerror(errno));
	return 0;
}
