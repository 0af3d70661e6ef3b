// State of the idempotency keys.
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/requests/once.h"

#define FIRST_BUCKETS	   1024
#define KEY_OVERHEAD_BYTES (sizeof(struct once_key) + 32)

void
once_init(struct once *once, int64_t retention_us)
{
	memset(once, 0, sizeof(*once));
	once->retention_us = retention_us;
	once->bucket_count = FIRST_BUCKETS;
	once->buckets = calloc(once->bucket_count, sizeof(*once->buckets));
	assert(once->buckets != NULL);
}

static struct once_key **
bucket_of(const struct once *once, uint64_t hash)
{
	return &once->buckets[hash & (once->bucket_count - 1)];
}

static void
key_unlink(struct once *once, struct once_key *k)
{
	struct once_key **at = bucket_of(once, k->hash);

	if (k->removed)
		return;
	while (*at != k)
		at = &(*at)->chain;
	*at = k->chain;
	k->removed = true;
	once->count--;
}

static void
key_free(struct once *once, struct once_key *k)
{
	once->memory_bytes -=
	    KEY_OVERHEAD_BYTES + k->name_bytes + k->answer_bytes;
	free(k->answer);
	free(k);
}

/// Drops what has expired at the present clock.
static void
expire(struct once *once)
{
	while (
	    once->oldest != NULL && once->oldest->expiry_us <= once->clock_us) {
		struct once_key *k = once->oldest;

		once->oldest = k->newer;
		if (once->oldest == NULL)
			once->newest = NULL;
		key_unlink(once, k);
		key_free(once, k);
	}
}

void
once_clear(struct once *once)
{
	while (once->oldest != NULL) {
		struct once_key *k = once->oldest;

		once->oldest = k->newer;
		key_unlink(once, k);
		key_free(once, k);
	}
	once->newest = NULL;
}

void
once_free(struct once *once)
{
	once_clear(once);
	free(once->buckets);
	once->buckets = NULL;
}

/// Doubles the buckets once there is more than one key in each.
static void
grow(struct once *once)
{
	struct once_key **old = once->buckets;
	uint32_t old_count = once->bucket_count;
	uint32_t i;

	if (once->count <= once->bucket_count)
		return;
	once->bucket_count *= 2;
	once->buckets = calloc(once->bucket_count, sizeof(*once->buckets));
	assert(once->buckets != NULL);
	for (i = 0; i < old_count; i++) {
		while (old[i] != NULL) {
			struct once_key *k = old[i];
			struct once_key **bucket = bucket_of(once, k->hash);

			old[i] = k->chain;
			k->chain = *bucket;
			*bucket = k;
		}
	}
	free(old);
}

/// Full name of a key: scope, NUL, key.
struct name {
	char *text;
	uint32_t size_bytes;
	uint64_t hash;
};

static struct name
make_name(struct once_bytes scope, struct once_bytes key, bool released)
{
	struct name n;

	n.size_bytes = scope.size_bytes + key.size_bytes + 1;
	n.text = malloc(n.size_bytes);
	assert(n.text != NULL);
	memcpy(n.text, scope.data, scope.size_bytes);
	n.text[scope.size_bytes] = '\0';
	memcpy(n.text + scope.size_bytes + 1, key.data, key.size_bytes);
	n.hash = XXH3_64bits_withSeed(n.text, n.size_bytes, released);
	return n;
}

/// Name of a released claim.
static struct name
make_claim_name(uint64_t claim)
{
	struct once_bytes empty = {"", 0};
	struct once_bytes id = {(const char *)&claim, sizeof(claim)};

	return make_name(empty, id, true);
}

static struct once_key *
find(const struct once *once, const struct name *n, bool released)
{
	struct once_key *k = *bucket_of(once, n->hash);

	while (k != NULL &&
	    (k->hash != n->hash || k->released != released ||
		k->name_bytes != n->size_bytes ||
		memcmp(k->name, n->text, n->size_bytes) != 0))
		k = k->chain;
	return k;
}

static struct once_key *
insert(struct once *once, const struct name *n, bool released)
{
	struct once_key *k = calloc(1, sizeof(*k) + n->size_bytes);
	struct once_key **bucket = bucket_of(once, n->hash);

	assert(k != NULL);
	k->hash = n->hash;
	k->released = released;
	k->name_bytes = n->size_bytes;
	memcpy(k->name, n->text, n->size_bytes);
	k->expiry_us = once->clock_us + once->retention_us;
	k->chain = *bucket;
	*bucket = k;
	if (once->newest != NULL)
		once->newest->newer = k;
	else
		once->oldest = k;
	once->newest = k;
	once->count++;
	once->memory_bytes += KEY_OVERHEAD_BYTES + k->name_bytes;
	grow(once);
	return k;
}

static bool
is_released(const struct once *once, uint64_t claim)
{
	struct name n = make_claim_name(claim);
	bool found = find(once, &n, true) != NULL;

	free(n.text);
	return found;
}

