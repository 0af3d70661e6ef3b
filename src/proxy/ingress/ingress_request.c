// State of requests at the ingress, and statistics of their routes.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/link_admission.h"
#include "core/rules/rules.h"
#include "io/dialect.h"
#include "proxy/ingress/ingress_request.h"

/// Number of requests over which the service time ratio of a route is averaged.
#define SERVICE_RATIO_SAMPLES 32
#define PERMILLE	      1000

struct ingress_request *
ingress_request_create(
    struct ingress_listener *listener, struct http_exchange *exchange)
{
	struct ingress_request *r = calloc(1, sizeof(*r));

	assert(r != NULL);
	r->ingress = listener->ingress;
	r->exchange = exchange;
	r->all_next = listener->ingress->all;
	if (r->all_next != NULL)
		r->all_next->all_prev = r;
	listener->ingress->all = r;
	exchange->state = r;
	return r;
}

void
ingress_stop_quota_wait(struct ingress_request *r)
{
	struct quota_client *q = &r->ingress->quota;

	if (r->quota_prev != NULL)
		r->quota_prev->quota_next = r->quota_next;
	else
		q->first = r->quota_next;
	if (r->quota_next != NULL)
		r->quota_next->quota_prev = r->quota_prev;
	else
		q->last = r->quota_prev;
	r->quota_waiting = false;
	quota_share_stop_waiting(&q->share, quota_workspace_hash(r->workspace));
}

void
ingress_request_free(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;

	assert(r->state == ATTEMPT_NONE);
	if (r->quota_waiting)
		ingress_stop_quota_wait(r);
	if (r->all_prev != NULL)
		r->all_prev->all_next = r->all_next;
	else
		ingress->all = r->all_next;
	if (r->all_next != NULL)
		r->all_next->all_prev = r->all_prev;
	loop_timer_clear(ingress->loop, &r->timer);
	if (r->exchange != NULL)
		r->exchange->state = NULL;
	header_list_free(&r->headers);
	rules_unref(r->rules);
	free(r);
}

const char *
ingress_find_header(const struct ingress_request *r, const char *name)
{
	return name == NULL ? NULL
			    : http_exchange_get_header(r->exchange, name);
}

enum outcome
ingress_not_run_outcome(const struct ingress_request *r)
{
	bool has_key = r->key[0] != '\0' ||
	    (r->exchange != NULL &&
		ingress_find_header(r, r->ingress->dialect->headers.key) !=
		    NULL);

	return has_key ? OUTCOME_REFUSED : OUTCOME_NOT_RUN;
}

struct route_stats *
ingress_get_route_stats(struct ingress_request *r)
{
	const char *name =
	    r->route->name[0] != '\0' ? r->route->name : r->route->path;
	uint64_t key = rule_file_hash(name, strlen(name));
	struct route_stats *stats =
	    &r->ingress->route_table[key % INGRESS_ROUTE_STATS];

	if (stats->route_hash != key) {
		stats->route_hash = key;
		stats->service_ratio_permille = 0;
		stats->latency = NULL;
		memset(&stats->answer_size, 0, sizeof(stats->answer_size));
		memset(&stats->caller_age, 0, sizeof(stats->caller_age));
		stats->returns_deadline_us = 0;
	}
	return stats;
}

void
ingress_record_service_time(
    struct ingress_request *r, const struct message_response *m)
{
	struct route_stats *stats = ingress_get_route_stats(r);
	double sample = (double)m->run_us * PERMILLE / m->service_us;

	if (stats->service_ratio_permille <= 0)
		stats->service_ratio_permille = sample;
	else
		stats->service_ratio_permille +=
		    (sample - stats->service_ratio_permille) /
		    SERVICE_RATIO_SAMPLES;
}

void
ingress_record_answer_size(
    struct ingress_request *r, const struct message_response *m)
{
	int64_t size_bytes = m->more ? m->total_bytes : m->body.size_bytes;

	if (m->outcome != OUTCOME_ANSWERED || m->status < 200 ||
	    m->status >= 300 || r->exchange == NULL ||
	    strcmp(r->exchange->method, "HEAD") == 0)
		return;
	r->answer_unsized = size_bytes < 0;
	if (!r->answer_unsized)
		answer_size_record(
		    &ingress_get_route_stats(r)->answer_size, size_bytes);
}

void
ingress_record_answer_end(struct ingress_request *r)
{
	if (r->answer_unsized)
		answer_size_record(
		    &ingress_get_route_stats(r)->answer_size, r->answer_bytes);
}

bool
ingress_is_call_of_work(const struct ingress_request *r)
{
	uint32_t queued;
	uint32_t running;
	uint32_t load_pct;

	egress_get_load(r->ingress->egress, &queued, &running, &load_pct);
	return r->begun && running > 0;
}

/// Whether the answer is known to be short, so that no link holds it up.
static bool
is_answer_short(struct ingress_request *r)
{
	int64_t size_bytes =
	    answer_size_longest(&ingress_get_route_stats(r)->answer_size);

	if (r->exchange != NULL && strcmp(r->exchange->method, "HEAD") == 0)
		return true;
	return size_bytes >= 0 && size_bytes <= LINK_SHORT_BYTES;
}

bool
ingress_answer_may_outlast(struct ingress_request *r)
{
	int64_t end_us = r->ingress->leave_deadline_us;

	// Without its calls the work that has begun is lost in any case.
	return end_us != 0 && !ingress_is_call_of_work(r) &&
	    r->deadline_us > end_us - INGRESS_DRAIN_MARGIN_US &&
	    !is_answer_short(r);
}
