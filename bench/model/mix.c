// Parser of traffic mixes.
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "model/mix.h"

#define US_PER_MS 1000
#define US_PER_S  1000000LL

struct reader {
	const char *path;
	struct mix *mix;
	struct error *err;
};

static int
set_error(const struct reader *r, const char *what, const char *name)
{
	return error_set(
	    r->err, ERR_INVALID, "read mix", r->path, "%s '%s'", what, name);
}

static int
find_service(const struct mix *mix, const char *name)
{
	uint32_t i;

	for (i = 0; i < mix->service_count; i++)
		if (strcmp(mix->services[i].name, name) == 0)
			return (int)i;
	return -1;
}

static int
find_kind(const struct mix *mix, const char *name)
{
	uint32_t i;

	for (i = 0; i < mix->kind_count; i++)
		if (strcmp(mix->kinds[i].name, name) == 0)
			return (int)i;
	return -1;
}

static int
read_service(struct reader *r, json_t *object)
{
	struct mix_service *s = &r->mix->services[r->mix->service_count];
	const char *name = "";
	int period_ms = 0;
	json_error_t json_err;

	if (r->mix->service_count == MIX_MAX_SERVICES)
		return set_error(r, "too many services", "");
	if (json_unpack_ex(object, &json_err, JSON_STRICT,
		"{s:s, s:i, s:i, s:i, s:i, s?i, s?i, s?F}", "name", &name,
		"servers", &s->servers, "slots", &s->slots, "slowest_pct",
		&s->slowest_pct, "fastest_pct", &s->fastest_pct, "neighbour_ms",
		&period_ms, "neighbour_pct", &s->neighbour_pct,
		"neighbour_factor", &s->neighbour_factor) != 0)
		return set_error(r, json_err.text, name);
	if (s->servers == 0 || s->slots == 0 || s->slowest_pct == 0 ||
	    s->fastest_pct < s->slowest_pct)
		return set_error(r,
		    "servers, slots or speeds out of range for service", name);
	if (period_ms < 0 || (period_ms > 0 && s->neighbour_factor < 1))
		return set_error(
		    r, "neighbours out of range for service", name);
	s->neighbour_period_us = period_ms * (int64_t)US_PER_MS;
	snprintf(s->name, sizeof(s->name), "%s", name);
	r->mix->service_count++;
	return 0;
}

static int
read_kind(struct reader *r, json_t *object)
{
	struct mix_kind *k = &r->mix->kinds[r->mix->kind_count];
	const char *name = "";
	const char *service = "";
	const char *callee = NULL;
	int work_ms;
	int target_ms;
	int deadline_ms;
	int safe;
	int found;
	json_error_t json_err;

	if (r->mix->kind_count == MIX_MAX_KINDS)
		return set_error(r, "too many kinds", "");
	if (json_unpack_ex(object, &json_err, JSON_STRICT,
		"{s:s, s:s, s:F, s:i, s:i, s:i, s:F, s:F, s:i, s:i, s:b, "
		"s?s, s?i, s?i, s?i, s?F}",
		"name", &name, "service", &service, "per_s", &k->rate_per_s,
		"work_ms", &work_ms, "target_ms", &target_ms, "deadline_ms",
		&deadline_ms, "worth", &k->worth, "worth_late", &k->worth_late,
		"rank", &k->rank, "repeats", &k->caller_retries, "safe", &safe,
		"calls", &callee, "calls_pct", &k->calls_pct, "calls_count",
		&k->calls_count, "heavy_pct", &k->heavy_pct, "heavy_factor",
		&k->heavy_factor) != 0)
		return set_error(r, json_err.text, name);
	found = find_service(r->mix, service);
	if (found < 0)
		return set_error(r, "unknown service", service);
	if (k->rank >= MIX_MAX_RANKS)
		return set_error(r, "rank out of range for kind", name);
	k->service = (uint32_t)found;
	k->callee = callee == NULL ? -1 : find_kind(r->mix, callee);
	if (callee != NULL && k->callee < 0)
		return set_error(
		    r, "'calls' names a kind not defined before:", callee);
	k->work_us = work_ms * (int64_t)US_PER_MS;
	k->target_us = target_ms * (int64_t)US_PER_MS;
	k->deadline_us = deadline_ms * (int64_t)US_PER_MS;
	k->safe = safe != 0;
	snprintf(k->name, sizeof(k->name), "%s", name);
	r->mix->kind_count++;
	return 0;
}

