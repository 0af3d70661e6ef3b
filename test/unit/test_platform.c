// Platform dialect: conversion of documents, announcements, calls.
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/rules.h"
#include "io/clock.h"
#include "io/dialect.h"
#include "unit/support.h"

#define MANY_ROUTES 700
#define NOW_US	    (1000 * US_PER_S)

static const struct dialect *
platform(void)
{
	const struct dialect *d = dialect_find("platform");

	assert_non_null(d);
	return d;
}

/// Converts a document to rules; or returns NULL with the error text.
static struct rules *
convert_document(const char *document, char *problem, size_t problem_bytes)
{
	struct rules_errors *errors = malloc(sizeof(*errors));
	struct rules *rules = NULL;
	struct error err;
	size_t text_bytes;
	char *text;

	assert_non_null(errors);
	problem[0] = '\0';
	if (platform()->read_rules(
		document, strlen(document), &text, &text_bytes, &err) != 0) {
		snprintf(problem, problem_bytes, "%s %s: %s", err.peer,
		    err.step, err.text);
		free(errors);
		return NULL;
	}
	rules = rules_parse(text, text_bytes, errors);
	if (rules == NULL)
		snprintf(problem, problem_bytes, "%s", errors->items[0].text);
	free(text);
	free(errors);
	return rules;
}

/// Converts a document to rules and back, and expects the same document.
static void
check_round_trip(const char *document)
{
	json_t *sent = json_loads(document, 0, NULL);
	struct rules *rules;
	char problem[512];
	json_t *rendered;
	char *text;

	rules = convert_document(document, problem, sizeof(problem));
	assert_string_equal(problem, "");
	assert_non_null(rules);
	text = platform()->render_rules(rules);
	rendered = json_loads(text, 0, NULL);
	assert_true(json_equal(sent, rendered));
	free(text);
	json_decref(sent);
	json_decref(rendered);
	rules_unref(rules);
}

static json_t *
make_document(uint32_t routes)
{
	json_t *root = json_pack(
	    "{s:i, s:i, s:{}, s:{s:{s:s,s:i,s:s,s:b}, s:{s:s,s:i,s:s,s:b}}, "
	    "s:{s:i,s:i,s:i,s:i}}",
	    "version", 7, "baseVersion", 5, "routes", "services", "huvo11a",
	    "healthPath", "/healthz", "maxConnections", 110, "protocol", "h1",
	    "tls", 0, "kafi81c", "healthPath", "/healthz", "maxConnections",
	    110, "protocol", "h1", "tls", 1, "limits", "maxHeaderBytes", 16384,
	    "maxBodyBytes", 67108864, "headerTimeoutMs", 3000, "idleTimeoutMs",
	    15000);
	json_t *table = json_object_get(root, "routes");
	static const char *const kinds[] = {
	    "safe", "unsafe", "upload", "download"};
	uint32_t i;

	for (i = 0; i < routes; i++) {
		char name[32];
		char prefix[64];
		json_t *route;

		snprintf(name, sizeof(name), "r-%x", i * 7919);
		snprintf(prefix, sizeof(prefix), "/xapu%u/ny%u/", i, i % 13);
		route = json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:i}", "host",
		    i % 2 == 0 ? "hulo84.example" : "jepu9.example",
		    "pathPrefix", prefix, "kind", kinds[i % 4], "timeoutMs",
		    1000 + (int)i, "targetLatencyMs", 200 + (int)i % 50,
		    "priority", (int)i % 3, "maxAttempts", 1 + (int)i % 3);
		if (i % 4 == 0)
			json_object_set_new(route, "weightedServices",
			    json_pack("[{s:s,s:i},{s:s,s:i}]", "service",
				"huvo11a", "weight", 90, "service", "kafi81c",
				"weight", 10));
		else
			json_object_set_new(
			    route, "service", json_string("huvo11a"));
		json_object_set_new(table, name, route);
	}
	return root;
}

