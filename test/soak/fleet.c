// Processes of the soak: settings, starts, signals and exits.
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "io/clock.h"
#include "soak/fleet.h"

/// Program, name prefix and hosts of each kind of process.
static const struct {
	const char *program;
	const char *name;
	uint32_t first_host;
	uint32_t count;
} kinds[] = {
    [KIND_SOURCE] = {"mvsource", "source", 201, FLEET_SOURCES},
    [KIND_LEDGER] = {"mvledger", "ledger", 211, FLEET_LEDGERS},
    [KIND_PROXY] = {"mvproxy", "proxy", 1, FLEET_PROXIES},
    [KIND_BACKEND] = {"fake-backend", "backend", 1, FLEET_BACKENDS},
};

/// Returns the first three octets of the hosts. They differ between runs, so
/// that concurrent runs do not connect to each other.
static const char *
get_net_prefix(void)
{
	static char net[FLEET_HOST_BYTES];

	snprintf(net, sizeof(net), "127.%d.%d", 1 + (int)(getpid() / 250 % 250),
	    1 + (int)(getpid() % 250));
	return net;
}

struct fleet_process *
fleet_get(struct fleet *fleet, enum fleet_kind kind, uint32_t number)
{
	uint32_t i;

	for (i = 0; i < FLEET_SIZE; i++)
		if (fleet->processes[i].kind == kind &&
		    fleet->processes[i].number == number)
			return &fleet->processes[i];
	abort();
}

/// Writes the addresses of all processes of a kind as a JSON array of
/// `"IP:port"`, or of `"N=IP:port"` if numbered.
static void
write_addresses(FILE *f, enum fleet_kind kind, bool numbered, int port)
{
	uint32_t i;

	fprintf(f, "[");
	for (i = 0; i < kinds[kind].count; i++) {
		fprintf(f, "%s\"", i == 0 ? "" : ", ");
		if (numbered)
			fprintf(f, "%u=", i + 1);
		fprintf(f, "%s.%u:%d\"", get_net_prefix(),
		    kinds[kind].first_host + i, port);
	}
	fprintf(f, "]");
}

static void
write_replica(FILE *f, const struct fleet *fleet, const struct fleet_process *p)
{
	fprintf(f,
	    "\"data_path\": \"%s/%s.data\", \"cluster\": \"soak\", \"id\": %u,"
	    " \"election_ms\": 400, \"heartbeat_ms\": 60, \"replicas\": ",
	    fleet->folder, p->name, p->number);
	write_addresses(f, p->kind, true, PORT_CONTROL + PORT_RELAY_OFFSET);
	if (p->kind == KIND_LEDGER)
		fprintf(f,
		    ", \"listen\": {\"control\": \"%s:%d\", \"admin\": "
		    "\"%s:%d\"}",
		    p->host, PORT_CONTROL, p->host, PORT_ADMIN);
	else
		fprintf(f,
		    ", \"region\": \"r0\", \"dc\": \"r0-0\", \"host\": \"%s\", "
		    "\"listen\": {\"control\": \"%s:%d\", \"operators\": "
		    "\"%s:%d\"}",
		    p->host, p->host, PORT_CONTROL, p->host, PORT_HTTP);
}

static void
write_proxy(FILE *f, const struct fleet_process *p)
{
	fprintf(f,
	    "\"name\": \"n%u\", \"region\": \"r%u\", \"dc\": \"r%u-%u\", "
	    "\"host\": \"%s\", \"listen\": {\"outer\": \"%s:%d\", \"inner\": "
	    "\"%s:%d\", \"peer\": \"%s:%d\", \"control\": \"%s:%d\", "
	    "\"admin\": \"%s:%d\"}, \"tell\": {\"peer_port\": %d}, "
	    "\"report_ms\": 500, \"gossip\": {\"probe_ms\": 300, "
	    "\"retry_dead_ms\": 1000}, \"drain\": {\"announce_ms\": 300, "
	    "\"limit_ms\": 4000}, \"seeds\": [\"%s.1:%d\", \"%s.2:%d\"], "
	    "\"sources\": ",
	    p->number, p->number % 3, p->number % 3, p->number / 3 % 2, p->host,
	    p->host, PORT_OUTER, p->host, PORT_INNER, p->host, PORT_PEER,
	    p->host, PORT_CONTROL, p->host, PORT_ADMIN,
	    PORT_PEER + PORT_RELAY_OFFSET, get_net_prefix(), PORT_CONTROL,
	    get_net_prefix(), PORT_CONTROL);
	write_addresses(f, KIND_SOURCE, false, PORT_CONTROL);
	fprintf(f, ", \"ledgers\": ");
	write_addresses(
	    f, KIND_LEDGER, false, PORT_CONTROL + PORT_RELAY_OFFSET);
}

