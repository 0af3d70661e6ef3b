// Responses made by the ingress itself.
#include <stdio.h>
#include <string.h>

#include "io/log/counters.h"
#include "proxy/headers.h"
#include "proxy/ingress/ingress_log.h"

#define STATUS_BAD_GATEWAY     502
#define STATUS_GATEWAY_TIMEOUT 504

COUNTER_DEFINE(count_not_run, "ingress_not_run", "Answered: not run");
COUNTER_DEFINE(count_unknown, "ingress_unknown", "Answered: unknown");

static void
send_response(const struct dialect *dialect, struct http_exchange *exchange,
    uint32_t status, enum outcome outcome, int64_t retry_us, const char *why)
{
	char body[256];
	char retry[DIALECT_RETRY_AFTER_BYTES];
	struct http_header headers[3] = {
	    {"Content-Type", "text/plain; charset=utf-8"},
	};
	size_t count = 1;

	counter_add(
	    outcome_is_not_run(outcome) ? &count_not_run : &count_unknown, 1);
	if (dialect->headers.outcome != NULL) {
		headers[count].name = dialect->headers.outcome;
		headers[count++].value = outcome_name(outcome);
	}
	if (retry_us > 0) {
		dialect->format_retry_after(retry_us, retry);
		headers[count].name = HEADER_RETRY_AFTER;
		headers[count++].value = retry;
	}
	snprintf(body, sizeof(body), "%s: %s\n", outcome_name(outcome), why);
	http_exchange_respond(
	    exchange, status, headers, count, body, strlen(body));
}

/// Returns the status for an unknown outcome. The deadline decides, whichever
/// proxy noticed it first; and no status may state that the request did not run.
static uint32_t
unknown_status(const struct ingress_request *r, uint32_t status)
{
	if (r->exchange != NULL &&
	    loop_now_us(r->ingress->loop) >= r->deadline_us)
		return STATUS_GATEWAY_TIMEOUT;
	switch (status) {
	case 408:
	case 421:
	case 429:
	case 503:
		return STATUS_BAD_GATEWAY;
	default:
		return status;
	}
}

void
ingress_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why)
{
	if (r->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	if (outcome == OUTCOME_UNKNOWN)
		status = unknown_status(r, status);
	if (r->exchange != NULL) {
		ingress_log_own_response(r, status, outcome, retry_us, why);
		if (retry_us > 0 && r->route != NULL)
			ingress_get_route_stats(r)->returns_deadline_us =
			    r->deadline_us;
		send_response(r->ingress->dialect, r->exchange, status, outcome,
		    retry_us, why);
	}
	ingress_request_free(r);
}
