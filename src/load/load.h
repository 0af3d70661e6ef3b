/// @file
/// mvload: open-loop load by class of work, with checked answers.
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

/// What became of a request, as its caller sees it.
enum load_result {
	LOAD_IN_TIME, ///< Right answer within the target.
	LOAD_LATE,    ///< Right answer, but late.
	LOAD_NOT_RUN,
	LOAD_REFUSED,
	LOAD_UNKNOWN,
	LOAD_WRONG, ///< Another request's answer, or a cut one.
	LOAD_ERROR, ///< The connection failed, or no answer in time.
	LOAD_RESULTS,
};

/// A class of work.
struct load_class {
	char name[LOAD_TEXT_BYTES];
	char method[16];
	char path[LOAD_TEXT_BYTES]; ///< A number is added to it.
	char query[LOAD_TEXT_BYTES];
	double rate_per_s;
	int64_t target_us;
	int64_t timeout_us;
	uint32_t body_bytes;
	bool once;  ///< Sends an Idempotency-Key.
	bool named; ///< Sends a Magnolia-Request-Id, and is never resent.
	// Filled by the run.
	int64_t next_arrival_us;
	uint64_t sent;
	uint64_t results[LOAD_RESULTS];
	double *latencies_us; ///< Of right answers.
	uint32_t latency_count;
	uint32_t latency_capacity;
};

/// Fate of a request with a key, checked against the backend servers.
struct load_key {
	char key[48];
	enum load_result result;
	uint32_t runs;
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
	uint32_t resend; ///< Resends with the same key until an answer.
	struct loop *loop;
	struct httpc *httpc;
	gsl_rng *rng;
	struct loop_watch timer; ///< A timer descriptor.
	int64_t start_us;
	int64_t warm_us; ///< Requests before are not counted.
	int64_t end_us;
	uint32_t active;
	uint64_t next_number;
	char run_id[16];
	char *body; ///< Shared request body.
	struct load_key *keys;
	uint32_t key_count;
	uint32_t key_capacity;
};

/// Sends all requests and waits for their ends.
int load_run(struct load *load, struct error *err);

/// Counts the runs of each key at the backend servers.
///
/// @return 0, or -1 with err set
int load_count_runs(struct load *load, struct error *err);

/// Prints what each class got.
///
/// @return whether nothing was doubled, lost, crossed or misreported
bool load_report(struct load *load, FILE *out);

#endif
