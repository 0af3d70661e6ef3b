// State of the idempotency keys: against a reference model, and replayed from
// the part of the log that the ledger retains.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "core/requests/once.h"
#include "unit/support.h"

#define RETENTION_US 1000000LL
#define OPS	     3000
#define KEYS	     40

static struct once_bytes
text(const char *s)
{
	struct once_bytes b = {s, (uint32_t)strlen(s)};

	return b;
}

static struct once_op
make_claim(const char *key, uint64_t claim, int64_t wall_us)
{
	struct once_op op = {.kind = ONCE_CLAIM,
	    .claim = claim,
	    .body_hash = 1,
	    .wall_us = wall_us};

	op.scope = text("s");
	op.key = text(key);
	return op;
}

/// Acts as the leader: checks a claim, and applies an operation that is
/// appended to the log.
///
/// @param logged  receives whether the operation is appended to the log
static enum once_verdict
apply_as_leader(struct once *once, const struct once_op *op,
    struct once_bytes *answer, bool *logged)
{
	enum once_verdict verdict = ONCE_FREE;

	if (op->kind == ONCE_CLAIM)
		verdict = once_check_claim(once, op, answer);
	*logged = verdict == ONCE_FREE;
	if (!*logged)
		return verdict;
	once_apply(once, op);
	return op->kind == ONCE_CLAIM ? ONCE_GRANTED : ONCE_FREE;
}

static enum once_verdict
claim(struct once *once, const struct once_op *op, struct once_bytes *answer)
{
	bool logged;

	return apply_as_leader(once, op, answer, &logged);
}

static void
test_key_lifecycle(void **state)
{
	struct once_op op = make_claim("k", 10, 1);
	struct once_bytes answer = {"", 0};
	struct once once;

	(void)state;
	once_init(&once, RETENTION_US);
	assert_int_equal(once_check_claim(&once, &op, &answer), ONCE_FREE);
	assert_int_equal(claim(&once, &op, &answer), ONCE_GRANTED);
	// The response to the claim was lost, so the claim is sent again.
	assert_int_equal(claim(&once, &op, &answer), ONCE_GRANTED);
	op.claim = 11;
	assert_int_equal(claim(&once, &op, &answer), ONCE_IN_PROGRESS);
	op.body_hash = 2;
	assert_int_equal(claim(&once, &op, &answer), ONCE_MISMATCH);
	op.body_hash = 1;
	// Only the holder of the claim may record.
	op.kind = ONCE_RECORD;
	op.answer = text("wrong");
	once_apply(&once, &op);
	op.claim = 10;
	op.answer = text("right");
	once_apply(&once, &op);
	op.kind = ONCE_CLAIM;
	op.claim = 12;
	assert_int_equal(claim(&once, &op, &answer), ONCE_DONE);
	assert_memory_equal(answer.data, "right", 5);
	// A key that is done stays in use for the retention period.
	op.kind = ONCE_RELEASE;
	op.claim = 10;
	once_apply(&once, &op);
	op.kind = ONCE_CLAIM;
	op.claim = 13;
	assert_int_equal(claim(&once, &op, &answer), ONCE_DONE);
	op.wall_us = 1 + RETENTION_US;
	assert_int_equal(claim(&once, &op, &answer), ONCE_GRANTED);
	once_free(&once);
	assert_int_equal(once.memory_bytes, 0);
}

/// A release overtakes its claim on another stream: the claim is rejected.
static void
test_release_before_claim(void **state)
{
	struct once_op op = make_claim("k", 10, 1);
	struct once_bytes answer = {"", 0};
	struct once once;

	(void)state;
	once_init(&once, RETENTION_US);
	op.kind = ONCE_RELEASE;
	once_apply(&once, &op);
	op.kind = ONCE_CLAIM;
	assert_int_equal(claim(&once, &op, &answer), ONCE_VOID);
	op.claim = 11;
	assert_int_equal(claim(&once, &op, &answer), ONCE_GRANTED);
	once_free(&once);
}

/// A new leader whose clock is behind does not change which keys are in use.
static void
test_clock_goes_back(void **state)
{
	struct once_op op = make_claim("k", 10, 5 * RETENTION_US);
	struct once_bytes answer = {"", 0};
	struct once once;

	(void)state;
	once_init(&once, RETENTION_US);
	claim(&once, &op, &answer);
	op = make_claim("k", 11, 2 * RETENTION_US);
	assert_int_equal(claim(&once, &op, &answer), ONCE_IN_PROGRESS);
	op = make_claim("k", 11, 6 * RETENTION_US);
	assert_int_equal(claim(&once, &op, &answer), ONCE_GRANTED);
	once_free(&once);
}

/// Reference model: an array, searched linearly.
struct model_key {
	char key[16];
	uint64_t claim;
	uint64_t body_hash;
	int64_t expiry_us;
	bool done;
	bool used;
};

struct model_claim {
	uint64_t claim;
	int64_t expiry_us;
};

struct model {
	struct model_key keys[KEYS];
	struct model_claim released[OPS];
	uint32_t released_count;
	int64_t clock_us;
};

static bool
model_is_released(const struct model *m, uint64_t claim)
{
	uint32_t i;

	for (i = 0; i < m->released_count; i++)
		if (m->released[i].claim == claim &&
		    m->released[i].expiry_us > m->clock_us)
			return true;
	return false;
}

