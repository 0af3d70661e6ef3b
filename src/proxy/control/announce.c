// Admin requests: backend server announcements, counters and status.
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/server_terms.h"
#include "io/clock.h"
#include "io/http/counters_http.h"
#include "io/json_text.h"
#include "io/log/log.h"
#include "proxy/control/rollouts.h"

/// Returns the slots announced by the backend server, else those of the rules.
static uint32_t
count_slots(const struct control *control)
{
	const struct backend_announcement *b = &control->backend.latest;
	const struct rules *rules = control->rules;
	int at = rules == NULL ? -1 : rules_find_service(rules, b->service);

	if (b->slots > 0)
		return b->slots;
	return at < 0 || rules->services[at].slots == 0
	    ? 1
	    : rules->services[at].slots;
}

/// Identifies the process of the backend server for other members, who remember
/// it once it drains. While this proxy leaves, its server need not.
static uint64_t
identify_server(const struct control *control)
{
	const struct backend_announcement *b = &control->backend.latest;

	if (b->start_assumed ||
	    (control->leaving && b->state != BACKEND_DRAINING))
		return 0;
	return server_terms_hash(b->id, b->process_start);
}

void
announce_publish(struct control *control)
{
	const struct backend_announcement *current = &control->backend.latest;
	struct egress_backend b = {.state = current->state,
	    .slots = current->slots,
	    .process_start = current->process_start,
	    .slow_start_deadline_us = current->slow_start_deadline_us};

	if (control->leaving && b.state != BACKEND_NONE)
		b.state = BACKEND_DRAINING;
	memcpy(b.id, current->id, sizeof(b.id));
	memcpy(b.address, current->address, sizeof(b.address));
	memcpy(b.service, current->service, sizeof(b.service));
	memcpy(b.version, current->version, sizeof(b.version));
	traffic_post_backend(control->traffic, &b);
	membership_set_server_version(
	    &control->membership, current->version, loop_now_us(control->loop));
	membership_set_backend(&control->membership, current->service,
	    b.state == BACKEND_READY && current->slow_start_deadline_us != 0
		? BACKEND_COLD
		: b.state,
	    identify_server(control), count_slots(control),
	    loop_now_us(control->loop));
	// The leading source decides on what it knows of the servers.
	if (rollouts_concern_backend(control))
		loop_timer_set(control->loop, &control->report_timer,
		    loop_now_us(control->loop));
	control_publish_view(control);
	control_tick(control);
}

static void
set_lease_timer(struct control *control)
{
	const struct backend_announcement *current = &control->backend.latest;
	int64_t deadline_us = current->lease_deadline_us;

	if (current->slow_start_deadline_us != 0 &&
	    current->slow_start_deadline_us < deadline_us)
		deadline_us = current->slow_start_deadline_us;
	loop_timer_set(control->loop, &control->lease_timer, deadline_us);
}

static void
log_backend(const struct control *control, const char *reason)
{
	const struct backend_announcement *current = &control->backend.latest;

	struct log_line line;

	log_begin(&line, LOG_INFO, "backend",
	    current->state == BACKEND_NONE
		? "The backend server is unavailable."
		: "The backend server changed.");
	log_text(&line, "id", current->id);
	log_text(&line, "address", current->address);
	log_text(&line, "service", current->service);
	log_text(&line, "version", current->version);
	log_text(&line, "state", backend_state_name(current->state));
	log_number(&line, "sequence", (int64_t)current->sequence);
	log_number(&line, "born", (int64_t)current->process_start);
	log_text(&line, "why", reason);
	log_end(&line);
}

void
announce_lease_expired(void *arg)
{
	struct control *control = arg;
	struct backend_announcement *current = &control->backend.latest;
	int64_t now_us = loop_now_us(control->loop);

	if (backend_expire(&control->backend, now_us, false)) {
		log_backend(control, "did not renew its lease");
		announce_publish(control);
		return;
	}
	if (current->slow_start_deadline_us != 0 &&
	    current->slow_start_deadline_us <= now_us) {
		current->slow_start_deadline_us = 0;
		announce_publish(control);
	}
	if (current->state != BACKEND_NONE)
		set_lease_timer(control);
}

