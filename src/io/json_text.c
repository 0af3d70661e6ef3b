// JSON strings of texts with bytes of any kind.
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <unistr.h>

#include "io/json_text.h"
#include "io/log/log.h"

/// Replaces each byte that is not part of UTF-8 text.
static void
replace_invalid(char *text, size_t text_bytes)
{
	const uint8_t *end = (const uint8_t *)text + text_bytes;
	uint8_t *at = (uint8_t *)text;

	while ((at = (uint8_t *)(uintptr_t)u8_check(at, (size_t)(end - at))) !=
	    NULL)
		*at++ = '?';
}

json_t *
json_text_n(const char *text, size_t text_bytes)
{
	json_t *value = json_stringn(text, text_bytes);
	char *copy;

	if (value != NULL)
		return value;
	copy = malloc(text_bytes + 1);
	assert(copy != NULL);
	memcpy(copy, text, text_bytes);
	replace_invalid(copy, text_bytes);
	value = json_stringn(copy, text_bytes);
	free(copy);
	assert(value != NULL);
	return value;
}

json_t *
json_text(const char *text)
{
	return json_text_n(text, strlen(text));
}

char *
json_render(json_t *root, size_t flags)
{
	char *text = root == NULL ? NULL : json_dumps(root, flags);

	if (text == NULL) {
		log_write(LOG_ERROR, "json",
		    "An answer could not be rendered; it is sent empty.");
		text = strdup("{}");
		assert(text != NULL);
	}
	json_decref(root);
	return text;
}
