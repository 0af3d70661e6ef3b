// Operator of the soak: submits rules and checks the versions of the proxies.
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fetch/fetch.h"
#include "soak/operator.h"

#define RULES_BYTES	  1024
#define ANSWER_BYTES	  8192
#define SUBMIT_TIMEOUT_MS 2000L
#define QUERY_TIMEOUT_MS  150L
#define STATUS_UNKNOWN	  0

/// Sends a request and waits for the response.
///
/// @param body  body of a POST; NULL for GET
/// @return the status, or STATUS_UNKNOWN if there was no response; the caller
///         frees the answer in both cases
static long
call(const char *host, int port, const char *path, const char *body,
    long timeout_ms, struct fetch_response *response)
{
	char address[32];
	struct fetch_request request = {.address = address,
	    .target = path,
	    .body = body,
	    .body_bytes = body == NULL ? 0 : strlen(body),
	    .timeout_ms = timeout_ms};
	struct error err;

	snprintf(address, sizeof(address), "%s:%d", host, port);
	return fetch(&request, response, &err) == 0 ? response->status
						    : STATUS_UNKNOWN;
}

static void
write_rules(uint64_t version, char out[RULES_BYTES])
{
	snprintf(out, RULES_BYTES,
	    "version %" PRIu64 " # soak\n"
	    "rank money worth=100 target=500ms keep=20%% # soak\n"
	    "rank rest worth=1 target=2s keep=5%% # soak\n"
	    "service s0 slots=20 connections=100 # soak\n"
	    "service s1 slots=20 connections=100 # soak\n"
	    "route GET /log/* s%u rank=rest deadline=4s # soak\n"
	    "route POST /book/* s0 rank=money once deadline=5s # soak\n"
	    "route POST /plain/* s1 rank=money deadline=4s # soak\n"
	    "route POST /up/* s1 rank=rest deadline=4s # soak\n",
	    version, (unsigned int)(version % 2));
}

void
operator_init(struct soak_operator *op, struct fleet *fleet, uint64_t seed)
{
	memset(op, 0, sizeof(*op));
	op->fleet = fleet;
	op->random.seed = ~seed;
}

static void
record_violation(struct soak_operator *op, const char *what, const char *detail)
{
	printf("%s: %.200s\n", what, detail);
	op->violations++;
}

void
operator_submit_rules(struct soak_operator *op, struct random *random)
{
	const struct fleet_process *source = fleet_get(
	    op->fleet, KIND_SOURCE, 1 + random_below(random, FLEET_SOURCES));
	char rules[RULES_BYTES];
	struct fetch_response response;
	long status;

	if (op->sent == op->accepted)
		op->sent++;
	write_rules(op->sent, rules);
	status = call(source->host, PORT_HTTP, "/rules", rules,
	    SUBMIT_TIMEOUT_MS, &response);
	if (status == 200)
		op->accepted = op->sent;
	else if (status == 400 || status == 409)
		record_violation(
		    op, "a proper version was refused", response.body);
	fetch_response_free(&response);
}

void
operator_submit_rollout(struct soak_operator *op)
{
	const struct fleet_process *source = fleet_get(op->fleet, KIND_SOURCE,
	    1 + random_below(&op->random, FLEET_SOURCES));
	uint32_t service = random_below(&op->random, FLEET_SERVICES);
	struct fetch_response response;
	char order[96];
	long status;

	if (op->accepted == 0)
		return;
	snprintf(order, sizeof(order),
	    "{\"service\":\"s%u\",\"version\":\"v2\",\"within_ms\":3000}",
	    service);
	status = call(source->host, PORT_HTTP, "/rollouts", order,
	    SUBMIT_TIMEOUT_MS, &response);
	if (status == 200)
		op->rollout_ordered[service] = true;
	else if (status == 400 || status == 409)
		record_violation(
		    op, "a proper order was refused", response.body);
	fetch_response_free(&response);
}