void
announce_backend_unreachable(struct control *control, const char *id)
{
	if (strcmp(control->backend.latest.id, id) != 0 ||
	    !backend_expire(
		&control->backend, loop_now_us(control->loop), true))
		return;
	log_backend(control, "cannot be reached");
	announce_publish(control);
}

void
announce_backend_leaving(void *arg, const char *id, uint64_t process_start)
{
	struct control *control = arg;
	struct backend_announcement a = {.process_start = process_start};

	memcpy(a.id, id, sizeof(a.id));
	if (strcmp(control->backend.latest.id, id) != 0 ||
	    backend_drain(&control->backend, &a, loop_now_us(control->loop)) !=
		BACKEND_CHANGED)
		return;
	set_lease_timer(control);
	log_backend(control, "states that it leaves");
	announce_publish(control);
}

/// Drains the backend server if other members know that its process leaves.
///
/// @return whether the state changed
static bool
drain_if_left(struct control *control)
{
	struct backend_announcement *current = &control->backend.latest;

	if (control->left_server == 0 ||
	    !backend_state_takes_work(current->state) ||
	    server_terms_hash(current->id, current->process_start) !=
		control->left_server)
		return false;
	return backend_drain(&control->backend, current,
		   loop_now_us(control->loop)) == BACKEND_CHANGED;
}

void
announce_server_left(struct control *control, uint64_t server)
{
	control->left_server = server;
	if (!drain_if_left(control))
		return;
	set_lease_timer(control);
	log_backend(control, "left before this proxy started");
	announce_publish(control);
}

static void
respond_error(struct http_exchange *exchange, const struct error *err)
{
	char text[ERROR_STEP_BYTES + ERROR_TEXT_BYTES + 4];

	snprintf(text, sizeof(text), "%s: %s\n", err->step, err->text);
	http_exchange_respond_text(exchange, 400, text);
}

static void
respond_announced(struct control *control, struct http_exchange *exchange)
{
	static const struct http_header json_type = {
	    "Content-Type", "application/json"};

	if (control->settings.dialect == &dialect_own)
		http_exchange_respond_text(exchange, 200,
		    control->floor.ready ? "ready\n" : "waiting for rules\n");
	else
		http_exchange_respond(exchange, 200, &json_type, 1, "{}", 2);
}

static void
log_stale(const struct control *control, const struct backend_announcement *a)
{
	struct log_line line;

	log_begin(&line, LOG_INFO, "backend",
	    "Ignored a stale backend server announcement.");
	log_text(&line, "id", a->id);
	log_number(&line, "sequence", (int64_t)a->sequence);
	log_number(&line, "born", (int64_t)a->process_start);
	log_number(&line, "born_ahead", a->start_ahead);
	log_text(&line, "holds_id", control->backend.latest.id);
	log_number(
	    &line, "holds_sequence", (int64_t)control->backend.latest.sequence);
	log_end(&line);
}

/// Checks that an announcement is of the backend server on this VM. The admin
/// address may be open to other writers.
///
/// @return 0, or -1 with err set; its step is the name of the field
static int
check_own_server(const struct control *control,
    const struct backend_announcement *a, struct error *err)
{
	const struct control_settings *s = &control->settings;
	struct address at;

	if (s->service[0] != '\0' && strcmp(a->service, s->service) != 0)
		return error_set(err, ERR_INVALID, "service", a->id,
		    "the backend server on this VM is of %s, not of %s",
		    s->service, a->service);
	if (s->has_backend &&
	    (address_parse(a->address, &at) != 0 ||
		!address_equals(&at, &s->backend)))
		return error_set(err, ERR_INVALID, "address", a->id,
		    "the backend server on this VM is not at %s", a->address);
	return 0;
}

void
announce_settings_changed(struct control *control)
{
	const struct backend_announcement *current = &control->backend.latest;
	struct error err;

	traffic_post_service(control->traffic, control->settings.service);
	// A leave alone names no service or address.
	if (current->address[0] == '\0' ||
	    check_own_server(control, current, &err) == 0 ||
	    !backend_reject(&control->backend))
		return;
	log_backend(control, "the settings name another one");
	announce_publish(control);
}

