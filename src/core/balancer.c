// Two random choices by load, nearest first, with slow start and ejection.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/balancer.h"

#define EJECT_AFTER_FAILURES 5
#define EJECT_FIRST_US	     2000000LL
#define EJECT_MAX_SHIFT	     4
#define FULL_PCT	     100
#define COLD_CAPACITY_PCT    10
#define SUSPECT_PENALTY_PCT  100

/// Added to the score of an endpoint by its distance.
static const uint32_t distance_penalty_pct[DISTANCE_COUNT] = {0, 30, 120};

void
balancer_init(
    struct balancer *b, const char *service, uint64_t seed, int64_t warm_us)
{
	memset(b, 0, sizeof(*b));
	strncpy(b->service, service, sizeof(b->service) - 1);
	b->random.seed = seed;
	b->warm_us = warm_us;
	retry_budget_init(&b->retries);
}

void
balancer_free(struct balancer *b)
{
	uint32_t i;

	for (i = 0; i < b->count; i++)
		free(b->endpoints[i]);
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

/// Forgets what was seen of an earlier process or of a cold backend server.
static void
endpoint_restart(struct balancer *b, struct endpoint *e, int64_t now_us)
{
	e->failures_in_row = 0;
	e->ejections = 0;
	e->ejected_until_deadline_us = 0;
	e->reported = 0;
	e->outstanding_at_report = 0;
	e->warm_deadline_us = b->warmed ? now_us + b->warm_us : 0;
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
		endpoint_restart(b, e, now_us);
	memcpy(e->host, member->host, sizeof(e->host));
	e->peer_port = member->peer_port;
	e->incarnation = member->incarnation;
	e->distance = distance;
	e->state = member->backend;
	e->slots = member->slots > 0 ? member->slots : 1;
	e->suspect = member->status == MEMBER_SUSPECT;
	e->present = true;
}

void
balancer_end_view(struct balancer *b)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		struct endpoint *e = b->endpoints[i];

		if (e->present || e->outstanding > 0)
			b->endpoints[kept++] = e;
		else
			free(e);
	}
	b->count = kept;
	if (kept > 0)
		b->warmed = true;
}

/// Slots that an endpoint can be given, fewer during a slow start.
static uint32_t
capacity_pct(const struct balancer *b, const struct endpoint *e, int64_t now_us)
{
	int64_t left_us = e->warm_deadline_us - now_us;

	if (e->state == BACKEND_COLD)
		return COLD_CAPACITY_PCT;
	if (left_us <= 0 || b->warm_us <= 0)
		return FULL_PCT;
	return COLD_CAPACITY_PCT +
	    (uint32_t)((FULL_PCT - COLD_CAPACITY_PCT) * (b->warm_us - left_us) /
		b->warm_us);
}

/// Load estimate: what was told, corrected by what was sent and answered
/// since; as a percentage of the slots that can be given, with penalties.
static uint32_t
score_pct(const struct balancer *b, const struct endpoint *e, int64_t now_us)
{
	int64_t load =
	    (int64_t)e->reported + e->outstanding - e->outstanding_at_report;
	uint32_t score;

	if (load < (int64_t)e->outstanding)
		load = e->outstanding;
	score = (uint32_t)(load * FULL_PCT * FULL_PCT /
	    ((int64_t)e->slots * capacity_pct(b, e, now_us)));
	score += distance_penalty_pct[e->distance];
	if (e->suspect)
		score += SUSPECT_PENALTY_PCT;
	return score;
}

static bool
was_tried(const struct endpoint *e, const char (*tried)[MEMBER_NAME_BYTES],
    uint32_t tried_count)
{
	uint32_t i;

	for (i = 0; i < tried_count; i++)
		if (strcmp(tried[i], e->name) == 0)
			return true;
	return false;
}

static bool
is_usable(const struct endpoint *e, bool also_ejected, int64_t now_us)
{
	if (!e->present ||
	    (e->state != BACKEND_READY && e->state != BACKEND_COLD))
		return false;
	return also_ejected || e->ejected_until_deadline_us <= now_us;
}

/// Time until which an endpoint has no room for the rank of a worth; 0 if it
/// may have.
static int64_t
busy_until_us(const struct endpoint *e, uint32_t worth, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < BALANCER_BUSY_MARKS; i++)
		if (e->busy[i].worth == worth &&
		    e->busy[i].until_deadline_us > now_us)
			return e->busy[i].until_deadline_us;
	return 0;
}

