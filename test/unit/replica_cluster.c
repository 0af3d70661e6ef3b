// A cluster of replicas on a simulated network, clock and disks.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "unit/replica_cluster.h"

/// Limit on the replicas of a cluster with random replacements.
#define MAX_REPLACED 8

static uint64_t
hash_pair(uint64_t a, uint64_t b)
{
	uint64_t both[2] = {a, b};

	return XXH3_64bits(both, sizeof(both));
}

static void
fail_run(const struct cluster *c, const char *what)
{
	print_error("seed %llu at %lld us: %s\n", (unsigned long long)c->seed,
	    (long long)c->now_us, what);
	fail();
}

static struct node *
get_node(struct replica *r)
{
	return r->owner;
}

static char *
copy_bytes(const char *data, uint32_t size_bytes)
{
	char *copy = malloc(size_bytes + 1);

	assert_non_null(copy);
	if (size_bytes > 0)
		memcpy(copy, data, size_bytes);
	return copy;
}

static void
in_flight_message_free(struct in_flight_message *f)
{
	uint32_t i;

	for (i = 0; i < f->m.entry_count; i++)
		free(f->entries[i].data);
	free(f->entries);
	free(f->snapshot.data);
}

static void
enqueue_message(struct cluster *c, const struct replica_message *m)
{
	struct in_flight_message *f;
	uint32_t i;

	assert_in_range(m->to, 1, MAX_NODES);
	if (c->in_flight_count == MAX_MESSAGES)
		return;
	f = &c->in_flight[c->in_flight_count++];
	memset(f, 0, sizeof(*f));
	f->m = *m;
	f->entries = calloc(m->entry_count + 1, sizeof(*f->entries));
	for (i = 0; i < m->entry_count; i++) {
		f->entries[i] = m->entries[i];
		f->entries[i].data =
		    copy_bytes(m->entries[i].data, m->entries[i].size_bytes);
	}
	if (m->snapshot != NULL) {
		f->snapshot = *m->snapshot;
		f->snapshot.data =
		    copy_bytes(m->snapshot->data, m->snapshot->size_bytes);
	}
	f->due_us = c->now_us + 1000 +
	    random_time_us(&c->random, c->chaos ? 30000 : 3000);
}

static void
on_send(struct replica *r, const struct replica_message *m)
{
	struct cluster *c = get_node(r)->cluster;

	if (c->chaos && random_below(&c->random, 100) < c->drop_pct)
		return;
	enqueue_message(c, m);
	if (c->chaos && random_below(&c->random, 100) < 5)
		enqueue_message(c, m);
}

static void
on_apply(struct replica *r, const struct replica_entry *e)
{
	struct node *n = get_node(r);
	struct cluster *c = n->cluster;
	uint64_t sum = hash_pair(e->term, XXH3_64bits(e->data, e->size_bytes));

	if (e->index != n->applied + 1)
		fail_run(c, "an entry was applied out of order");
	n->applied = e->index;
	n->applied_hash = hash_pair(n->applied_hash, sum);
	if (e->index > c->highest_applied) {
		c->highest_applied = e->index;
		c->entry_hash[e->index] = sum;
	} else if (c->entry_hash[e->index] != sum)
		fail_run(c, "two replicas applied different entries");
	if (e->kind == REPLICA_ENTRY_DATA && replica_is_leader(r)) {
		uint64_t value;

		memcpy(&value, e->data, sizeof(value));
		c->acknowledged[value] = e->index;
	}
}

static void
on_restore(struct replica *r, const struct replica_snapshot *s)
{
	struct node *n = get_node(r);

	assert_int_equal(s->size_bytes, sizeof(n->applied_hash));
	memcpy(&n->applied_hash, s->data, sizeof(n->applied_hash));
	n->applied = s->index;
}

static void
on_read_done(struct replica *r, uint64_t context, bool ok)
{
	struct cluster *c = get_node(r)->cluster;

	// The context is the highest index acknowledged at the request.
	if (ok && r->applied < context)
		fail_run(c, "a confirmed read missed an acknowledged entry");
}

