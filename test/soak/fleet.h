/// @file
/// The processes of a soak: settings, starts, signals, ends.
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
#define FLEET_SIZE \
	(FLEET_SOURCES + FLEET_LEDGERS + FLEET_PROXIES + FLEET_BACKENDS)

#define FLEET_PATH_BYTES 256
#define FLEET_HOST_BYTES 16

/// Ports, the same on each host; a relay stands before those of the second row.
enum fleet_port {
	PORT_OUTER = 7000,
	PORT_INNER = 7001,
	PORT_PEER = 7002,
	PORT_CONTROL = 7003,
	PORT_ADMIN = 7004,
	PORT_HTTP = 7005,
	PORT_RELAYED = 100, ///< Added to the port behind a relay.
};

enum fleet_kind { KIND_SOURCE, KIND_LEDGER, KIND_PROXY, KIND_BACKEND };

/// One program.
struct fleet_process {
	enum fleet_kind kind;
	uint32_t number; ///< Of its kind, from 1.
	char name[24];
	char host[FLEET_HOST_BYTES];
	pid_t pid;    ///< 0 while it does not run.
	bool first;   ///< It has not been started yet.
	bool may_end; ///< It was told to, or its disk is full.
	bool stopped; ///< By SIGSTOP.
	bool full;    ///< Its files may not grow.
	uint32_t starts;
	int64_t start_deadline_us;    ///< To be started again; 0: no.
	int64_t continue_deadline_us; ///< Of a stop; 0: none.
	int64_t free_deadline_us;     ///< Of a full disk; 0: none.
};

struct fleet {
	char bin[FLEET_PATH_BYTES];
	char folder[FLEET_PATH_BYTES];
	struct fleet_process processes[FLEET_SIZE];
	struct relays *relays;
	uint32_t relay_count;
	int unexpected_ends;
};

/// Writes the settings and opens the relays.
void fleet_create(struct fleet *fleet, const char *bin, const char *folder);

/// Ends all processes, by their ids.
void fleet_destroy(struct fleet *fleet);

struct fleet_process *fleet_get(
    struct fleet *fleet, enum fleet_kind kind, uint32_t number);

void fleet_start(struct fleet *fleet, struct fleet_process *p);

void fleet_signal(struct fleet_process *p, int signal);

/// Sets whether the files of a process may grow.
void fleet_set_full(struct fleet_process *p, bool full);

/// Sees which processes have ended, and does what is due.
void fleet_tick(struct fleet *fleet, int64_t now_us);

/// Undoes all that is under way: nothing is stopped, full or down.
void fleet_heal(struct fleet *fleet);

/// Starts another program.
pid_t fleet_spawn(
    struct fleet *fleet, const char *log_name, char *const argv[]);

#endif
