// Arrivals, requests and checks of the responses.
#include <assert.h>
#include <gsl/gsl_randist.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "io/clock.h"
#include "load/load.h"

#define MAX_BODY_BYTES	(64u * 1024 * 1024)
#define MAX_ACTIVE	20000
#define RESPONSE_BYTES	512
#define RESEND_DELAY_US (100 * US_PER_MS)

/// A request in progress.
struct request {
	struct httpc_call call;
	struct load *load;
	struct load_class *class;
	struct loop_timer resend_timer;
	int64_t arrival_us;
	int64_t resend_deadline_us;
	uint32_t target;
	uint32_t resends_left;
	bool measured; ///< Arrived after the warm-up.
	char url[3 * LOAD_TEXT_BYTES];
	char expected[2 * LOAD_TEXT_BYTES]; ///< In the response.
	char key[48];
	struct message_header headers[1];
	char response[RESPONSE_BYTES];
	size_t response_bytes;
	enum load_result outcome; ///< LOAD_RESULT_COUNT: no such header.
};

static void
record_latency(struct load_class *c, double latency_us)
{
	if (c->latency_count == c->latency_capacity) {
		c->latency_capacity =
		    c->latency_capacity ? c->latency_capacity * 2 : 1024;
		c->latencies_us = realloc(c->latencies_us,
		    c->latency_capacity * sizeof(*c->latencies_us));
		assert(c->latencies_us != NULL);
	}
	c->latencies_us[c->latency_count++] = latency_us;
}

static void
record_key(struct load *load, const struct request *r, enum load_result result)
{
	if (r->key[0] == '\0')
		return;
	if (load->key_count == load->key_capacity) {
		load->key_capacity =
		    load->key_capacity ? load->key_capacity * 2 : 1024;
		load->keys = realloc(
		    load->keys, load->key_capacity * sizeof(*load->keys));
		assert(load->keys != NULL);
	}
	memcpy(load->keys[load->key_count].key, r->key, sizeof(r->key));
	load->keys[load->key_count].runs = 0;
	load->keys[load->key_count++].result = result;
}

static bool start_request(struct request *r);

static void
on_resend(void *arg)
{
	start_request(arg);
}

static enum load_result
classify_response(
    const struct request *r, const struct error *err, int64_t latency_us)
{
	if (r->outcome != LOAD_RESULT_COUNT)
		return r->outcome;
	if (err != NULL)
		return LOAD_ERROR;
	if (r->call.status != 200)
		return LOAD_UNKNOWN;
	if (strncmp(r->response + strcspn(r->response, " "), r->expected,
		strlen(r->expected)) != 0)
		return LOAD_WRONG;
	return latency_us <= r->class->target_us ? LOAD_IN_TIME : LOAD_LATE;
}

/// Returns whether to send the request again with the same key.
static bool
may_resend(const struct request *r, enum load_result result, int64_t now_us)
{
	return r->resends_left > 0 && r->key[0] != '\0' &&
	    (result == LOAD_ERROR || result == LOAD_UNKNOWN ||
		result == LOAD_REFUSED || result == LOAD_NOT_RUN) &&
	    now_us + RESEND_DELAY_US < r->resend_deadline_us;
}

static void
on_done(struct httpc_call *call, const struct error *err)
{
	struct request *r = call->owner;
	struct load *load = r->load;
	int64_t now_us = clock_now_us();
	int64_t latency_us = now_us - r->arrival_us;
	enum load_result result = classify_response(r, err, latency_us);

	if (may_resend(r, result, now_us)) {
		r->resends_left--;
		r->resend_timer.fn = on_resend;
		r->resend_timer.arg = r;
		loop_timer_set(
		    load->loop, &r->resend_timer, now_us + RESEND_DELAY_US);
		return;
	}
	record_key(load, r, result);
	if (r->measured) {
		r->class->results[result]++;
		if (result == LOAD_IN_TIME || result == LOAD_LATE)
			record_latency(r->class, (double)latency_us);
	}
	load->active--;
	free(r);
	if (load->active == 0 && now_us >= load->end_us)
		loop_stop(load->loop);
}

static enum httpc_verdict
on_head(struct httpc_call *call, uint32_t status, int64_t total_bytes)
{
	(void)call;
	(void)status;
	(void)total_bytes;
	return HTTPC_ACCEPT;
}

static void
on_header(struct httpc_call *call, struct bytes name, struct bytes value)
{
	struct request *r = call->owner;
	char text[32];

	if (name.size_bytes != strlen("Magnolia-Outcome") ||
	    strncasecmp(name.data, "Magnolia-Outcome", name.size_bytes) != 0 ||
	    bytes_copy(value, text, sizeof(text)) != 0)
		return;
	if (strcmp(text, "not-run") == 0)
		r->outcome = LOAD_NOT_RUN;
	else if (strcmp(text, "refused") == 0)
		r->outcome = LOAD_REFUSED;
	else
		r->outcome = LOAD_UNKNOWN;
}

static bool
on_body(struct httpc_call *call, const char *data, size_t size_bytes)
{
	struct request *r = call->owner;
	size_t free_bytes = sizeof(r->response) - 1 - r->response_bytes;

	if (size_bytes > free_bytes)
		size_bytes = free_bytes;
	memcpy(r->response + r->response_bytes, data, size_bytes);
	r->response_bytes += size_bytes;
	r->response[r->response_bytes] = '\0';
	return true;
}

static const struct httpc_ops call_ops = {
    .on_head = on_head,
    .on_header = on_header,
    .on_body = on_body,
    .on_done = on_done,
};

