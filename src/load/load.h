/// @file
/// mvload: open-loop load generator with request classes and checked responses.
#ifndef MV_LOAD_LOAD_H
#define MV_LOAD_LOAD_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "io/http/httpc.h"
#include "io/loop.h"

#define LOAD_MAX_TARGETS 64
#define LOAD_MAX_CLASSES 16
#define LOAD_TEXT_BYTES	 128

/// Result of a request as its caller sees it.
enum load_result {
	LOAD_IN_TIME, ///< Correct response within the target.
	LOAD_LATE,    ///< Correct response after the target.
	LOAD_NOT_RUN, ///< Magnolia-Outcome: not-run.
	LOAD_REFUSED, ///< Magnolia-Outcome: refused.
	LOAD_UNKNOWN, ///< Any other Magnolia-Outcome, or status but 200.
	LOAD_WRONG,   ///< Response to another request, or truncated.
	LOAD_ERROR,   ///< Connection failure or timeout.
	LOAD_RESULT_COUNT,
};

/// A class of requests.
struct load_class {
	char name[LOAD_TEXT_BYTES];
	char method[16];
	char path[LOAD_TEXT_BYTES]; ///< Prefix; run id and number follow.
	char query[LOAD_TEXT_BYTES];
	double rate_per_s;
	int64_t target_us;
	int64_t timeout_us;
	uint32_t body_bytes;
	bool once;  ///< Sends an Idempotency-Key.
	bool named; ///< Sends a Magnolia-Request-Id; never resent.
	// State of the run.
	int64_t next_arrival_us;
	uint64_t sent;
	uint64_t results[LOAD_RESULT_COUNT];
	double *latencies_us; ///< Of correct responses.
	uint32_t latency_count;
	uint32_t latency_capacity;
};

/// Result of a request with a key, to be compared with its runs at the backend
/// servers.
struct load_key {
	char key[48];
	enum load_result result;
	uint32_t runs; ///< At all backend servers.
};

struct load {
	char targets[LOAD_MAX_TARGETS][LOAD_TEXT_BYTES];
	uint32_t target_count;
	char backends[LOAD_MAX_TARGETS][LOAD_TEXT_BYTES];
	uint32_t backend_count;
	struct load_class classes[LOAD_MAX_CLASSES];
	uint32_t class_count;
	double duration_s;
	double warmup_s;
	uint32_t seed;
	bool json;
	uint32_t resend; ///< Maximum of resends of a key.
	struct loop *loop;
	struct httpc *httpc;
	gsl_rng *rng;
	struct loop_watch arrival_timer; ///< Watches a timerfd.
	int64_t start_us;
	int64_t measure_start_us; ///< End of the warm-up.
	int64_t end_us;
	uint32_t active; ///< Requests in progress.
	uint64_t next_request_number;
	char run_id[16];
	char *body; ///< Shared request body.
	struct load_key *keys;
	uint32_t key_count;
	uint32_t key_capacity;
};

/// Sends all requests and waits until each has a result.
///
/// @return 0, or -1 with err set
int load_run(struct load *load, struct error *err);

/// Fetches from the backend servers how often each key ran.
///
/// @return 0, or -1 with err set
int load_count_runs(struct load *load, struct error *err);

/// Prints the results by class.
///
/// @return whether no request ran twice, was lost, got a wrong response or was
/// reported as not run although it ran
bool load_report(struct load *load, FILE *out);

#endif