static void
write_settings(const struct fleet *fleet, const struct fleet_process *p)
{
	char path[2 * FLEET_PATH_BYTES];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s.json", fleet->folder, p->name);
	f = fopen(path, "w");
	assert(f != NULL);
	fprintf(f, "{\"log\": {\"json\": true, \"lines_per_s\": 0}, ");
	if (p->kind == KIND_PROXY)
		write_proxy(f, p);
	else if (p->kind == KIND_BACKEND)
		fprintf(f,
		    "\"name\": \"b%u\", \"service\": \"s%u\", \"listen\": "
		    "\"%s:%d\", \"told\": \"%s:%d\", \"service_us\": 20000, "
		    "\"version\": \"v%u\", "
		    "\"proxy\": {\"admin\": \"%s:%d\"}",
		    p->number, p->number % FLEET_SERVICES, p->host, PORT_HTTP,
		    p->host, PORT_HTTP + PORT_RELAY_OFFSET,
		    1 + p->number / FLEET_SERVICES % 2, p->host, PORT_ADMIN);
	else
		write_replica(f, fleet, p);
	fprintf(f, "}\n");
	fclose(f);
}

static void
add_relay(struct fleet *fleet, const struct fleet_process *p, int port)
{
	struct address at;
	struct address to;

	address_make(p->host, (uint32_t)(port + PORT_RELAY_OFFSET), &at);
	address_make(p->host, (uint32_t)port, &to);
	relays_add(fleet->relays, &at, &to);
	fleet->relay_count++;
}

static void
add_process(struct fleet *fleet, struct fleet_process *p, enum fleet_kind kind,
    uint32_t number)
{
	p->kind = kind;
	p->number = number;
	p->never_started = true;
	snprintf(p->name, sizeof(p->name), "%s-%u", kinds[kind].name, number);
	snprintf(p->host, sizeof(p->host), "%.11s.%u", get_net_prefix(),
	    kinds[kind].first_host + number - 1);
	write_settings(fleet, p);
	switch (kind) {
	case KIND_SOURCE:
	case KIND_LEDGER:
		add_relay(fleet, p, PORT_CONTROL);
		break;
	case KIND_PROXY:
		add_relay(fleet, p, PORT_OUTER);
		add_relay(fleet, p, PORT_PEER);
		break;
	case KIND_BACKEND:
		add_relay(fleet, p, PORT_HTTP);
		break;
	}
}

void
fleet_create(struct fleet *fleet, const char *bin, const char *folder)
{
	uint32_t count = 0;
	uint32_t kind;
	uint32_t i;

	memset(fleet, 0, sizeof(*fleet));
	snprintf(fleet->bin, sizeof(fleet->bin), "%s", bin);
	snprintf(fleet->folder, sizeof(fleet->folder), "%s", folder);
	fleet->relays = relays_create();
	for (kind = KIND_SOURCE; kind <= KIND_BACKEND; kind++)
		for (i = 1; i <= kinds[kind].count; i++)
			add_process(fleet, &fleet->processes[count++],
			    (enum fleet_kind)kind, i);
	relays_start(fleet->relays);
}

pid_t
fleet_spawn(struct fleet *fleet, const char *log_name, char *const argv[])
{
	char path[2 * FLEET_PATH_BYTES];
	sigset_t none;
	pid_t pid;
	int fd;

	snprintf(path, sizeof(path), "%s/%s.log", fleet->folder, log_name);
	pid = fork();
	assert(pid >= 0);
	if (pid > 0)
		return pid;
	fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0640);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	execv(argv[0], argv);
	_exit(127);
}

