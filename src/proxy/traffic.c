// Traffic thread.
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <assert.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/loop.h"
#include "proxy/egress/egress_peer.h"
#include "proxy/traffic.h"

#define PUBLISH_US (20 * US_PER_MS)

GAUGE_DEFINE(gauge_running, "egress_running", "Requests in slots now");
GAUGE_DEFINE(gauge_queued, "egress_waiting", "Requests queued now");

struct traffic {
	struct loop *loop;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct egress *egress;
	struct egress_server *server;
	struct ingress *ingress;
	struct once_client *once;
	struct loop_timer publish_timer;
	bool draining;
	atomic_bool drained;
	atomic_uint load_pct;
	atomic_uint active_count;
};

/// What one thread asks of another.
struct order {
	struct traffic *traffic;
	struct view *view;
	struct egress_backend backend;
	uint64_t incarnation;
	int64_t deadline_us;
};

static struct order *
order_create(struct traffic *traffic)
{
	struct order *order = calloc(1, sizeof(*order));

	assert(order != NULL);
	order->traffic = traffic;
	return order;
}

static void
take_view(void *arg)
{
	struct order *order = arg;
	struct traffic *traffic = order->traffic;

	ingress_set_view(traffic->ingress, order->view);
	if (order->view->rules != NULL)
		egress_set_rules(traffic->egress, order->view->rules);
	view_free(order->view);
	free(order);
}

void
traffic_post_view(struct traffic *traffic, struct view *view)
{
	struct order *order = order_create(traffic);

	order->view = view;
	loop_post(traffic->loop, take_view, order);
}

static void
take_backend(void *arg)
{
	struct order *order = arg;

	egress_set_backend(order->traffic->egress, &order->backend);
	free(order);
}

void
traffic_post_backend(
    struct traffic *traffic, const struct egress_backend *backend)
{
	struct order *order = order_create(traffic);

	order->backend = *backend;
	loop_post(traffic->loop, take_backend, order);
}

static void
take_incarnation(void *arg)
{
	struct order *order = arg;

	egress_server_set_incarnation(
	    order->traffic->server, order->incarnation);
	ingress_set_incarnation(order->traffic->ingress, order->incarnation);
	free(order);
}

void
traffic_post_incarnation(struct traffic *traffic, uint64_t incarnation)
{
	struct order *order = order_create(traffic);

	order->incarnation = incarnation;
	loop_post(traffic->loop, take_incarnation, order);
}

static void
take_drain(void *arg)
{
	struct order *order = arg;
	struct traffic *traffic = order->traffic;

	traffic->draining = true;
	egress_drain(traffic->egress);
	ingress_drain(traffic->ingress, order->deadline_us);
	free(order);
}

void
traffic_post_drain(struct traffic *traffic, int64_t deadline_us)
{
	struct order *order = order_create(traffic);

	order->deadline_us = deadline_us;
	loop_post(traffic->loop, take_drain, order);
}

static void
take_give_up(void *arg)
{
	struct traffic *traffic = arg;

	egress_refuse_waiting(traffic->egress);
	ingress_give_up_waiting(traffic->ingress);
}

void
traffic_post_give_up(struct traffic *traffic)
{
	loop_post(traffic->loop, take_give_up, traffic);
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

/// Ends a drain in the round that finds nothing in progress, so that no request
/// is taken between the look and the end.
static void
end_drain_if_idle(struct traffic *traffic)
{
	if (!traffic->draining || atomic_load(&traffic->drained) ||
	    atomic_load(&traffic->active_count) > 0)
		return;
	ingress_close_doors(traffic->ingress);
	atomic_store(&traffic->drained, true);
}

bool
traffic_is_drained(const struct traffic *traffic)
{
	return atomic_load(&traffic->drained);
}

/// Publishes load and work in progress to the control thread.
static void
publish(void *arg)
{
	struct traffic *traffic = arg;
	uint32_t queued;
	uint32_t running;
	uint32_t load_pct;

	egress_load(traffic->egress, &queued, &running, &load_pct);
	counter_set(&gauge_running, running);
	counter_set(&gauge_queued, queued);
	atomic_store(&traffic->load_pct, load_pct);
	atomic_store(&traffic->active_count,
	    queued + running + ingress_active_count(traffic->ingress));
	end_drain_if_idle(traffic);
	loop_timer_set(traffic->loop, &traffic->publish_timer,
	    loop_now_us(traffic->loop) + PUBLISH_US);
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

	assert(traffic != NULL);
	traffic->loop = loop_create(err);
	if (traffic->loop == NULL)
		goto fail;
	traffic->egress = egress_create(traffic->loop, &settings->egress, err);
	if (traffic->egress == NULL)
		goto fail;
	if (settings->ledger_count > 0) {
		traffic->once =
		    once_client_create(traffic->loop, settings->ledgers,
			settings->ledger_count, settings->ingress.seed);
		egress_set_once_client(traffic->egress, traffic->once);
	}
	traffic->ingress = ingress_open(traffic->loop, traffic->egress,
	    &settings->ingress, &bound->outer, &bound->inner, err);
	if (traffic->ingress == NULL)
		goto fail;
	traffic->server = egress_server_open(traffic->loop, traffic->egress,
	    &settings->peer, settings->ingress.incarnation, &bound->peer, err);
	if (traffic->server == NULL)
		goto fail;
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
	traffic_free(traffic);
}
