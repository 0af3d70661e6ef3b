// Registry of dialects, and the built-in dialect "own".
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/dialect.h"
#include "io/net/address.h"

#define LEASE_MIN_MS 100
#define LEASE_MAX_MS 60000

/// Largest limit in requests a second that a server may state, and the space for
/// its text.
#define MAX_LIMIT	 1000000
#define LIMIT_TEXT_BYTES 24
#define PER_MILLE	 1000

static struct dialect *registered = &dialect_own;

void
dialect_register(struct dialect *dialect)
{
	dialect->next = registered;
	registered = dialect;
}

const struct dialect *
dialect_find(const char *name)
{
	const struct dialect *d = registered;

	while (d != NULL && strcmp(d->name, name) != 0)
		d = d->next;
	return d;
}

/// Writes whole seconds, rounded up: some callers round a fraction down.
static void
format_retry_after(int64_t retry_us, char out[DIALECT_RETRY_AFTER_BYTES])
{
	snprintf(out, DIALECT_RETRY_AFTER_BYTES, "%" PRId64,
	    (retry_us + US_PER_S - 1) / US_PER_S);
}

static enum dialect_call
read_call(const char *method, const char *target, char id[BACKEND_ID_BYTES])
{
	static const struct {
		const char *method;
		const char *target;
		enum dialect_call call;
	} calls[] = {
	    {"PUT", "/announce", DIALECT_ANNOUNCE},
	    {"PUT", "/drain", DIALECT_DRAIN},
	    {"GET", "/ready", DIALECT_READY},
	    {"GET", "/status", DIALECT_STATUS},
	    {"GET", "/counters", DIALECT_COUNTERS},
	    {"GET", "/metrics", DIALECT_METRICS},
	};
	size_t i;

	id[0] = '\0';
	for (i = 0; i < sizeof(calls) / sizeof(calls[0]); i++)
		if (strcmp(calls[i].method, method) == 0 &&
		    strcmp(calls[i].target, target) == 0)
			return calls[i].call;
	return DIALECT_OTHER;
}

static int
read_state(const char *state, enum backend_state *out)
{
	if (strcmp(state, "ready") == 0)
		*out = BACKEND_READY;
	else if (strcmp(state, "cold") == 0)
		*out = BACKEND_COLD;
	else
		return -1;
	return 0;
}

static int
check_announcement(json_t *root, int64_t now_us,
    struct backend_announcement *out, struct error *err)
{
	const char *service;
	const char *address;
	const char *state;
	struct address parsed;
	json_int_t lease_ms;
	json_int_t started_ms = 0;
	const char *version = "";

	if (json_unpack(root, "{s:s, s:s, s:s, s:I, s?I, s?s}", "service",
		&service, "address", &address, "state", &state, "lease_ms",
		&lease_ms, "started_ms", &started_ms, "version", &version) != 0)
		return error_set(err, ERR_INVALID, "body", "",
		    "needs service, address, state and lease_ms");
	if (service[0] == '\0' || strlen(service) >= sizeof(out->service))
		return error_set(err, ERR_INVALID, "service", "",
		    "must have 1 to %zu characters", sizeof(out->service) - 1);
	if (strlen(address) >= sizeof(out->address) ||
	    address_parse_server(address, &parsed) != 0)
		return error_set(
		    err, ERR_INVALID, "address", "", "must be IP:port");
	if (strlen(version) >= sizeof(out->version))
		return error_set(err, ERR_INVALID, "version", "",
		    "must have up to %zu characters", sizeof(out->version) - 1);
	if (lease_ms < LEASE_MIN_MS || lease_ms > LEASE_MAX_MS)
		return error_set(err, ERR_INVALID, "lease_ms", "",
		    "must be from %d to %d", LEASE_MIN_MS, LEASE_MAX_MS);
	if (read_state(state, &out->state) != 0)
		return error_set(
		    err, ERR_INVALID, "state", "", "must be ready or cold");
	strcpy(out->service, service);
	strcpy(out->address, address);
	strcpy(out->version, version);
	strcpy(out->id, address);
	out->lease_deadline_us = now_us + lease_ms * US_PER_MS;
	if (started_ms > 0)
		out->process_start = (uint64_t)started_ms;
	return 0;
}

/// Announcements of the own dialect do not identify the process: the address
/// serves as its id, and the state "cold" marks a restart.
static int
read_announcement(enum dialect_call call, const char *id, const char *body,
    size_t body_bytes, int64_t now_us, int64_t lease_us,
    struct backend_announcement *out, struct error *err)
{
	json_t *root =
	    json_loadb(body == NULL ? "" : body, body_bytes, 0, NULL);
	int rc;

	(void)call;
	(void)id;
	(void)lease_us;
	memset(out, 0, sizeof(*out));
	if (root == NULL)
		return error_set(
		    err, ERR_SYNTAX, "body", "", "not a JSON object");
	rc = check_announcement(root, now_us, out, err);
	json_decref(root);
	return rc;
}

int
dialect_read_limit(const char *value, size_t value_bytes, uint32_t *limit_milli,
    struct error *err)
{
	char text[LIMIT_TEXT_BYTES];
	double limit;
	char *end;

	snprintf(text, sizeof(text), "%.*s", (int)value_bytes, value);
	limit = strtod(text, &end);
	// Only plain decimal numbers: no sign, exponent, infinity or blank.
	if (value_bytes == 0 || value_bytes >= sizeof(text) || *end != '\0' ||
	    strspn(text, "0123456789.") < value_bytes || limit > MAX_LIMIT)
		return error_set(err, ERR_SYNTAX, "read limit", "",
		    "not a decimal number up to %d", MAX_LIMIT);
	*limit_milli = (uint32_t)(limit * PER_MILLE);
	if (*limit_milli == 0)
		*limit_milli = 1;
	return 0;
}

static uint32_t
verdict_status(int verdict)
{
	return verdict == RULE_STORE_ACCEPTED || verdict == RULE_STORE_DUPLICATE
	    ? 200
	    : 409;
}

struct dialect dialect_own = {
    .name = "own",
    .headers =
	{
	    .internal_prefix = "Magnolia-",
	    .attempt = "Magnolia-Request-Id",
	    .deadline = "Magnolia-Deadline-Ms",
	    .rank = "Magnolia-Rank",
	    .key = "Idempotency-Key",
	    .workspace_key = "Magnolia-Key",
	    .workspace = "Magnolia-Workspace",
	    .not_run = "Magnolia-Shed",
	    .outcome = "Magnolia-Outcome",
	    .limit = "Magnolia-Limit",
	    .leaving = "Magnolia-Leaving",
	},
    .read_limit = dialect_read_limit,
    .assigns_request_ids = true,
    .format_retry_after = format_retry_after,
    .read_call = read_call,
    .read_announcement = read_announcement,
    .verdict_status = verdict_status,
};
