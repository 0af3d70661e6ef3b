// Traffic thread: runs ingress and egress on one event loop.
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <assert.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/memory_account.h"
#include "io/clock.h"
#include "io/held.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/loop.h"
#include "io/net/bulk.h"
#include "io/net/volume.h"
#include "proxy/egress/egress_peer.h"
#include "proxy/traffic.h"

#define PUBLISH_PERIOD_US (20 * US_PER_MS)

/// Longest wait for other proxies to take the last answers and close their streams.
#define FINISH_LIMIT_US (1 * US_PER_S)

GAUGE_DEFINE(gauge_running, "egress_running", "Requests in slots now");
GAUGE_DEFINE(gauge_memory_held, "memory_account_held_bytes",
    "Memory that callers and other proxies make this one hold");
GAUGE_DEFINE(gauge_memory_peak, "memory_account_peak_bytes",
    "Largest memory_account_held_bytes since the start");
GAUGE_DEFINE(gauge_memory_limit, "memory_account_limit_bytes",
    "Limit at which holders of memory give way");
GAUGE_DEFINE(gauge_queued, "egress_waiting", "Requests queued now");
GAUGE_DEFINE(gauge_work, "egress_work_left_ms",
    "Slot time that the requests in slots and queues still need");

struct traffic {
	struct loop *loop;
	struct memory_account account;
	/// Messages to and from other proxies, and bytes to and from servers.
	struct memory_holder streams;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct bulk_link *link; ///< NULL: its capacity is not known.
	struct egress *egress;
	struct egress_server *server;
	struct ingress *ingress;
	struct once_client *once;
	struct loop_timer publish_timer;
	struct volume_sample volume;
	struct loop *leaving_loop; ///< Of the listener below; or NULL.
	traffic_leaving_fn *leaving_fn;
	void *leaving_arg;
	struct loop *rollout_loop; ///< Of the listeners below; or NULL.
	traffic_counts_fn *counts_fn;
	traffic_stopped_fn *stopped_fn;
	void *rollout_arg;
	int64_t
	    finish_deadline_us; ///< Of the streams to this egress; 0: they stay.
	bool draining;
	atomic_bool drained;
	atomic_uint load_pct;
	atomic_uint active_count;
};

/// Command that another thread posts to the traffic thread.
struct command {
	struct traffic *traffic;
	struct view *view;
	struct egress_backend backend;
	uint64_t incarnation;
	int64_t deadline_us;
};

static struct command *
command_create(struct traffic *traffic)
{
	struct command *command = calloc(1, sizeof(*command));

	assert(command != NULL);
	command->traffic = traffic;
	return command;
}

static void
apply_view(void *arg)
{
	struct command *command = arg;
	struct traffic *traffic = command->traffic;

	ingress_set_view(traffic->ingress, command->view);
	egress_set_rollouts(traffic->egress, &command->view->rollouts);
	if (command->view->rules != NULL)
		egress_set_rules(traffic->egress, command->view->rules);
	view_free(command->view);
	free(command);
}

void
traffic_post_view(struct traffic *traffic, struct view *view)
{
	struct command *command = command_create(traffic);

	command->view = view;
	loop_post(traffic->loop, apply_view, command);
}

static void
apply_backend(void *arg)
{
	struct command *command = arg;

	egress_set_backend(command->traffic->egress, &command->backend);
	free(command);
}

void
traffic_post_backend(
    struct traffic *traffic, const struct egress_backend *backend)
{
	struct command *command = command_create(traffic);

	command->backend = *backend;
	loop_post(traffic->loop, apply_backend, command);
}

/// Addresses of the sources that another thread posts to the traffic thread.
struct sources_notice {
	struct traffic *traffic;
	bool has_leader;
	struct address leader;
	uint32_t count;
	struct address sources[];
};

static void
apply_sources(void *arg)
{
	struct sources_notice *notice = arg;

	ingress_set_sources(notice->traffic->ingress, notice->sources,
	    notice->count, notice->has_leader ? &notice->leader : NULL);
	free(notice);
}

void
traffic_post_sources(struct traffic *traffic, const struct address *sources,
    uint32_t count, const struct address *leader)
{
	struct sources_notice *notice =
	    calloc(1, sizeof(*notice) + count * sizeof(*sources));

	assert(notice != NULL);
	notice->traffic = traffic;
	notice->has_leader = leader != NULL;
	if (leader != NULL)
		notice->leader = *leader;
	notice->count = count;
	memcpy(notice->sources, sources, count * sizeof(*sources));
	loop_post(traffic->loop, apply_sources, notice);
}

