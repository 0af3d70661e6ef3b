// Control thread of a proxy.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/control/rollouts.h"

#define FLOOR_CHECK_US (100 * US_PER_MS)
/// Time before the end of a drain at which queued requests are refused, so that
/// the refusals still reach the callers: a few round trips between regions on a
/// slow link.
#define SHED_QUEUED_BEFORE_US (500 * US_PER_MS)

/// Delay per rank between members of a data centre that pull from remote
/// holders.
#define PULL_STAGGER_US (300 * US_PER_MS)

/// Time without an answer after which a pull from another holder starts too.
/// It is short because a delta has a few hundred bytes.
#define PULL_HEDGE_DELAY_US (300 * US_PER_MS)

#define DRAIN_CHECK_US	      (50 * US_PER_MS)
#define ADMIN_MAX_BODY_BYTES  65536
#define ADMIN_MAX_CONNECTIONS 64
#define ADMIN_IDLE_S	      30

static void
on_control_message(struct stream *stream, struct message *message)
{
	struct control *control = stream->owner;

	switch (message->type) {
	case MESSAGE_SYNC:
		gossip_io_answer_sync(control, stream, &message->u.sync);
		break;
	case MESSAGE_PULL:
		distribution_answer_pull(control, stream, &message->u.pull);
		break;
	default:
		stream_close(stream);
		break;
	}
}

static void
on_control_closed(struct stream *stream, const struct error *err)
{
	(void)stream;
	(void)err;
}

static const struct stream_ops control_stream_ops = {
    .on_message = on_control_message,
    .on_closed = on_control_closed,
};

static void
start_timer(struct control *control, struct loop_timer *timer,
    void (*fn)(void *), int64_t delay_us)
{
	timer->fn = fn;
	timer->arg = control;
	loop_timer_set(
	    control->loop, timer, loop_now_us(control->loop) + delay_us);
}

static int
open_sockets(struct control *control, struct error *err)
{
	struct httpd_limits limits = {
	    .max_body_bytes = ADMIN_MAX_BODY_BYTES,
	    .max_connections = ADMIN_MAX_CONNECTIONS,
	    .idle_timeout_s = ADMIN_IDLE_S,
	};
	struct address ready_bound;
	struct address udp_bound;

	// UDP binds to the TCP port, which the kernel may have chosen.
	if (listener_open(&control->listener, control->loop,
		&control->settings.control, &control_stream_ops, control, NULL,
		&control->bound_control, err) != 0 ||
	    datagram_open(&control->udp, control->loop, &control->bound_control,
		control, gossip_io_receive, &udp_bound, err) != 0)
		return -1;
	control->admin = httpd_open(control->loop, &control->settings.admin,
	    &control_admin_ops, control, &limits, &control->bound_admin, err);
	if (control->admin == NULL)
		return -1;
	if (!control->settings.has_ready)
		return 0;
	control->ready = httpd_open(control->loop, &control->settings.ready,
	    &control_admin_ops, control, &limits, &ready_bound, err);
	return control->ready == NULL ? -1 : 0;
}

int
control_open(struct control *control, struct error *err)
{
	struct control_settings *s = &control->settings;
	int64_t now_us;

	control->loop = loop_create("control", err);
	if (control->loop == NULL || open_sockets(control, err) != 0)
		return -1;
	now_us = loop_now_us(control->loop);
	s->self.control_port = ntohs(control->bound_control.in.sin_port);
	s->self.peer_port = s->advertised_peer_port != 0
	    ? s->advertised_peer_port
	    : ntohs(control->bound_traffic.peer.in.sin_port);
	membership_init(&control->membership, &control_membership_ops, control,
	    &s->membership, &s->self, s->seed, now_us);
	version_sync_init(&control->sync, &control_sync_ops, control, s->seed,
	    PULL_STAGGER_US, PULL_HEDGE_DELAY_US);
	control->pull_share.link_mbps = s->link_mbps;
	control->pull_share.random.seed = s->seed + 1;
	control->traffic_incarnation = s->self.incarnation;
	control->floor.started_us = now_us;
	start_timer(control, &control->tick_timer, control_tick, 0);
	start_timer(control, &control->report_timer, distribution_report, 0);
	start_timer(control, &control->floor_timer, distribution_check_floor,
	    FLOOR_CHECK_US);
	traffic_set_leaving_listener(
	    control->traffic, control->loop, announce_backend_leaving, control);
	traffic_set_rollout_listener(control->traffic, control->loop,
	    rollouts_send_counts, rollouts_note_stopped, control);
	distribution_post_sources(control);
	control->lease_timer.fn = announce_lease_expired;
	control->lease_timer.arg = control;
	return 0;
}

void
control_run(struct control *control)
{
	loop_run(control->loop);
}

void
control_close(struct control *control)
{
	if (control->loop == NULL)
		return;
	httpd_close(control->admin);
	httpd_close(control->ready);
	listener_close(&control->listener);
	datagram_close(&control->udp);
	membership_free(&control->membership);
	rules_unref(control->rules);
	loop_destroy(control->loop);
}

static void
finish_leaving(struct control *control)
{
	membership_leave(&control->membership, loop_now_us(control->loop));
	distribution_send_report(control, true);
	log_write(LOG_INFO, "proxy", "Left the mesh; stopping.");
	loop_stop(control->loop);
}

/// Leaves when no request is in progress, or at the drain deadline.
static void
check_drained(void *arg)
{
	struct control *control = arg;
	int64_t now_us = loop_now_us(control->loop);
	uint32_t active = traffic_active_count(control->traffic);

	if (!control->shed_queued &&
	    now_us >= control->drain_deadline_us - SHED_QUEUED_BEFORE_US) {
		control->shed_queued = true;
		traffic_post_refuse_waiting(control->traffic);
	}
	if (!traffic_is_drained(control->traffic) &&
	    now_us < control->drain_deadline_us) {
		loop_timer_set(control->loop, &control->drain_timer,
		    now_us + DRAIN_CHECK_US);
		return;
	}
	if (active > 0)
		log_write(LOG_WARN, "proxy",
		    "Drain limit reached; leaving the mesh with %u requests in "
		    "progress.",
		    active);
	finish_leaving(control);
}

/// Refuses new requests. The other members know of the drain by now.
static void
refuse_new_requests(void *arg)
{
	struct control *control = arg;

	traffic_post_drain(control->traffic, control->drain_deadline_us);
	start_timer(
	    control, &control->drain_timer, check_drained, 2 * DRAIN_CHECK_US);
}

void
control_leave(struct control *control)
{
	int64_t now_us = loop_now_us(control->loop);

	if (control->leaving)
		return;
	control->leaving = true;
	log_write(LOG_INFO, "proxy", "Draining before leaving the mesh.");
	control->drain_deadline_us = now_us +
	    control->settings.drain_announce_us +
	    control->settings.drain_limit_us;
	traffic_post_leave(control->traffic, control->drain_deadline_us);
	if (control->backend.known)
		announce_publish(control);
	control_publish_view(control);
	control_tick(control);
	start_timer(control, &control->drain_timer, refuse_new_requests,
	    control->settings.drain_announce_us);
}
