/// @file
/// What the programs that run a replica share: settings, start, end.
#ifndef MV_IO_REPLICA_PROGRAM_H
#define MV_IO_REPLICA_PROGRAM_H

#include "io/program.h"
#include "io/replica_host.h"

/// Settings of any replica; first member of a program's settings.
struct replica_program_settings {
	struct program_log log;
	char data_path[SETTINGS_TEXT_BYTES];
	char cluster[SETTINGS_TEXT_BYTES];
	int64_t id;
	struct settings_list replicas; ///< "ID=IP:port"
	int64_t election_ms;
	int64_t heartbeat_ms;
	bool bootstrap;
	bool join;
};

#define REPLICA_ROW(                                                    \
    path_, kind_, member_, required_, min_, max_, fallback_, help_)     \
	{                                                               \
		path_, kind_,                                           \
		    offsetof(struct replica_program_settings, member_), \
		    required_, min_, max_, fallback_, help_             \
	}

/// Entries for the settings table of a program.
#define REPLICA_PROGRAM_FIELDS                                                 \
	PROGRAM_LOG_FIELDS(struct replica_program_settings),                   \
	    REPLICA_ROW("data_path", SETTINGS_TEXT, data_path, true, 0, 0,     \
		NULL, "data folder, on a disk of its own use"),                \
	    REPLICA_ROW("cluster", SETTINGS_TEXT, cluster, true, 0, 0, NULL,   \
		"name of the cluster, the same at all replicas"),              \
	    REPLICA_ROW("id", SETTINGS_INTEGER, id, true, 1, INT32_MAX, NULL,  \
		"id of this replica, never used before"),                      \
	    REPLICA_ROW("replicas", SETTINGS_LIST, replicas, true, 0, 0, NULL, \
		"ID=IP:port of each replica's control address"),               \
	    REPLICA_ROW("election_ms", SETTINGS_INTEGER, election_ms, false,   \
		50, 60000, "1000",                                             \
		"least time without a leader before an election"),             \
	    REPLICA_ROW("heartbeat_ms", SETTINGS_INTEGER, heartbeat_ms, false, \
		10, 10000, "150", "time between heartbeats of the leader")

/// A program that runs a replica.
struct replica_program {
	const char *name;
	const char *purpose;
	const char *kind; ///< Sets clusters of different programs apart.
	const struct settings_field *fields;
	size_t field_count;
	struct replica_program_settings *settings;
	/// Opens the sockets and whatever else lies on top of the replica.
	int (*open)(struct loop *loop, struct error *err);
	/// Starts the replica.
	int (*open_replica)(struct loop *loop,
	    const struct replica_host_settings *host, struct error *err);
	/// Frees everything but the loop.
	void (*close)(void);
};

/// Runs a program from its command line to its end.
///
/// @return its exit code
int replica_program_main(
    const struct replica_program *program, int argc, char **argv);

#endif
