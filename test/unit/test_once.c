// State of the idempotency keys: against a naive version, and replayed from
// the part of the log that the ledger keeps.
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

/// What the leader does with an operation: judges a claim, and puts into the
/// log what is to be applied.
///
/// @param logged  whether the operation went into the log
static enum once_verdict
lead(struct once *once, const struct once_op *op, struct once_bytes *answer,
    bool *logged)
{
	enum once_verdict verdict = ONCE_FREED;

	if (op->kind == ONCE_CLAIM)
		verdict = once_judge(once, op, answer);
	*logged = verdict == ONCE_FREED;
	if (!*logged)
		return verdict;
	once_apply(once, op);
	return op->kind == ONCE_CLAIM ? ONCE_GRANTED : ONCE_FREED;
}

static enum once_verdict
claim(struct once *once, const struct once_op *op, struct once_bytes *answer)
{
	bool logged;

	return lead(once, op, answer, &logged);
}

static void
test_life_of_a_key(void **state)
{
	struct once_op op = make_claim("k", 10, 1);
	struct once_bytes answer = {"", 0};
	struct once once;

	(void)state;
	once_init(&once, RETENTION_US);
	assert_int_equal(once_judge(&once, &op, &answer), ONCE_FREED);
	assert_int_equal(claim(&once, &op, &answer), ONCE_GRANTED);
	// The answer to the claim was lost; it is sent again.
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
	// A key that is done is never free again within the retention.
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

/// A release overtakes its claim on another stream: the claim must not hold.
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

/// A clock that goes back at a new leader brings nothing back.
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

/// The naive version: an array searched whole.
struct naive_key {
	char key[16];
	uint64_t claim;
	uint64_t body_hash;
	int64_t expiry_us;
	bool done;
	bool used;
};

struct naive_claim {
	uint64_t claim;
	int64_t expiry_us;
};

struct naive {
	struct naive_key keys[KEYS];
	struct naive_claim released[OPS];
	uint32_t released_count;
	int64_t clock_us;
};

static bool
naive_is_released(const struct naive *n, uint64_t claim)
{
	uint32_t i;

	for (i = 0; i < n->released_count; i++)
		if (n->released[i].claim == claim &&
		    n->released[i].expiry_us > n->clock_us)
			return true;
	return false;
}

static enum once_verdict
naive_apply(struct naive *n, const struct once_op *op, uint32_t number)
{
	struct naive_key *k = &n->keys[number];

	int64_t now_us = op->wall_us > n->clock_us ? op->wall_us : n->clock_us;

	if (k->used && k->expiry_us <= now_us)
		memset(k, 0, sizeof(*k));
	// Only what goes into the log moves the clock.
	if (op->kind != ONCE_CLAIM ||
	    (!k->used && !naive_is_released(n, op->claim)))
		n->clock_us = now_us;
	if (op->kind == ONCE_RECORD) {
		if (k->used && k->claim == op->claim)
			k->done = true;
		return ONCE_DONE;
	}
	if (op->kind == ONCE_RELEASE) {
		if (k->used && k->claim == op->claim && !k->done)
			memset(k, 0, sizeof(*k));
		n->released[n->released_count].claim = op->claim;
		n->released[n->released_count++].expiry_us =
		    n->clock_us + RETENTION_US;
		return ONCE_FREED;
	}
	if (!k->used) {
		if (naive_is_released(n, op->claim))
			return ONCE_VOID;
		k->used = true;
		k->claim = op->claim;
		k->body_hash = op->body_hash;
		k->expiry_us = n->clock_us + RETENTION_US;
		return ONCE_GRANTED;
	}
	if (k->body_hash != op->body_hash)
		return ONCE_MISMATCH;
	if (k->done)
		return ONCE_DONE;
	return k->claim == op->claim ? ONCE_GRANTED : ONCE_IN_PROGRESS;
}

/// A log of random operations.
struct script {
	struct once_op ops[OPS];
	uint32_t numbers[OPS];
	char keys[KEYS][16];
	enum once_verdict verdicts[OPS];
};

static void
make_script(struct script *s, uint64_t seed)
{
	struct random random = {seed, 0};
	int64_t wall_us = 1000;
	uint32_t i;

	for (i = 0; i < KEYS; i++)
		snprintf(s->keys[i], sizeof(s->keys[i]), "k%u", i);
	for (i = 0; i < OPS; i++) {
		uint32_t number = random_below(&random, KEYS);

		wall_us += random_time_us(&random, 2 * RETENTION_US / 100);
		s->numbers[i] = number;
		s->ops[i] =
		    make_claim(s->keys[number], 1 + random_below(&random, 200),
			wall_us - random_time_us(&random, RETENTION_US / 10));
		s->ops[i].kind =
		    (enum once_op_kind)(random_below(&random, 5) % 3);
		s->ops[i].body_hash = 1 + random_below(&random, 8) / 7;
		s->ops[i].answer = text("answer");
	}
}

static void
test_like_naive(void **state)
{
	static struct script script;
	static struct naive naive;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 60; seed++) {
		struct once_bytes answer = {"", 0};
		struct once once;
		uint32_t i;

		make_script(&script, seed);
		memset(&naive, 0, sizeof(naive));
		once_init(&once, RETENTION_US);
		for (i = 0; i < OPS; i++) {
			enum once_verdict got =
			    claim(&once, &script.ops[i], &answer);

			if (script.ops[i].kind == ONCE_CLAIM)
				assert_int_equal(got,
				    naive_apply(&naive, &script.ops[i],
					script.numbers[i]));
			else
				naive_apply(
				    &naive, &script.ops[i], script.numbers[i]);
		}
		once_free(&once);
	}
}

