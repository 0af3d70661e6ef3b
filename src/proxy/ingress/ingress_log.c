// Log lines and latency histograms of requests at the ingress.
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "io/dialect.h"
#include "io/log/histogram.h"
#include "io/log/log.h"
#include "proxy/ingress/ingress_log.h"

HISTOGRAM_FAMILY_DEFINE(request_latency, "request_seconds",
    "From a request's arrival to its answer, by route and rank");
HISTOGRAM_FAMILY_DEFINE(ingress_latency, "ingress_seconds",
    "By stage: before the first attempt, and on the way there and back");

void
ingress_set_request_id(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;
	const struct dialect *d = ingress->dialect;
	const char *name = d->headers.attempt == NULL
	    ? NULL
	    : http_exchange_get_header(r->exchange, d->headers.attempt);

	if (name != NULL && name[0] != '\0') {
		snprintf(r->request_id, sizeof(r->request_id), "%s", name);
		return;
	}
	snprintf(r->request_id, sizeof(r->request_id),
	    "%.40s-%" PRIx64 "-%" PRIx64, ingress->settings.name,
	    ingress->settings.incarnation, ++ingress->generated_ids);
	if (d->assigns_request_ids)
		header_list_add(&r->headers,
		    bytes_from_string(d->headers.attempt),
		    bytes_from_string(r->request_id));
}

static const char *
route_name(const struct ingress_request *r)
{
	if (r->route == NULL)
		return "";
	return r->route->name[0] != '\0' ? r->route->name : r->route->path;
}

static int64_t
age_us(const struct ingress_request *r, int64_t since_us)
{
	return loop_now_us(r->ingress->loop) - since_us;
}

static void
begin(struct log_line *line, const struct ingress_request *r, const char *part,
    const char *text)
{
	log_begin(line, LOG_INFO, part, text);
	log_text(line, "request", r->request_id);
	if (r->route == NULL)
		return;
	log_text(line, "route", route_name(r));
	log_text(line, "rank", r->rank->name);
	if (r->workspace[0] != '\0')
		log_text(line, "workspace", r->workspace);
	log_number(line, "rules", (int64_t)r->rules->version);
}

void
ingress_log_sent(struct ingress_request *r,
    const struct balancer_choice *choice, const struct balancer_request *query)
{
	const struct endpoint *e = choice->endpoint;
	struct log_line line;

	if (r->first_sent_us == 0) {
		r->first_sent_us = loop_now_us(r->ingress->loop);
		histogram_observe(
		    histogram_get(&ingress_latency, "stage=\"before\""),
		    age_us(r, r->exchange->arrival_us));
	}
	begin(&line, r, "route", "Sent to a backend server.");
	log_text(&line, "service", r->balancer->service);
	log_text(&line, "to", e->name);
	log_number(&line, "attempt", r->attempts);
	log_number(&line, "candidates", choice->candidates);
	log_number(&line, "cost_permille", choice->cost_permille);
	log_ms(&line, "expected_ms", choice->expected_us);
	log_ms(&line, "expected_slot_ms", choice->service_us);
	log_ms(&line, "target_left_ms", query->target_left_us);
	log_ms(&line, "left_ms", query->deadline_left_us);
	log_number(&line, "usual_answer_bytes", query->answer_bytes);
	log_number(&line, "load", e->reported_load);
	log_number(&line, "slots", e->slots);
	log_ms(&line, "work_left_ms", e->work_left_us);
	if (e->reported_us != 0)
		log_ms(&line, "load_age_ms", age_us(r, e->reported_us));
	log_number(&line, "own_requests_there", e->outstanding);
	log_end(&line);
}

void
ingress_log_retry(const struct ingress_request *r, uint32_t status,
    enum outcome outcome, const char *why)
{
	struct log_line line;

	begin(&line, r, "route", "Tries again.");
	log_number(&line, "status", status);
	log_text(&line, "outcome", outcome_name(outcome));
	log_text(&line, "why", why);
	log_number(&line, "attempts", r->attempts);
	log_number(&line, "arrivals", r->arrivals);
	log_number(&line, "budget_milli", r->balancer->retries.tokens_milli);
	log_end(&line);
}