static void
test_round_trip(void **state)
{
	static const uint32_t sizes[] = {0, 1, 2, 60, MANY_ROUTES};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		json_t *root = make_document(sizes[i]);
		char *text = json_dumps(root, JSON_COMPACT);

		check_round_trip(text);
		free(text);
		json_decref(root);
	}
}

/// The rule file of a document has a line per rule, each with its owner.
static void
test_rule_file(void **state)
{
	json_t *root = make_document(2);
	char *document = json_dumps(root, JSON_COMPACT);
	size_t golden_bytes;
	char *golden =
	    test_read_file("golden_platform/rules.mv", &golden_bytes);
	struct error err;
	size_t text_bytes;
	char *text;

	(void)state;
	assert_int_equal(platform()->read_rules(document, strlen(document),
			     &text, &text_bytes, &err),
	    0);
	assert_string_equal(text, golden);
	free(text);
	free(golden);
	free(document);
	json_decref(root);
}

static void
set_route(json_t *root, const char *field, json_t *value)
{
	json_t *routes = json_object_get(root, "routes");
	json_t *route = json_object_iter_value(json_object_iter(routes));

	if (value == NULL)
		json_object_del(route, field);
	else
		json_object_set_new(route, field, value);
}

/// Changes one field of a valid document and expects an error.
static void
expect_rejected(const char *field, json_t *value, const char *expected)
{
	json_t *root = make_document(1);
	char problem[512];
	struct rules *rules;
	char *text;

	set_route(root, field, value);
	text = json_dumps(root, JSON_COMPACT);
	rules = convert_document(text, problem, sizeof(problem));
	assert_null(rules);
	if (strstr(problem, expected) == NULL)
		assert_string_equal(problem, expected);
	free(text);
	json_decref(root);
}

/// Invalid documents are rejected with the location and the cause.
static void
test_rejected(void **state)
{
	char problem[512];

	(void)state;
	expect_rejected("host", NULL, "routes.r-0 host");
	expect_rejected("host", json_string(""), "routes.r-0 host");
	expect_rejected("pathPrefix", json_string("xapu/"), "prefix");
	expect_rejected("kind", json_string("odd"), "kind");
	expect_rejected("timeoutMs", json_integer(0), "routes.r-0 timeoutMs");
	expect_rejected("timeoutMs", json_integer(600001), "timeout");
	expect_rejected("timeoutMs", json_string("1000"), "timeoutMs");
	expect_rejected("targetLatencyMs", NULL, "targetLatencyMs");
	expect_rejected("priority", json_integer(-1), "priority");
	expect_rejected("weightedServices", json_array(), "weightedServices");
	expect_rejected("weightedServices",
	    json_pack("[{s:s,s:i}]", "service", "huvo11a", "weight", 0),
	    "weights");
	expect_rejected("weightedServices",
	    json_pack("[{s:s,s:i}]", "service", "nowhere", "weight", 1),
	    "nowhere");
	expect_rejected("service", json_string("huvo11a"), "weightedServices");
	assert_null(
	    convert_document("{\"version\":", problem, sizeof(problem)));
	assert_non_null(strstr(problem, "line 1"));
	assert_null(convert_document("[]", problem, sizeof(problem)));
	assert_null(convert_document("", problem, sizeof(problem)));
	assert_null(convert_document(
	    "{\"version\":1,\"version\":2}", problem, sizeof(problem)));
	assert_null(convert_document("{\"version\":0,\"baseVersion\":0,"
				     "\"routes\":{},\"services\":{}}",
	    problem, sizeof(problem)));
}

/// A document of one public and one other route, with tenants.
static json_t *
make_document_of_tenants(json_t *tenants)
{
	json_t *root = make_document(2);
	json_t *routes = json_object_get(root, "routes");

	json_object_set_new(
	    json_object_get(routes, "r-0"), "public", json_true());
	json_object_set_new(
	    json_object_get(routes, "r-1eef"), "public", json_false());
	json_object_set_new(root, "tenants", tenants);
	return root;
}

