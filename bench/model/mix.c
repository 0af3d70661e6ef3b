// Reading of mixes.
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "model/mix.h"

#define MS_US 1000
#define S_US  1000000LL

struct reader {
	const char *path;
	struct mix *mix;
	struct error *err;
};

static int
refuse(const struct reader *r, const char *what, const char *name)
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
read_service(struct reader *r, json_t *from)
{
	struct mix_service *s = &r->mix->services[r->mix->service_count];
	const char *name = "";
	json_error_t why;

	if (r->mix->service_count == MIX_MAX_SERVICES)
		return refuse(r, "too many services", "");
	if (json_unpack_ex(from, &why, JSON_STRICT, "{s:s, s:i, s:i, s:i, s:i}",
		"name", &name, "servers", &s->servers, "slots", &s->slots,
		"slowest_pct", &s->slowest_pct, "fastest_pct",
		&s->fastest_pct) != 0)
		return refuse(r, why.text, name);
	if (s->servers == 0 || s->slots == 0 || s->slowest_pct == 0 ||
	    s->fastest_pct < s->slowest_pct)
		return refuse(r, "servers, slots or speeds of", name);
	snprintf(s->name, sizeof(s->name), "%s", name);
	r->mix->service_count++;
	return 0;
}

static int
read_kind(struct reader *r, json_t *from)
{
	struct mix_kind *k = &r->mix->kinds[r->mix->kind_count];
	const char *name = "";
	const char *service = "";
	const char *calls = NULL;
	int work_ms;
	int target_ms;
	int deadline_ms;
	int safe;
	int at;
	json_error_t why;

	if (r->mix->kind_count == MIX_MAX_KINDS)
		return refuse(r, "too many kinds", "");
	if (json_unpack_ex(from, &why, JSON_STRICT,
		"{s:s, s:s, s:F, s:i, s:i, s:i, s:F, s:F, s:i, s:i, s:b, "
		"s?s, s?i, s?i}",
		"name", &name, "service", &service, "per_s", &k->per_s,
		"work_ms", &work_ms, "target_ms", &target_ms, "deadline_ms",
		&deadline_ms, "worth", &k->worth, "worth_late", &k->worth_late,
		"rank", &k->rank, "repeats", &k->repeats, "safe", &safe,
		"calls", &calls, "calls_pct", &k->calls_pct, "calls_count",
		&k->calls_count) != 0)
		return refuse(r, why.text, name);
	at = find_service(r->mix, service);
	if (at < 0)
		return refuse(r, "no such service", service);
	if (k->rank >= MIX_MAX_RANKS)
		return refuse(r, "rank of", name);
	k->service = (uint32_t)at;
	k->calls = calls == NULL ? -1 : find_kind(r->mix, calls);
	if (calls != NULL && k->calls < 0)
		return refuse(r, "no kind above has the name", calls);
	k->work_us = work_ms * (int64_t)MS_US;
	k->target_us = target_ms * (int64_t)MS_US;
	k->deadline_us = deadline_ms * (int64_t)MS_US;
	k->safe = safe != 0;
	snprintf(k->name, sizeof(k->name), "%s", name);
	r->mix->kind_count++;
	return 0;
}

static int
read_event(struct reader *r, json_t *from)
{
	static const char *const types[] = {
	    "burst", "slow", "failing", "restart"};
	struct mix_event *e = &r->mix->events[r->mix->event_count];
	const char *type = "";
	const char *of = "";
	double at_s;
	double for_s;
	uint32_t i;
	int at;
	json_error_t why;

	if (r->mix->event_count == MIX_MAX_EVENTS)
		return refuse(r, "too many events", "");
	if (json_unpack_ex(from, &why, JSON_STRICT,
		"{s:s, s:s, s:F, s:F, s?i, s?F}", "type", &type, "of", &of,
		"at_s", &at_s, "for_s", &for_s, "servers", &e->servers,
		"factor", &e->factor) != 0)
		return refuse(r, why.text, type);
	for (i = 0; i < 4 && strcmp(types[i], type) != 0; i++)
		;
	if (i == 4)
		return refuse(r, "no such type of event", type);
	e->type = (enum mix_event_type)i;
	at = e->type == MIX_BURST ? find_kind(r->mix, of)
				  : find_service(r->mix, of);
	if (at < 0)
		return refuse(r, "nothing has the name", of);
	e->index = (uint32_t)at;
	e->at_us = (int64_t)(at_s * S_US);
	e->for_us = (int64_t)(for_s * S_US);
	r->mix->event_count++;
	return 0;
}

static int
read_all(struct reader *r, json_t *list,
    int (*read_one)(struct reader *r, json_t *from))
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
	int dc_us;
	int region_us;
	int caller_us;
	int cold_ms;
	int run_s;
	json_error_t why;

	if (json_unpack_ex(root, &why, JSON_STRICT,
		"{s:s, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:o, s:o, s:o}",
		"name", &name, "dcs", &mix->dcs, "dcs_in_region",
		&mix->dcs_in_region, "dc_us", &dc_us, "region_us", &region_us,
		"caller_us", &caller_us, "cold_ms", &cold_ms, "run_s", &run_s,
		"services", &services, "kinds", &kinds, "events", &events) != 0)
		return refuse(r, why.text, name);
	if (mix->dcs == 0 || mix->dcs_in_region == 0)
		return refuse(r, "data centres of", name);
	snprintf(mix->name, sizeof(mix->name), "%s", name);
	mix->dc_us = dc_us;
	mix->region_us = region_us;
	mix->caller_us = caller_us;
	mix->cold_us = cold_ms * (int64_t)MS_US;
	mix->run_us = run_s * S_US;
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
	json_error_t why;
	json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &why);
	int rc;

	memset(mix, 0, sizeof(*mix));
	if (root == NULL)
		return error_set(err, ERR_INVALID, "read mix", path,
		    "line %d: %s", why.line, why.text);
	rc = read_mix(&r, root);
	json_decref(root);
	return rc;
}