static void
check_rollout(struct soak_operator *op, uint32_t service, const char *answer)
{
	json_t *root = json_loads(answer, 0, NULL);
	const char *state = json_string_value(json_object_get(root, "state"));
	char last = op->rollout_state[service];

	if (state == NULL)
		record_violation(op, "a roll-out cannot be read", answer);
	else {
		// Running, completed, rolled_back: the first letters differ but
		// for the last, of which the second one counts.
		op->rollout_state[service] =
		    state[0] == 'r' && state[1] == 'o' ? 'b' : state[0];
		if (last != 0 && last != 'r' &&
		    op->rollout_state[service] != last)
			record_violation(op, "a roll-out went back", answer);
	}
	json_decref(root);
}

void
operator_check_rollouts(struct soak_operator *op)
{
	const struct fleet_process *source = fleet_get(op->fleet, KIND_SOURCE,
	    1 + random_below(&op->random, FLEET_SOURCES));
	struct fetch_response response;
	char path[32];
	uint32_t i;
	long status;

	for (i = 0; i < FLEET_SERVICES; i++) {
		bool ordered = op->rollout_ordered[i];

		snprintf(path, sizeof(path), "/rollouts/s%u", i);
		status = call(source->host, PORT_HTTP, path, NULL,
		    QUERY_TIMEOUT_MS, &response);
		if (status == 200)
			check_rollout(op, i, response.body);
		else if (status == 404 && ordered)
			record_violation(
			    op, "an acknowledged roll-out is gone", path);
		fetch_response_free(&response);
	}
}

/// Returns the version that a proxy serves from; 0 if it does not serve.
static uint64_t
read_version(const struct fleet_process *proxy)
{
	struct fetch_response response = {0};
	uint64_t version = 0;
	json_t *root = NULL;

	if (proxy->pid != 0 && !proxy->stopped &&
	    call(proxy->host, PORT_ADMIN, "/status", NULL, QUERY_TIMEOUT_MS,
		&response) == 200)
		root = json_loads(response.body, 0, NULL);
	if (json_is_true(json_object_get(root, "ready")))
		version = (uint64_t)json_integer_value(
		    json_object_get(root, "version"));
	json_decref(root);
	fetch_response_free(&response);
	return version;
}

uint32_t
operator_check_versions(struct soak_operator *op)
{
	uint32_t up_to_date = 0;
	uint32_t i;

	for (i = 0; i < FLEET_PROXIES; i++) {
		const struct fleet_process *p =
		    fleet_get(op->fleet, KIND_PROXY, i + 1);
		uint32_t starts = p->starts;
		uint64_t version = read_version(p);

		if (op->observed_starts[i] != starts) {
			op->observed_starts[i] = starts;
			op->observed_versions[i] = 0;
		}
		if (version == 0 || p->starts != starts)
			continue;
		if (version < op->observed_versions[i])
			record_violation(op, "a proxy went back", p->name);
		op->observed_versions[i] = version;
		up_to_date += version >= op->accepted;
	}
	return up_to_date;
}

/// Returns whether a text is the last acknowledged file or a later one that was
/// sent.
static bool
is_accepted_or_later(const struct soak_operator *op, const char *text)
{
	char wanted[RULES_BYTES];
	uint64_t version;

	for (version = op->accepted; version <= op->sent; version++) {
		write_rules(version, wanted);
		if (strcmp(wanted, text) == 0)
			return true;
	}
	return false;
}

bool
operator_check_accepted(struct soak_operator *op)
{
	struct fetch_response response;
	bool found = false;
	uint32_t i;

	for (i = 1; i <= FLEET_SOURCES && !found; i++) {
		if (call(fleet_get(op->fleet, KIND_SOURCE, i)->host, PORT_HTTP,
			"/rules", NULL, SUBMIT_TIMEOUT_MS, &response) == 200) {
			found = is_accepted_or_later(op, response.body);
			if (!found)
				record_violation(
				    op, "not what was accepted", response.body);
		}
		fetch_response_free(&response);
	}
	return found;
}

void
operator_set_behaviour(const struct fleet_process *backend, const char *what)
{
	struct fetch_response response;
	char path[64];

	snprintf(path, sizeof(path), "/_fake/set?%.40s", what);
	call(backend->host, PORT_HTTP, path, "", QUERY_TIMEOUT_MS, &response);
	fetch_response_free(&response);
}
