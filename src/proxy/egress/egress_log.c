// Log lines and latency histograms of requests at the egress.
#include <stdio.h>

#include "io/log/histogram.h"
#include "io/log/log.h"
#include "proxy/egress/egress_log.h"

HISTOGRAM_FAMILY_DEFINE(egress_times, "egress_seconds",
    "By stage and rank: in the queue, and in a slot of the backend server");

static void
begin_line(struct log_line *line, const struct egress *egress,
    const struct message_request *m, const char *part, const char *text)
{
	const char *header = egress->dialect->headers.attempt;
	struct bytes name;

	log_begin(line, LOG_INFO, part, text);
	if (header != NULL && header_list_find(&m->headers, header, &name))
		log_bytes(line, "request", name);
	log_bytes(line, "rank", m->rank);
	if (m->workspace.size_bytes > 0)
		log_bytes(line, "workspace", m->workspace);
	if (egress->rules != NULL)
		log_number(line, "rules", (int64_t)egress->rules->version);
}

static void
log_backend_state(struct log_line *line, const struct egress *egress)
{
	log_text(line, "backend", egress->backend.id);
	log_text(line, "state", backend_state_name(egress->backend.state));
	log_number(line, "running", egress->admission.running);
	log_number(line, "queued", egress->admission.queued);
	log_number(line, "slots", egress->admission.slots);
}

void
egress_log_refused(const struct egress *egress, const struct message_request *m,
    const char *origin, uint32_t status, enum outcome outcome, int64_t retry_us,
    const char *why)
{
	struct log_line line;

	begin_line(&line, egress, m, "admit",
	    outcome_is_not_run(outcome) ? "Refused."
					: "Ended with an unknown outcome.");
	if (origin != NULL)
		log_text(&line, "from", origin);
	log_number(&line, "status", status);
	log_text(&line, "outcome", outcome_name(outcome));
	log_text(&line, "why", why);
	log_backend_state(&line, egress);
	log_ms(&line, "left_ms", m->deadline_left_us);
	if (retry_us > 0)
		log_ms(&line, "retry_ms", retry_us);
	log_end(&line);
}

static void
observe_stage(
    const struct egress_request *r, const char *stage, int64_t time_us)
{
	char labels[HISTOGRAM_LABELS_BYTES];

	snprintf(labels, sizeof(labels), "stage=\"%s\",rank=\"%.*s\"", stage,
	    (int)r->message->rank.size_bytes, r->message->rank.data);
	histogram_observe(histogram_get(&egress_times, labels), time_us);
}

void
egress_log_call_end(struct egress_request *r, const struct error *err)
{
	int64_t queue_us = r->item.start_us - r->item.arrival_us;
	int64_t run_us = loop_now_us(r->egress->loop) - r->item.start_us;
	struct log_line line;

	observe_stage(r, "queue", queue_us);
	observe_stage(r, "slot", run_us);
	begin_line(&line, r->egress, r->message, "egress",
	    err == NULL ? "The backend server answered."
			: "The call to the backend server failed.");
	if (r->sink != NULL)
		log_text(&line, "from", r->sink->origin);
	if (err == NULL) {
		log_number(&line, "status", r->status);
		log_number(&line, "shed", r->shed);
	} else {
		log_text(&line, "step", err->step);
		log_text(&line, "why", err->text);
		log_number(&line, "was_sent", httpc_call_was_sent(&r->call));
	}
	log_ms(&line, "queue_ms", queue_us);
	log_ms(&line, "run_ms", run_us);
	log_backend_state(&line, r->egress);
	log_end(&line);
}
