// Submission of requests: checks, collection of bodies, admission.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/http/httpd.h"
#include "io/log/counters.h"
#include "proxy/egress/egress_log.h"

/// Longer bodies are streamed to the backend server. Those that an ingress
/// buffers whole are never longer: it withdraws an attempt whose body is not
/// sent whole, since the egress starts no request before its body is complete.
#define MAX_COLLECTED_BYTES (1024 * 1024)
_Static_assert(MAX_COLLECTED_BYTES >= HTTPD_BUFFERED_BODY_BYTES,
    "bodies that an ingress buffers are collected");

/// Returns why a request cannot be accepted at all; NULL if it can.
static const char *
find_refusal_reason(
    const struct egress *egress, const struct message_request *m)
{
	const struct egress_backend *b = &egress->backend;

	if (egress->draining)
		return "this proxy is leaving";
	if (b->address[0] == '\0' || b->state == BACKEND_NONE)
		return "no backend server";
	if (b->state == BACKEND_DRAINING || egress->terms.terms.leaving)
		return "backend server is draining";
	if (strlen(b->service) != m->service.size_bytes ||
	    memcmp(b->service, m->service.data, m->service.size_bytes) != 0)
		return "another service is here";
	if (egress_is_rolled_back(egress))
		return "the backend server's version was rolled back";
	if (egress->rules == NULL || egress->admission.rank_count == 0)
		return "no rules yet";
	return NULL;
}

/// Returns true for a body of known length that is sent only as credit is
/// granted.
static bool
must_collect_body(const struct message_request *m)
{
	return m->more && m->body.size_bytes == 0 && m->total_bytes > 0 &&
	    m->total_bytes <= MAX_COLLECTED_BYTES;
}

/// Refuses a request that was not accepted.
static void
refuse_request(struct egress *egress, struct egress_sink *sink,
    const struct message_request *m, int64_t retry_us, const char *why)
{
	enum outcome outcome = egress_not_run_outcome(m, false);

	egress_log_refused(
	    egress, m, sink->origin, 503, outcome, retry_us, why);
	egress_send_error(
	    egress, sink, m->id, 503, outcome, retry_us, false, why);
}

struct egress_request *
egress_submit(struct egress *egress, struct egress_sink *sink,
    const struct message_request *message)
{
	const char *reason;
	int64_t now_us = loop_now_us(egress->loop);
	struct egress_request *r;
	int64_t retry_us;
	uint64_t key =
	    fence_key(sink->origin, sink->origin_incarnation, message->id);

	fence_record_arrival(&egress->fence, key, now_us);
	egress_learn_terms(egress, message, sink->origin);
	reason = find_refusal_reason(egress, message);
	if (reason != NULL) {
		refuse_request(egress, sink, message, 0, reason);
		return NULL;
	}
	if (must_collect_body(message) &&
	    !egress_can_collect(
		egress, message, egress_get_service_us(egress), &retry_us)) {
		refuse_request(egress, sink, message, retry_us,
		    "too many bodies are on their way here");
		return NULL;
	}
	r = egress_request_create(egress, sink, message);
	r->fence_key = key;
	r->state = REQUEST_QUEUED;
	if (!must_collect_body(message))
		egress_admit(r);
	else if (egress_link_accepts(r, &retry_us))
		egress_collect_begin(r);
	else
		// Before its body takes the link of the other VM.
		egress_end_link_full(r, retry_us);
	return egress_find_request(egress, sink, message->id);
}
