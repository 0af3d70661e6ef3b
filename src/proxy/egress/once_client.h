/// @file
/// Client of the ledger of idempotency keys.
#ifndef MV_PROXY_EGRESS_ONCE_CLIENT_H
#define MV_PROXY_EGRESS_ONCE_CLIENT_H

#include <stdint.h>

#include "core/requests/once.h"
#include "io/loop.h"
#include "io/net/address.h"
#include "wire/messages.h"

#define ONCE_MAX_REPLICAS 7

struct once_client;
struct once_claim;

/// Told of the verdict on a claim. ONCE_GRANTED leaves the claim to the
/// caller, who must release, record or abandon it; ONCE_IN_PROGRESS is
/// followed by another verdict; all others end the claim.
///
/// @param answer  the recorded answer with ONCE_DONE, else NULL
typedef void once_verdict_fn(void *arg, enum once_verdict verdict,
    const struct message_response *answer);

struct once_client *once_client_create(struct loop *loop,
    const struct address *replicas, uint32_t replica_count, uint64_t seed);

void once_client_destroy(struct once_client *client);

/// Claims the key of a request. The verdict never comes from inside.
struct once_claim *once_client_claim(struct once_client *client,
    const struct message_request *request, int64_t deadline_us,
    once_verdict_fn *fn, void *arg);

/// Gives a claim back: the request did not run. Also before the verdict,
/// which then does not come.
void once_claim_release(struct once_claim *claim);

/// Records the answer of a claimed request.
void once_claim_record(
    struct once_claim *claim, const struct message_response *answer);

/// Leaves the key claimed: the outcome is not known.
void once_claim_abandon(struct once_claim *claim);

#endif