static void
on_role_changed(struct replica *r)
{
	struct cluster *c = get_node(r)->cluster;

	if (r->role != REPLICA_LEADER)
		return;
	if (c->leader_of_term[r->term] != 0 &&
	    c->leader_of_term[r->term] != r->settings.id)
		fail_run(c, "two leaders in one term");
	c->leader_of_term[r->term] = r->settings.id;
}

static const struct replica_ops call_ops = {
    .send = on_send,
    .apply = on_apply,
    .restore = on_restore,
    .read_done = on_read_done,
    .role_changed = on_role_changed,
};

void
cluster_start_node(struct cluster *c, struct node *n)
{
	struct replica_settings settings = {
	    .id = n->id,
	    .election_us = c->election_us,
	    .heartbeat_us = c->heartbeat_us,
	    .max_append_bytes = 200,
	    .max_uncommitted_bytes = 1 << 20,
	    .keep_entries = 10,
	};
	struct replica_stored_state stored;
	struct error err;

	n->applied = 0;
	n->applied_hash = 0;
	if (wal_load(&n->wal, &n->disk.disk, &stored, &err) != 0 ||
	    replica_init(&n->replica, &call_ops, n, &n->wal.storage, &settings,
		&stored, random_next(&c->random), c->now_us, &err) != 0) {
		print_error("%s: %s\n", err.step, err.text);
		fail_run(c, "a replica could not load its log");
	}
	n->wal.max_segment_bytes = 2000;
	n->up = true;
}

void
cluster_stop_node(struct node *n)
{
	replica_free(&n->replica);
	wal_free(&n->wal);
	n->up = false;
}

void
cluster_crash_node(struct cluster *c, struct node *n)
{
	cluster_stop_node(n);
	fake_disk_crash(&n->disk, random_next(&c->random));
}

static void
bootstrap(struct cluster *c, uint32_t count)
{
	struct replica_config config = {0};
	char text[REPLICA_CONFIG_TEXT_BYTES];
	struct replica_entry e = {
	    .index = 1, .term = 1, .kind = REPLICA_ENTRY_CONFIG, .data = text};
	struct replica_stored_state stored;
	struct error err;
	uint32_t i;

	for (i = 0; i < count; i++)
		config.voters[config.voter_count++].id = i + 1;
	for (i = 0; i < count; i++)
		strcpy(config.voters[i].address, "-");
	e.size_bytes = (uint32_t)replica_config_encode(&config, text);
	for (i = 0; i < count; i++) {
		struct node *n = &c->nodes[i];

		n->cluster = c;
		n->id = i + 1;
		n->exists = true;
		fake_disk_init(&n->disk);
		assert_int_equal(
		    wal_load(&n->wal, &n->disk.disk, &stored, &err), 0);
		n->wal.storage.ops->save_vote(&n->wal.storage, 1, 0, &err);
		n->wal.storage.ops->append(&n->wal.storage, &e, 1, &err);
		n->wal.storage.ops->sync(&n->wal.storage, &err);
		wal_free(&n->wal);
		cluster_start_node(c, n);
	}
	c->node_count = count;
}

static void
flush(struct cluster *c, struct node *n)
{
	replica_flush(&n->replica, c->now_us);
	if (n->applied > n->replica.snapshot.index + COMPACT_EVERY)
		replica_compact(&n->replica, n->applied,
		    (const char *)&n->applied_hash, sizeof(n->applied_hash));
}