static void
expect_tenants_rejected(json_t *tenants, const char *expected)
{
	json_t *root = make_document_of_tenants(tenants);
	char *text = json_dumps(root, JSON_COMPACT);
	char problem[512];

	assert_null(convert_document(text, problem, sizeof(problem)));
	if (strstr(problem, expected) == NULL)
		assert_string_equal(problem, expected);
	assert_null(strstr(problem, "secret"));
	free(text);
	json_decref(root);
}

/// Tenants are read and rendered in full; no error names a key.
static void
test_tenants(void **state)
{
	json_t *root = make_document_of_tenants(
	    json_pack("{s:{s:[s,s],s:i,s:i,s:f},s:{s:[],s:i},s:{s:[s]}}",
		"bozi300", "apiKeys", "mgjy5rcp", "v3nax7u2", "priority", 1,
		"ratePerS", 428, "burst", 2.5, "a.b", "apiKeys", "ratePerS", 0,
		"c", "apiKeys", "x/=:+"));
	char problem[512];
	json_t *many;
	char *text = json_dumps(root, JSON_COMPACT);
	uint32_t i;

	(void)state;
	check_round_trip(text);
	free(text);
	json_decref(root);
	// More keys than fit a line of any usual length.
	many = json_array();
	for (i = 0; i < MANY_ROUTES; i++) {
		char key[32];

		snprintf(key, sizeof(key), "key-%u", i);
		json_array_append_new(many, json_string(key));
	}
	root = make_document_of_tenants(
	    json_pack("{s:{s:o}}", "a", "apiKeys", many));
	text = json_dumps(root, JSON_COMPACT);
	check_round_trip(text);
	free(text);
	json_decref(root);
	expect_tenants_rejected(json_object(), "tenants");
	expect_tenants_rejected(json_array(), "tenants");
	expect_tenants_rejected(
	    json_pack("{s:{s:[s]},s:{s:[s]}}", "a", "apiKeys", "secret", "b",
		"apiKeys", "secret"),
	    "is held by workspace 'a'");
	expect_tenants_rejected(
	    json_pack("{s:{s:[s,s]}}", "a", "apiKeys", "secret", "secret"),
	    "twice");
	expect_tenants_rejected(
	    json_pack("{s:{s:s}}", "a", "apiKeys", "secret"),
	    "tenants.a apiKeys");
	expect_tenants_rejected(
	    json_pack("{s:{s:[s,s]}}", "a", "apiKeys", "x", "secret secret"),
	    "tenants.a apiKeys: key 2");
	expect_tenants_rejected(
	    json_pack("{s:{s:[],s:s}}", "a", "apiKeys", "ratePerS", "1"),
	    "tenants.a ratePerS");
	expect_tenants_rejected(
	    json_pack("{s:{s:[],s:i}}", "a", "apiKeys", "burst", -1),
	    "tenants.a burst");
	expect_tenants_rejected(
	    json_pack("{s:{s:[],s:f}}", "a", "apiKeys", "priority", 1.0),
	    "tenants.a priority");
	expect_rejected("public", json_string("yes"), "routes.r-0 public");
	assert_null(convert_document(
	    "{\"tenants\":{\"a\":\"secret\" 1}}", problem, sizeof(problem)));
	assert_non_null(strstr(problem, "line 1"));
	assert_null(strstr(problem, "secret"));
}

static int
read_announcement(enum dialect_call call, const char *body,
    struct backend_announcement *out, struct error *err)
{
	return platform()->read_announcement(call, "i-7f3a91c2", body,
	    body == NULL ? 0 : strlen(body), NOW_US, 5 * US_PER_S, out, err);
}

