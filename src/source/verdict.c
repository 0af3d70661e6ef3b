// Renders the replies to submitted files.
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "io/json_text.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "source/source.h"

COUNTER_DEFINE(count_refused, "source_submits_refused", "Files refused");

char *
verdict_render_errors(const struct rules_errors *errors)
{
	json_t *root = json_pack("{s:s, s:i, s:[]}", "result", "invalid",
	    "count", (int)errors->count, "errors");
	uint32_t shown =
	    errors->count < RULES_MAX_ERRORS ? errors->count : RULES_MAX_ERRORS;
	uint32_t i;

	counter_add(&count_refused, 1);
	for (i = 0; i < shown; i++)
		json_array_append_new(json_object_get(root, "errors"),
		    json_pack("{s:i, s:i, s:o}", "line",
			(int)errors->items[i].line, "column",
			(int)errors->items[i].column, "text",
			json_text(errors->items[i].text)));
	return json_render(root, JSON_COMPACT);
}

static const char *
verdict_name(int verdict)
{
	switch (verdict) {
	case RULE_STORE_ACCEPTED:
		return "accepted";
	case RULE_STORE_DUPLICATE:
		return "already accepted";
	case RULE_STORE_CONFLICT:
		return "conflict";
	case RULE_STORE_OLD:
	case RULE_STORE_SUPERSEDED:
		return "old version";
	case RULE_STORE_GAP:
		return "version gap";
	default:
		return "unknown";
	}
}

char *
verdict_render(const struct source *source, const struct rule_file *file,
    int verdict, uint32_t *status)
{
	const struct rule_file *current = source->store.current;
	char hash[20];
	json_t *root;

	*status = source->dialect->verdict_status(verdict);
	if (*status != 200)
		counter_add(&count_refused, 1);
	snprintf(hash, sizeof(hash), "%016" PRIx64,
	    current == NULL ? 0 : current->hash);
	root = json_pack("{s:s, s:I, s:{s:I, s:s, s:o}}", "result",
	    verdict_name(verdict), "version", (json_int_t)file->version,
	    "accepted", "version",
	    current == NULL ? (json_int_t)0 : (json_int_t)current->version,
	    "hash", hash, "owner",
	    json_text(current == NULL ? "" : current->owner));
	log_write(LOG_INFO, "source", "Version %" PRIu64 " by %s: %s.",
	    file->version, file->owner, verdict_name(verdict));
	return json_render(root, JSON_COMPACT);
}
