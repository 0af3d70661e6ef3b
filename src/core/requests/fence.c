// Fencing of streams, to prove that a request did not run.
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/requests/fence.h"

/// Allowance for the difference between the clock rates of two VMs.
#define CLOCK_MARGIN_US 1000000LL

void
fence_init(struct fence *fence, int64_t now_us)
{
	memset(fence, 0, sizeof(*fence));
	// Requests sent before this process started are not recorded.
	fence->newest_evicted_us = now_us;
}

void
fence_free(struct fence *fence)
{
	free(fence->origins);
	fence->origins = NULL;
}

static uint32_t
origin_lower_bound(const struct fence *fence, const char *name)
{
	uint32_t low = 0;
	uint32_t high = fence->origin_count;

	while (low < high) {
		uint32_t mid = (low + high) / 2;

		if (strcmp(fence->origins[mid].name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static struct fence_origin *
origin_get(struct fence *fence, const char *name)
{
	uint32_t at = origin_lower_bound(fence, name);
	struct fence_origin *o;

	if (at < fence->origin_count &&
	    strcmp(fence->origins[at].name, name) == 0)
		return &fence->origins[at];
	if (fence->origin_count == fence->origin_capacity) {
		fence->origin_capacity =
		    fence->origin_capacity ? fence->origin_capacity * 2 : 16;
		fence->origins = realloc(fence->origins,
		    fence->origin_capacity * sizeof(*fence->origins));
		assert(fence->origins != NULL);
	}
	memmove(fence->origins + at + 1, fence->origins + at,
	    (fence->origin_count - at) * sizeof(*fence->origins));
	fence->origin_count++;
	o = &fence->origins[at];
	memset(o, 0, sizeof(*o));
	strncpy(o->name, name, sizeof(o->name) - 1);
	return o;
}

bool
fence_admit_stream(struct fence *fence, const char *origin,
    uint64_t incarnation, uint64_t sequence)
{
	struct fence_origin *o = origin_get(fence, origin);

	if (incarnation < o->incarnation)
		return false;
	if (incarnation > o->incarnation) {
		o->incarnation = incarnation;
		o->min_sequence = 0;
	}
	return sequence >= o->min_sequence;
}

uint64_t
fence_key(const char *origin, uint64_t incarnation, uint64_t id)
{
	struct {
		uint64_t origin;
		uint64_t incarnation;
		uint64_t id;
	} identity;
	uint64_t key;

	identity.origin = XXH3_64bits(origin, strlen(origin));
	identity.incarnation = incarnation;
	identity.id = id;
	key = XXH3_64bits(&identity, sizeof(identity));
	return key != 0 ? key : 1;
}

static struct fence_entry *
entry_find(struct fence *fence, uint64_t key)
{
	uint32_t at = fence->buckets[key % FENCE_ENTRY_COUNT];

	while (at != 0) {
		struct fence_entry *e = &fence->entries[at - 1];

		if (e->key == key)
			return e;
		at = e->next;
	}
	return NULL;
}

static void
entry_evict(struct fence *fence, uint32_t position)
{
	struct fence_entry *e = &fence->entries[position];
	uint32_t *link = &fence->buckets[e->key % FENCE_ENTRY_COUNT];

	while (*link != position + 1)
		link = &fence->entries[*link - 1].next;
	*link = e->next;
	if (e->arrival_us > fence->newest_evicted_us)
		fence->newest_evicted_us = e->arrival_us;
	e->key = 0;
}

void
fence_record_arrival(struct fence *fence, uint64_t key, int64_t now_us)
{
	uint32_t position = fence->next_entry;
	struct fence_entry *e = &fence->entries[position];
	uint32_t *bucket = &fence->buckets[key % FENCE_ENTRY_COUNT];

	if (e->key != 0)
		entry_evict(fence, position);
	e->key = key;
	e->arrival_us = now_us;
	e->ran = false;
	e->next = *bucket;
	*bucket = position + 1;
	fence->next_entry = (position + 1) % FENCE_ENTRY_COUNT;
}

void
fence_mark_run(struct fence *fence, uint64_t key)
{
	struct fence_entry *e = entry_find(fence, key);

	// For an evicted entry, fence_query returns OUTCOME_UNKNOWN by its age.
	if (e != NULL)
		e->ran = true;
}

enum outcome
fence_query(struct fence *fence, const char *origin, uint64_t incarnation,
    uint64_t sequence, uint64_t id, int64_t age_us, int64_t now_us)
{
	struct fence_origin *o = origin_get(fence, origin);
	struct fence_entry *e;

	if (incarnation != o->incarnation)
		return OUTCOME_UNKNOWN;
	if (sequence > o->min_sequence)
		o->min_sequence = sequence;
	e = entry_find(fence, fence_key(origin, incarnation, id));
	if (e != NULL)
		return e->ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
	if (now_us - age_us - CLOCK_MARGIN_US <= fence->newest_evicted_us)
		return OUTCOME_UNKNOWN;
	return OUTCOME_NOT_RUN;
}
