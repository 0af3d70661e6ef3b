// Admin requests: the backend server's announcements, counters, status.
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/counters_http.h"
#include "io/log.h"
#include "proxy/control.h"

#define LEASE_MIN_MS 100
#define LEASE_MAX_MS 60000

void
announce_publish(struct control *control)
{
	struct egress_backend *b = &control->backend;
	const struct rules *rules = control->rules;
	int at = rules == NULL ? -1 : rules_find_service(rules, b->service);
	uint32_t slots = at < 0 ? 1 : rules->services[at].slots;

	traffic_post_backend(control->traffic, b);
	membership_set_backend(&control->membership, b->service, b->state,
	    slots, loop_now_us(control->loop));
	control_publish_view(control);
	control_tick(control);
}

void
announce_set_state(struct control *control, enum backend_state state)
{
	if (control->backend.state == state)
		return;
	control->backend.state = state;
	log_write(LOG_INFO, "backend", "Backend server %s of %s is %s.",
	    control->backend.address, control->backend.service,
	    backend_state_name(state));
	announce_publish(control);
}

void
announce_lease_expired(void *arg)
{
	struct control *control = arg;

	log_write(LOG_WARN, "backend",
	    "Backend server %s did not renew its lease.",
	    control->backend.address);
	announce_set_state(control, BACKEND_NONE);
}

/// Checks an announcement.
///
/// @return NULL, or what is wrong with it
static const char *
read_announcement(json_t *root, struct egress_backend *out, int64_t *lease_ms)
{
	const char *service;
	const char *address;
	const char *state;
	struct address parsed;

	if (json_unpack(root, "{s:s, s:s, s:s, s:I}", "service", &service,
		"address", &address, "state", &state, "lease_ms",
		lease_ms) != 0)
		return "needs service, address, state and lease_ms\n";
	if (service[0] == '\0' || strlen(service) >= sizeof(out->service))
		return "service: must have 1 to 39 characters\n";
	if (strlen(address) >= sizeof(out->address) ||
	    address_parse(address, &parsed) != 0)
		return "address: must be IP:port\n";
	if (*lease_ms < LEASE_MIN_MS || *lease_ms > LEASE_MAX_MS)
		return "lease_ms: must be from 100 to 60000\n";
	memset(out, 0, sizeof(*out));
	strcpy(out->service, service);
	strcpy(out->address, address);
	if (strcmp(state, "ready") == 0)
		out->state = BACKEND_READY;
	else if (strcmp(state, "cold") == 0)
		out->state = BACKEND_COLD;
	else
		return "state: must be ready or cold\n";
	return NULL;
}

static void
handle_announce(struct control *control, struct http_exchange *exchange)
{
	struct egress_backend new;
	json_t *root =
	    json_loadb(exchange->body, exchange->body_bytes, 0, NULL);
	const char *problem = "not a JSON object\n";
	int64_t lease_ms = 0;

	if (root != NULL)
		problem = read_announcement(root, &new, &lease_ms);
	json_decref(root);
	if (problem != NULL) {
		http_exchange_respond_text(exchange, 400, problem);
		return;
	}
	loop_timer_set(control->loop, &control->lease_timer,
	    loop_now_us(control->loop) + lease_ms * US_PER_MS);
	if (control->leaving)
		new.state = BACKEND_DRAINING;
	if (strcmp(new.service, control->backend.service) != 0 ||
	    strcmp(new.address, control->backend.address) != 0) {
		control->backend = new;
		control->backend.state = BACKEND_NONE;
	}
	// A drain ends when the backend server announces itself anew as cold.
	if (control->backend.state != BACKEND_DRAINING ||
	    new.state == BACKEND_COLD)
		announce_set_state(control, new.state);
	http_exchange_respond_text(exchange, 200,
	    control->floor.ready ? "ready\n" : "waiting for rules\n");
}

static void
handle_drain(struct control *control, struct http_exchange *exchange)
{
	if (control->backend.state == BACKEND_NONE) {
		http_exchange_respond_text(
		    exchange, 409, "no backend server is announced\n");
		return;
	}
	announce_set_state(control, BACKEND_DRAINING);
	http_exchange_respond_text(exchange, 202, "draining\n");
}

static void
respond_status(struct control *control, struct http_exchange *exchange)
{
	static const struct http_header json_type = {
	    "Content-Type", "application/json"};
	const struct member *self = &control->membership.self;
	json_t *root = json_pack("{s:s, s:s, s:s, s:I, s:b, s:s, s:s, s:i, "
				 "s:i, s:i}",
	    "name", self->name, "region", self->region, "dc", self->dc,
	    "version", (json_int_t)self->version, "ready", control->floor.ready,
	    "service", self->service, "backend",
	    backend_state_name(control->backend.state), "members_alive",
	    (int)membership_alive_count(&control->membership), "active",
	    (int)traffic_active_count(control->traffic), "load_pct",
	    (int)traffic_load_pct(control->traffic));
	char *text = json_dumps(root, JSON_INDENT(2));

	http_exchange_respond(exchange, 200, &json_type, 1, text, strlen(text));
	free(text);
	json_decref(root);
}

static void
on_admin_request(void *owner, struct http_exchange *exchange)
{
	struct control *control = owner;
	const char *target = exchange->target;
	bool get = strcmp(exchange->method, "GET") == 0;
	bool put = strcmp(exchange->method, "PUT") == 0;

	if (put && strcmp(target, "/announce") == 0)
		handle_announce(control, exchange);
	else if (put && strcmp(target, "/drain") == 0)
		handle_drain(control, exchange);
	else if (get && strcmp(target, "/counters") == 0)
		counters_respond(exchange);
	else if (get && strcmp(target, "/status") == 0)
		respond_status(control, exchange);
	else
		http_exchange_respond_text(exchange, 404, "not found\n");
}

const struct httpd_ops control_admin_ops = {
    .on_request = on_admin_request,
};
