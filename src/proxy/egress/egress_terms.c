// What the backend server states in its responses: load, pace, and the terms on
// which it takes requests.
#include <string.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/egress/egress_request.h"
#include "proxy/headers.h"

COUNTER_DEFINE(count_bad_loads, "egress_bad_loads",
    "Statements of load of the backend server that could not be read");
COUNTER_DEFINE(count_bad_limits, "egress_bad_limits",
    "Limits of the backend server that could not be read");
GAUGE_DEFINE(gauge_pace, "egress_pace_pct",
    "Time that work takes at the backend server, in per cent of the usual");
GAUGE_DEFINE(gauge_limit, "egress_limit_milli",
    "Requests in 1,000 s that the backend server takes; 0: no limit");

static void
read_load(struct egress_request *r, struct bytes value)
{
	struct egress *egress = r->egress;
	struct error err;

	r->load.pace_pct = 0;
	if (egress->dialect->read_load == NULL ||
	    egress->dialect->read_load(
		value.data, value.size_bytes, &r->load, &err) == 0)
		return;
	counter_add(&count_bad_loads, 1);
	log_error(LOG_DEBUG, "egress",
	    "Ignored the load that the backend server states", &err);
}

static void
read_limit(struct egress_request *r, struct bytes value)
{
	struct egress *egress = r->egress;
	struct error err;

	r->limit_milli = 0;
	if (egress->dialect->read_limit(
		value.data, value.size_bytes, &r->limit_milli, &err) == 0)
		return;
	// Neither a limit nor the end of one.
	r->limit_unreadable = true;
	counter_add(&count_bad_limits, 1);
	log_error(LOG_INFO, "egress",
	    "Ignored the limit that the backend server states", &err);
}

bool
egress_read_statement(
    struct egress_request *r, struct bytes name, struct bytes value)
{
	const struct dialect_headers *h = &r->egress->dialect->headers;

	if (headers_name_equals(name, h->load))
		read_load(r, value);
	else if (headers_name_equals(name, h->limit))
		read_limit(r, value);
	else if (headers_name_equals(name, h->leaving))
		r->leaving = value.size_bytes == 1 && value.data[0] == '1';
	else
		return false;
	return true;
}

void
egress_forget_statements(struct egress_request *r)
{
	memset(&r->load, 0, sizeof(r->load));
	r->limit_milli = 0;
	r->limit_unreadable = r->leaving = false;
}

/// Sends waiting requests elsewhere, outside of the callbacks of the HTTP client.
static void
leave_deferred(void *arg)
{
	struct egress *egress = arg;

	egress->leave_deferred = false;
	if (!egress->terms.terms.leaving)
		return;
	egress_refuse_waiting(egress, "backend server takes no more work");
	if (egress->on_leaving != NULL)
		egress->on_leaving(egress->leaving_arg, &egress->backend);
}

/// Puts changed terms into effect. Requests for which the queue has become too
/// long are refused by the next call of egress_run_queued.
static void
apply_terms(struct egress *egress, const char *stated_by)
{
	const struct server_terms *terms = &egress->terms.terms;
	int64_t now_us = loop_now_us(egress->loop);
	struct log_line line;

	log_begin(&line, LOG_INFO, "egress",
	    "The terms of the backend server changed.");
	log_text(&line, "backend", egress->backend.id);
	log_text(&line, "stated_by", stated_by);
	log_number(&line, "limit_milli", terms->limit_milli);
	log_number(&line, "leaving", terms->leaving);
	log_number(&line, "running", egress->admission.running);
	log_number(&line, "queued", egress->admission.queued);
	log_end(&line);
	counter_set(&gauge_limit, terms->limit_milli);
	admission_set_limit(&egress->admission, terms->limit_milli, now_us);
	if (!terms->leaving || egress->leave_deferred)
		return;
	egress->leave_deferred = true;
	loop_defer(egress->loop, leave_deferred, egress);
}

void
egress_set_leaving_listener(struct egress *egress,
    void (*fn)(void *arg, const struct egress_backend *backend), void *arg)
{
	egress->on_leaving = fn;
	egress->leaving_arg = arg;
}

void
egress_apply_statements(struct egress_request *r)
{
	struct egress *egress = r->egress;
	int64_t now_us = loop_now_us(egress->loop);

	if (r->load.pace_pct > 0) {
		pace_record(&egress->admission.pace, r->load.pace_pct, now_us);
		counter_set(&gauge_pace, r->load.pace_pct);
		egress_announce_pace(egress, now_us);
	}
	if (r->server == egress->terms.terms.server && !r->limit_unreadable &&
	    server_terms_state_response(&egress->terms, r->limit_milli,
		r->leaving, r->item.start_us, now_us))
		apply_terms(egress, "the server");
}

void
egress_learn_terms(
    struct egress *egress, const struct message_request *m, const char *origin)
{
	struct server_terms copy = {m->server, m->limit_milli, m->leaving != 0};

	if (server_terms_learn(&egress->terms, &copy))
		apply_terms(egress, origin);
}

void
egress_set_server(struct egress *egress, const struct egress_backend *backend)
{
	uint64_t server =
	    server_terms_hash(backend->id, backend->process_start);
	// Servers that announce no start time are cold when they start.
	bool restarted = server == 0 && backend->state == BACKEND_COLD &&
	    egress->backend.state != BACKEND_COLD;

	if (!restarted && server == egress->terms.terms.server)
		return;
	memset(&egress->terms, 0, sizeof(egress->terms));
	egress->server_echoes = false;
	egress->separate_until_deadline_us = 0;
	egress->terms.terms.server = server;
	admission_set_limit(&egress->admission, 0, loop_now_us(egress->loop));
	counter_set(&gauge_limit, 0);
}
