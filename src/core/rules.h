/// @file
/// Rule file: the parsed, validated and immutable form of one version.
#ifndef MV_CORE_RULES_H
#define MV_CORE_RULES_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RULES_NAME_BYTES      32
#define RULES_PATH_BYTES      160
#define RULES_OWNER_BYTES     96
#define RULES_MAX_BYTES	      (4 * 1024 * 1024)
#define RULES_MAX_RANKS	      16
#define RULES_MAX_ERRORS      100
#define RULES_ERROR_BYTES     160
#define RULES_METHOD_BYTES    12
#define RULES_MAX_DEADLINE_US (3600LL * 1000000)

/// A class of work with its target and its guaranteed share.
struct rule_rank {
	char name[RULES_NAME_BYTES];
	char owner[RULES_OWNER_BYTES];
	uint32_t worth;	   ///< Relative worth of one served request.
	uint32_t keep_pct; ///< Share of slots kept in a flood, percent.
	int64_t target_us; ///< Response time that callers expect.
	uint32_t line;
};

/// A service and the limits of each of its backend servers.
struct rule_service {
	char name[RULES_NAME_BYTES];
	char owner[RULES_OWNER_BYTES];
	uint32_t slots;
	uint32_t connections;
	uint32_t line;
};

/// A mapping of method and path to a service.
struct rule_route {
	char method[RULES_METHOD_BYTES]; ///< "*" matches every method.
	char path[RULES_PATH_BYTES];	 ///< Without a trailing "*".
	char owner[RULES_OWNER_BYTES];
	uint32_t path_bytes;
	bool prefix;	    ///< The path ended in "*".
	bool once;	    ///< At most one execution for each idempotency key.
	uint32_t service;   ///< Index into services.
	uint32_t rank;	    ///< Index into ranks.
	int64_t timeout_us; ///< Added to the arrival time for the deadline.
	uint32_t line;
};

/// One version of the rules. Immutable once parsed; reference-counted.
struct rules {
	atomic_uint refs;
	uint64_t version;
	uint64_t hash; ///< XXH3 of text.
	char *text;
	size_t text_bytes;
	char owner[RULES_OWNER_BYTES]; ///< Comment of the version line.
	struct rule_rank *ranks;
	uint32_t rank_count;
	struct rule_service *services;
	uint32_t service_count;
	struct rule_route *routes; ///< Most specific path first.
	uint32_t route_count;
};

/// One problem found in a rule file.
struct rules_error {
	uint32_t line;
	uint32_t column;
	char text[RULES_ERROR_BYTES];
};

/// All problems found in a rule file, in order of appearance.
struct rules_errors {
	uint32_t count; ///< May exceed RULES_MAX_ERRORS; the rest is dropped.
	struct rules_error items[RULES_MAX_ERRORS];
};

/// Parses and validates a whole rule file.
///
/// @param text        file contents; need not end in NUL
/// @param text_bytes  its length
/// @param errors      receives every problem found
/// @return the rules with one reference, or NULL if there was any error
struct rules *rules_parse(
    const char *text, size_t text_bytes, struct rules_errors *errors);

/// Takes one more reference.
struct rules *rules_ref(struct rules *rules);

/// Drops a reference and frees the rules with the last one.
void rules_unref(struct rules *rules);

/// Hashes the text of a rule file.
uint64_t rules_hash(const char *text, size_t text_bytes);

/// Finds the route of a request: the longest matching path; at equal length
/// an exact path before a prefix and a named method before "*".
///
/// @return the route, or NULL if none matches
const struct rule_route *rules_match(
    const struct rules *rules, const char *method, const char *path);

/// Finds a rank by name.
///
/// @return its index, or -1
int rules_find_rank(const struct rules *rules, const char *name);

/// Finds a service by name.
///
/// @return its index, or -1
int rules_find_service(const struct rules *rules, const char *name);

#endif
