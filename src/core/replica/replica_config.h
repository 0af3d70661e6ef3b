/// @file
/// Members of a replicated log, and its quorums.
#ifndef MV_CORE_REPLICA_REPLICA_CONFIG_H
#define MV_CORE_REPLICA_REPLICA_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

#define REPLICA_MAX_VOTERS	  7
#define REPLICA_MAX_LEARNERS	  3
#define REPLICA_ADDRESS_BYTES	  32
#define REPLICA_MAX_PEERS	  (2 * REPLICA_MAX_VOTERS + REPLICA_MAX_LEARNERS)
#define REPLICA_CONFIG_TEXT_BYTES (REPLICA_MAX_PEERS * 64)

struct replica_peer {
	uint64_t id;
	char address[REPLICA_ADDRESS_BYTES]; ///< "IP:port"
};

/// Voters and learners. While old_count is not 0 the config is joint: decisions
/// need a quorum of the old and one of the new voters.
struct replica_config {
	uint32_t voter_count;
	struct replica_peer voters[REPLICA_MAX_VOTERS];
	uint32_t old_count;
	struct replica_peer old_voters[REPLICA_MAX_VOTERS];
	uint32_t learner_count;
	struct replica_peer learners[REPLICA_MAX_LEARNERS];
};

/// Encodes a config as the text of a log entry.
///
/// @return length of the text
size_t replica_config_encode(
    const struct replica_config *config, char out[REPLICA_CONFIG_TEXT_BYTES]);

/// Decodes a config from the text of a log entry.
///
/// @return 0, or -1 with err set
int replica_config_decode(const char *text, size_t text_bytes,
    struct replica_config *config, struct error *err);

bool replica_config_is_voter(const struct replica_config *config, uint64_t id);

/// Returns a voter, old voter or learner by id; NULL if there is none.
const struct replica_peer *replica_config_find(
    const struct replica_config *config, uint64_t id);

/// Returns whether the voters for which has() is true form a quorum; of both
/// sets of voters if the config is joint.
bool replica_config_has_quorum(const struct replica_config *config,
    bool (*has)(void *arg, uint64_t id), void *arg);

/// Returns the highest value that a quorum has reached, in both sets of voters
/// if the config is joint.
uint64_t replica_config_quorum_value(const struct replica_config *config,
    uint64_t (*value)(void *arg, uint64_t id), void *arg);

/// Calls a function once for each peer, whatever its role.
void replica_config_each(const struct replica_config *config,
    void (*fn)(void *arg, const struct replica_peer *peer), void *arg);

#endif