void
fleet_start(struct fleet *fleet, struct fleet_process *p)
{
	char program[2 * FLEET_PATH_BYTES];
	char settings[2 * FLEET_PATH_BYTES];
	char *argv[4] = {program, settings, NULL, NULL};
	bool replica = p->kind == KIND_SOURCE || p->kind == KIND_LEDGER;

	snprintf(program, sizeof(program), "%s/%s", fleet->bin,
	    kinds[p->kind].program);
	snprintf(
	    settings, sizeof(settings), "%s/%s.json", fleet->folder, p->name);
	if (replica && p->never_started)
		argv[2] = "--bootstrap";
	p->pid = fleet_spawn(fleet, p->name, argv);
	p->never_started = false;
	p->exit_expected = p->stopped = p->disk_full = false;
	p->restart_deadline_us = p->continue_deadline_us = 0;
	p->disk_full_deadline_us = 0;
	p->starts++;
}

void
fleet_signal(struct fleet_process *p, int signal)
{
	if (p->pid == 0)
		return;
	if (signal == SIGKILL || signal == SIGTERM)
		p->exit_expected = true;
	if (signal == SIGSTOP)
		p->stopped = true;
	if (signal == SIGCONT)
		p->stopped = false;
	kill(p->pid, signal);
}

void
fleet_set_disk_full(struct fleet_process *p, bool disk_full)
{
	struct rlimit limit = {disk_full ? 1 : RLIM_INFINITY, RLIM_INFINITY};

	if (p->pid == 0)
		return;
	p->disk_full = disk_full;
	p->exit_expected |= disk_full;
	prlimit(p->pid, RLIMIT_FSIZE, &limit, NULL);
}

/// Records the exit of a process and schedules its restart. An exit that the
/// soak did not cause counts as unexpected.
static void
record_exit(struct fleet *fleet, struct fleet_process *p, int status)
{
	if (!p->exit_expected) {
		printf("%s ended by itself: %s %d\n", p->name,
		    WIFSIGNALED(status) ? "signal" : "exit code",
		    WIFSIGNALED(status) ? WTERMSIG(status)
					: WEXITSTATUS(status));
		fleet->unexpected_exits++;
	}
	p->pid = 0;
	// Restarts it at once, as a supervisor does.
	if (p->restart_deadline_us == 0)
		p->restart_deadline_us = clock_now_us();
}

void
fleet_tick(struct fleet *fleet, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < FLEET_SIZE; i++) {
		struct fleet_process *p = &fleet->processes[i];
		int status;

		if (p->pid != 0 && waitpid(p->pid, &status, WNOHANG) == p->pid)
			record_exit(fleet, p, status);
		if (p->stopped && p->continue_deadline_us <= now_us)
			fleet_signal(p, SIGCONT);
		if (p->disk_full && p->disk_full_deadline_us <= now_us)
			fleet_set_disk_full(p, false);
		if (p->pid == 0 && p->restart_deadline_us != 0 &&
		    p->restart_deadline_us <= now_us)
			fleet_start(fleet, p);
	}
}

void
fleet_clear_faults(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->relay_count; i++)
		relays_set_fault(fleet->relays, i, RELAY_NO_FAULT);
	for (i = 0; i < FLEET_SIZE; i++) {
		struct fleet_process *p = &fleet->processes[i];

		p->continue_deadline_us = p->disk_full_deadline_us = 0;
		if (p->restart_deadline_us != 0)
			p->restart_deadline_us = 1;
	}
	fleet_tick(fleet, clock_now_us());
}

void
fleet_destroy(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < FLEET_SIZE; i++) {
		struct fleet_process *p = &fleet->processes[i];

		if (p->pid == 0)
			continue;
		kill(p->pid, SIGKILL);
		waitpid(p->pid, NULL, 0);
	}
	relays_destroy(fleet->relays);
}