static void
test_announcement(void **state)
{
	static const char good[] =
	    "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\","
	    "\"zone\":\"walu-bay\",\"version\":\"v1\",\"slots\":9,"
	    "\"state\":\"ready\",\"coldRemainingMs\":1500,\"sequence\":4,"
	    "\"born\":1784830949000}";
	struct backend_announcement a;
	struct error err;

	(void)state;
	assert_int_equal(
	    read_announcement(DIALECT_ANNOUNCE, good, &a, &err), 0);
	assert_string_equal(a.id, "i-7f3a91c2");
	assert_string_equal(a.service, "huvo11a");
	assert_string_equal(a.address, "10.128.0.9:8080");
	assert_int_equal(a.state, BACKEND_READY);
	assert_int_equal(a.slots, 9);
	assert_int_equal(a.sequence, 4);
	assert_int_equal(a.process_start, 1784830949000);
	assert_int_equal(a.slow_start_deadline_us, NOW_US + 1500 * US_PER_MS);
	assert_int_equal(a.lease_deadline_us, NOW_US + 5 * US_PER_S);
	// A deregistration without a body is valid.
	assert_int_equal(
	    read_announcement(DIALECT_DEREGISTER, NULL, &a, &err), 0);
	assert_int_equal(a.state, BACKEND_DRAINING);
	assert_int_equal(
	    read_announcement(DIALECT_DEREGISTER,
		"{\"born\":1784830949000,\"sequence\":9}", &a, &err),
	    0);
	assert_int_equal(a.process_start, 1784830949000);
	assert_int_equal(a.sequence, 9);
}

/// A heartbeat of which one field is missing or not valid is rejected, and the
/// error names the field.
static void
test_announcement_rejected(void **state)
{
	// Field, its value in a valid heartbeat, and values that are not valid.
	static const struct {
		const char *field;
		const char *valid;
		const char *invalid[6];
	} fields[] = {
	    {"service", "\"s\"", {"7", "\"\"", "null"}},
	    {"address", "\"1.2.3.4:1\"",
		{"\"here\"", "\"1.2.3.4:65536\"", "\"1.2.3.4\"",
		    "\"1.2.3.4:0\"", "1"}},
	    {"zone", "\"z\"", {"1", "null", "{}"}},
	    {"version", "\"v1\"", {"1", "[]"}},
	    {"state", "\"ready\"", {"\"up\"", "1"}},
	    {"born", "1", {"\"1\"", "1.5", "-1", "9223372036854775807000"}},
	    {"sequence", "1", {"-1", "1e2", "true"}},
	    {"slots", "1", {"1000000", "\"1\""}},
	    {"coldRemainingMs", "0", {"-1", "null", "99999999999"}},
	};
	const size_t count = sizeof(fields) / sizeof(fields[0]);
	struct backend_announcement a;
	struct error err;
	size_t changed;
	size_t v;

	(void)state;
	for (changed = 0; changed < count; changed++)
		for (v = 0; v == 0 || fields[changed].invalid[v - 1] != NULL;
		     v++) {
			char body[400] = "{";
			size_t i;

			for (i = 0; i < count; i++) {
				const char *value = i != changed
				    ? fields[i].valid
				    : fields[i].invalid[v];

				// The last variant leaves the field out.
				if (value != NULL)
					snprintf(body + strlen(body),
					    sizeof(body) - strlen(body),
					    "%s\"%s\":%s",
					    strlen(body) > 1 ? "," : "",
					    fields[i].field, value);
			}
			strcat(body, "}");
			assert_int_equal(
			    read_announcement(DIALECT_ANNOUNCE, body, &a, &err),
			    -1);
			// Jansson refuses a number beyond 64 bits itself.
			if (strcmp(err.step, "body") != 0)
				assert_string_equal(
				    err.step, fields[changed].field);
		}
}

/// What is no JSON object is rejected as a whole.
static void
test_announcement_unreadable(void **state)
{
	static const char *const invalid[] = {
	    "", "[]", "{\"service\":", "\377"};
	struct backend_announcement a;
	struct error err;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		assert_int_equal(
		    read_announcement(DIALECT_ANNOUNCE, invalid[i], &a, &err),
		    -1);
		assert_string_equal(err.step, "body");
	}
}

