/// @file
/// Data folder of a replica that begins: whose it is, and its first entry.
#ifndef MV_IO_REPLICA_REPLICA_FOLDER_H
#define MV_IO_REPLICA_REPLICA_FOLDER_H

#include "io/replica/replica_host.h"

/// Checks whose folder this is, and writes the identity of a new replica.
///
/// @param settings  receives the id, if the set forms itself
/// @param is_new    receives whether the folder was empty
/// @return 0, or -1 with err set
int replica_folder_settle(struct replica_host *host,
    struct replica_host_settings *settings, bool *is_new, struct error *err);

/// Puts the initial config into the log of a bootstrapped replica. All
/// replicas write the same entry.
///
/// @param stored  receives the entry too
/// @return 0, or -1 with err set
int replica_folder_write_config(struct replica_host *host,
    const struct replica_host_settings *settings, struct replica_stored *stored,
    struct error *err);

#endif
