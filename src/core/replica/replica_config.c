// Members of a replicated log: text form, lookup and quorums.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/replica/replica_config.h"

static size_t
encode_set(char *out, size_t used, const char *role,
    const struct replica_peer *peers, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		used += (size_t)snprintf(out + used,
		    REPLICA_CONFIG_TEXT_BYTES - used, "%s %" PRIu64 " %s\n",
		    role, peers[i].id, peers[i].address);
	return used;
}

size_t
replica_config_encode(
    const struct replica_config *c, char out[REPLICA_CONFIG_TEXT_BYTES])
{
	size_t used = 0;

	out[0] = '\0';
	used = encode_set(out, used, "voter", c->voters, c->voter_count);
	used = encode_set(out, used, "old", c->old_voters, c->old_count);
	return encode_set(out, used, "learner", c->learners, c->learner_count);
}

static int
add_peer(struct replica_peer *peers, uint32_t *count, uint32_t max,
    const struct replica_peer *peer)
{
	if (*count == max)
		return -1;
	peers[(*count)++] = *peer;
	return 0;
}

static int
decode_line(const char *line, struct replica_config *c)
{
	struct replica_peer peer = {0};
	char role[8];

	if (sscanf(line, "%7s %" SCNu64 " %31s", role, &peer.id,
		peer.address) != 3 ||
	    peer.id == 0)
		return -1;
	if (strcmp(role, "voter") == 0)
		return add_peer(
		    c->voters, &c->voter_count, REPLICA_MAX_VOTERS, &peer);
	if (strcmp(role, "old") == 0)
		return add_peer(
		    c->old_voters, &c->old_count, REPLICA_MAX_VOTERS, &peer);
	if (strcmp(role, "learner") == 0)
		return add_peer(c->learners, &c->learner_count,
		    REPLICA_MAX_LEARNERS, &peer);
	return -1;
}

int
replica_config_decode(const char *text, size_t text_bytes,
    struct replica_config *c, struct error *err)
{
	const char *end = text + text_bytes;
	char line[128];

	memset(c, 0, sizeof(*c));
	while (text < end) {
		const char *eol = memchr(text, '\n', (size_t)(end - text));
		size_t n = (size_t)((eol == NULL ? end : eol) - text);

		if (n >= sizeof(line))
			return error_set(err, ERR_CORRUPT, "decode config", "",
			    "a line is too long");
		memcpy(line, text, n);
		line[n] = '\0';
		if (decode_line(line, c) != 0)
			return error_set(err, ERR_CORRUPT, "decode config", "",
			    "invalid line '%s'", line);
		text += n + 1;
	}
	if (c->voter_count == 0)
		return error_set(err, ERR_CORRUPT, "decode config", "",
		    "the config has no voters");
	return 0;
}

static const struct replica_peer *
find_peer(const struct replica_peer *peers, uint32_t count, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (peers[i].id == id)
			return &peers[i];
	return NULL;
}

bool
replica_config_is_voter(const struct replica_config *c, uint64_t id)
{
	return find_peer(c->voters, c->voter_count, id) != NULL ||
	    find_peer(c->old_voters, c->old_count, id) != NULL;
}

const struct replica_peer *
replica_config_find(const struct replica_config *c, uint64_t id)
{
	const struct replica_peer *p = find_peer(c->voters, c->voter_count, id);

	if (p == NULL)
		p = find_peer(c->old_voters, c->old_count, id);
	if (p == NULL)
		p = find_peer(c->learners, c->learner_count, id);
	return p;
}

static bool
set_has_quorum(const struct replica_peer *peers, uint32_t count,
    bool (*has)(void *arg, uint64_t id), void *arg)
{
	uint32_t agreed = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		agreed += has(arg, peers[i].id);
	return agreed > count / 2;
}

bool
replica_config_has_quorum(const struct replica_config *c,
    bool (*has)(void *arg, uint64_t id), void *arg)
{
	if (!set_has_quorum(c->voters, c->voter_count, has, arg))
		return false;
	return c->old_count == 0 ||
	    set_has_quorum(c->old_voters, c->old_count, has, arg);
}

static int
compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x > y ? -1 : x < y;
}

static uint64_t
set_quorum_value(const struct replica_peer *peers, uint32_t count,
    uint64_t (*value)(void *arg, uint64_t id), void *arg)
{
	uint64_t values[REPLICA_MAX_VOTERS];
	uint32_t i;

	for (i = 0; i < count; i++)
		values[i] = value(arg, peers[i].id);
	qsort(values, count, sizeof(values[0]), compare_descending);
	return values[count / 2];
}

uint64_t
replica_config_quorum_value(const struct replica_config *c,
    uint64_t (*value)(void *arg, uint64_t id), void *arg)
{
	uint64_t reached =
	    set_quorum_value(c->voters, c->voter_count, value, arg);
	uint64_t old;

	if (c->old_count == 0)
		return reached;
	old = set_quorum_value(c->old_voters, c->old_count, value, arg);
	return old < reached ? old : reached;
}

void
replica_config_each(const struct replica_config *c,
    void (*fn)(void *arg, const struct replica_peer *peer), void *arg)
{
	uint32_t i;

	for (i = 0; i < c->voter_count; i++)
		fn(arg, &c->voters[i]);
	for (i = 0; i < c->old_count; i++)
		if (find_peer(c->voters, c->voter_count, c->old_voters[i].id) ==
		    NULL)
			fn(arg, &c->old_voters[i]);
	for (i = 0; i < c->learner_count; i++)
		if (!replica_config_is_voter(c, c->learners[i].id))
			fn(arg, &c->learners[i]);
}
