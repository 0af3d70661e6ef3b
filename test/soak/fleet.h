/// @file
/// Processes of the soak: settings, starts, signals and exits.
#ifndef MV_TEST_SOAK_FLEET_H
#define MV_TEST_SOAK_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "soak/relay.h"

#define FLEET_SOURCES  3
#define FLEET_LEDGERS  3
#define FLEET_PROXIES  6
#define FLEET_BACKENDS FLEET_PROXIES
#define FLEET_SERVICES 2
#define FLEET_SIZE \
	(FLEET_SOURCES + FLEET_LEDGERS + FLEET_PROXIES + FLEET_BACKENDS)

#define FLEET_PATH_BYTES 256
#define FLEET_HOST_BYTES 16

/// Ports, the same on each host. Some have a relay in front of them, which
/// listens on the port plus PORT_RELAY_OFFSET.
enum fleet_port {
	PORT_OUTER = 7000,
	PORT_INNER = 7001,
	PORT_PEER = 7002,
	PORT_CONTROL = 7003,
	PORT_ADMIN = 7004,
	PORT_HTTP = 7005,
	PORT_RELAY_OFFSET = 100, ///< Offset of a relay from its target.
};

enum fleet_kind { KIND_SOURCE, KIND_LEDGER, KIND_PROXY, KIND_BACKEND };

/// A process of the fleet.
struct fleet_process {
	enum fleet_kind kind;
	uint32_t number; ///< Among those of its kind, from 1.
	char name[24];
	char host[FLEET_HOST_BYTES];
	pid_t pid;	    ///< 0 while it is not running.
	bool never_started; ///< It has not been started yet.
	bool exit_expected; ///< It was signalled, or its disk is full.
	bool stopped;	    ///< It is stopped by SIGSTOP.
	bool disk_full;	    ///< RLIMIT_FSIZE keeps its files from growing.
	uint32_t starts;
	int64_t restart_deadline_us;   ///< When to start it; 0: never.
	int64_t continue_deadline_us;  ///< When to send SIGCONT; 0: at once.
	int64_t disk_full_deadline_us; ///< When to free it; 0: at once.
};

/// All processes and relays of a run.
struct fleet {
	char bin[FLEET_PATH_BYTES];
	char folder[FLEET_PATH_BYTES];
	struct fleet_process processes[FLEET_SIZE];
	struct relays *relays;
	uint32_t relay_count;
	int unexpected_exits;
};

/// Writes the settings of all processes and starts the relays, but no process.
void fleet_create(struct fleet *fleet, const char *bin, const char *folder);

/// Kills all processes and closes the relays.
void fleet_destroy(struct fleet *fleet);

/// Returns a process by its kind and number; aborts if there is none.
struct fleet_process *fleet_get(
    struct fleet *fleet, enum fleet_kind kind, uint32_t number);

/// Starts a process. The first start of a source or a ledger bootstraps it.
void fleet_start(struct fleet *fleet, struct fleet_process *p);

/// Sends a signal to a process; does nothing if it is not running.
void fleet_signal(struct fleet_process *p, int signal);

/// Sets whether the disk of a running process is full: its files cannot grow.
void fleet_set_disk_full(struct fleet_process *p, bool disk_full);

/// Records the processes that exited, and ends the downtimes, stops and full
/// disks that are due.
void fleet_tick(struct fleet *fleet, int64_t now_us);

/// Ends all faults: clears the relays, continues stopped processes, lifts file
/// size limits and restarts what has exited.
void fleet_clear_faults(struct fleet *fleet);

/// Starts a program that is not part of the fleet.
///
/// @param log_name  output goes to LOG_NAME.log in the folder of the run
/// @return its process id
pid_t fleet_spawn(
    struct fleet *fleet, const char *log_name, char *const argv[]);

#endif
