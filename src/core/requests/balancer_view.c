// Endpoints of a balancer, updated from views of the mesh.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/balancer.h"

/// A proxy that restarts is back within this time.
#define KEEP_TERMS_US 60000000LL

void
balancer_init(struct balancer *b, const char *service, uint64_t seed,
    int64_t slow_start_us)
{
	memset(b, 0, sizeof(*b));
	strncpy(b->service, service, sizeof(b->service) - 1);
	b->random.seed = seed;
	b->slow_start_us = slow_start_us;
	retry_budget_init(&b->retries);
}

void
balancer_free(struct balancer *b)
{
	uint32_t i;

	for (i = 0; i < b->count; i++)
		free(b->endpoints[i]);
	rollout_own_free(&b->rollout_own);
	free(b->endpoints);
	b->endpoints = NULL;
	b->count = 0;
}

struct endpoint *
balancer_find(const struct balancer *b, const char *name)
{
	uint32_t i;

	for (i = 0; i < b->count; i++)
		if (strcmp(b->endpoints[i]->name, name) == 0)
			return b->endpoints[i];
	return NULL;
}

void
balancer_begin_view(struct balancer *b)
{
	uint32_t i;

	for (i = 0; i < b->count; i++)
		b->endpoints[i]->present = false;
}

static struct endpoint *
endpoint_create(struct balancer *b, const char *name)
{
	struct endpoint *e = calloc(1, sizeof(*e));

	assert(e != NULL);
	memcpy(e->name, name, strnlen(name, sizeof(e->name) - 1));
	if (b->count == b->capacity) {
		b->capacity = b->capacity ? b->capacity * 2 : 8;
		b->endpoints =
		    realloc(b->endpoints, b->capacity * sizeof(*b->endpoints));
		assert(b->endpoints != NULL);
	}
	b->endpoints[b->count++] = e;
	return e;
}

/// Resets what was observed of an earlier process or a cold backend server.
static void
endpoint_reset(struct balancer *b, struct endpoint *e, int64_t now_us)
{
	e->failures_in_row = 0;
	e->ejections = 0;
	e->ejected_until_deadline_us = 0;
	e->failures = e->responses = 0;
	memset(&e->speed, 0, sizeof(e->speed));
	e->limit_milli = 0;
	e->reported_load = 0;
	e->work_left_us = 0;
	e->outstanding_at_report = 0;
	e->slow_start_deadline_us =
	    b->slow_start_active ? now_us + b->slow_start_us : 0;
}

void
balancer_add(struct balancer *b, const struct member *member,
    enum distance distance, int64_t now_us)
{
	struct endpoint *e = balancer_find(b, member->name);

	if (e == NULL)
		e = endpoint_create(b, member->name);
	if (e->incarnation != member->incarnation ||
	    (e->state != BACKEND_READY && member->backend == BACKEND_READY))
		endpoint_reset(b, e, now_us);
	memcpy(e->host, member->host, sizeof(e->host));
	e->peer_port = member->peer_port;
	e->incarnation = member->incarnation;
	e->distance = distance;
	e->state = member->backend;
	e->side = rollout_filter_side(&b->rollout, member->server_version);
	e->slots = member->slots > 0 ? member->slots : 1;
	e->local = b->local_name != NULL && strcmp(b->local_name, e->name) == 0;
	e->suspect = member->status == MEMBER_SUSPECT;
	e->present = true;
}

void
balancer_keep_terms(
    struct endpoint *e, const struct server_terms *terms, int64_t now_us)
{
	e->terms = *terms;
	e->terms_deadline_us = terms->limit_milli > 0 || terms->leaving
	    ? now_us + KEEP_TERMS_US
	    : 0;
}

void
balancer_end_view(struct balancer *b, int64_t now_us)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		struct endpoint *e = b->endpoints[i];

		if (e->present || e->outstanding > 0 || e->answers > 0 ||
		    e->terms_deadline_us > now_us)
			b->endpoints[kept++] = e;
		else
			free(e);
	}
	b->count = kept;
	if (kept > 0)
		b->slow_start_active = true;
}
