// Start of a replica: its settings and id, and the check before a bootstrap.
#include <apr_general.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "io/clock.h"
#include "io/net/oneshot.h"
#include "io/replica/replica_host.h"

#define QUERY_TIMEOUT_US (500 * US_PER_MS)

uint64_t
replica_hash_cluster_name(const char *name)
{
	return XXH3_64bits(name, strlen(name)) | 1;
}

/// Queries to the other replicas before a bootstrap.
struct bootstrap_check {
	struct loop *loop;
	uint64_t cluster;
	uint32_t pending_count;
	bool has_data;
};

static void
on_answer(void *arg, const struct message *answer, const struct error *err)
{
	struct bootstrap_check *check = arg;

	(void)err;
	if (answer != NULL && answer->type == MESSAGE_REPLICA_ANSWER &&
	    answer->u.replica_answer.cluster == check->cluster &&
	    answer->u.replica_answer.data_index > 0)
		check->has_data = true;
	if (--check->pending_count == 0)
		loop_stop(check->loop);
}

static bool
is_new_folder(const struct replica_host_settings *s)
{
	struct wal_identity identity = {0, 0};
	struct error err;
	struct disk *disk = disk_open(s->data_path, &err);
	bool is_new;

	if (disk == NULL)
		return false;
	is_new = wal_read_identity(disk, &identity, &err) == 0 &&
	    identity.replica == 0;
	disk_close(disk);
	return is_new;
}

/// Queries all other replicas at once, on a separate event loop that stops after
/// the last response or timeout.
static int
query_peers(const struct replica_host_settings *s,
    struct bootstrap_check *check, struct error *err)
{
	struct message_replica_query query = {.cluster = check->cluster};
	uint32_t i;

	check->loop = loop_create("bootstrap", err);
	if (check->loop == NULL)
		return -1;
	for (i = 0; i < s->initial.voter_count; i++) {
		const struct replica_peer *peer = &s->initial.voters[i];
		struct address to;

		if ((s->self_forming ? strcmp(peer->address, s->address) == 0
				     : peer->id == s->id) ||
		    address_parse(peer->address, &to) != 0)
			continue;
		check->pending_count++;
		oneshot_call(check->loop, &to, MESSAGE_REPLICA_QUERY, &query,
		    loop_now_us(check->loop) + QUERY_TIMEOUT_US, on_answer,
		    check);
	}
	if (check->pending_count > 0)
		loop_run(check->loop);
	loop_destroy(check->loop);
	return 0;
}

int
replica_host_check_bootstrap(
    const struct replica_host_settings *s, struct error *err)
{
	struct bootstrap_check check = {
	    .cluster = replica_hash_cluster_name(s->cluster)};

	if (!s->bootstrap || !is_new_folder(s))
		return 0;
	if (query_peers(s, &check, err) != 0)
		return -1;
	if (check.has_data)
		return error_set(err, ERR_CONFLICT, "bootstrap", s->cluster,
		    "the cluster holds data already; use --join with a "
		    "replica id never used before");
	return 0;
}

/// Bits of a generated id. JSON readers represent integers of this size
/// exactly.
#define ID_MASK ((1ULL << 48) - 1)

static uint64_t
derive_id_from_address(const char *address)
{
	return (XXH3_64bits(address, strlen(address)) & ID_MASK) | 1;
}

uint64_t
replica_host_choose_id(struct replica_host_settings *s)
{
	uint64_t id = 0;
	bool is_seed = false;
	uint32_t i;

	for (i = 0; i < s->initial.voter_count; i++) {
		struct replica_peer *seed = &s->initial.voters[i];

		seed->id = derive_id_from_address(seed->address);
		is_seed |= strcmp(seed->address, s->address) == 0;
	}
	if (s->bootstrap && is_seed)
		return derive_id_from_address(s->address);
	s->bootstrap = false;
	while (id == 0) {
		apr_generate_random_bytes((unsigned char *)&id, sizeof(id));
		// Even: ids derived from addresses are odd.
		id &= ID_MASK & ~1ULL;
	}
	return id;
}

int
replica_settings_parse_seeds(const struct settings_list *list, uint32_t port,
    struct replica_config *config)
{
	struct address seed;
	int problems = 0;
	uint32_t i;

	memset(config, 0, sizeof(*config));
	for (i = 0; i < list->count; i++) {
		if (config->voter_count == REPLICA_MAX_VOTERS ||
		    address_parse(list->items[i], &seed) != 0) {
			fprintf(stderr,
			    "settings: seeds[%u]: must be IP:port, at most "
			    "%d seeds\n",
			    i, REPLICA_MAX_VOTERS);
			problems++;
			continue;
		}
		if (port != 0)
			seed.in.sin_port = htons((uint16_t)port);
		address_format(
		    &seed, config->voters[config->voter_count++].address);
	}
	return problems == 0 ? 0 : -1;
}

static int
parse_replica(const char *text, struct replica_peer *peer)
{
	struct address parsed;

	memset(peer, 0, sizeof(*peer));
	if (sscanf(text, "%" SCNu64 "=%31s", &peer->id, peer->address) != 2)
		return -1;
	return peer->id == 0 ? -1 : address_parse(peer->address, &parsed);
}

int
replica_settings_parse(
    const struct settings_list *list, struct replica_config *config)
{
	struct replica_peer peer;
	int problems = 0;
	uint32_t i;

	memset(config, 0, sizeof(*config));
	for (i = 0; i < list->count; i++) {
		if (parse_replica(list->items[i], &peer) == 0 &&
		    replica_config_find(config, peer.id) == NULL &&
		    config->voter_count < REPLICA_MAX_VOTERS) {
			config->voters[config->voter_count++] = peer;
			continue;
		}
		fprintf(stderr,
		    "settings: replicas[%u]: must be ID=IP:port with a "
		    "unique id, at most %d replicas\n",
		    i, REPLICA_MAX_VOTERS);
		problems++;
	}
	if (list->count == 0) {
		fprintf(stderr, "settings: replicas: must name at least one\n");
		problems++;
	}
	return problems == 0 ? 0 : -1;
}