static void
apply_service(void *arg)
{
	struct command *command = arg;

	ingress_set_service(
	    command->traffic->ingress, command->backend.service);
	free(command);
}

void
traffic_post_service(struct traffic *traffic, const char *service)
{
	struct command *command = command_create(traffic);

	snprintf(command->backend.service, sizeof(command->backend.service),
	    "%s", service);
	loop_post(traffic->loop, apply_service, command);
}

static void
apply_incarnation(void *arg)
{
	struct command *command = arg;

	egress_server_set_incarnation(
	    command->traffic->server, command->incarnation);
	ingress_set_incarnation(
	    command->traffic->ingress, command->incarnation);
	free(command);
}

void
traffic_post_incarnation(struct traffic *traffic, uint64_t incarnation)
{
	struct command *command = command_create(traffic);

	command->incarnation = incarnation;
	loop_post(traffic->loop, apply_incarnation, command);
}

static void
apply_leave(void *arg)
{
	struct command *command = arg;

	bulk_link_set_end(command->traffic->link, command->deadline_us);
	ingress_leave(command->traffic->ingress, command->deadline_us);
	free(command);
}

void
traffic_post_leave(struct traffic *traffic, int64_t deadline_us)
{
	struct command *command = command_create(traffic);

	command->deadline_us = deadline_us;
	loop_post(traffic->loop, apply_leave, command);
}

static void
apply_drain(void *arg)
{
	struct command *command = arg;
	struct traffic *traffic = command->traffic;

	traffic->draining = true;
	egress_drain(traffic->egress);
	ingress_drain(traffic->ingress, command->deadline_us);
	free(command);
}

void
traffic_post_drain(struct traffic *traffic, int64_t deadline_us)
{
	struct command *command = command_create(traffic);

	command->deadline_us = deadline_us;
	loop_post(traffic->loop, apply_drain, command);
}

static void
apply_refuse_waiting(void *arg)
{
	struct traffic *traffic = arg;

	egress_refuse_waiting(traffic->egress, "this proxy is leaving");
	ingress_refuse_waiting(traffic->ingress);
}

void
traffic_post_refuse_waiting(struct traffic *traffic)
{
	loop_post(traffic->loop, apply_refuse_waiting, traffic);
}

/// Notice to the listener that the backend server leaves.
struct leaving_notice {
	traffic_leaving_fn *fn;
	void *arg;
	char id[BACKEND_ID_BYTES];
	uint64_t process_start;
};

static void
deliver_leaving(void *arg)
{
	struct leaving_notice *notice = arg;

	notice->fn(notice->arg, notice->id, notice->process_start);
	free(notice);
}

static void
on_leaving(void *arg, const struct egress_backend *backend)
{
	struct traffic *traffic = arg;
	struct leaving_notice *notice = calloc(1, sizeof(*notice));

	assert(notice != NULL);
	notice->fn = traffic->leaving_fn;
	notice->arg = traffic->leaving_arg;
	memcpy(notice->id, backend->id, sizeof(notice->id));
	notice->process_start = backend->process_start;
	loop_post(traffic->leaving_loop, deliver_leaving, notice);
}

void
traffic_set_leaving_listener(struct traffic *traffic, struct loop *loop,
    traffic_leaving_fn *fn, void *arg)
{
	traffic->leaving_loop = loop;
	traffic->leaving_fn = fn;
	traffic->leaving_arg = arg;
	egress_set_leaving_listener(traffic->egress, on_leaving, traffic);
}

/// Counts, or a stop if its order is not 0, on their way to the listeners.
struct rollout_notice {
	struct traffic *traffic;
	struct egress_counts counts;
	uint64_t stopped_order;
};

static void
deliver_rollout(void *arg)
{
	struct rollout_notice *notice = arg;
	struct traffic *traffic = notice->traffic;

	if (notice->stopped_order != 0)
		traffic->stopped_fn(
		    traffic->rollout_arg, notice->stopped_order);
	else
		traffic->counts_fn(traffic->rollout_arg, &notice->counts);
	free(notice);
}

