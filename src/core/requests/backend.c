// Ordering of the announcements of a backend server.
#include <string.h>

#include "core/requests/backend.h"

/// Minimum lease of a server that leaves. Longer than its announcements can be
/// in transit.
#define DRAINING_LEASE_US (60LL * 1000000)

/// Between reading the clock for a heartbeat and its arrival.
#define START_TOLERANCE_US (2LL * 1000000)

#define US_PER_MS 1000

bool
backend_is_start_ahead(uint64_t process_start_ms, int64_t wall_us)
{
	return process_start_ms >
	    (uint64_t)(wall_us + START_TOLERANCE_US) / US_PER_MS;
}

/// Tells whether the current server is sound: it renews its lease.
static bool
is_sound(const struct backend *b, int64_t now_us)
{
	return b->known && b->latest.address[0] != '\0' &&
	    b->latest.state != BACKEND_NONE &&
	    now_us < b->latest.lease_deadline_us;
}

static bool
is_same_process(const struct backend *b, const struct backend_announcement *a)
{
	return strcmp(b->latest.id, a->id) == 0 &&
	    b->latest.process_start == a->process_start;
}

/// Tells whether an announcement of the current process is out of order.
///
/// The highest sequence need not be the server's own. Once nothing has renewed
/// the lease, a lower sequence counts if it is higher than one that arrived
/// since: a server that runs goes on counting.
static bool
is_out_of_order(
    struct backend *b, const struct backend_announcement *a, int64_t now_us)
{
	uint64_t resumed = b->resumed_sequence;

	if (a->sequence > b->latest.sequence || a->sequence == 0)
		return false;
	if (now_us < b->latest.lease_deadline_us)
		return true;
	if (resumed != 0 && a->sequence > resumed)
		return false;
	b->resumed_sequence = a->sequence;
	return true;
}

/// Tells whether an announcement is older than the current one.
///
/// Start times of two processes are taken from their clocks, which may have
/// been set back in between. So an earlier start time is rejected only until
/// the lease expires; after that, and if a server announces none, the
/// announcement received last wins.
static bool
is_stale(
    struct backend *b, const struct backend_announcement *a, int64_t now_us)
{
	if (!b->known)
		return false;
	if (is_same_process(b, a))
		return is_out_of_order(b, a, now_us);
	// What cannot be true does not replace a server that is heard.
	if (a->start_ahead && is_sound(b, now_us))
		return true;
	// Nothing is known but the leave of another server.
	if (b->latest.address[0] == '\0' && strcmp(b->latest.id, a->id) != 0)
		return false;
	if (a->process_start != 0 && a->process_start < b->latest.process_start)
		return now_us < b->latest.lease_deadline_us;
	return false;
}

enum backend_verdict
backend_announce(
    struct backend *b, const struct backend_announcement *a, int64_t now_us)
{
	struct backend_announcement old = b->latest;
	bool same = b->known && is_same_process(b, a);

	if (is_stale(b, a, now_us))
		return BACKEND_STALE;
	b->latest = *a;
	b->known = true;
	b->resumed_sequence = 0;
	// A draining process never becomes ready again. If processes have no
	// start time, a cold one is a new process.
	if (same && old.state == BACKEND_DRAINING &&
	    (a->process_start != 0 || a->state != BACKEND_COLD))
		b->latest.state = BACKEND_DRAINING;
	if (same && old.state == b->latest.state && old.slots == a->slots &&
	    strcmp(old.service, a->service) == 0 &&
	    strcmp(old.address, a->address) == 0 &&
	    strcmp(old.version, a->version) == 0)
		return BACKEND_RENEWED;
	return BACKEND_CHANGED;
}

enum backend_verdict
backend_drain(
    struct backend *b, const struct backend_announcement *a, int64_t now_us)
{
	if (b->known && strcmp(b->latest.id, a->id) != 0)
		return BACKEND_STALE;
	if (b->known && a->process_start != 0 &&
	    a->process_start < b->latest.process_start)
		return BACKEND_STALE;
	if (a->start_ahead && is_sound(b, now_us) && !is_same_process(b, a))
		return BACKEND_STALE;
	if (!b->known) {
		b->latest = *a;
		b->known = true;
	}
	if (!a->start_assumed && a->process_start > b->latest.process_start)
		b->latest.process_start = a->process_start;
	if (a->sequence > b->latest.sequence)
		b->latest.sequence = a->sequence;
	if (b->latest.lease_deadline_us < now_us + DRAINING_LEASE_US)
		b->latest.lease_deadline_us = now_us + DRAINING_LEASE_US;
	if (b->latest.state == BACKEND_DRAINING)
		return BACKEND_RENEWED;
	b->latest.state = BACKEND_DRAINING;
	return BACKEND_CHANGED;
}

bool
backend_reject(struct backend *b)
{
	bool changed = b->latest.state != BACKEND_NONE;

	b->latest.state = BACKEND_NONE;
	b->known = false;
	return changed;
}

bool
backend_expire(struct backend *b, int64_t now_us, bool gone)
{
	if (!b->known || b->latest.state == BACKEND_NONE ||
	    (!gone && now_us < b->latest.lease_deadline_us))
		return false;
	b->latest.state = BACKEND_NONE;
	return true;
}