static void
test_calls(void **state)
{
	static const struct {
		const char *method;
		const char *target;
		enum dialect_call call;
		const char *id;
	} calls[] = {
	    {"GET", "/api/ready", DIALECT_READY, ""},
	    {"POST", "/api/instances/i-1/heartbeat", DIALECT_ANNOUNCE, "i-1"},
	    {"POST", "/api/instances/i-1/deregister", DIALECT_DEREGISTER,
		"i-1"},
	    {"GET", "/metrics", DIALECT_METRICS, ""},
	    {"GET", "/api/instances/i-1/heartbeat", DIALECT_OTHER, ""},
	    {"POST", "/api/instances//heartbeat", DIALECT_OTHER, ""},
	    {"POST", "/api/instances/i-1", DIALECT_OTHER, ""},
	    {"POST", "/api/instances/i-1/other", DIALECT_OTHER, "i-1"},
	    {"POST", "/api/ready", DIALECT_OTHER, ""},
	};
	char service[MEMBER_NAME_BYTES];
	char id[BACKEND_ID_BYTES];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
		assert_int_equal(
		    platform()->read_call(calls[i].method, calls[i].target, id),
		    calls[i].call);
		assert_string_equal(id, calls[i].id);
	}
	assert_int_equal(
	    platform()->read_operation("POST", "/api/config/replace", service),
	    DIALECT_SUBMIT);
	assert_int_equal(
	    platform()->read_operation("GET", "/api/config/get", service),
	    DIALECT_SHOW);
	assert_int_equal(platform()->read_operation("GET", "/rules", service),
	    DIALECT_NO_OPERATION);
}

static void
test_retry(void **state)
{
	char text[DIALECT_RETRY_AFTER_BYTES];

	(void)state;
	platform()->format_retry_after(123456, text);
	assert_string_equal(text, "0.123");
	platform()->format_retry_after(2500 * US_PER_MS, text);
	assert_string_equal(text, "2.500");
}

/// Reads a load; -1 if it is refused, else its pace.
static int64_t
read_pace(const char *value)
{
	struct server_load load;
	struct error err;

	if (platform()->read_load(value, strlen(value), &load, &err) != 0)
		return -1;
	return load.pace_pct;
}

static void
test_load(void **state)
{
	static const char *const malformed[] = {"", ",", "1", "1,2", "1,2,",
	    "1,2,3,", "1,2,3,4,5", "a,2,3", "1,-2,3", "1, 2,3", "1,2,0",
	    "1,2,3,100001", "99999999999999999999,1,9,100", "1,2,3,1e2"};
	struct server_load load;
	struct error err;
	char *long_value = malloc(1 << 20);
	size_t i;

	(void)state;
	assert_non_null(long_value);
	assert_int_equal(platform()->read_load("3,0,8", 5, &load, &err), 0);
	assert_int_equal(load.running, 3);
	assert_int_equal(load.waiting, 0);
	assert_int_equal(load.slots, 8);
	assert_int_equal(load.pace_pct, 0);
	assert_int_equal(read_pace("9,36,9,250"), 250);
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++)
		assert_int_equal(read_pace(malformed[i]), -1);
	memset(long_value, '1', 1 << 20);
	assert_int_equal(
	    platform()->read_load(long_value, 1 << 20, &load, &err), -1);
	free(long_value);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_round_trip),
	    cmocka_unit_test(test_rule_file),
	    cmocka_unit_test(test_rejected),
	    cmocka_unit_test(test_tenants),
	    cmocka_unit_test(test_announcement),
	    cmocka_unit_test(test_announcement_rejected),
	    cmocka_unit_test(test_announcement_unreadable),
	    cmocka_unit_test(test_calls),
	    cmocka_unit_test(test_load),
	    cmocka_unit_test(test_retry),
	};

	return cmocka_run_group_tests_name("platform", tests, NULL, NULL);
}