/// Sends a request to its target. Each resend goes to the next target.
static bool
start_request(struct request *r)
{
	struct load *load = r->load;
	const struct load_class *c = r->class;
	struct error err;
	const char *path;

	path = r->expected + strlen(c->method) + 2;
	snprintf(r->url, sizeof(r->url), "http://%s%.*s",
	    load->targets[r->target++ % load->target_count],
	    (int)strcspn(path, " "), path);
	memset(&r->call, 0, sizeof(r->call));
	r->outcome = LOAD_RESULT_COUNT;
	r->response_bytes = 0;
	r->response[0] = '\0';
	r->call.ops = &call_ops;
	r->call.owner = r;
	r->call.method = c->method;
	r->call.url = r->url;
	r->call.repeatable = !c->once && !c->named;
	r->call.body = load->body;
	r->call.body_bytes = c->body_bytes;
	r->call.deadline_us = clock_now_us() + c->timeout_us;
	r->headers[0].name = bytes_from_string(
	    c->named ? "Magnolia-Request-Id" : "Idempotency-Key");
	r->headers[0].value = bytes_from_string(r->key);
	r->call.headers = r->headers;
	r->call.header_count = r->key[0] == '\0' ? 0 : 1;
	return httpc_call_start(load->httpc, &r->call, &err) == 0;
}

static void
issue_request(struct load *load, struct load_class *c, int64_t arrival_us)
{
	struct request *r = calloc(1, sizeof(*r));
	uint64_t number = load->next_request_number++;

	assert(r != NULL);
	r->load = load;
	r->class = c;
	r->arrival_us = arrival_us;
	r->resend_deadline_us = arrival_us + c->timeout_us;
	r->measured = arrival_us >= load->measure_start_us;
	r->target =
	    (uint32_t)gsl_rng_uniform_int(load->rng, load->target_count);
	r->resends_left = c->named ? 0 : load->resend;
	snprintf(r->expected, sizeof(r->expected),
	    " %s %s%s-%" PRIu64 "%s bytes=%u ", c->method, c->path,
	    load->run_id, number, c->query, c->body_bytes);
	if (c->once || c->named)
		snprintf(r->key, sizeof(r->key), "%s-%" PRIu64, load->run_id,
		    number);
	c->sent += r->measured;
	load->active++;
	if (!start_request(r)) {
		load->active--;
		free(r);
	}
}

/// Sets the arrival timer. Timers of the event loop are too coarse for an
/// open-loop load: a late arrival would look like a slow response.
static void
set_arrival_timer(struct load *load, int64_t deadline_us)
{
	struct itimerspec at = {0};

	at.it_value.tv_sec = deadline_us / US_PER_S;
	at.it_value.tv_nsec = deadline_us % US_PER_S * 1000;
	timerfd_settime(load->arrival_timer.fd, TFD_TIMER_ABSTIME, &at, NULL);
}

/// Issues all requests that are due. Arrivals are a Poisson process that does
/// not wait for responses.
static void
on_arrival_timer(void *arg, uint32_t events)
{
	struct load *load = arg;
	uint64_t expirations;
	int64_t now_us = clock_now_us();
	int64_t next_us = load->end_us;
	uint32_t i;

	(void)events;
	(void)!read(load->arrival_timer.fd, &expirations, sizeof(expirations));
	for (i = 0; i < load->class_count; i++) {
		struct load_class *c = &load->classes[i];

		while (c->next_arrival_us <= now_us &&
		    c->next_arrival_us < load->end_us) {
			if (load->active < MAX_ACTIVE)
				issue_request(load, c, c->next_arrival_us);
			c->next_arrival_us += 1 +
			    (int64_t)gsl_ran_exponential(
				load->rng, 1e6 / c->rate_per_s);
		}
		if (c->next_arrival_us < next_us)
			next_us = c->next_arrival_us;
	}
	if (now_us < load->end_us)
		set_arrival_timer(load, next_us);
	else if (load->active == 0)
		loop_stop(load->loop);
}

static void
init_run(struct load *load)
{
	uint32_t max_body = 0;
	uint32_t i;

	load->start_us = clock_now_us();
	load->measure_start_us =
	    load->start_us + (int64_t)(load->warmup_s * 1e6);
	load->end_us =
	    load->measure_start_us + (int64_t)(load->duration_s * 1e6);
	snprintf(load->run_id, sizeof(load->run_id), "r%u", load->seed);
	for (i = 0; i < load->class_count; i++) {
		struct load_class *c = &load->classes[i];

		c->next_arrival_us = load->start_us +
		    (int64_t)gsl_ran_exponential(
			load->rng, 1e6 / c->rate_per_s);
		if (c->body_bytes > max_body)
			max_body = c->body_bytes;
	}
	assert(max_body <= MAX_BODY_BYTES);
	load->body = calloc(1, max_body + 1);
	assert(load->body != NULL);
	memset(load->body, 'x', max_body);
}

int
load_run(struct load *load, struct error *err)
{
	load->loop = loop_create("load", err);
	if (load->loop == NULL)
		return -1;
	load->httpc = httpc_open(load->loop, 0, err);
	if (load->httpc == NULL)
		return -1;
	load->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(load->rng, load->seed);
	init_run(load);
	load->arrival_timer.fn = on_arrival_timer;
	load->arrival_timer.arg = load;
	loop_watch_set(load->loop, &load->arrival_timer,
	    timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC),
	    LOOP_READ);
	set_arrival_timer(load, load->start_us);
	loop_run(load->loop);
	httpc_close(load->httpc);
	loop_destroy(load->loop);
	gsl_rng_free(load->rng);
	return 0;
}
