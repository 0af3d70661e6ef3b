// Log lines of several threads through a reader that is slow, or does not read.
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "io/clock.h"
#include "io/log/log.h"
#include "unit/support.h"

#define THREADS		 3
#define LINES_PER_THREAD 20000
#define FLUSH_EVERY	 7

/// What has come out of the pipe.
struct seen {
	uint32_t next[THREADS]; ///< Lowest number that may follow.
	uint32_t lines;
	int64_t left_out;
	char rest[2 * LOG_LINE_BYTES];
	size_t rest_bytes;
};

static int out_fd;

static void
write_lines(uint32_t thread, uint32_t count)
{
	struct log_line line;
	uint32_t i;

	for (i = 0; i < count; i++) {
		log_begin(&line, LOG_INFO, "test", "A \"line\".");
		log_number(&line, "thread", thread);
		log_number(&line, "number", i);
		log_text(&line, "why", "a\nb\\c");
		log_end(&line);
		if (i % FLUSH_EVERY == 0)
			log_flush();
	}
	log_flush();
}

static void *APR_THREAD_FUNC
run_thread(apr_thread_t *thread, void *arg)
{
	(void)thread;
	write_lines((uint32_t)(uintptr_t)arg, LINES_PER_THREAD);
	return NULL;
}

static void
take_line(struct seen *seen, const char *text)
{
	json_error_t error;
	json_t *root;
	json_int_t thread;
	json_int_t number;

	// The test library writes to standard output as well.
	if (text[0] != '{')
		return;
	root = json_loads(text, 0, &error);
	assert_non_null(root);
	if (json_object_get(root, "lines") != NULL) {
		seen->left_out +=
		    json_integer_value(json_object_get(root, "lines"));
		json_decref(root);
		return;
	}
	thread = json_integer_value(json_object_get(root, "thread"));
	number = json_integer_value(json_object_get(root, "number"));
	assert_string_equal(
	    json_string_value(json_object_get(root, "why")), "a b\\c");
	assert_in_range(thread, 0, THREADS - 1);
	// Lines of a thread keep their order, whatever is left out between.
	assert_true(number >= seen->next[thread]);
	seen->next[thread] = (uint32_t)number + 1;
	seen->lines++;
	json_decref(root);
}

/// Reads what is there, and what comes within a time.
static void
take_all(struct seen *seen, int fd, int64_t wait_us)
{
	int64_t deadline_us = clock_now_us() + wait_us;
	struct pollfd readable = {.fd = fd, .events = POLLIN};

	while (clock_now_us() < deadline_us) {
		char *end;
		ssize_t n;

		if (poll(&readable, 1, 50) <= 0)
			continue;
		n = read(fd, seen->rest + seen->rest_bytes,
		    sizeof(seen->rest) - 1 - seen->rest_bytes);
		if (n <= 0)
			break;
		seen->rest_bytes += (size_t)n;
		seen->rest[seen->rest_bytes] = '\0';
		while ((end = strchr(seen->rest, '\n')) != NULL) {
			*end = '\0';
			take_line(seen, seen->rest);
			seen->rest_bytes -= (size_t)(end + 1 - seen->rest);
			memmove(seen->rest, end + 1, seen->rest_bytes + 1);
		}
	}
}

static int
open_log(void **state)
{
	struct log_settings settings = {
	    .path = "", .level = LOG_INFO, .json = true};
	struct error err;
	int fds[2];

	assert_int_equal(pipe(fds), 0);
	// The logger writes to standard output: put the pipe there.
	out_fd = dup(STDOUT_FILENO);
	fflush(stdout);
	dup2(fds[1], STDOUT_FILENO);
	close(fds[1]);
	assert_int_equal(log_open(&settings, &err), 0);
	*state = (void *)(uintptr_t)fds[0];
	return 0;
}

static int
close_log(void **state)
{
	fflush(stdout);
	dup2(out_fd, STDOUT_FILENO);
	close((int)(uintptr_t)*state);
	return 0;
}

/// Writes two lines more, so that what was left out is told, and reads it all.
static void
tell_rest(struct seen *seen, int fd, uint32_t thread)
{
	int i;

	for (i = 0; i < 2; i++) {
		seen->next[thread] = 0;
		write_lines(thread, 1);
		take_all(seen, fd, 300 * US_PER_MS);
	}
}

/// Three threads at once: each line whole, in order, or counted as left out.
static void
test_threads(void **state)
{
	int fd = (int)(uintptr_t)*state;
	struct seen seen = {0};
	apr_thread_t *threads[THREADS];
	apr_pool_t *pool;
	apr_status_t rc;
	uint32_t i;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	for (i = 0; i < THREADS; i++)
		assert_int_equal(apr_thread_create(&threads[i], NULL,
				     run_thread, (void *)(uintptr_t)i, pool),
		    0);
	take_all(&seen, fd, 1 * US_PER_S);
	for (i = 0; i < THREADS; i++)
		apr_thread_join(&rc, threads[i]);
	take_all(&seen, fd, 500 * US_PER_MS);
	// What was left out is told after the next line.
	tell_rest(&seen, fd, 0);
	assert_true(seen.lines > 0);
	apr_pool_destroy(pool);
	assert_int_equal(
	    seen.lines + seen.left_out, THREADS * LINES_PER_THREAD + 2);
}

/// Nobody reads: writing goes on at its pace, and the lines are counted.
static void
test_blocked_reader(void **state)
{
	int fd = (int)(uintptr_t)*state;
	struct seen seen = {0};
	int64_t start_us = clock_now_us();

	write_lines(0, LINES_PER_THREAD);
	write_lines(1, LINES_PER_THREAD);
	// A blocked write would wait for ever.
	assert_true(clock_now_us() - start_us < 5 * US_PER_S);
	take_all(&seen, fd, 1 * US_PER_S);
	tell_rest(&seen, fd, 2);
	assert_int_equal(seen.lines + seen.left_out, 2 * LINES_PER_THREAD + 2);
	assert_true(seen.left_out > 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_threads),
	    cmocka_unit_test(test_blocked_reader),
	};

	return cmocka_run_group_tests_name("log", tests, open_log, close_log);
}
