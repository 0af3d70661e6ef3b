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

/// Callback for the verdict on a claim. After ONCE_GRANTED the caller must
/// release, record or abandon the claim. ONCE_IN_PROGRESS is followed by
/// another verdict. Every other verdict ends the claim.
///
/// @param answer  recorded response; valid only with ONCE_DONE
typedef void once_verdict_fn(void *arg, enum once_verdict verdict,
    const struct message_response *answer);

struct once_client *once_client_create(struct loop *loop,
    const struct address *replicas, uint32_t replica_count, uint64_t seed);

void once_client_destroy(struct once_client *client);

/// Claims the key of a request. Never calls back before it returns.
struct once_claim *once_client_claim(struct once_client *client,
    const struct message_request *request, int64_t deadline_us,
    once_verdict_fn *fn, void *arg);

/// Releases a claim whose request did not run. Before a verdict, this also
/// cancels the callback.
void once_claim_release(struct once_claim *claim);

/// Records the response to a claimed request.
void once_claim_record(
    struct once_claim *claim, const struct message_response *answer);

/// Ends a claim but leaves its key claimed, as the outcome is unknown.
void once_claim_abandon(struct once_claim *claim);

#endif
