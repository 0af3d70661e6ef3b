// mvsoak: random faults against a fleet of the real programs on one machine.
//
// The load tool checks what callers and backend servers observe: no response of
// another request, no request run twice, none reported "not run" that ran. The
// operator checks that no proxy returns to an older version, that no valid
// change is refused and that no accepted change is lost. When the faults have
// ended, the whole fleet must recover.
#include <apr_general.h>
#include <argp.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "core/random.h"
#include "io/clock.h"
#include "io/program.h"
#include "soak/fleet.h"
#include "soak/operator.h"

#define START_WAIT_US	       (20 * US_PER_S)
#define RECOVERY_US	       (15 * US_PER_S)
#define TICK_US		       (20 * US_PER_MS)
#define CHECK_INTERVAL_US      (250 * US_PER_MS)
#define SUBMIT_INTERVAL_US     (700 * US_PER_MS)
#define MEAN_FAULT_INTERVAL_US (500 * US_PER_MS)
#define MAX_PAUSE_US	       (2500 * US_PER_MS)
#define MAX_DOWN_US	       (1500 * US_PER_MS)
#define MAX_FAULT_US	       (3 * US_PER_S)
#define LOAD_ARGS	       64
#define MAX_TIMED_FAULTS       16

const char *argp_program_version = "mvsoak " MV_VERSION;

static const char program_doc[] =
    "Random faults against a fleet of the real programs.\v"
    "Exit codes: 0 all promises were kept; 1 one was broken: its seed is "
    "printed and the logs are kept; 2 usage.";

static const struct argp_option program_options[] = {
    {"bin", 'b', "FOLDER", 0, "Programs (default build/bin)", 0},
    {"first", 'f', "SEED", 0, "First seed (default 1)", 0},
    {"seeds", 'n', "N", 0, "Number of seeds (default 1)", 0},
    {"duration", 'd', "SECONDS", 0, "Time under faults (default 15)", 0},
    {"keep", 'k', NULL, 0, "Keep the logs of good runs too", 0},
    {0},
};

struct soak {
	char bin[FLEET_PATH_BYTES];
	uint64_t first_seed;
	uint64_t seeds;
	int64_t duration_s;
	bool keep;
};

/// A fault that ends at a set time.
struct timed_fault {
	int64_t deadline_us; ///< When it ends; 0: the slot is free.
	uint32_t relay;
	struct fleet_process *backend; ///< NULL: the fault is of the relay.
	char behaviour[24]; ///< Set on the backend server at the end.
};

/// The run of one seed.
struct run {
	struct fleet fleet;
	struct soak_operator op;
	struct random random;
	struct timed_fault timed_faults[MAX_TIMED_FAULTS];
	uint32_t faults; ///< Faults injected.
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	struct soak *soak = state->input;

