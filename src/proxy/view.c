// Views of rules and endpoints.
#include <assert.h>
#include <stdlib.h>

#include "proxy/view.h"

static void
add_member(
    struct view *view, const struct member *member, enum distance distance)
{
	struct view_endpoint *e;

	if (member->status > MEMBER_SUSPECT || member->service[0] == '\0' ||
	    member->backend == BACKEND_NONE)
		return;
	e = &view->endpoints[view->endpoint_count++];
	e->member = *member;
	e->distance = distance;
}

struct view *
view_create(const struct membership *m, struct rules *rules,
    const struct rollout_table *rollouts)
{
	struct view *view = calloc(1,
	    sizeof(*view) + (m->peer_count + 1) * sizeof(view->endpoints[0]));
	uint32_t i;

	assert(view != NULL);
	view->proxy_count = membership_alive_count(m);
	view->rollouts = *rollouts;
	view->rules = rules == NULL ? NULL : rules_ref(rules);
	add_member(view, &m->self, DISTANCE_DC);
	for (i = 0; i < m->peer_count; i++)
		add_member(view, &m->peers[i]->member, m->peers[i]->distance);
	return view;
}

void
view_free(struct view *view)
{
	if (view == NULL)
		return;
	rules_unref(view->rules);
	free(view);
}
