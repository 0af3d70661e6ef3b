// Answers to operators from texts with bytes of any kind.
#include <stdlib.h>
#include <string.h>

#include "io/json_text.h"
#include "unit/support.h"

static void
check_text(const char *text, const char *expected)
{
	json_t *value = json_text(text);

	assert_non_null(value);
	assert_string_equal(json_string_value(value), expected);
	json_decref(value);
}

/// Only the bytes that are not text are replaced.
static void
test_invalid_bytes_are_replaced(void **state)
{
	(void)state;
	check_text("plain", "plain");
	check_text("caf\xc3\xa9", "caf\xc3\xa9");
	check_text("Z\xff", "Z?");
	check_text("\xc3", "?");
	check_text("a\xc3\xc3\xa9\x80z", "a?\xc3\xa9?z");
	check_text("\xed\xa0\x80", "???");
}

/// A value that could not be built still gives an answer.
static void
test_missing_value_renders_empty(void **state)
{
	char *text = json_render(json_pack("{s:s}", "owner", "\xff"), 0);

	(void)state;
	assert_string_equal(text, "{}");
	free(text);
	text = json_render(
	    json_pack("{s:o}", "owner", json_text("\xff")), JSON_COMPACT);
	assert_string_equal(text, "{\"owner\":\"?\"}");
	free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_invalid_bytes_are_replaced),
	    cmocka_unit_test(test_missing_value_renders_empty),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
