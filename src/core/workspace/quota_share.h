/// @file
/// A proxy's share of the quotas of workspaces: the tokens that the accountant
/// granted it, and what it asks for. Costs nothing without limited workspaces.
#ifndef MV_CORE_WORKSPACE_QUOTA_SHARE_H
#define MV_CORE_WORKSPACE_QUOTA_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/workspace/quota_ledger.h"

#define QUOTA_BATCHES 4

/// Asks whose answers are awaited; later ones replace the oldest.
#define QUOTA_ASKS 64

/// Tokens granted by one answer.
struct quota_batch {
	uint32_t tokens;
	int64_t expires_us;
};

/// State of one limited workspace.
struct quota_entry {
	uint64_t workspace; ///< Hash of its name.
	struct quota_batch batches[QUOTA_BATCHES];
	uint32_t waiting;      ///< Requests that wait for a token.
	uint32_t asked;	       ///< Tokens asked for whose answer is awaited.
	int64_t asked_us;      ///< Time of the last ask.
	int64_t full_until_us; ///< Until then the accountant has no room.
	int64_t life_us;       ///< Of the last grant; 0: none yet.
	double demand_per_s;   ///< Moving average of the requests that arrive.
	int64_t demand_us;     ///< Time of its last update.
	uint32_t refused;      ///< Since the last ask.
	bool listed;	       ///< In the list of those that have to ask.
};

struct quota_sent_ask {
	uint32_t sequence; ///< 0: none.
	int64_t sent_us;
	bool overdue; ///< What it asked for has been given up.
};

struct quota_share {
	struct quota_entry *entries; ///< Sorted by workspace.
	uint32_t entry_count;
	uint32_t *listed; ///< Indices of the entries that have to ask.
	uint32_t listed_count;
	uint32_t waiting; ///< Of all entries.
	struct quota_sent_ask asks[QUOTA_ASKS];
	uint32_t last_sequence;
	int64_t last_ask_us;
	int64_t round_trip_us; ///< Moving average; 0: none yet.
	// Clock of the accountant. The least difference was seen with the
	// fastest answer, which took no longer than the least round trip.
	bool has_clock;
	int64_t clock_offset_us; ///< Least difference to the own clock.
	int64_t round_trip_min_us;
	int64_t clock_us;    ///< Time of the last update.
	int64_t answered_us; ///< Time of the last answer; 0: none.
	uint32_t unanswered; ///< Asks in a row without a grant.
};

enum quota_verdict {
	QUOTA_PASS, ///< A token was spent, or there is no limit.
	QUOTA_WAIT, ///< A token has to be asked for.
	QUOTA_FULL, ///< The workspace is at its limit.
};

void quota_share_free(struct quota_share *share);

/// Takes over the limited workspaces of a version of the rules. Tokens and demand
/// of those that stay are kept.
void quota_share_set_limits(
    struct quota_share *share, const struct rules *rules);

/// Tells whether a request of a workspace may be sent.
///
/// @param waits     whether it is one that waits, by an earlier verdict
/// @param retry_us  receives the time until room is expected, if it is full
enum quota_verdict quota_share_take(struct quota_share *share,
    uint64_t workspace, bool waits, int64_t now_us, int64_t *retry_us);

/// A request that waited got a token, or no longer waits.
void quota_share_stop_waiting(struct quota_share *share, uint64_t workspace);

/// Returns when the next ask is due; INT64_MAX if none is.
int64_t quota_share_ask_deadline_us(const struct quota_share *share);

/// Composes an ask, if one is due.
///
/// @param asks      receives one item for each workspace
/// @param max_asks  room for them
/// @param sequence  receives the number of the ask
/// @return number of items; 0 if nothing has to be asked for
uint32_t quota_share_compose_ask(struct quota_share *share,
    struct quota_ask *asks, uint32_t max_asks, int64_t now_us,
    uint32_t *sequence);

/// Begins to receive the answer to an ask.
///
/// @param clock_us  of the accountant when it answered
/// @return a time that is not after its grants were made, by the clock of this
///         proxy; -1 if the answer was received before, or the ask is not known
///         any more
int64_t quota_share_receive_answer(struct quota_share *share, uint32_t sequence,
    int64_t clock_us, int64_t now_us);

/// Forgets the clock of the accountant: another process answers from now on.
void quota_share_forget_clock(struct quota_share *share);

/// Adds a grant of that answer.
void quota_share_add_grant(struct quota_share *share, uint64_t workspace,
    const struct quota_grant *grant, int64_t granted_us, int64_t now_us);

/// The last answer was that another source has to be asked: all asks on their way
/// are given up.
void quota_share_give_up_asks(struct quota_share *share);

/// Whether no answer came for so long that the accountant may be gone.
bool quota_share_is_silent(const struct quota_share *share, int64_t now_us);

/// Gives up the oldest asks if their answers are overdue, so that they are sent
/// again.
///
/// @return whether any was given up
bool quota_share_expire_asks(struct quota_share *share, int64_t now_us);

#endif