static enum once_verdict
model_apply(struct model *m, const struct once_op *op, uint32_t number)
{
	struct model_key *k = &m->keys[number];

	int64_t now_us = op->wall_us > m->clock_us ? op->wall_us : m->clock_us;

	if (k->used && k->expiry_us <= now_us)
		memset(k, 0, sizeof(*k));
	// Only operations in the log advance the clock.
	if (op->kind != ONCE_CLAIM ||
	    (!k->used && !model_is_released(m, op->claim)))
		m->clock_us = now_us;
	if (op->kind == ONCE_RECORD) {
		if (k->used && k->claim == op->claim)
			k->done = true;
		return ONCE_DONE;
	}
	if (op->kind == ONCE_RELEASE) {
		if (k->used && k->claim == op->claim && !k->done)
			memset(k, 0, sizeof(*k));
		m->released[m->released_count].claim = op->claim;
		m->released[m->released_count++].expiry_us =
		    m->clock_us + RETENTION_US;
		return ONCE_FREE;
	}
	if (!k->used) {
		if (model_is_released(m, op->claim))
			return ONCE_VOID;
		k->used = true;
		k->claim = op->claim;
		k->body_hash = op->body_hash;
		k->expiry_us = m->clock_us + RETENTION_US;
		return ONCE_GRANTED;
	}
	if (k->body_hash != op->body_hash)
		return ONCE_MISMATCH;
	if (k->done)
		return ONCE_DONE;
	return k->claim == op->claim ? ONCE_GRANTED : ONCE_IN_PROGRESS;
}

/// A log of random operations.
struct op_log {
	struct once_op ops[OPS];
	uint32_t numbers[OPS];
	char keys[KEYS][16];
	enum once_verdict verdicts[OPS];
};

static void
make_op_log(struct op_log *log, uint64_t seed)
{
	struct random random = {seed, 0};
	int64_t wall_us = 1000;
	uint32_t i;

	for (i = 0; i < KEYS; i++)
		snprintf(log->keys[i], sizeof(log->keys[i]), "k%u", i);
	for (i = 0; i < OPS; i++) {
		uint32_t number = random_below(&random, KEYS);

		wall_us += random_time_us(&random, 2 * RETENTION_US / 100);
		log->numbers[i] = number;
		log->ops[i] = make_claim(log->keys[number],
		    1 + random_below(&random, 200),
		    wall_us - random_time_us(&random, RETENTION_US / 10));
		log->ops[i].kind =
		    (enum once_op_kind)(random_below(&random, 5) % 3);
		log->ops[i].body_hash = 1 + random_below(&random, 8) / 7;
		log->ops[i].answer = text("answer");
	}
}

static void
test_matches_model(void **state)
{
	static struct op_log op_log;
	static struct model model;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 60; seed++) {
		struct once_bytes answer = {"", 0};
		struct once once;
		uint32_t i;

		make_op_log(&op_log, seed);
		memset(&model, 0, sizeof(model));
		once_init(&once, RETENTION_US);
		for (i = 0; i < OPS; i++) {
			enum once_verdict got =
			    claim(&once, &op_log.ops[i], &answer);

			if (op_log.ops[i].kind == ONCE_CLAIM)
				assert_int_equal(got,
				    model_apply(&model, &op_log.ops[i],
					op_log.numbers[i]));
			else
				model_apply(
				    &model, &op_log.ops[i], op_log.numbers[i]);
		}
		once_free(&once);
	}
}

/// A replica that replays only the last two retention periods of the log
/// returns the same verdicts on later claims as one that applied all of it.
static void
test_replay_of_kept_log(void **state)
{
	static struct op_log op_log;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 200; seed++) {
		struct once_bytes answer = {"", 0};
		struct once full_replica;
		struct once partial_replica;
		int64_t clocks[OPS];
		bool logged[OPS];
		uint32_t from = 0;
		uint32_t now = OPS * 2 / 3;
		uint32_t i;

		make_op_log(&op_log, seed);
		once_init(&full_replica, RETENTION_US);
		once_init(&partial_replica, RETENTION_US);
		for (i = 0; i < now; i++) {
			apply_as_leader(
			    &full_replica, &op_log.ops[i], &answer, &logged[i]);
			clocks[i] = full_replica.clock_us;
		}
		while (clocks[from] + 2 * RETENTION_US < full_replica.clock_us)
			from++;
		assert_true(from > 0);
		for (i = from; i < now; i++)
			if (logged[i])
				once_apply(&partial_replica, &op_log.ops[i]);
		for (i = now; i < OPS; i++)
			assert_int_equal(
			    claim(&full_replica, &op_log.ops[i], &answer),
			    claim(&partial_replica, &op_log.ops[i], &answer));
		once_free(&full_replica);
		once_free(&partial_replica);
	}
}

static void
test_encoding(void **state)
{
	struct once_op op = make_claim("key", 9, 77);
	struct once_op got;
	struct error err;
	uint32_t size_bytes;
	uint32_t truncated_bytes;
	char *data;

	(void)state;
	op.answer = text("answer");
	data = once_op_encode(&op, &size_bytes);
	assert_int_equal(once_op_decode(data, size_bytes, &got, &err), 0);
	assert_int_equal(got.claim, 9);
	assert_int_equal(got.wall_us, 77);
	assert_memory_equal(got.key.data, "key", 3);
	assert_memory_equal(got.answer.data, "answer", 6);
	for (truncated_bytes = 0; truncated_bytes < size_bytes;
	     truncated_bytes++)
		assert_int_equal(
		    once_op_decode(data, truncated_bytes, &got, &err), -1);
	free(data);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_key_lifecycle),
	    cmocka_unit_test(test_release_before_claim),
	    cmocka_unit_test(test_clock_goes_back),
	    cmocka_unit_test(test_matches_model),
	    cmocka_unit_test(test_replay_of_kept_log),
	    cmocka_unit_test(test_encoding),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
