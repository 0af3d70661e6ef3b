// What one proxy sees by itself of a new version.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/rollout/rollout_own.h"

void
rollout_own_free(struct rollout_own *own)
{
	if (own->judge != NULL)
		rollout_judge_free(own->judge);
	free(own->judge);
	memset(own, 0, sizeof(*own));
}

void
rollout_own_follow(struct rollout_own *own, const struct rollout_filter *filter)
{
	uint64_t order = filter->running ? filter->order : 0;

	if (own->order == order)
		return;
	rollout_own_free(own);
	own->order = order;
	if (order == 0)
		return;
	own->judge = calloc(1, sizeof(*own->judge));
	assert(own->judge != NULL);
	rollout_judge_init(own->judge);
}

bool
rollout_own_add(struct rollout_own *own, const struct rollout_answer *a,
    int64_t now_us, struct rollout_finding *finding)
{
	struct rollout_counts counts;

	if (own->judge == NULL || own->stopped)
		return false;
	counts.count = 0;
	rollout_counts_add(&counts, a->route, a->failed, a->run_us);
	rollout_judge_add(own->judge, a->server, a->is_new, &counts, now_us);
	own->stopped = rollout_judge_is_bad(own->judge, finding);
	return own->stopped;
}
