/// @file
/// Immutable view of rules, roll-outs and endpoints, created by the control thread and
/// read by the traffic thread.
#ifndef MV_PROXY_VIEW_H
#define MV_PROXY_VIEW_H

#include <stdint.h>

#include "core/membership/membership.h"
#include "core/rollout/rollout_table.h"
#include "core/rules/rules.h"

struct view_endpoint {
	struct member member;
	enum distance distance;
};

struct view {
	struct rules *rules; ///< One reference; NULL before the first rules.
	struct rollout_table rollouts;
	uint32_t proxy_count; ///< Proxies that are up, including this one.
	uint32_t endpoint_count;
	struct view_endpoint endpoints[];
};

/// Copies the members that are up and have a backend server, and references
/// the rules.
///
/// @return the view; release it with view_free
struct view *view_create(const struct membership *m, struct rules *rules,
    const struct rollout_table *rollouts);

void view_free(struct view *view);

#endif
