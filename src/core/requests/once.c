// Replicated state of the idempotency keys.
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/requests/once.h"

#define INITIAL_BUCKETS	   1024
#define KEY_OVERHEAD_BYTES (sizeof(struct once_key) + 32)

void
once_init(struct once *once, int64_t retention_us)
{
	memset(once, 0, sizeof(*once));
	once->retention_us = retention_us;
	once->bucket_count = INITIAL_BUCKETS;
	once->buckets = calloc(once->bucket_count, sizeof(*once->buckets));
	assert(once->buckets != NULL);
}

static struct once_key **
find_bucket(const struct once *once, uint64_t hash)
{
	return &once->buckets[hash & (once->bucket_count - 1)];
}

static void
key_unlink(struct once *once, struct once_key *k)
{
	struct once_key **at = find_bucket(once, k->hash);

	if (k->unlinked)
		return;
	while (*at != k)
		at = &(*at)->chain;
	*at = k->chain;
	k->unlinked = true;
	once->count--;
}

static void
key_free(struct once *once, struct once_key *k)
{
	once->memory_bytes -=
	    KEY_OVERHEAD_BYTES + k->full_key_bytes + k->answer_bytes;
	free(k->answer);
	free(k);
}

/// Drops the keys that have expired by the replicated clock.
static void
expire_keys(struct once *once)
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

/// Doubles the buckets if there are more keys than buckets.
static void
grow_buckets(struct once *once)
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
			struct once_key **bucket = find_bucket(once, k->hash);

			old[i] = k->chain;
			k->chain = *bucket;
			*bucket = k;
		}
	}
	free(old);
}

/// A key with its scope: scope, NUL, key.
struct full_key {
	char *text;
	uint32_t size_bytes;
	uint64_t hash;
};

static struct full_key
make_full_key(struct once_bytes scope, struct once_bytes key, bool released)
{
	struct full_key n;

	n.size_bytes = scope.size_bytes + key.size_bytes + 1;
	n.text = malloc(n.size_bytes);
	assert(n.text != NULL);
	memcpy(n.text, scope.data, scope.size_bytes);
	n.text[scope.size_bytes] = '\0';
	memcpy(n.text + scope.size_bytes + 1, key.data, key.size_bytes);
	n.hash = XXH3_64bits_withSeed(n.text, n.size_bytes, released);
	return n;
}

/// Full key of the tombstone of a released claim.
static struct full_key
make_released_key(uint64_t claim)
{
	struct once_bytes empty = {"", 0};
	struct once_bytes id = {(const char *)&claim, sizeof(claim)};

	return make_full_key(empty, id, true);
}

static struct once_key *
find_key(const struct once *once, const struct full_key *n, bool released)
{
	struct once_key *k = *find_bucket(once, n->hash);

	while (k != NULL &&
	    (k->hash != n->hash || k->released != released ||
		k->full_key_bytes != n->size_bytes ||
		memcmp(k->full_key, n->text, n->size_bytes) != 0))
		k = k->chain;
	return k;
}

static struct once_key *
insert_key(struct once *once, const struct full_key *n, bool released)
{
	struct once_key *k = calloc(1, sizeof(*k) + n->size_bytes);
	struct once_key **bucket = find_bucket(once, n->hash);

	assert(k != NULL);
	k->hash = n->hash;
	k->released = released;
	k->full_key_bytes = n->size_bytes;
	memcpy(k->full_key, n->text, n->size_bytes);
	k->expiry_us = once->clock_us + once->retention_us;
	k->chain = *bucket;
	*bucket = k;
	if (once->newest != NULL)
		once->newest->newer = k;
	else
		once->oldest = k;
	once->newest = k;
	once->count++;
	once->memory_bytes += KEY_OVERHEAD_BYTES + k->full_key_bytes;
	grow_buckets(once);
	return k;
}

static bool
is_released(const struct once *once, uint64_t claim)
{
	struct full_key n = make_released_key(claim);
	bool found = find_key(once, &n, true) != NULL;

	free(n.text);
	return found;
}