/// Verdict on a claim for a key that is held.
static enum once_verdict
judge_held(const struct once_key *k, const struct once_op *op,
    struct once_bytes *answer)
{
	if (k->body_hash != op->body_hash)
		return ONCE_MISMATCH;
	if (k->done) {
		answer->data = k->answer;
		answer->size_bytes = k->answer_bytes;
		return ONCE_DONE;
	}
	return k->claim == op->claim ? ONCE_GRANTED : ONCE_IN_PROGRESS;
}

/// Key of an operation as of the operation's time; NULL if it is free then.
static struct once_key *
find_held(const struct once *once, const struct once_op *op)
{
	struct name n = make_name(op->scope, op->key, false);
	struct once_key *k = find(once, &n, false);

	free(n.text);
	return k == NULL || k->expiry_us <= op->wall_us ? NULL : k;
}

enum once_verdict
once_judge(const struct once *once, const struct once_op *op,
    struct once_bytes *answer)
{
	const struct once_key *k = find_held(once, op);

	if (k != NULL)
		return judge_held(k, op, answer);
	return is_released(once, op->claim) ? ONCE_VOID : ONCE_FREED;
}

uint64_t
once_op_hash(const struct once_op *op)
{
	struct name n = make_name(op->scope, op->key, false);

	free(n.text);
	return n.hash;
}

static void
apply_claim(struct once *once, const struct once_op *op)
{
	struct name n = make_name(op->scope, op->key, false);
	struct once_key *k = find(once, &n, false);

	if (k != NULL && k->claim == op->claim) {
		free(n.text);
		return;
	}
	if (k != NULL)
		key_unlink(once, k);
	k = insert(once, &n, false);
	k->claim = op->claim;
	k->body_hash = op->body_hash;
	free(n.text);
}

static void
apply_record(struct once *once, const struct once_op *op)
{
	struct once_key *k = find_held(once, op);

	if (k == NULL || k->claim != op->claim || k->done)
		return;
	k->done = true;
	k->answer = malloc(op->answer.size_bytes + 1);
	assert(k->answer != NULL);
	memcpy(k->answer, op->answer.data, op->answer.size_bytes);
	k->answer_bytes = op->answer.size_bytes;
	once->memory_bytes += k->answer_bytes;
}

static void
apply_release(struct once *once, const struct once_op *op)
{
	struct once_key *k = find_held(once, op);
	struct name n;

	if (k != NULL && k->claim == op->claim && !k->done)
		key_unlink(once, k);
	// The claim itself may still be on its way here. The mark is set in
	// any case, so that it follows from this entry alone.
	n = make_claim_name(op->claim);
	insert(once, &n, true);
	free(n.text);
}

void
once_apply(struct once *once, const struct once_op *op)
{
	if (op->wall_us > once->clock_us)
		once->clock_us = op->wall_us;
	expire(once);
	switch (op->kind) {
	case ONCE_CLAIM:
		apply_claim(once, op);
		break;
	case ONCE_RECORD:
		apply_record(once, op);
		break;
	case ONCE_RELEASE:
		apply_release(once, op);
		break;
	}
}

/// Fixed part of an encoded operation.
struct op_head {
	uint32_t kind;
	uint32_t scope_bytes;
	uint32_t key_bytes;
	uint32_t answer_bytes;
	uint64_t claim;
	uint64_t body_hash;
	int64_t wall_us;
};

char *
once_op_encode(const struct once_op *op, uint32_t *size_bytes)
{
	struct op_head head = {op->kind, op->scope.size_bytes,
	    op->key.size_bytes, op->answer.size_bytes, op->claim, op->body_hash,
	    op->wall_us};
	char *out;
	char *at;

	*size_bytes = (uint32_t)sizeof(head) + head.scope_bytes +
	    head.key_bytes + head.answer_bytes;
	at = out = malloc(*size_bytes);
	assert(out != NULL);
	memcpy(at, &head, sizeof(head));
	at += sizeof(head);
	memcpy(at, op->scope.data, head.scope_bytes);
	at += head.scope_bytes;
	memcpy(at, op->key.data, head.key_bytes);
	at += head.key_bytes;
	if (head.answer_bytes > 0)
		memcpy(at, op->answer.data, head.answer_bytes);
	return out;
}

int
once_op_decode(const char *data, uint32_t size_bytes, struct once_op *op,
    struct error *err)
{
	struct op_head head;

	if (size_bytes < sizeof(head))
		return error_set(
		    err, ERR_CORRUPT, "decode operation", "", "too short");
	memcpy(&head, data, sizeof(head));
	if (head.kind > ONCE_RELEASE ||
	    sizeof(head) + (uint64_t)head.scope_bytes + head.key_bytes +
		    head.answer_bytes !=
		size_bytes)
		return error_set(err, ERR_CORRUPT, "decode operation", "",
		    "lengths do not add up");
	op->kind = (enum once_op_kind)head.kind;
	op->claim = head.claim;
	op->body_hash = head.body_hash;
	op->wall_us = head.wall_us;
	op->scope.data = data + sizeof(head);
	op->scope.size_bytes = head.scope_bytes;
	op->key.data = op->scope.data + head.scope_bytes;
	op->key.size_bytes = head.key_bytes;
	op->answer.data = op->key.data + head.key_bytes;
	op->answer.size_bytes = head.answer_bytes;
	return 0;
}
