// Account of memory: what is held, and who gives way.
#include <assert.h>
#include <stddef.h>

#include "core/memory_account.h"

#define US_PER_S 1000000

/// Slowest caller that is not behind: 64 KB a second.
#define DUE_PER_BYTE_US 16

/// A holder is not behind for this long after its start, or after any progress that
/// pays for more than that.
#define DUE_GRACE_US (1 * US_PER_S)

/// Time behind that is added to each holder's, so that size counts between those
/// that are not behind.
#define BEHIND_BASE_US (1 * US_PER_S)

/// More time behind does not count, so that an idle connection never outweighs a
/// body that has stopped.
#define BEHIND_MAX_US (10 * US_PER_S)

#define CALLER_SHARE_PCT 33
#define PERCENT		 100

int64_t
memory_account_share(int64_t process_bytes)
{
	return process_bytes / PERCENT * CALLER_SHARE_PCT;
}

void
memory_account_init(struct memory_account *account, int64_t limit_bytes)
{
	*account = (struct memory_account){.limit_bytes = limit_bytes};
}

static int64_t *
peer_bytes_of(struct memory_account *account, uint32_t peer)
{
	// Mixes all octets, since those of one subnet differ in the last one.
	uint32_t hash = peer * 2654435761u;

	return &account->peer_bytes[hash >> 24];
}

void
memory_account_add(struct memory_account *account, struct memory_holder *holder,
    uint32_t peer, int64_t now_us)
{
	assert(holder->account == NULL);
	holder->account = account;
	holder->peer = peer;
	holder->held_bytes = 0;
	holder->due_us = now_us + DUE_GRACE_US;
	holder->waits = holder->leaving = false;
	holder->prev = NULL;
	holder->next = account->first;
	if (holder->next != NULL)
		holder->next->prev = holder;
	account->first = holder;
	account->holder_count++;
}

void
memory_account_remove(struct memory_holder *holder)
{
	struct memory_account *account = holder->account;

	if (account == NULL)
		return;
	memory_holder_set(holder, 0);
	if (holder->prev != NULL)
		holder->prev->next = holder->next;
	else
		account->first = holder->next;
	if (holder->next != NULL)
		holder->next->prev = holder->prev;
	account->holder_count--;
	holder->account = NULL;
}

void
memory_holder_set(struct memory_holder *holder, int64_t held_bytes)
{
	struct memory_account *account = holder->account;
	int64_t change_bytes = held_bytes - holder->held_bytes;

	if (account == NULL)
		return;
	holder->held_bytes = held_bytes;
	account->held_bytes += change_bytes;
	*peer_bytes_of(account, holder->peer) += change_bytes;
	if (holder->leaving)
		account->leaving_bytes += change_bytes;
	if (account->held_bytes > account->peak_bytes)
		account->peak_bytes = account->held_bytes;
}

void
memory_holder_progress(
    struct memory_holder *holder, int64_t moved_bytes, int64_t now_us)
{
	holder->due_us += moved_bytes * DUE_PER_BYTE_US;
	if (holder->due_us > now_us + DUE_GRACE_US)
		holder->due_us = now_us + DUE_GRACE_US;
}

void
memory_holder_set_waits(
    struct memory_holder *holder, bool waits, int64_t now_us)
{
	if (holder->waits && !waits)
		holder->due_us = now_us + DUE_GRACE_US;
	holder->waits = waits;
}

int64_t
memory_holder_behind_us(const struct memory_holder *holder, int64_t now_us)
{
	if (holder->waits || holder->due_us >= now_us)
		return 0;
	return now_us - holder->due_us;
}

/// How much a holder burdens the account: what it holds, by how long it has been
/// behind, by what its peer holds altogether.
static double
burden(const struct memory_account *account, const struct memory_holder *holder,
    int64_t now_us)
{
	int64_t behind_us = BEHIND_BASE_US;

	behind_us += memory_holder_behind_us(holder, now_us);
	if (behind_us > BEHIND_MAX_US)
		behind_us = BEHIND_MAX_US;
	return (double)holder->held_bytes * (double)behind_us *
	    (double)*peer_bytes_of(
		(struct memory_account *)account, holder->peer);
}

struct memory_holder *
memory_account_find_victim(const struct memory_account *account, int64_t now_us)
{
	struct memory_holder *worst = NULL;
	struct memory_holder *h;
	double worst_burden = 0;

	for (h = account->first; h != NULL; h = h->next) {
		double b;

		if (h->ops == NULL || h->leaving)
			continue;
		b = burden(account, h, now_us);
		// The oldest of equals, which is last in the list.
		if (b > 0 && b >= worst_burden) {
			worst = h;
			worst_burden = b;
		}
	}
	return worst;
}

void
memory_holder_mark_leaving(struct memory_holder *holder)
{
	if (holder->leaving)
		return;
	holder->leaving = true;
	holder->account->leaving_bytes += holder->held_bytes;
}

void
memory_holder_unmark_leaving(struct memory_holder *holder)
{
	if (!holder->leaving)
		return;
	holder->leaving = false;
	holder->account->leaving_bytes -= holder->held_bytes;
}

void
memory_holder_evict(struct memory_holder *holder)
{
	assert(holder->account != NULL && holder->ops != NULL);
	memory_holder_mark_leaving(holder);
	holder->account->evicted_count++;
	holder->ops->evict(holder);
}

static bool
is_full(const struct memory_account *account)
{
	return account->held_bytes - account->leaving_bytes >
	    account->limit_bytes;
}

bool
memory_holder_ask(
    struct memory_holder *holder, int64_t more_bytes, int64_t now_us)
{
	struct memory_account *account = holder->account;
	int64_t held_bytes = holder->held_bytes;

	if (account == NULL)
		return true;
	if (holder->leaving)
		return false;
	// The request counts while others are compared with this holder.
	memory_holder_set(holder, held_bytes + more_bytes);
	while (is_full(account)) {
		struct memory_holder *worst =
		    memory_account_find_victim(account, now_us);

		if (worst == NULL || worst == holder) {
			memory_holder_set(holder, held_bytes);
			return false;
		}
		memory_holder_evict(worst);
	}
	memory_holder_set(holder, held_bytes);
	return true;
}

void
memory_account_relieve(struct memory_account *account, int64_t now_us)
{
	while (is_full(account)) {
		struct memory_holder *worst =
		    memory_account_find_victim(account, now_us);

		if (worst == NULL)
			return;
		memory_holder_evict(worst);
	}
}
