// Orders of roll-outs by operators, and the answers to them.
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rollout/rollout_store.h"
#include "io/json_text.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "source/source.h"

COUNTER_DEFINE(count_orders, "rollout_orders", "Orders of roll-outs");
COUNTER_DEFINE(
    count_refused, "rollout_orders_refused", "Orders of roll-outs refused");

char *
rollout_order_render_error(const struct error *err)
{
	counter_add(&count_refused, 1);
	return json_render(json_pack("{s:s, s:s, s:s}", "result", "invalid",
			       "field", err->step, "why", err->text),
	    JSON_COMPACT);
}

static int
read_order(json_t *root, struct rollout_order *out, struct error *err)
{
	const char *service =
	    json_string_value(json_object_get(root, "service"));
	const char *version =
	    json_string_value(json_object_get(root, "version"));
	const json_t *within = json_object_get(root, "within_ms");

	if (!json_is_object(root))
		return error_set(
		    err, ERR_SYNTAX, "body", "", "not a JSON object");
	if (service == NULL ||
	    !rollout_word_is_valid(service, sizeof(out->service)))
		return error_set(err, ERR_INVALID, "service", "",
		    "must be a name of up to %zu characters",
		    sizeof(out->service) - 1);
	if (version == NULL ||
	    !rollout_word_is_valid(version, sizeof(out->version)))
		return error_set(err, ERR_INVALID, "version", "",
		    "must be a version of 1 to %zu characters without blanks",
		    sizeof(out->version) - 1);
	if (!json_is_integer(within) ||
	    json_integer_value(within) < ROLLOUT_MIN_WITHIN_MS ||
	    json_integer_value(within) > ROLLOUT_MAX_WITHIN_MS)
		return error_set(err, ERR_INVALID, "within_ms", "",
		    "must be a time from 1 s to 24 h");
	memset(out, 0, sizeof(*out));
	strcpy(out->service, service);
	strcpy(out->version, version);
	out->within_ms = json_integer_value(within);
	return 0;
}

int
rollout_order_parse(const char *body, size_t body_bytes,
    struct rollout_order *out, struct error *err)
{
	json_t *root =
	    json_loadb(body == NULL ? "" : body, body_bytes, 0, NULL);
	int rc = read_order(root, out, err);

	counter_add(&count_orders, 1);
	json_decref(root);
	return rc;
}

int
rollout_order_check_service(const struct source *source,
    const struct rollout_order *order, struct error *err)
{
	const struct rule_file *file = source->store.current;
	struct rules_errors *errors;
	struct rules *rules;
	int at = -1;

	if (file != NULL) {
		errors = calloc(1, sizeof(*errors));
		if (errors == NULL)
			abort();
		rules = rules_parse(file->text, file->text_bytes, errors);
		free(errors);
		if (rules != NULL)
			at = rules_find_service(rules, order->service);
		rules_unref(rules);
	}
	if (at < 0)
		return error_set(err, ERR_INVALID, "service", "",
		    "no service %s is in the accepted rules", order->service);
	return 0;
}

static json_t *
render(const struct source *source, const struct rollout *r)
{
	const struct rollout_progress *p =
	    rollout_store_progress(&source->rollouts, r);

	return json_pack("{s:s, s:s, s:s, s:i, s:I, s:I, s:I, s:o}", "service",
	    r->service, "version", r->version, "state",
	    rollout_state_name(r->state), "share_permille",
	    (int)r->share_permille, "within_ms", (json_int_t)p->within_ms,
	    "used_ms", (json_int_t)p->used_ms, "revision",
	    (json_int_t)r->revision, "why", json_text(p->why));
}

char *
rollout_order_render_show(
    const struct source *source, const char *service, uint32_t *status)
{
	const struct rollout_table *table = &source->rollouts.table;
	const struct rollout *last;
	json_t *list;
	uint32_t i;

	*status = 200;
	if (service[0] != '\0') {
		last = rollout_table_find_last(table, service);
		if (last != NULL)
			return json_render(render(source, last), JSON_COMPACT);
		*status = 404;
		return strdup(
		    "{\"result\":\"not found\",\"why\":\"no roll-out of this "
		    "service was ordered\"}");
	}
	list = json_array();
	for (i = 0; i < table->count; i++)
		json_array_append_new(list, render(source, &table->items[i]));
	return json_render(json_pack("{s:o}", "rollouts", list), JSON_COMPACT);
}

char *
rollout_order_render_verdict(const struct source *source,
    const struct rollout_order *order, int verdict, uint32_t *status)
{
	const struct rollout *last =
	    rollout_table_find_last(&source->rollouts.table, order->service);
	const char *result = "accepted";
	json_t *root;

	*status = 409;
	switch (verdict) {
	case ROLLOUT_ACCEPTED:
		*status = 200;
		break;
	case ROLLOUT_DUPLICATE:
		result = "already accepted";
		*status = 200;
		break;
	case ROLLOUT_IN_PROGRESS:
		result = "in progress";
		break;
	case ROLLOUT_REJECTED:
		result = "rolled back before; give the mended software a new "
			 "version";
		break;
	default:
		result = "too many roll-outs run";
		break;
	}
	if (*status != 200)
		counter_add(&count_refused, 1);
	log_write(LOG_INFO, "rollout",
	    "Order to move %s to %s within %" PRId64 " ms: %s.", order->service,
	    order->version, order->within_ms, result);
	root = json_pack("{s:s}", "result", result);
	if (last != NULL)
		json_object_set_new(root, "rollout", render(source, last));
	return json_render(root, JSON_COMPACT);
}