/// Handles an announcement or a leave. They may arrive out of order.
static void
handle_announcement(struct control *control, struct http_exchange *exchange,
    enum dialect_call call, const char *id)
{
	int64_t now_us = loop_now_us(control->loop);
	struct backend_announcement a;
	enum backend_verdict verdict;
	struct error err;

	if (control->settings.dialect->read_announcement(call, id,
		exchange->body, exchange->body_bytes, now_us,
		control->settings.lease_us, &a, &err) != 0 ||
	    (call == DIALECT_ANNOUNCE &&
		check_own_server(control, &a, &err) != 0)) {
		log_error(LOG_WARN, "backend",
		    "Refused a backend server announcement", &err);
		respond_error(exchange, &err);
		return;
	}
	a.start_ahead =
	    backend_is_start_ahead(a.process_start, clock_wall_us());
	verdict = call == DIALECT_DEREGISTER
	    ? backend_drain(&control->backend, &a, now_us)
	    : backend_announce(&control->backend, &a, now_us);
	if (verdict == BACKEND_STALE)
		log_stale(control, &a);
	else
		set_lease_timer(control);
	if (verdict == BACKEND_CHANGED) {
		log_backend(control,
		    drain_if_left(control) ? "left before this proxy started"
					   : "announced");
		announce_publish(control);
	}
	respond_announced(control, exchange);
}

static void
handle_drain(struct control *control, struct http_exchange *exchange)
{
	struct backend_announcement *current = &control->backend.latest;

	if (current->state == BACKEND_NONE) {
		http_exchange_respond_text(
		    exchange, 409, "no backend server is announced\n");
		return;
	}
	if (backend_drain(&control->backend, current,
		loop_now_us(control->loop)) == BACKEND_CHANGED) {
		log_backend(control, "drained by an operator");
		announce_publish(control);
	}
	http_exchange_respond_text(exchange, 202, "draining\n");
}

static void
respond_ready(struct control *control, struct http_exchange *exchange)
{
	if (control->floor.ready && !control->leaving)
		http_exchange_respond_text(exchange, 200, "ready\n");
	else
		http_exchange_respond_text(exchange, 503,
		    control->leaving ? "leaving\n" : "waiting for rules\n");
}

static void
respond_status(struct control *control, struct http_exchange *exchange)
{
	static const struct http_header json_type = {
	    "Content-Type", "application/json"};
	const struct member *self = &control->membership.self;
	json_t *root = json_pack("{s:o, s:o, s:o, s:I, s:b, s:o, s:s, s:i, "
				 "s:i, s:i}",
	    "name", json_text(self->name), "region", json_text(self->region),
	    "dc", json_text(self->dc), "version", (json_int_t)self->version,
	    "ready", control->floor.ready, "service", json_text(self->service),
	    "backend", backend_state_name(control->backend.latest.state),
	    "members_alive", (int)membership_alive_count(&control->membership),
	    "active", (int)traffic_active_count(control->traffic), "load_pct",
	    (int)traffic_load_pct(control->traffic));
	char *text = json_render(root, JSON_INDENT(2));

	http_exchange_respond(exchange, 200, &json_type, 1, text, strlen(text));
	free(text);
}

static void
on_admin_request(void *owner, struct http_exchange *exchange)
{
	struct control *control = owner;
	char id[BACKEND_ID_BYTES];
	enum dialect_call call = control->settings.dialect->read_call(
	    exchange->method, exchange->target, id);

	switch (call) {
	case DIALECT_ANNOUNCE:
	case DIALECT_DEREGISTER:
		handle_announcement(control, exchange, call, id);
		break;
	case DIALECT_DRAIN:
		handle_drain(control, exchange);
		break;
	case DIALECT_READY:
		respond_ready(control, exchange);
		break;
	case DIALECT_STATUS:
		respond_status(control, exchange);
		break;
	case DIALECT_COUNTERS:
		counters_respond(exchange);
		break;
	case DIALECT_METRICS:
		metrics_respond(exchange);
		break;
	case DIALECT_OTHER:
		http_exchange_respond_text(exchange, 404, "not found\n");
		break;
	}
}

const struct httpd_ops control_admin_ops = {
    .on_request = on_admin_request,
};
