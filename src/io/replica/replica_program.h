/// @file
/// Settings, startup and shutdown shared by the programs that run a replica.
#ifndef MV_IO_REPLICA_REPLICA_PROGRAM_H
#define MV_IO_REPLICA_REPLICA_PROGRAM_H

#include "io/program.h"
#include "io/replica/replica_host.h"

/// Settings of a replica; first member of each program's settings.
struct replica_program_settings {
	struct program_log_settings log;
	char data_path[SETTINGS_TEXT_BYTES];
	char cluster[SETTINGS_TEXT_BYTES];
	int64_t id;
	struct settings_list replicas; ///< "ID=IP:port"
	struct settings_list seeds;    ///< "IP:port"; empty: fixed replicas.
	int64_t seed_port;
	int64_t tolerated;
	int64_t tolerated_dcs;
	int64_t tolerated_regions;
	int64_t election_ms;
	int64_t heartbeat_ms;
	bool first_start;
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

#define REPLICA_ROW_UNLESS(path_, kind_, member_, min_, max_, help_, unless_) \
	{                                                                     \
		path_, kind_,                                                 \
		    offsetof(struct replica_program_settings, member_), true, \
		    min_, max_, NULL, help_, unless_                          \
	}

/// Rows for the settings table of a program.
#define REPLICA_PROGRAM_FIELDS                                                 \
	PROGRAM_LOG_FIELDS(struct replica_program_settings),                   \
	    REPLICA_ROW("data_path", SETTINGS_TEXT, data_path, true, 0, 0,     \
		NULL, "data folder, on a disk of its own use"),                \
	    REPLICA_ROW("cluster", SETTINGS_TEXT, cluster, true, 0, 0, NULL,   \
		"name of the cluster, the same at all replicas"),              \
	    REPLICA_ROW_UNLESS("id", SETTINGS_INTEGER, id, 1, INT32_MAX,       \
		"id of this replica, never used before", "seeds"),             \
	    REPLICA_ROW_UNLESS("replicas", SETTINGS_LIST, replicas, 0, 0,      \
		"ID=IP:port of each replica's control address", "seeds"),      \
	    REPLICA_ROW("seeds", SETTINGS_LIST, seeds, false, 0, 0, "[]",      \
		"control addresses of some replicas of a set that forms "      \
		"itself, in place of replicas"),                               \
	    REPLICA_ROW("seed_port", SETTINGS_INTEGER, seed_port, false, 0,    \
		65535, "0",                                                    \
		"port of the seeds in place of theirs; 0: as "                 \
		"listed"),                                                     \
	    REPLICA_ROW("tolerated", SETTINGS_INTEGER, tolerated, false, 0, 3, \
		"1", "replicas that may be lost at once; with seeds"),         \
	    REPLICA_ROW("tolerated_dcs", SETTINGS_INTEGER, tolerated_dcs,      \
		false, 0, 100, "0",                                            \
		"data centres that may be lost at once; with seeds"),          \
	    REPLICA_ROW("tolerated_regions", SETTINGS_INTEGER,                 \
		tolerated_regions, false, 0, 100, "0",                         \
		"regions that may be lost at once; with seeds"),               \
	    REPLICA_ROW("first_start", SETTINGS_BOOL, first_start, false, 0,   \
		0, "false", "the set starts for the first time; with seeds"),  \
	    REPLICA_ROW("election_ms", SETTINGS_INTEGER, election_ms, false,   \
		50, 60000, "1000",                                             \
		"least time without a leader before an election"),             \
	    REPLICA_ROW("heartbeat_ms", SETTINGS_INTEGER, heartbeat_ms, false, \
		10, 10000, "150", "time between heartbeats of the leader")

/// A program that runs a replica.
struct replica_program {
	const char *name;
	const char *purpose;
	const char *kind; ///< Distinguishes clusters of different programs.
	const struct settings_field *fields;
	size_t field_count;
	struct replica_program_settings *settings;
	size_t settings_bytes; ///< Of the struct that starts with settings.
	/// Returns the own control address, for a self-forming cluster; NULL
	/// if the program does not support one.
	const char *(*own_address)(void);
	/// Opens the sockets and the other parts that use the replica.
	int (*open)(struct loop *loop, struct error *err);
	/// Starts the replica.
	int (*open_replica)(struct loop *loop,
	    const struct replica_host_settings *host, struct error *err);
	/// Replaces the seeds; NULL if the program supports none.
	void (*set_seeds)(const struct replica_config *seeds);
	/// Frees everything but the loop.
	void (*close)(void);
};

/// Runs a program from its command line to its exit.
///
/// @return exit code of the process
int replica_program_main(
    const struct replica_program *program, int argc, char **argv);

#endif