/// Returns the verdict on a claim for a key that is in use.
static enum once_verdict
check_held_key(const struct once_key *k, const struct once_op *op,
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

/// Finds the key of an operation; NULL if it is free at the operation's time.
static struct once_key *
find_held_key(const struct once *once, const struct once_op *op)
{
	struct full_key n = make_full_key(op->scope, op->key, false);
	struct once_key *k = find_key(once, &n, false);

	free(n.text);
	return k == NULL || k->expiry_us <= op->wall_us ? NULL : k;
}

enum once_verdict
once_check_claim(const struct once *once, const struct once_op *op,
    struct once_bytes *answer)
{
	const struct once_key *k = find_held_key(once, op);

	if (k != NULL)
		return check_held_key(k, op, answer);
	return is_released(once, op->claim) ? ONCE_VOID : ONCE_FREE;
}

uint64_t
once_op_hash(const struct once_op *op)
{
	struct full_key n = make_full_key(op->scope, op->key, false);

	free(n.text);
	return n.hash;
}

static void
apply_claim(struct once *once, const struct once_op *op)
{
	struct full_key n = make_full_key(op->scope, op->key, false);
	struct once_key *k = find_key(once, &n, false);

	if (k != NULL && k->claim == op->claim) {
		free(n.text);
		return;
	}
	if (k != NULL)
		key_unlink(once, k);
	k = insert_key(once, &n, false);
	k->claim = op->claim;
	k->body_hash = op->body_hash;
	free(n.text);
}

static void
apply_record(struct once *once, const struct once_op *op)
{
	struct once_key *k = find_held_key(once, op);

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
	struct once_key *k = find_held_key(once, op);
	struct full_key n;

	if (k != NULL && k->claim == op->claim && !k->done)
		key_unlink(once, k);
	// The claim itself may still be in transit. The tombstone is always
	// added, so that it depends on this entry alone.
	n = make_released_key(op->claim);
	insert_key(once, &n, true);
	free(n.text);
}

void
once_apply(struct once *once, const struct once_op *op)
{
	if (op->wall_us > once->clock_us)
		once->clock_us = op->wall_us;
	expire_keys(once);
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

/// Fixed-size header of an encoded operation.
struct op_header {
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
	struct op_header header = {op->kind, op->scope.size_bytes,
	    op->key.size_bytes, op->answer.size_bytes, op->claim, op->body_hash,
	    op->wall_us};
	char *out;
	char *at;

	*size_bytes = (uint32_t)sizeof(header) + header.scope_bytes +
	    header.key_bytes + header.answer_bytes;
	at = out = malloc(*size_bytes);
	assert(out != NULL);
	memcpy(at, &header, sizeof(header));
	at += sizeof(header);
	memcpy(at, op->scope.data, header.scope_bytes);
	at += header.scope_bytes;
	memcpy(at, op->key.data, header.key_bytes);
	at += header.key_bytes;
	if (header.answer_bytes > 0)
		memcpy(at, op->answer.data, header.answer_bytes);
	return out;
}

int
once_op_decode(const char *data, uint32_t size_bytes, struct once_op *op,
    struct error *err)
{
	struct op_header header;

	if (size_bytes < sizeof(header))
		return error_set(err, ERR_CORRUPT, "decode operation", "",
		    "entry is shorter than its header");
	memcpy(&header, data, sizeof(header));
	if (header.kind > ONCE_RELEASE ||
	    sizeof(header) + (uint64_t)header.scope_bytes + header.key_bytes +
		    header.answer_bytes !=
		size_bytes)
		return error_set(err, ERR_CORRUPT, "decode operation", "",
		    "kind is unknown or lengths do not match the entry size");
	op->kind = (enum once_op_kind)header.kind;
	op->claim = header.claim;
	op->body_hash = header.body_hash;
	op->wall_us = header.wall_us;
	op->scope.data = data + sizeof(header);
	op->scope.size_bytes = header.scope_bytes;
	op->key.data = op->scope.data + header.scope_bytes;
	op->key.size_bytes = header.key_bytes;
	op->answer.data = op->key.data + header.key_bytes;
	op->answer.size_bytes = header.answer_bytes;
	return 0;
}