/// A replica that replays only the last two retention periods of the log
/// judges every later claim as one that has seen all of it.
static void
test_replay_of_kept_log(void **state)
{
	static struct script script;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= 200; seed++) {
		struct once_bytes answer = {"", 0};
		struct once whole;
		struct once part;
		int64_t clocks[OPS];
		bool logged[OPS];
		uint32_t from = 0;
		uint32_t now = OPS * 2 / 3;
		uint32_t i;

		make_script(&script, seed);
		once_init(&whole, RETENTION_US);
		once_init(&part, RETENTION_US);
		for (i = 0; i < now; i++) {
			lead(&whole, &script.ops[i], &answer, &logged[i]);
			clocks[i] = whole.clock_us;
		}
		while (clocks[from] + 2 * RETENTION_US < whole.clock_us)
			from++;
		assert_true(from > 0);
		for (i = from; i < now; i++)
			if (logged[i])
				once_apply(&part, &script.ops[i]);
		for (i = now; i < OPS; i++)
			assert_int_equal(claim(&whole, &script.ops[i], &answer),
			    claim(&part, &script.ops[i], &answer));
		once_free(&whole);
		once_free(&part);
	}
}

static void
test_encoding(void **state)
{
	struct once_op op = make_claim("key", 9, 77);
	struct once_op got;
	struct error err;
	uint32_t size_bytes;
	uint32_t cut;
	char *data;

	(void)state;
	op.answer = text("answer");
	data = once_op_encode(&op, &size_bytes);
	assert_int_equal(once_op_decode(data, size_bytes, &got, &err), 0);
	assert_int_equal(got.claim, 9);
	assert_int_equal(got.wall_us, 77);
	assert_memory_equal(got.key.data, "key", 3);
	assert_memory_equal(got.answer.data, "answer", 6);
	for (cut = 0; cut < size_bytes; cut++)
		assert_int_equal(once_op_decode(data, cut, &got, &err), -1);
	free(data);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_life_of_a_key),
	    cmocka_unit_test(test_release_before_claim),
	    cmocka_unit_test(test_clock_goes_back),
	    cmocka_unit_test(test_like_naive),
	    cmocka_unit_test(test_replay_of_kept_log),
	    cmocka_unit_test(test_encoding),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
