// Replacement of a replica on request of an operator.
#include <inttypes.h>
#include <string.h>

#include "io/log/log.h"
#include "io/replica/replica_host.h"

void
replica_host_advance_change(struct replica_host *host)
{
	struct error err;

	if (!host->change_pending ||
	    !replica_has_caught_up(&host->replica, &host->target) ||
	    host->replica.config_index > host->replica.commit)
		return;
	if (replica_change_config(&host->replica, &host->target,
		loop_now_us(host->loop), &err) != 0)
		return;
	host->change_pending = false;
	log_write(LOG_INFO, "replica", "Changes the voters.");
}

static bool
remove_voter(struct replica_config *c, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < c->voter_count; i++) {
		if (c->voters[i].id != id)
			continue;
		c->voters[i] = c->voters[--c->voter_count];
		memset(&c->voters[c->voter_count], 0, sizeof(c->voters[0]));
		return true;
	}
	return false;
}

int
replica_host_replace(struct replica_host *host, uint64_t remove_id,
    const struct replica_peer *add, struct error *err)
{
	struct replica_config learners = host->replica.config;

	if (remove_id == 0 && add->id == 0)
		return error_set(err, ERR_INVALID, "replace", "",
		    "neither a replica to remove nor one to add is given");
	if (host->change_pending)
		return error_set(err, ERR_CONFLICT, "replace", "",
		    "a replacement is in progress");
	host->target = host->replica.config;
	if (remove_id != 0 && !remove_voter(&host->target, remove_id))
		return error_set(err, ERR_INVALID, "replace", "",
		    "replica %" PRIu64 " is not a voter", remove_id);
	if (add->id != 0) {
		if (replica_config_find(&host->replica.config, add->id) !=
			NULL ||
		    add->id == remove_id)
			return error_set(err, ERR_INVALID, "replace", "",
			    "replica id %" PRIu64 " is in use", add->id);
		if (host->target.voter_count == REPLICA_MAX_VOTERS ||
		    learners.learner_count == REPLICA_MAX_LEARNERS)
			return error_set(err, ERR_INVALID, "replace", "",
			    "too many replicas");
		host->target.voters[host->target.voter_count++] = *add;
		learners.learners[learners.learner_count++] = *add;
	}
	if (host->target.voter_count == 0)
		return error_set(
		    err, ERR_INVALID, "replace", "", "no voter would be left");
	if (add->id != 0 &&
	    replica_change_config(
		&host->replica, &learners, loop_now_us(host->loop), err) != 0)
		return -1;
	host->change_pending = true;
	log_write(LOG_INFO, "replica",
	    "Replaces replica %" PRIu64 " by %" PRIu64 ".", remove_id, add->id);
	return 0;
}
