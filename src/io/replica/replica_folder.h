/// @file
/// Data folder at the start of a replica: its identity and first entry.
#ifndef MV_IO_REPLICA_REPLICA_FOLDER_H
#define MV_IO_REPLICA_REPLICA_FOLDER_H

#include "io/replica/replica_host.h"

/// Checks that the folder belongs to this cluster and replica; writes the
/// identity of a new replica.
///
/// @param settings  receives the id, if the cluster is self-forming
/// @param is_new    receives whether the folder was empty
/// @return 0, or -1 with err set
int replica_folder_load_identity(struct replica_host *host,
    struct replica_host_settings *settings, bool *is_new, struct error *err);

/// Writes the initial config as first log entry of a bootstrapped replica. All
/// replicas write the same entry.
///
/// @param stored  receives a copy of the entry and its term
/// @return 0, or -1 with err set
int replica_folder_write_config(struct replica_host *host,
    const struct replica_host_settings *settings,
    struct replica_stored_state *stored, struct error *err);

#endif