static void
post_rollout(struct traffic *traffic, const struct egress_counts *counts,
    uint64_t stopped_order)
{
	struct rollout_notice *notice = calloc(1, sizeof(*notice));

	assert(notice != NULL);
	notice->traffic = traffic;
	if (counts != NULL)
		notice->counts = *counts;
	notice->stopped_order = stopped_order;
	loop_post(traffic->rollout_loop, deliver_rollout, notice);
}

static void
on_stopped(void *arg, uint64_t order)
{
	post_rollout(arg, NULL, order);
}

static void
post_counts(struct traffic *traffic)
{
	struct egress_counts counts;

	if (traffic->rollout_loop != NULL &&
	    egress_take_counts(traffic->egress, &counts))
		post_rollout(traffic, &counts, 0);
}

void
traffic_set_rollout_listener(struct traffic *traffic, struct loop *loop,
    traffic_counts_fn *counts_fn, traffic_stopped_fn *stopped_fn, void *arg)
{
	traffic->rollout_loop = loop;
	traffic->counts_fn = counts_fn;
	traffic->stopped_fn = stopped_fn;
	traffic->rollout_arg = arg;
	ingress_set_stop_listener(traffic->ingress, on_stopped, traffic);
}

uint32_t
traffic_load_pct(const struct traffic *traffic)
{
	return atomic_load(&traffic->load_pct);
}

uint32_t
traffic_active_count(const struct traffic *traffic)
{
	return atomic_load(&traffic->active_count);
}

/// Ends the streams of other proxies once nothing is in progress.
///
/// @return whether they have taken all answers
static bool
finish_streams(struct traffic *traffic)
{
	int64_t now_us = loop_now_us(traffic->loop);

	if (traffic->finish_deadline_us == 0)
		traffic->finish_deadline_us = now_us + FINISH_LIMIT_US;
	return egress_server_finish(traffic->server) == 0 ||
	    now_us >= traffic->finish_deadline_us;
}

/// Closes the listeners in the same loop iteration that finds nothing in
/// progress, so that no request is accepted between the check and the close. One
/// that arrived while this process did not run is read before: it would be dropped.
static void
end_drain_if_idle(struct traffic *traffic)
{
	if (!traffic->draining || atomic_load(&traffic->drained) ||
	    atomic_load(&traffic->active_count) > 0 || !finish_streams(traffic))
		return;
	ingress_read_arrived(traffic->ingress);
	if (ingress_active_count(traffic->ingress) > 0)
		return;
	ingress_close_listeners(traffic->ingress);
	atomic_store(&traffic->drained, true);
}

bool
traffic_is_drained(const struct traffic *traffic)
{
	return atomic_load(&traffic->drained);
}

/// Counts what streams hold, and publishes the account.
static void
count_memory(struct traffic *traffic)
{
	memory_holder_set(&traffic->streams,
	    held_get_bytes(HELD_STREAM_OUT) + held_get_bytes(HELD_STREAM_IN) +
		held_get_bytes(HELD_CALL));
	counter_set(&gauge_memory_held, traffic->account.held_bytes);
	counter_set(&gauge_memory_peak, traffic->account.peak_bytes);
}

/// Closes the listeners to new connections once the backend server makes no more
/// calls.
static void
stop_accepting_if_idle(struct traffic *traffic, uint32_t running)
{
	if (traffic->draining && running == 0 &&
	    !atomic_load(&traffic->drained))
		ingress_stop_accepting(traffic->ingress);
}

/// Publishes the load and the requests in progress to the control thread.
static void
publish(void *arg)
{
	struct traffic *traffic = arg;
	uint32_t queued;
	uint32_t running;
	uint32_t load_pct;
	uint32_t bodies;

	egress_get_load(traffic->egress, &queued, &running, &load_pct);
	counter_set(&gauge_running, running);
	counter_set(&gauge_queued, queued);
	counter_set(
	    &gauge_work, egress_get_work_left_us(traffic->egress) / US_PER_MS);
	atomic_store(&traffic->load_pct, load_pct);
	bodies = bulk_link_count_bodies(traffic->link);
	atomic_store(&traffic->active_count,
	    queued + running + bodies + ingress_active_count(traffic->ingress));
	count_memory(traffic);
	stop_accepting_if_idle(traffic, running);
	end_drain_if_idle(traffic);
	post_counts(traffic);
	volume_log_backlog(&traffic->volume, loop_now_us(traffic->loop));
	loop_timer_set(traffic->loop, &traffic->publish_timer,
	    loop_now_us(traffic->loop) + PUBLISH_PERIOD_US);
}