/// What a search looks for.
struct query {
	uint32_t worth;
	const char (*tried)[MEMBER_NAME_BYTES];
	uint32_t tried_count;
	bool also_ejected;
	int64_t now_us;
};

/// Picks two random endpoints at each distance and keeps the best of all.
static struct balancer_choice
search(struct balancer *b, const struct query *q)
{
	struct endpoint *sample[DISTANCE_COUNT][2] = {{NULL}};
	uint32_t seen[DISTANCE_COUNT] = {0};
	struct balancer_choice choice = {
	    .score_pct = UINT32_MAX, .busy_until_deadline_us = INT64_MAX};
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		struct endpoint *e = b->endpoints[i];
		int64_t busy_us;
		uint32_t at;

		if (!is_usable(e, q->also_ejected, q->now_us) ||
		    was_tried(e, q->tried, q->tried_count))
			continue;
		busy_us = busy_until_us(e, q->worth, q->now_us);
		if (busy_us > 0) {
			if (busy_us < choice.busy_until_deadline_us)
				choice.busy_until_deadline_us = busy_us;
			continue;
		}
		choice.candidates++;
		at = seen[e->distance]++;
		if (at >= 2)
			at = random_below(&b->random, seen[e->distance]);
		if (at < 2)
			sample[e->distance][at] = e;
	}
	for (i = 0; i < 2 * DISTANCE_COUNT; i++) {
		struct endpoint *e = sample[i / 2][i % 2];
		uint32_t score;

		if (e == NULL)
			continue;
		score = score_pct(b, e, q->now_us);
		if (score < choice.score_pct) {
			choice.endpoint = e;
			choice.score_pct = score;
		}
	}
	return choice;
}

struct balancer_choice
balancer_choose(struct balancer *b, uint32_t worth,
    const char (*tried)[MEMBER_NAME_BYTES], uint32_t tried_count,
    int64_t now_us)
{
	struct query q = {worth, tried, tried_count, false, now_us};
	struct balancer_choice choice = search(b, &q);

	// An ejected endpoint is better than none; a busy one is not.
	if (choice.endpoint == NULL &&
	    choice.busy_until_deadline_us == INT64_MAX) {
		q.also_ejected = true;
		choice = search(b, &q);
	}
	if (choice.endpoint != NULL)
		choice.endpoint->outstanding++;
	return choice;
}

/// Ejects at most half of a service: if more fail, the fault is elsewhere.
static bool
may_eject(const struct balancer *b, int64_t now_us)
{
	uint32_t present = 0;
	uint32_t ejected = 0;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		present += b->endpoints[i]->present;
		ejected += b->endpoints[i]->present &&
		    b->endpoints[i]->ejected_until_deadline_us > now_us;
	}
	return (ejected + 1) * 2 <= present;
}

void
balancer_finish(
    struct balancer *b, struct endpoint *e, bool failed, int64_t now_us)
{
	uint32_t shift;

	assert(e->outstanding > 0);
	e->outstanding--;
	if (!failed) {
		e->failures_in_row = 0;
		if (e->ejected_until_deadline_us <= now_us)
			e->ejections = 0;
		return;
	}
	e->failures_in_row++;
	if (e->failures_in_row < EJECT_AFTER_FAILURES ||
	    e->ejected_until_deadline_us > now_us || !may_eject(b, now_us))
		return;
	shift = e->ejections < EJECT_MAX_SHIFT ? e->ejections : EJECT_MAX_SHIFT;
	e->ejected_until_deadline_us = now_us + (EJECT_FIRST_US << shift);
	e->ejections++;
	// One more failure after the return is enough to eject again.
	e->failures_in_row = EJECT_AFTER_FAILURES - 1;
}

void
balancer_report(struct endpoint *e, uint32_t running, uint32_t queued)
{
	e->reported = running + queued;
	e->outstanding_at_report = e->outstanding;
}

void
balancer_set_busy(struct endpoint *e, uint32_t worth, int64_t until_deadline_us)
{
	uint32_t oldest = 0;
	uint32_t i;

	for (i = 0; i < BALANCER_BUSY_MARKS; i++) {
		if (e->busy[i].worth == worth) {
			oldest = i;
			break;
		}
		if (e->busy[i].until_deadline_us <
		    e->busy[oldest].until_deadline_us)
			oldest = i;
	}
	e->busy[oldest].worth = worth;
	e->busy[oldest].until_deadline_us = until_deadline_us;
}