/// Latency histogram of a route, looked up once.
static struct histogram *
route_latency(struct ingress_request *r)
{
	struct route_stats *stats = ingress_get_route_stats(r);
	char labels[HISTOGRAM_LABELS_BYTES];

	if (stats->latency == NULL) {
		snprintf(labels, sizeof(labels),
		    "route=\"%.80s\",rank=\"%.40s\"", route_name(r),
		    r->rank->name);
		stats->latency = histogram_get(&request_latency, labels);
	}
	return stats->latency;
}

static void
observe_total(struct ingress_request *r)
{
	if (r->route != NULL)
		histogram_observe(
		    route_latency(r), age_us(r, r->exchange->arrival_us));
}

void
ingress_log_forwarded(
    struct ingress_request *r, const struct message_response *m)
{
	int64_t attempt_us = age_us(r, r->sent_us);
	struct log_line line;

	observe_total(r);
	histogram_observe(histogram_get(&ingress_latency, "stage=\"way\""),
	    attempt_us - m->queue_us - m->run_us);
	begin(&line, r, "ingress", "Passed an answer on.");
	log_number(&line, "status", m->status);
	if (r->attempts > 0)
		log_text(&line, "from", r->tried[r->attempts - 1]);
	log_number(&line, "attempts", r->attempts);
	log_ms(&line, "total_ms", age_us(r, r->exchange->arrival_us));
	log_ms(&line, "attempt_ms", attempt_us);
	log_ms(&line, "queue_ms", m->queue_us);
	log_ms(&line, "run_ms", m->run_us);
	log_end(&line);
}

/// Adds where the request got to, and what its answer still had to come.
static void
log_progress(struct log_line *line, const struct ingress_request *r)
{
	static const char *const states[] = {
	    "waits", "sent", "fenced", "answered in part"};
	int64_t now_us = loop_now_us(r->ingress->loop);

	log_text(line, "state", states[r->state]);
	if (r->attempts > 0)
		log_text(line, "from", r->tried[r->attempts - 1]);
	log_number(line, "arrivals", r->arrivals);
	log_number(line, "upload_ended", r->upload_ended);
	log_number(line, "answer_bytes", r->answer_bytes);
	log_number(line, "returned", r->returned);
	log_ms(line, "stated_ms", r->stated_left_us);
	log_ms(line, "target_left_ms", r->target_deadline_us - now_us);
	log_ms(line, "left_ms", r->deadline_us - now_us);
	log_ms(line, "total_ms", age_us(r, r->exchange->arrival_us));
}

void
ingress_log_answer_end(const struct ingress_request *r, const char *cut)
{
	struct log_line line;

	begin(&line, r, "ingress", "A long answer ended.");
	log_number(&line, "complete", cut == NULL);
	if (cut != NULL)
		log_text(&line, "why", cut);
	log_progress(&line, r);
	log_end(&line);
}

void
ingress_log_cut_by_stop(const struct ingress_request *r)
{
	struct log_line line;

	begin(&line, r, "ingress", "The process ends before the request.");
	log_progress(&line, r);
	log_end(&line);
}

void
ingress_log_own_response(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why)
{
	struct log_line line;

	observe_total(r);
	begin(&line, r, "ingress", "Answered.");
	log_number(&line, "status", status);
	log_text(&line, "outcome", outcome_name(outcome));
	log_text(&line, "why", why);
	if (r->route == NULL)
		log_text(&line, "target", r->exchange->target);
	if (r->rules == NULL && r->ingress->rules == NULL)
		log_number(&line, "rules", 0);
	if (r->attempts > 0)
		log_text(&line, "tried", r->tried[r->attempts - 1]);
	log_number(&line, "attempts", r->attempts);
	log_number(&line, "arrivals", r->arrivals);
	log_ms(&line, "total_ms", age_us(r, r->exchange->arrival_us));
	if (retry_us > 0)
		log_ms(&line, "retry_ms", retry_us);
	log_end(&line);
}

void
ingress_log_caller_closed(const struct ingress_request *r)
{
	struct log_line line;

	begin(&line, r, "ingress", "The caller closed its connection early.");
	log_number(&line, "attempts", r->attempts);
	if (r->state != ATTEMPT_NONE)
		log_ms(&line, "attempt_ms", age_us(r, r->sent_us));
	log_end(&line);
}
