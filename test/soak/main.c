// mvsoak: random faults against a fleet of the real programs on one machine.
//
// The load tool checks what callers and backend servers see: no answer of
// another request, nothing doubled, nothing told "not run" that ran. The
// operator checks that no proxy goes back, that no proper change is refused and
// none that was accepted is lost. After the faults all must work again.
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

#define START_WAIT_US (20 * US_PER_S)
#define RECOVERY_US   (15 * US_PER_S)
#define TICK_US	      (20 * US_PER_MS)
#define WATCH_US      (250 * US_PER_MS)
#define CHANGE_US     (700 * US_PER_MS)
#define FAULT_MEAN_US (500 * US_PER_MS)
#define MAX_PAUSE_US  (2500 * US_PER_MS)
#define MAX_DOWN_US   (1500 * US_PER_MS)
#define MAX_HARM_US   (3 * US_PER_S)
#define LOAD_ARGS     64
#define MAX_RESTORES  16

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

/// A harm that ends by itself.
struct restore {
	int64_t deadline_us; ///< 0: free.
	uint32_t relay;
	struct fleet_process *backend; ///< NULL: it is a relay's.
	char behaviour[24];
};

/// One run under a seed.
struct run {
	struct fleet fleet;
	struct soak_operator op;
	struct random random;
	struct restore restores[MAX_RESTORES];
	uint32_t faults;
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

static struct restore *
free_restore(struct run *run)
{
	uint32_t i;

	for (i = 0; i < MAX_RESTORES; i++)
		if (run->restores[i].deadline_us == 0)
			return &run->restores[i];
	return NULL;
}

static void
end_restores(struct run *run, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < MAX_RESTORES; i++) {
		struct restore *r = &run->restores[i];

		if (r->deadline_us == 0 || r->deadline_us > now_us)
			continue;
		r->deadline_us = 0;
		if (r->backend != NULL)
			operator_set_behaviour(r->backend, r->behaviour);
		else
			relays_set(run->fleet.relays, r->relay, RELAY_CLEAR);
	}
}

static struct fleet_process *
draw_process(struct run *run, uint32_t count)
{
	return &run->fleet.processes[random_below(&run->random, count)];
}

static void
harm_relay(struct run *run, int64_t now_us)
{
	struct restore *r = free_restore(run);

	if (r == NULL)
		return;
	memset(r, 0, sizeof(*r));
	r->relay = random_below(&run->random, run->fleet.relay_count);
	r->deadline_us = now_us + random_time_us(&run->random, MAX_HARM_US) + 1;
	relays_set(run->fleet.relays, r->relay,
	    (enum relay_fault)(
		1 + random_below(&run->random, RELAY_FAULTS - 1)));
}

static void
harm_backend(struct run *run, int64_t now_us)
{
	static const char *const behaviours[][2] = {{"shed=1", "shed=0"},
	    {"stall=1", "stall=0"}, {"fail=1", "fail=0"},
	    {"service_us=400000", "service_us=20000"}};
	uint32_t what = random_below(&run->random, 4);
	struct restore *r = free_restore(run);

	if (r == NULL)
		return;
	memset(r, 0, sizeof(*r));
	r->backend = fleet_get(&run->fleet, KIND_BACKEND,
	    1 + random_below(&run->random, FLEET_BACKENDS));
	snprintf(r->behaviour, sizeof(r->behaviour), "%s", behaviours[what][1]);
	r->deadline_us = now_us + random_time_us(&run->random, MAX_HARM_US) + 1;
	operator_set_behaviour(r->backend, behaviours[what][0]);
}

/// Ends a process, to be started again. A stand-in counts what it ran, in
/// memory: it is never ended.
static void
end_process(struct run *run, int64_t now_us, int signal)
{
	struct fleet_process *p =
	    draw_process(run, FLEET_SIZE - FLEET_BACKENDS);

	fleet_signal(p, signal);
	if (p->pid != 0 && p->start_deadline_us == 0)
		p->start_deadline_us =
		    now_us + random_time_us(&run->random, MAX_DOWN_US) + 1;
}

static void
pause_process(struct run *run, int64_t now_us)
{
	struct fleet_process *p = draw_process(run, FLEET_SIZE);

	p->continue_deadline_us =
	    now_us + random_time_us(&run->random, MAX_PAUSE_US);
	fleet_signal(p, SIGSTOP);
}

static void
fill_disk(struct run *run, int64_t now_us)
{
	struct fleet_process *p =
	    draw_process(run, FLEET_SOURCES + FLEET_LEDGERS);

	p->free_deadline_us =
	    now_us + random_time_us(&run->random, MAX_PAUSE_US);
	fleet_set_full(p, true);
}

