// Responses made by the ingress itself.
#include <stdio.h>
#include <string.h>

#include "io/log/counters.h"
#include "proxy/headers.h"
#include "proxy/ingress/ingress_log.h"

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

void
ingress_conclude(struct ingress_request *r, uint32_t status,
    enum outcome outcome, int64_t retry_us, const char *why)
{
	if (r->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	if (r->exchange != NULL) {
		ingress_log_own_response(r, status, outcome, retry_us, why);
		send_response(r->ingress->dialect, r->exchange, status, outcome,
		    retry_us, why);
	}
	ingress_request_free(r);
}
