// Control requests of the fake backend server: run counts, behaviour, drain.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_backend.h"
#include "io/clock.h"

struct behaviour_key {
	const char *name;
	size_t offset;
};

#define KEY(name_)                                             \
	{                                                      \
#name_, offsetof(struct fake_behaviour, name_) \
	}
static const struct behaviour_key behaviour_keys[] = {KEY(service_us),
    KEY(slots), KEY(shed), KEY(stall), KEY(fail), KEY(die_after_run),
    KEY(response_bytes), KEY(cut_at_bytes), KEY(pause_at_bytes), KEY(limit),
    KEY(leaving)};

static void
respond_runs(struct fake_backend *b, struct http_exchange *exchange)
{
	size_t capacity = 64 + b->key_count * (size_t)80;
	char *text = malloc(capacity);
	size_t used;
	uint32_t i;

	assert(text != NULL);
	used = (size_t)snprintf(text, capacity, "runs %" PRIu64 "\n", b->runs);
	for (i = 0; i < b->key_count; i++)
		used += (size_t)snprintf(text + used, capacity - used,
		    "key %s %u\n", b->keys[i].key, b->keys[i].runs);
	http_exchange_respond_text(exchange, 200, text);
	free(text);
}

static bool
set_behaviour(struct fake_backend *b, const char *query)
{
	size_t i;

	for (i = 0; i < sizeof(behaviour_keys) / sizeof(behaviour_keys[0]);
	     i++) {
		size_t n = strlen(behaviour_keys[i].name);

		if (strncmp(query, behaviour_keys[i].name, n) != 0 ||
		    query[n] != '=')
			continue;
		*(int64_t *)((char *)&b->settings.behaviour +
		    behaviour_keys[i].offset) =
		    strtoll(query + n + 1, NULL, 10);
		return true;
	}
	return false;
}

static void on_drain_done(struct httpc_call *call, const struct error *err);

static const struct httpc_ops drain_ops = {
    .on_head = fake_ignore_head,
    .on_body = fake_ignore_body,
    .on_done = on_drain_done,
};

static void
on_drain_done(struct httpc_call *call, const struct error *err)
{
	(void)err;
	free(call);
}

static void
start_drain(struct fake_backend *b)
{
	struct httpc_call *call = calloc(1, sizeof(*call));
	struct error err;

	assert(call != NULL);
	b->draining = true;
	snprintf(b->drain_url, sizeof(b->drain_url), "http://%s/drain",
	    b->settings.proxy_admin);
	call->ops = &drain_ops;
	call->method = "PUT";
	call->url = b->drain_url;
	call->deadline_us = clock_now_us() + 2 * US_PER_S;
	httpc_call_start(b->httpc, call, &err);
}

void
fake_control_handle(struct fake_backend *b, struct http_exchange *exchange)
{
	const char *what = exchange->target + strlen("/_fake/");

	if (strcmp(what, "runs") == 0) {
		respond_runs(b, exchange);
		return;
	}
	if (strcmp(what, "drain") == 0)
		start_drain(b);
	else if (strncmp(what, "set?", 4) != 0 || !set_behaviour(b, what + 4)) {
		http_exchange_respond_text(exchange, 404, "not found\n");
		return;
	}
	http_exchange_respond_text(exchange, 200, "ok\n");
}