#define TYPE_COUNT 5

static int
read_event(struct reader *r, json_t *object)
{
	static const char *const types[TYPE_COUNT] = {
	    "burst", "slow", "failing", "restart", "limit"};
	struct mix_event *e = &r->mix->events[r->mix->event_count];
	const char *type = "";
	const char *target_name = "";
	double at_s;
	double for_s;
	uint32_t i;
	int found;
	json_error_t json_err;

	if (r->mix->event_count == MIX_MAX_EVENTS)
		return set_error(r, "too many events", "");
	if (json_unpack_ex(object, &json_err, JSON_STRICT,
		"{s:s, s:s, s:F, s:F, s?i, s?F}", "type", &type, "of",
		&target_name, "at_s", &at_s, "for_s", &for_s, "servers",
		&e->servers, "factor", &e->factor) != 0)
		return set_error(r, json_err.text, type);
	for (i = 0; i < TYPE_COUNT && strcmp(types[i], type) != 0; i++)
		;
	if (i == TYPE_COUNT)
		return set_error(r, "unknown event type", type);
	e->type = (enum mix_event_type)i;
	found = e->type == MIX_BURST ? find_kind(r->mix, target_name)
				     : find_service(r->mix, target_name);
	if (found < 0)
		return set_error(
		    r, "event names an unknown kind or service:", target_name);
	e->index = (uint32_t)found;
	e->at_us = (int64_t)(at_s * US_PER_S);
	e->duration_us = (int64_t)(for_s * US_PER_S);
	r->mix->event_count++;
	return 0;
}

static int
read_all(struct reader *r, json_t *list,
    int (*read_one)(struct reader *r, json_t *object))
{
	size_t i;
	json_t *item;

	json_array_foreach(list, i, item) if (read_one(r, item) != 0) return -1;
	return 0;
}

static int
read_mix(struct reader *r, json_t *root)
{
	struct mix *mix = r->mix;
	const char *name = "";
	json_t *services;
	json_t *kinds;
	json_t *events;
	int dc_latency_us;
	int region_latency_us;
	int caller_latency_us;
	int cold_ms;
	int run_s;
	json_error_t json_err;

	if (json_unpack_ex(root, &json_err, JSON_STRICT,
		"{s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:o, s:o, s:o}",
		"name", &name, "dcs", &mix->dcs, "dcs_in_region",
		&mix->dcs_in_region, "dc_us", &dc_latency_us, "region_us",
		&region_latency_us, "caller_us", &caller_latency_us, "cold_ms",
		&cold_ms, "run_s", &run_s, "services", &services, "kinds",
		&kinds, "events", &events) != 0)
		return set_error(r, json_err.text, name);
	if (mix->dcs == 0 || mix->dcs_in_region == 0)
		return set_error(r, "dcs or dcs_in_region is 0 in mix", name);
	snprintf(mix->name, sizeof(mix->name), "%s", name);
	mix->dc_latency_us = dc_latency_us;
	mix->region_latency_us = region_latency_us;
	mix->caller_latency_us = caller_latency_us;
	mix->slow_start_us = cold_ms * (int64_t)US_PER_MS;
	mix->run_us = run_s * US_PER_S;
	if (read_all(r, services, read_service) != 0 ||
	    read_all(r, kinds, read_kind) != 0 ||
	    read_all(r, events, read_event) != 0)
		return -1;
	return 0;
}

int
mix_load(const char *path, struct mix *mix, struct error *err)
{
	struct reader r = {path, mix, err};
	json_error_t json_err;
	json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &json_err);
	int rc;

	memset(mix, 0, sizeof(*mix));
	if (root == NULL)
		return error_set(err, ERR_INVALID, "read mix", path,
		    "line %d: %s", json_err.line, json_err.text);
	rc = read_mix(&r, root);
	json_decref(root);
	return rc;
}
