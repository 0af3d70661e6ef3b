// Updates after a change: the view of the traffic thread, and the ticks of
// membership and version sync.
#include "io/log/counters.h"
#include "proxy/control/control.h"

GAUGE_DEFINE(gauge_members, "members_alive", "Members alive, self included");

static void
publish_deferred(void *arg)
{
	struct control *control = arg;

	control->view_deferred = false;
	counter_set(
	    &gauge_members, membership_alive_count(&control->membership));
	traffic_post_view(control->traffic,
	    view_create(&control->membership,
		control->floor.ready ? control->rules : NULL,
		&control->rollouts));
}

void
control_publish_view(struct control *control)
{
	if (control->view_deferred)
		return;
	control->view_deferred = true;
	loop_defer(control->loop, publish_deferred, control);
}

void
control_tick(void *arg)
{
	struct control *control = arg;
	int64_t now_us = loop_now_us(control->loop);
	int64_t gossip_us;
	int64_t sync_us;

	if (control->membership.self.incarnation !=
	    control->traffic_incarnation) {
		control->traffic_incarnation =
		    control->membership.self.incarnation;
		traffic_post_incarnation(
		    control->traffic, control->traffic_incarnation);
	}
	membership_set_load(
	    &control->membership, traffic_load_pct(control->traffic));
	gossip_us = membership_tick(&control->membership, now_us);
	sync_us = version_sync_tick(&control->sync, now_us);
	loop_timer_set(control->loop, &control->tick_timer,
	    gossip_us < sync_us ? gossip_us : sync_us);
}