	switch (key) {
	case 'b':
		snprintf(soak->bin, sizeof(soak->bin), "%s", arg);
		return 0;
	case 'f':
		soak->first_seed = strtoull(arg, NULL, 10);
		return 0;
	case 'n':
		soak->seeds = strtoull(arg, NULL, 10);
		return 0;
	case 'd':
		soak->duration_s = strtoll(arg, NULL, 10);
		return 0;
	case 'k':
		soak->keep = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static struct timed_fault *
find_free_timed_fault(struct run *run)
{
	uint32_t i;

	for (i = 0; i < MAX_TIMED_FAULTS; i++)
		if (run->timed_faults[i].deadline_us == 0)
			return &run->timed_faults[i];
	return NULL;
}

static void
end_timed_faults(struct run *run, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < MAX_TIMED_FAULTS; i++) {
		struct timed_fault *fault = &run->timed_faults[i];

		if (fault->deadline_us == 0 || fault->deadline_us > now_us)
			continue;
		fault->deadline_us = 0;
		if (fault->backend != NULL)
			operator_set_behaviour(
			    fault->backend, fault->behaviour);
		else
			relays_set_fault(
			    run->fleet.relays, fault->relay, RELAY_NO_FAULT);
	}
}

static struct fleet_process *
pick_process(struct run *run, uint32_t count)
{
	return &run->fleet.processes[random_below(&run->random, count)];
}

static void
inject_relay_fault(struct run *run, int64_t now_us)
{
	struct timed_fault *fault = find_free_timed_fault(run);

	if (fault == NULL)
		return;
	memset(fault, 0, sizeof(*fault));
	fault->relay = random_below(&run->random, run->fleet.relay_count);
	fault->deadline_us =
	    now_us + random_time_us(&run->random, MAX_FAULT_US) + 1;
	relays_set_fault(run->fleet.relays, fault->relay,
	    (enum relay_fault)(
		1 + random_below(&run->random, RELAY_FAULT_COUNT - 1)));
}

static void
inject_backend_fault(struct run *run, int64_t now_us)
{
	static const char *const behaviours[][2] = {{"shed=1", "shed=0"},
	    {"stall=1", "stall=0"}, {"fail=1", "fail=0"},
	    {"service_us=400000", "service_us=20000"}};
	uint32_t what = random_below(&run->random, 4);
	struct timed_fault *fault = find_free_timed_fault(run);

	if (fault == NULL)
		return;
	memset(fault, 0, sizeof(*fault));
	fault->backend = fleet_get(&run->fleet, KIND_BACKEND,
	    1 + random_below(&run->random, FLEET_BACKENDS));
	snprintf(fault->behaviour, sizeof(fault->behaviour), "%s",
	    behaviours[what][1]);
	fault->deadline_us =
	    now_us + random_time_us(&run->random, MAX_FAULT_US) + 1;
	operator_set_behaviour(fault->backend, behaviours[what][0]);
}

/// Kills or terminates a process and schedules its restart. Leaves out the fake
/// backend servers: they count their runs in memory, which the checks need.
static void
terminate_process(struct run *run, int64_t now_us, int signal)
{
	struct fleet_process *p =
	    pick_process(run, FLEET_SIZE - FLEET_BACKENDS);

	fleet_signal(p, signal);
	if (p->pid != 0 && p->restart_deadline_us == 0)
		p->restart_deadline_us =
		    now_us + random_time_us(&run->random, MAX_DOWN_US) + 1;
}

static void
pause_process(struct run *run, int64_t now_us)
{
	struct fleet_process *p = pick_process(run, FLEET_SIZE);

	p->continue_deadline_us =
	    now_us + random_time_us(&run->random, MAX_PAUSE_US);
	fleet_signal(p, SIGSTOP);
}

static void
fill_disk(struct run *run, int64_t now_us)
{
	struct fleet_process *p =
	    pick_process(run, FLEET_SOURCES + FLEET_LEDGERS);

	p->disk_full_deadline_us =
	    now_us + random_time_us(&run->random, MAX_PAUSE_US);
	fleet_set_disk_full(p, true);
}

/// Kills all processes of a kind at once; leaves out the backend servers.
static void
kill_all_of_kind(struct run *run, int64_t now_us)
{
	enum fleet_kind kind =
	    (enum fleet_kind)random_below(&run->random, KIND_PROXY + 1);
	uint32_t i;

	for (i = 0; i < FLEET_SIZE; i++) {
		struct fleet_process *p = &run->fleet.processes[i];

		if (p->kind != kind || p->pid == 0)
			continue;
		fleet_signal(p, SIGKILL);
		p->restart_deadline_us =
		    now_us + random_time_us(&run->random, MAX_DOWN_US) + 1;
	}
}

static void
inject_fault(struct run *run, int64_t now_us)
{
	uint32_t what = random_below(&run->random, 100);

	run->faults++;
	if (what < 38)
		inject_relay_fault(run, now_us);
	else if (what < 52)
		terminate_process(run, now_us, SIGKILL);
	else if (what < 62)
		terminate_process(run, now_us, SIGTERM);
	else if (what < 77)
		pause_process(run, now_us);
	else if (what < 85)
		inject_backend_fault(run, now_us);
	else if (what < 90)
		fleet_signal(
		    pick_process(run, FLEET_SIZE - FLEET_BACKENDS), SIGHUP);
	else if (what < 97)
		fill_disk(run, now_us);
	else
		kill_all_of_kind(run, now_us);
}

static pid_t
start_load(struct run *run, uint64_t seed, int64_t duration_s, const char *name)
{
	static char texts[LOAD_ARGS][FLEET_PATH_BYTES + 64];
	static const char *const classes[] = {
	    "name=log,path=/log/,rate=60,target=2000,timeout=5000",
	    "name=book,method=POST,path=/book/,rate=30,body=40,once,"
	    "target=5000,timeout=8000",
	    "name=plain,method=POST,path=/plain/,rate=30,body=40,named,"
	    "target=4000,timeout=5000",
	    "name=up,method=POST,path=/up/,rate=5,body=100000,named,"
	    "target=4000,timeout=5000"};
	char *argv[LOAD_ARGS + 1];
	uint32_t n = 0;
	uint32_t i;

	snprintf(texts[n++], sizeof(texts[0]), "%s/mvload", run->fleet.bin);
	for (i = 1; i <= FLEET_PROXIES; i++) {
		snprintf(texts[n++], sizeof(texts[0]), "-t%s:%d",
		    fleet_get(&run->fleet, KIND_PROXY, i)->host,
		    PORT_OUTER + PORT_RELAY_OFFSET);
		snprintf(texts[n++], sizeof(texts[0]), "-b%s:%d",
		    fleet_get(&run->fleet, KIND_BACKEND, i)->host, PORT_HTTP);
	}
	for (i = 0; i < sizeof(classes) / sizeof(classes[0]); i++)
		snprintf(texts[n++], sizeof(texts[0]), "-c%s", classes[i]);
	snprintf(texts[n++], sizeof(texts[0]), "-d%" PRId64, duration_s);
	snprintf(texts[n++], sizeof(texts[0]), "-s%u", (uint32_t)seed + 1);
	snprintf(texts[n++], sizeof(texts[0]), "-w0");
	snprintf(texts[n++], sizeof(texts[0]), "-r20");
	for (i = 0; i < n; i++)
		argv[i] = texts[i];
	argv[n] = NULL;
	return fleet_spawn(&run->fleet, name, argv);
}

/// Prints the output of a program.
static void
print_log(const struct run *run, const char *name)
{
	char path[2 * FLEET_PATH_BYTES];
	char line[400];
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s.log", run->fleet.folder, name);
	f = fopen(path, "r");
	while (f != NULL && fgets(line, sizeof(line), f) != NULL)
		printf("  %s", line);
	if (f != NULL)
		fclose(f);
}

/// Waits until all proxies serve from the last acknowledged version. Submits
/// one if there is none.
static bool
wait_in_force(struct run *run, int64_t wait_us)
{
	int64_t deadline_us = clock_now_us() + wait_us;

	do {
		fleet_tick(&run->fleet, clock_now_us());
		if (run->op.accepted > 0 &&
		    operator_check_versions(&run->op) == FLEET_PROXIES)
			return true;
		if (run->op.accepted == 0)
			operator_submit_rules(&run->op, &run->random);
		usleep(TICK_US);
	} while (clock_now_us() < deadline_us);
	return false;
}

/// Injects faults, submits rules and checks versions for a given time.
static void
run_faults(struct run *run, int64_t duration_s)
{
	int64_t now_us = clock_now_us();
	int64_t end_us = now_us + duration_s * US_PER_S;
	int64_t fault_us = now_us;
	int64_t check_us = now_us;
	int64_t submit_us = now_us;

	for (; now_us < end_us; now_us = clock_now_us()) {
		fleet_tick(&run->fleet, now_us);
		end_timed_faults(run, now_us);
		if (now_us >= fault_us) {
			inject_fault(run, now_us);
			fault_us = now_us +
			    random_time_us(
				&run->random, 2 * MEAN_FAULT_INTERVAL_US);
		}
		if (now_us >= check_us) {
			operator_check_versions(&run->op);
			check_us = now_us + CHECK_INTERVAL_US;
		}
		if (now_us >= submit_us) {
			operator_submit_rules(&run->op, &run->random);
			operator_submit_rollout(&run->op);
			operator_check_rollouts(&run->op);
			submit_us = now_us + SUBMIT_INTERVAL_US;
		}
		usleep(TICK_US);
	}
}

static void
clear_faults(struct run *run)
{
	uint32_t i;

	for (i = 0; i < MAX_TIMED_FAULTS; i++)
		if (run->timed_faults[i].deadline_us != 0)
			run->timed_faults[i].deadline_us = 1;
	fleet_clear_faults(&run->fleet);
	end_timed_faults(run, clock_now_us());
}

static bool
wait_load(struct run *run, pid_t pid, const char *name)
{
	int status;

	while (waitpid(pid, &status, WNOHANG) != pid) {
		fleet_tick(&run->fleet, clock_now_us());
		usleep(TICK_US);
	}
	if (WIFEXITED(status) && WEXITSTATUS(status) == 0)
		return true;
	printf("%s found what must not be:\n", name);
	print_log(run, name);
	return false;
}

/// Retries the read of the rules: sources that have just restarted have no
/// leader yet.
static bool
wait_accepted(struct run *run)
{
	int64_t deadline_us = clock_now_us() + RECOVERY_US;

	do {
		fleet_tick(&run->fleet, clock_now_us());
		if (operator_check_accepted(&run->op)) {
			operator_check_rollouts(&run->op);
			return run->op.violations == 0;
		}
		usleep(TICK_US);
	} while (clock_now_us() < deadline_us && run->op.violations == 0);
	return false;
}

/// Checks that the whole fleet works when the faults have ended.
static bool
check_recovery(struct run *run, uint64_t seed)
{
	bool ok = true;

	if (!wait_in_force(run, RECOVERY_US)) {
		printf("not in force everywhere after the faults: version "
		       "%" PRIu64 "\n",
		    run->op.accepted);
		ok = false;
	}
	if (!wait_accepted(run)) {
		printf("the accepted version cannot be read back\n");
		ok = false;
	}
	return wait_load(
		   run, start_load(run, seed + 1000000, 2, "after"), "after") &&
	    ok;
}

static bool
run_seed(const struct soak *soak, uint64_t seed)
{
	static struct run run;
	char folder[] = "/tmp/mvsoak.XXXXXX";
	char remove_command[64];
	uint32_t i;
	pid_t load;
	bool ok;

	memset(&run, 0, sizeof(run));
	if (mkdtemp(folder) == NULL)
		abort();
	run.random.seed = seed;
	fleet_create(&run.fleet, soak->bin, folder);
	operator_init(&run.op, &run.fleet, seed);
	for (i = 0; i < FLEET_SIZE; i++)
		fleet_start(&run.fleet, &run.fleet.processes[i]);
	ok = wait_in_force(&run, START_WAIT_US);
	if (!ok)
		printf("the fleet did not start\n");
	// Leaves the members time to discover each other.
	usleep(US_PER_S);
	load = start_load(&run, seed, soak->duration_s, "load");
	run_faults(&run, soak->duration_s);
	clear_faults(&run);
	ok &= wait_load(&run, load, "load");
	ok &= check_recovery(&run, seed);
	ok &= run.op.violations == 0 && run.fleet.unexpected_exits == 0;
	printf("seed %" PRIu64 ": %s, %u faults, %" PRIu64 " versions%s%s\n",
	    seed, ok ? "ok" : "BROKEN", run.faults, run.op.accepted,
	    ok ? "" : ", logs in ", ok ? "" : folder);
	fflush(stdout);
	fleet_destroy(&run.fleet);
	if (ok && !soak->keep) {
		snprintf(remove_command, sizeof(remove_command), "rm -rf %s",
		    folder);
		if (system(remove_command) != 0)
			printf("cannot remove %s\n", folder);
	}
	return ok;
}

int
main(int argc, char **argv)
{
	struct soak soak = {
	    .bin = "build/bin", .first_seed = 1, .seeds = 1, .duration_s = 15};
	struct argp argp = {.options = program_options,
	    .parser = parse_option,
	    .doc = program_doc};
	uint64_t broken = 0;
	uint64_t i;

	argp_err_exit_status = EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &soak);
	signal(SIGPIPE, SIG_IGN);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (i = 0; i < soak.seeds; i++)
		broken += !run_seed(&soak, soak.first_seed + i);
	printf("%" PRIu64 " of %" PRIu64 " seeds broken\n", broken, soak.seeds);
	curl_global_cleanup();
	apr_terminate();
	return broken == 0 ? EXIT_OK : EXIT_FAILED;
}