static void *APR_THREAD_FUNC
run(apr_thread_t *thread, void *arg)
{
	struct traffic *traffic = arg;

	(void)thread;
	loop_run(traffic->loop);
	return NULL;
}

static void
traffic_free(struct traffic *traffic)
{
	egress_server_close(traffic->server);
	ingress_close(traffic->ingress);
	egress_destroy(traffic->egress);
	once_client_destroy(traffic->once);
	bulk_link_destroy(traffic->link);
	loop_destroy(traffic->loop);
	if (traffic->pool != NULL)
		apr_pool_destroy(traffic->pool);
	free(traffic);
}

struct traffic *
traffic_create(const struct traffic_settings *settings,
    struct traffic_bound *bound, struct error *err)
{
	struct traffic *traffic = calloc(1, sizeof(*traffic));
	struct egress_settings egress = settings->egress;
	struct ingress_settings ingress = settings->ingress;

	assert(traffic != NULL);
	traffic->loop = loop_create("traffic", err);
	if (traffic->loop == NULL)
		goto fail;
	traffic->link = bulk_link_create(
	    traffic->loop, settings->link_mbps, settings->stop_time_us);
	memory_account_init(
	    &traffic->account, memory_account_share(settings->memory_bytes));
	counter_set(&gauge_memory_limit, traffic->account.limit_bytes);
	memory_account_add(&traffic->account, &traffic->streams, 0,
	    loop_now_us(traffic->loop));
	egress.account = ingress.account = &traffic->account;
	traffic->egress = egress_create(traffic->loop, &egress, err);
	if (traffic->egress == NULL)
		goto fail;
	egress_set_link(traffic->egress, traffic->link);
	if (settings->ledger_count > 0) {
		traffic->once =
		    once_client_create(traffic->loop, settings->ledgers,
			settings->ledger_count, settings->ingress.seed);
		egress_set_once_client(traffic->egress, traffic->once);
	}
	traffic->ingress = ingress_open(traffic->loop, traffic->egress,
	    traffic->link, &ingress, &bound->outer, &bound->inner, err);
	if (traffic->ingress == NULL)
		goto fail;
	traffic->server = egress_server_open(traffic->loop, traffic->egress,
	    traffic->link, &settings->peer, settings->ingress.incarnation,
	    &bound->peer, err);
	if (traffic->server == NULL)
		goto fail;
	traffic->volume.link_mbps = settings->link_mbps;
	traffic->publish_timer.fn = publish;
	traffic->publish_timer.arg = traffic;
	loop_timer_set(
	    traffic->loop, &traffic->publish_timer, loop_now_us(traffic->loop));
	return traffic;
fail:
	if (traffic->loop != NULL)
		traffic_free(traffic);
	else
		free(traffic);
	return NULL;
}

int
traffic_start(struct traffic *traffic, struct error *err)
{
	apr_status_t rc = apr_pool_create(&traffic->pool, NULL);

	if (rc == APR_SUCCESS)
		rc = apr_thread_create(
		    &traffic->thread, NULL, run, traffic, traffic->pool);
	if (rc != APR_SUCCESS)
		return error_set(
		    err, ERR_IO, "start thread", "", "APR status %d", (int)rc);
	return 0;
}

/// Logs what ends unanswered with this process.
static void
log_unfinished(const struct traffic *traffic)
{
	uint32_t callers = ingress_active_count(traffic->ingress);
	uint32_t bodies = bulk_link_count_bodies(traffic->link);
	struct log_line line;
	uint32_t running;
	uint32_t load_pct;
	uint32_t queued;

	egress_get_load(traffic->egress, &queued, &running, &load_pct);
	if (callers + bodies + running + queued == 0)
		return;
	log_begin(&line, LOG_WARN, "proxy", "Stops with requests in progress.");
	log_number(&line, "callers", callers);
	log_number(&line, "queued", queued);
	log_number(&line, "running", running);
	log_number(&line, "bodies", bodies);
	log_end(&line);
}

void
traffic_stop(struct traffic *traffic)
{
	apr_status_t rc;

	if (traffic == NULL)
		return;
	if (traffic->thread != NULL) {
		loop_stop(traffic->loop);
		apr_thread_join(&rc, traffic->thread);
	}
	log_unfinished(traffic);
	traffic_free(traffic);
}