/// All of a kind at the same moment.
static void
end_herd(struct run *run, int64_t now_us)
{
	enum fleet_kind kind =
	    (enum fleet_kind)random_below(&run->random, KIND_PROXY + 1);
	uint32_t i;

	for (i = 0; i < FLEET_SIZE; i++) {
		struct fleet_process *p = &run->fleet.processes[i];

		if (p->kind != kind || p->pid == 0)
			continue;
		fleet_signal(p, SIGKILL);
		p->start_deadline_us =
		    now_us + random_time_us(&run->random, MAX_DOWN_US) + 1;
	}
}

static void
inject(struct run *run, int64_t now_us)
{
	uint32_t what = random_below(&run->random, 100);

	run->faults++;
	if (what < 38)
		harm_relay(run, now_us);
	else if (what < 52)
		end_process(run, now_us, SIGKILL);
	else if (what < 62)
		end_process(run, now_us, SIGTERM);
	else if (what < 77)
		pause_process(run, now_us);
	else if (what < 85)
		harm_backend(run, now_us);
	else if (what < 90)
		fleet_signal(
		    draw_process(run, FLEET_SIZE - FLEET_BACKENDS), SIGHUP);
	else if (what < 97)
		fill_disk(run, now_us);
	else
		end_herd(run, now_us);
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
		    PORT_OUTER + PORT_RELAYED);
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

/// Copies the end of a program's output.
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

/// Waits until all proxies serve what was acknowledged last.
static bool
wait_in_force(struct run *run, int64_t wait_us)
{
	int64_t deadline_us = clock_now_us() + wait_us;

	do {
		fleet_tick(&run->fleet, clock_now_us());
		if (run->op.accepted > 0 &&
		    operator_watch(&run->op) == FLEET_PROXIES)
			return true;
		if (run->op.accepted == 0)
			operator_change(&run->op, &run->random);
		usleep(TICK_US);
	} while (clock_now_us() < deadline_us);
	return false;
}

/// Faults and changes in turn, until it is time to let all recover.
static void
harm(struct run *run, int64_t duration_s)
{
	int64_t now_us = clock_now_us();
	int64_t end_us = now_us + duration_s * US_PER_S;
	int64_t fault_us = now_us;
	int64_t watch_us = now_us;
	int64_t change_us = now_us;

	for (; now_us < end_us; now_us = clock_now_us()) {
		fleet_tick(&run->fleet, now_us);
		end_restores(run, now_us);
		if (now_us >= fault_us) {
			inject(run, now_us);
			fault_us = now_us +
			    random_time_us(&run->random, 2 * FAULT_MEAN_US);
		}
		if (now_us >= watch_us) {
			operator_watch(&run->op);
			watch_us = now_us + WATCH_US;
		}
		if (now_us >= change_us) {
			operator_change(&run->op, &run->random);
			change_us = now_us + CHANGE_US;
		}
		usleep(TICK_US);
	}
}

static void
heal(struct run *run)
{
	uint32_t i;

	for (i = 0; i < MAX_RESTORES; i++)
		if (run->restores[i].deadline_us != 0)
			run->restores[i].deadline_us = 1;
	fleet_heal(&run->fleet);
	end_restores(run, clock_now_us());
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

/// Sources that came back a moment ago have no leader yet.
static bool
wait_read_back(struct run *run)
{
	int64_t deadline_us = clock_now_us() + RECOVERY_US;

	do {
		fleet_tick(&run->fleet, clock_now_us());
		if (operator_read_back(&run->op))
			return true;
		usleep(TICK_US);
	} while (clock_now_us() < deadline_us && run->op.faults == 0);
	return false;
}

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
	if (!wait_read_back(run)) {
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
	char remove[64];
	uint32_t i;
	pid_t load;
	bool ok;

	memset(&run, 0, sizeof(run));
	if (mkdtemp(folder) == NULL)
		abort();
	run.random.seed = seed;
	fleet_create(&run.fleet, soak->bin, folder);
	operator_init(&run.op, &run.fleet);
	for (i = 0; i < FLEET_SIZE; i++)
		fleet_start(&run.fleet, &run.fleet.processes[i]);
	ok = wait_in_force(&run, START_WAIT_US);
	if (!ok)
		printf("the fleet did not start\n");
	// Members get to know each other.
	usleep(US_PER_S);
	load = start_load(&run, seed, soak->duration_s, "load");
	harm(&run, soak->duration_s);
	heal(&run);
	ok &= wait_load(&run, load, "load");
	ok &= check_recovery(&run, seed);
	ok &= run.op.faults == 0 && run.fleet.unexpected_ends == 0;
	printf("seed %" PRIu64 ": %s, %u faults, %" PRIu64 " versions%s%s\n",
	    seed, ok ? "ok" : "BROKEN", run.faults, run.op.accepted,
	    ok ? "" : ", logs in ", ok ? "" : folder);
	fflush(stdout);
	fleet_destroy(&run.fleet);
	if (ok && !soak->keep) {
		snprintf(remove, sizeof(remove), "rm -rf %s", folder);
		if (system(remove) != 0)
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
