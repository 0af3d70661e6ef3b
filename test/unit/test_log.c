// Logger with several threads and a slow or blocked reader.
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

/// Lines read from the pipe.
struct output {
	uint32_t next[THREADS]; ///< Lowest valid next number.
	uint32_t lines;
	int64_t dropped;
	char partial[2 * LOG_LINE_BYTES];
	size_t partial_bytes;
};

static int saved_stdout_fd;

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
parse_line(struct output *output, const char *text)
{
	json_error_t error;
	json_t *root;
	json_int_t thread;
	json_int_t number;

	// cmocka also writes to standard output.
	if (text[0] != '{')
		return;
	root = json_loads(text, 0, &error);
	assert_non_null(root);
	if (json_object_get(root, "lines") != NULL) {
		output->dropped +=
		    json_integer_value(json_object_get(root, "lines"));
		json_decref(root);
		return;
	}
	thread = json_integer_value(json_object_get(root, "thread"));
	number = json_integer_value(json_object_get(root, "number"));
	assert_string_equal(
	    json_string_value(json_object_get(root, "why")), "a b\\c");
	assert_in_range(thread, 0, THREADS - 1);
	// Lines of a thread stay in order, also when some are dropped.
	assert_true(number >= output->next[thread]);
	output->next[thread] = (uint32_t)number + 1;
	output->lines++;
	json_decref(root);
}

/// Reads all lines that arrive within wait_us.
static void
read_output(struct output *output, int fd, int64_t wait_us)
{
	int64_t deadline_us = clock_now_us() + wait_us;
	struct pollfd readable = {.fd = fd, .events = POLLIN};

	while (clock_now_us() < deadline_us) {
		char *end;
		ssize_t n;

		if (poll(&readable, 1, 50) <= 0)
			continue;
		n = read(fd, output->partial + output->partial_bytes,
		    sizeof(output->partial) - 1 - output->partial_bytes);
		if (n <= 0)
			break;
		output->partial_bytes += (size_t)n;
		output->partial[output->partial_bytes] = '\0';
		while ((end = strchr(output->partial, '\n')) != NULL) {
			*end = '\0';
			parse_line(output, output->partial);
			output->partial_bytes -=
			    (size_t)(end + 1 - output->partial);
			memmove(output->partial, end + 1,
			    output->partial_bytes + 1);
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
	// The logger writes to standard output, which becomes the pipe.
	saved_stdout_fd = dup(STDOUT_FILENO);
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
	dup2(saved_stdout_fd, STDOUT_FILENO);
	close((int)(uintptr_t)*state);
	return 0;
}

/// Writes two more lines, so that dropped lines are reported, and reads all.
static void
collect_drop_reports(struct output *output, int fd, uint32_t thread)
{
	int i;

	for (i = 0; i < 2; i++) {
		output->next[thread] = 0;
		write_lines(thread, 1);
		read_output(output, fd, 300 * US_PER_MS);
	}
}

/// Lines of three concurrent threads are complete and in order, or counted as
/// dropped.
static void
test_threads(void **state)
{
	int fd = (int)(uintptr_t)*state;
	struct output output = {0};
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
	read_output(&output, fd, 1 * US_PER_S);
	for (i = 0; i < THREADS; i++)
		apr_thread_join(&rc, threads[i]);
	read_output(&output, fd, 500 * US_PER_MS);
	// Dropped lines are reported after the next line.
	collect_drop_reports(&output, fd, 0);
	assert_true(output.lines > 0);
	apr_pool_destroy(pool);
	assert_int_equal(
	    output.lines + output.dropped, THREADS * LINES_PER_THREAD + 2);
}

/// Without a reader, logging does not block, and dropped lines are counted.
static void
test_blocked_reader(void **state)
{
	int fd = (int)(uintptr_t)*state;
	struct output output = {0};
	int64_t start_us = clock_now_us();

	write_lines(0, LINES_PER_THREAD);
	write_lines(1, LINES_PER_THREAD);
	// A blocked write would never return.
	assert_true(clock_now_us() - start_us < 5 * US_PER_S);
	read_output(&output, fd, 1 * US_PER_S);
	collect_drop_reports(&output, fd, 2);
	assert_int_equal(
	    output.lines + output.dropped, 2 * LINES_PER_THREAD + 2);
	assert_true(output.dropped > 0);
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
