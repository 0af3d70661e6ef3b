// Pull scheduling for rule versions.
#include <string.h>
#include <xxhash.h>

#include "core/membership/version_sync.h"

#define DEADLINE_NONE	  INT64_MAX
#define BACKOFF_FIRST_US  100000LL
#define BACKOFF_MAX_US	  5000000LL
#define BACKOFF_MAX_SHIFT 6

void
version_sync_init(struct version_sync *vs, const struct version_sync_ops *ops,
    void *owner, uint64_t seed, int64_t stagger_us, int64_t pull_timeout_us)
{
	memset(vs, 0, sizeof(*vs));
	vs->ops = ops;
	vs->owner = owner;
	vs->random.seed = seed;
	vs->stagger_us = stagger_us;
	vs->pull_timeout_us = pull_timeout_us;
	vs->remote_deadline_us = DEADLINE_NONE;
	vs->pull_deadline_us = DEADLINE_NONE;
}

uint64_t
version_sync_weight(const char *name, uint64_t version)
{
	return XXH3_64bits_withSeed(name, strlen(name), version);
}

uint32_t
version_sync_rank(const struct membership *m, uint64_t version)
{
	uint64_t own = version_sync_weight(m->self.name, version);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < m->peer_count; i++) {
		const struct peer *peer = m->peers[i];

		if (peer->distance == DISTANCE_DC &&
		    peer->member.status == MEMBER_ALIVE &&
		    version_sync_weight(peer->member.name, version) > own)
			rank++;
	}
	return rank;
}

static bool
same_holder(const struct holder *a, const struct holder *b)
{
	return a->port == b->port && strcmp(a->host, b->host) == 0;
}

/// Returns the entry of a holder, or NULL if it has none.
static struct holder *
find_holder(struct version_sync *vs, const struct holder *holder)
{
	uint32_t i;

	for (i = 0; i < vs->holder_count; i++)
		if (same_holder(&vs->holders[i], holder))
			return &vs->holders[i];
	return NULL;
}

/// Returns an unused entry, or that of the holder with the lowest version, then the
/// largest distance.
static struct holder *
take_entry(struct version_sync *vs)
{
	struct holder *worst = &vs->holders[0];
	uint32_t i;

	if (vs->holder_count < VERSION_SYNC_HOLDERS)
		return &vs->holders[vs->holder_count++];
	for (i = 1; i < vs->holder_count; i++) {
		struct holder *h = &vs->holders[i];

		if (h->version < worst->version ||
		    (h->version == worst->version &&
			h->distance > worst->distance))
			worst = h;
	}
	return worst;
}

void
version_sync_add_holder(struct version_sync *vs, const struct holder *holder,
    uint32_t rank, int64_t now_us)
{
	struct holder *entry;
	struct holder before = {0};
	int64_t remote_deadline_us;

	if (holder->version <= vs->have_version)
		return;
	entry = find_holder(vs, holder);
	if (entry != NULL)
		before = *entry;
	else
		entry = take_entry(vs);
	*entry = *holder;
	entry->retry_deadline_us = before.retry_deadline_us;
	entry->failures = before.failures;
	if (holder->version <= vs->known_version)
		return;
	vs->known_version = holder->version;
	vs->rank = rank;
	// The members rank anew for each version. One that waits for its turn
	// at an earlier version may have the first turn at this one.
	remote_deadline_us = now_us + rank * vs->stagger_us;
	if (remote_deadline_us < vs->remote_deadline_us)
		vs->remote_deadline_us = remote_deadline_us;
}

static void
drop_outdated_holders(struct version_sync *vs)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < vs->holder_count; i++)
		if (vs->holders[i].version > vs->have_version)
			vs->holders[kept++] = vs->holders[i];
	vs->holder_count = kept;
}

void
version_sync_set_version(struct version_sync *vs, uint64_t version)
{
	vs->have_version = version;
	drop_outdated_holders(vs);
	if (vs->known_version <= version)
		vs->remote_deadline_us = DEADLINE_NONE;
}

