/// @file
/// Account of the memory that callers and other peers make a process hold: a limit
/// on their sum, and the choice of who gives way when it is reached.
///
/// A holder is one connection or request. It states what it holds, as allocated, and
/// the bytes that it moves on. Those that hold most and move least give way first, and
/// among equals those whose peer address holds most.
#ifndef MV_CORE_MEMORY_ACCOUNT_H
#define MV_CORE_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

struct memory_holder;

/// Behaviour of a kind of holder.
struct memory_holder_ops {
	/// Lets a holder give way: refuses or closes what it holds memory for. The
	/// memory may be freed later. Must not free other holders.
	void (*evict)(struct memory_holder *holder);
};

/// Zero it before memory_account_add.
struct memory_holder {
	const struct memory_holder_ops *ops; ///< NULL: it never gives way.
	struct memory_account *account;	     ///< NULL while not added.
	struct memory_holder *next;
	struct memory_holder *prev;
	int64_t held_bytes;
	/// Until then the bytes that it has moved entitle it to its memory.
	int64_t due_us;
	uint32_t peer; ///< IPv4 address of the peer; 0: none.
	bool waits;    ///< For others, so that it need not move anything.
	bool leaving;  ///< It has been told to give way.
};

#define MEMORY_PEERS 256

struct memory_account {
	int64_t limit_bytes;
	int64_t held_bytes;
	int64_t peak_bytes;
	int64_t leaving_bytes; ///< Of it, of holders that give way.
	uint64_t evicted_count;
	uint32_t holder_count;
	struct memory_holder *first;
	/// Held by the peers of an address; several addresses may share an entry.
	int64_t peer_bytes[MEMORY_PEERS];
};

/// Returns the share of a process's memory that its callers may hold. The rest is
/// for control, for connections in the kernel and for the allocator.
int64_t memory_account_share(int64_t process_bytes);

void memory_account_init(struct memory_account *account, int64_t limit_bytes);

/// Adds a holder that holds nothing yet.
void memory_account_add(struct memory_account *account,
    struct memory_holder *holder, uint32_t peer, int64_t now_us);

/// Removes a holder and what it holds. Does nothing if it is not added.
void memory_account_remove(struct memory_holder *holder);

/// Sets what a holder holds. Never makes anyone give way.
void memory_holder_set(struct memory_holder *holder, int64_t held_bytes);

/// Asks for further memory for a holder, before it is allocated. Others give way if
/// there is too little.
///
/// @return false if the holder itself should give way, or already does
bool memory_holder_ask(
    struct memory_holder *holder, int64_t more_bytes, int64_t now_us);

/// Records that a holder moved bytes on.
void memory_holder_progress(
    struct memory_holder *holder, int64_t moved_bytes, int64_t now_us);

/// Sets whether a holder waits for others. One that no longer does starts anew.
void memory_holder_set_waits(
    struct memory_holder *holder, bool waits, int64_t now_us);

/// Returns the time for which a holder has moved less than entitles it to its memory.
int64_t memory_holder_behind_us(
    const struct memory_holder *holder, int64_t now_us);

/// Returns the holder that should give way next; NULL if there is none.
struct memory_holder *memory_account_find_victim(
    const struct memory_account *account, int64_t now_us);

/// Records that a holder gives way: what it holds no longer counts as used.
void memory_holder_mark_leaving(struct memory_holder *holder);

/// Records that a holder does not give way after all.
void memory_holder_unmark_leaving(struct memory_holder *holder);

/// Makes a holder give way.
void memory_holder_evict(struct memory_holder *holder);

/// Makes holders give way until the limit is kept without them, or none is left.
void memory_account_relieve(struct memory_account *account, int64_t now_us);

#endif