static void
deliver_due(struct cluster *c)
{
	uint32_t i = 0;

	while (i < c->in_flight_count) {
		struct in_flight_message f = c->in_flight[i];
		struct node *to = &c->nodes[f.m.to - 1];
		const struct node *from = &c->nodes[f.m.from - 1];
		struct error err;

		if (f.due_us > c->now_us) {
			i++;
			continue;
		}
		c->in_flight[i] = c->in_flight[--c->in_flight_count];
		f.m.entries = f.entries;
		f.m.snapshot =
		    f.m.kind == REPLICA_SNAPSHOT ? &f.snapshot : NULL;
		if (to->up && !to->partitioned && !from->partitioned) {
			// Correct replicas send nothing that is refused.
			assert_int_equal(
			    replica_step(&to->replica, &f.m, c->now_us, &err),
			    0);
			// Several messages may share one sync.
			if (random_below(&c->random, 2) == 0)
				flush(c, to);
		}
		in_flight_message_free(&f);
	}
}

uint64_t
cluster_highest_acknowledged(const struct cluster *c)
{
	uint64_t highest = 0;
	uint64_t v;

	for (v = 1; v <= c->next_value; v++)
		if (c->acknowledged[v] > highest)
			highest = c->acknowledged[v];
	return highest;
}

static void
act_as_client(struct cluster *c, struct node *n)
{
	uint64_t value;
	uint64_t index;
	struct error err;

	if (!replica_is_leader(&n->replica) || c->next_value >= MAX_INDEX / 4)
		return;
	if (random_below(&c->random, 4) == 0) {
		replica_start_read(
		    &n->replica, cluster_highest_acknowledged(c), c->now_us);
		return;
	}
	value = ++c->next_value;
	replica_propose(&n->replica, (const char *)&value, sizeof(value),
	    &index, c->now_us, &err);
}

struct node *
cluster_add_node(struct cluster *c)
{
	struct node *n = &c->nodes[c->node_count];

	assert_true(c->node_count < MAX_NODES);
	n->cluster = c;
	n->id = ++c->node_count;
	n->exists = true;
	fake_disk_init(&n->disk);
	cluster_start_node(c, n);
	return n;
}

void
cluster_replace_wiped(struct cluster *c, struct node *leader)
{
	struct replica_config target = leader->replica.config;
	struct replica_config learners = target;
	struct error err;

	if (c->node_count == MAX_REPLACED || target.old_count > 0 ||
	    target.learner_count > 0)
		return;
	memset(&learners.learners[0], 0, sizeof(learners.learners[0]));
	learners.learners[0].id = c->node_count + 1;
	strcpy(learners.learners[0].address, "-");
	learners.learner_count = 1;
	if (replica_change_config(
		&leader->replica, &learners, c->now_us, &err) != 0)
		return;
	cluster_add_node(c);
}

void
cluster_promote_learner(struct cluster *c, struct node *leader)
{
	struct replica *r = &leader->replica;
	struct replica_config target = r->config;
	const struct replica_progress *p;
	struct error err;
	uint32_t i;

	if (target.learner_count != 1 || target.old_count > 0)
		return;
	p = replica_progress_get(r, target.learners[0].id);
	if (p == NULL || p->match + 5 < replica_last_index(r))
		return;
	for (i = 0; i < target.voter_count; i++)
		if (!c->nodes[target.voters[i].id - 1].up)
			break;
	if (i == target.voter_count)
		i = (uint32_t)(leader->id == target.voters[0].id);
	target.voters[i] = target.learners[0];
	target.learner_count = 0;
	memset(target.learners, 0, sizeof(target.learners));
	replica_change_config(r, &target, c->now_us, &err);
}

static uint32_t
count_up(const struct cluster *c)
{
	uint32_t up = 0;
	uint32_t i;

	for (i = 0; i < c->node_count; i++)
		up += c->nodes[i].up && !c->nodes[i].partitioned;
	return up;
}