static int64_t
backoff_us(struct version_sync *vs, uint32_t failures)
{
	uint32_t shift =
	    failures < BACKOFF_MAX_SHIFT ? failures : BACKOFF_MAX_SHIFT;
	int64_t limit_us;

	limit_us = BACKOFF_FIRST_US << shift;
	if (limit_us > BACKOFF_MAX_US)
		limit_us = BACKOFF_MAX_US;
	return limit_us / 2 + random_time_us(&vs->random, limit_us / 2);
}

/// Sets the earliest time of the next pull from a holder.
///
/// @param wait_us  delay requested by the holder; 0: none
static void
postpone_holder(struct version_sync *vs, struct holder *holder, int64_t wait_us,
    int64_t now_us)
{
	if (wait_us <= 0) {
		wait_us = backoff_us(vs, holder->failures);
		holder->failures++;
	}
	holder->retry_deadline_us = now_us + wait_us;
}

void
version_sync_finish_pull(struct version_sync *vs, enum pull_result result,
    int64_t cost_us, int64_t wait_us, int64_t now_us)
{
	int64_t rest_us = cost_us * VERSION_SYNC_REST_FACTOR;
	struct holder *holder = find_holder(vs, &vs->pulling_from);

	if (!vs->pulling)
		return;
	vs->pulling = false;
	vs->pull_deadline_us = DEADLINE_NONE;
	if (result == PULL_OVERTAKEN &&
	    vs->have_version > vs->pulling_at_version)
		return;
	if (result == PULL_ADOPTED) {
		vs->failures = 0;
		if (holder != NULL)
			holder->failures = 0;
		if (rest_us > VERSION_SYNC_REST_MAX_US)
			rest_us = VERSION_SYNC_REST_MAX_US;
		vs->adoption_deadline_us = now_us + rest_us;
		return;
	}
	if (holder != NULL)
		postpone_holder(vs, holder, wait_us, now_us);
	vs->failures++;
}

/// Returns whether to prefer holder a. One whose last pull failed comes last: its
/// version may not exist. Then the newest version has priority, so that
/// intermediate versions are skipped.
static bool
is_better_holder(const struct version_sync *vs, const struct holder *a,
    const struct holder *b)
{
	bool newest = a->version == vs->known_version;

	if (b == NULL)
		return true;
	if ((a->failures == 0) != (b->failures == 0))
		return a->failures == 0;
	if (newest != (b->version == vs->known_version))
		return newest;
	if (a->distance != b->distance)
		return a->distance < b->distance;
	// Prefers proxies: the capacity of the sources does not grow with the
	// fleet.
	if (a->is_source != b->is_source)
		return b->is_source;
	return a->version > b->version;
}

/// Returns the holder to pull from now, or NULL and the time of the next check.
static const struct holder *
choose_holder(const struct version_sync *vs, int64_t now_us, int64_t *next_us)
{
	const struct holder *best = NULL;
	uint32_t i;

	*next_us = DEADLINE_NONE;
	for (i = 0; i < vs->holder_count; i++) {
		const struct holder *h = &vs->holders[i];
		int64_t from_us = h->retry_deadline_us;

		if (h->distance != DISTANCE_DC &&
		    from_us < vs->remote_deadline_us)
			from_us = vs->remote_deadline_us;
		if (from_us < vs->adoption_deadline_us)
			from_us = vs->adoption_deadline_us;
		if (from_us > now_us) {
			if (from_us < *next_us)
				*next_us = from_us;
			continue;
		}
		if (is_better_holder(vs, h, best))
			best = h;
	}
	return best;
}

int64_t
version_sync_tick(struct version_sync *vs, int64_t now_us)
{
	const struct holder *holder;
	int64_t next_us;

	if (vs->pulling && now_us >= vs->pull_deadline_us)
		version_sync_finish_pull(vs, PULL_FAILED, 0, 0, now_us);
	if (vs->pulling)
		return vs->pull_deadline_us;
	holder = choose_holder(vs, now_us, &next_us);
	if (holder == NULL)
		return next_us;
	vs->pulling = true;
	vs->pulling_from = *holder;
	vs->pulling_at_version = vs->have_version;
	vs->pull_deadline_us = now_us + vs->pull_timeout_us;
	vs->ops->pull(vs, &vs->pulling_from);
	return vs->pull_deadline_us;
}