static void
inject_fault(struct cluster *c, bool replacements)
{
	struct node *n = &c->nodes[random_below(&c->random, c->node_count)];

	if (!n->exists)
		return;
	switch (random_below(&c->random, 400)) {
	case 0:
	case 1:
		if (n->up)
			cluster_crash_node(c, n);
		break;
	case 2:
		if (n->up && count_up(c) > 1)
			n->partitioned = true;
		break;
	case 3:
		if (n->up)
			n->disk.full = true;
		break;
	case 4:
		if (n->up)
			n->disk.sync_fails = true;
		break;
	case 5:
	case 6:
	case 7:
	case 8:
	case 9:
	case 10:
		n->partitioned = false;
		if (!n->up)
			cluster_start_node(c, n);
		else if (replica_has_failed(&n->replica)) {
			cluster_crash_node(c, n);
			cluster_start_node(c, n);
		}
		break;
	case 11:
		if (replacements && n->up && replica_is_leader(&n->replica))
			cluster_replace_wiped(c, n);
		break;
	case 12:
	case 13:
		if (replacements && n->up && replica_is_leader(&n->replica))
			cluster_promote_learner(c, n);
		break;
	default:
		break;
	}
}

void
cluster_run_steps(struct cluster *c, uint32_t steps, bool replacements)
{
	uint32_t s;
	uint32_t i;

	for (s = 0; s < steps; s++) {
		c->now_us += STEP_US;
		if (c->chaos && !c->scripted)
			inject_fault(c, replacements);
		deliver_due(c);
		for (i = 0; i < c->node_count; i++) {
			struct node *n = &c->nodes[i];

			if (!n->up)
				continue;
			replica_tick(&n->replica, c->now_us);
			if (random_below(&c->random, 8) == 0)
				act_as_client(c, n);
			flush(c, n);
		}
	}
}

void
cluster_heal(struct cluster *c)
{
	uint32_t i;

	c->chaos = false;
	for (i = 0; i < c->node_count; i++) {
		struct node *n = &c->nodes[i];

		n->partitioned = false;
		n->disk.full = n->disk.sync_fails = false;
		if (n->up && replica_has_failed(&n->replica))
			cluster_crash_node(c, n);
		if (!n->up)
			cluster_start_node(c, n);
	}
}

void
cluster_check_agreement(struct cluster *c)
{
	const struct node *leader = NULL;
	uint32_t i;

	for (i = 0; i < c->node_count; i++)
		if (replica_is_leader(&c->nodes[i].replica) &&
		    (leader == NULL ||
			c->nodes[i].replica.term > leader->replica.term))
			leader = &c->nodes[i];
	if (leader == NULL) {
		fail_run(c, "no leader after all faults were removed");
		return;
	}
	for (i = 0; i < leader->replica.config.voter_count; i++) {
		const struct node *n =
		    &c->nodes[leader->replica.config.voters[i].id - 1];

		if (n->applied + 20 < leader->applied)
			fail_run(c, "a replica did not catch up");
		if (n->applied == leader->applied &&
		    n->applied_hash != leader->applied_hash)
			fail_run(c, "two replicas hold different states");
	}
	if (leader->applied < cluster_highest_acknowledged(c))
		fail_run(c, "an acknowledged entry was lost");
}

void
cluster_free(struct cluster *c)
{
	uint32_t i;

	for (i = 0; i < c->node_count; i++) {
		if (c->nodes[i].up)
			cluster_stop_node(&c->nodes[i]);
		fake_disk_free(&c->nodes[i].disk);
	}
	for (i = 0; i < c->in_flight_count; i++)
		in_flight_message_free(&c->in_flight[i]);
	free(c->in_flight);
	free(c);
}

struct cluster *
cluster_create(uint64_t seed, uint32_t count)
{
	return cluster_create_timed(seed, count, ELECTION_US, HEARTBEAT_US);
}

struct cluster *
cluster_create_timed(
    uint64_t seed, uint32_t count, int64_t election_us, int64_t heartbeat_us)
{
	struct cluster *c = calloc(1, sizeof(*c));

	assert_non_null(c);
	c->seed = seed;
	c->election_us = election_us;
	c->heartbeat_us = heartbeat_us;
	c->random.seed = seed;
	c->now_us = 1000000;
	c->in_flight = calloc(MAX_MESSAGES, sizeof(*c->in_flight));
	assert_non_null(c->in_flight);
	bootstrap(c, count);
	return c;
}
