/// @file
/// Parsed and validated rules of one version, immutable.
#ifndef MV_CORE_RULES_RULES_H
#define MV_CORE_RULES_RULES_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/rules/rule_file.h"
#include "core/rules/text_pool.h"
#include "core/workspace/key_table.h"

#define RULES_NAME_BYTES      32
#define RULES_PATH_BYTES      160
#define RULES_OWNER_BYTES     RULE_FILE_OWNER_BYTES
#define RULES_MAX_BYTES	      (4 * 1024 * 1024)
#define RULES_MAX_RANKS	      16
#define RULES_MAX_ERRORS      100
#define RULES_ERROR_BYTES     160
#define RULES_METHOD_BYTES    12
#define RULES_MAX_DEADLINE_US (3600LL * 1000000)
#define RULES_LABEL_BYTES     64
#define RULES_HOST_BYTES      128
#define RULES_MAX_TARGETS     8
#define RULES_MAX_WEIGHT      1000000
#define RULES_MAX_LENGTHS     64
#define RULES_KEY_BYTES	      128

/// Largest rate of a workspace in requests a second, and largest burst.
#define RULES_MAX_QUOTA 1000000000

/// Longest timeout of a match rule: 10 minutes.
#define RULES_MAX_MATCH_TIMEOUT_US (600LL * 1000000)

/// First character of the names of ranks that match rules refer to by number.
/// A rank rule cannot define a name that starts with it.
#define RULES_NUMBERED_RANK_PREFIX '.'

/// How often the requests of a route may be executed.
enum rule_kind {
	RULE_KIND_METHOD,   ///< Depends on the request method.
	RULE_KIND_SAFE,	    ///< May run more than once.
	RULE_KIND_UNSAFE,   ///< Runs at most once.
	RULE_KIND_UPLOAD,   ///< Like unsafe, with large bodies.
	RULE_KIND_DOWNLOAD, ///< Like safe, with large responses.
};

/// A class of requests with its target and its guaranteed share.
struct rule_rank {
	char name[RULES_NAME_BYTES];
	char owner[RULES_OWNER_BYTES];
	uint32_t worth;	   ///< Relative worth of one served request.
	uint32_t keep_pct; ///< Guaranteed share of slots under overload.
	int64_t target_us; ///< Response time that callers expect.
	uint32_t line;
};

/// A service and the limits of each of its backend servers.
struct rule_service {
	char name[RULES_NAME_BYTES];
	char owner[RULES_OWNER_BYTES];
	char health[RULES_PATH_BYTES];	 ///< Path of the health check, or "".
	char protocol[RULES_NAME_BYTES]; ///< Of its backend servers, or "".
	uint32_t slots; ///< 0: each backend server announces its own.
	uint32_t connections;
	bool tls;
	uint32_t line;
};

/// A destination service of a route, and its share of the requests.
struct rule_target {
	uint32_t service; ///< Index into services.
	uint32_t weight;
};

/// Limits on the requests and connections of callers.
struct rule_limits {
	bool given; ///< The file has a limits rule.
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_us; ///< From the first byte to the last header.
	int64_t idle_timeout_us;   ///< For connections without a request.
	uint32_t line;
};

/// A mapping of requests to a service: by method and path (route), or by host
/// and path prefix (match).
struct rule_route {
	// Texts in the pool of the rules.
	const char *name;   ///< Of a match rule; "" for a route rule.
	const char *host;   ///< Of a match rule, in lower case.
	const char *method; ///< "*" matches every method.
	const char *path;   ///< Without the trailing "*".
	const char *owner;
	enum rule_kind kind;
	uint32_t rank_number; ///< Rank of a match rule; 0 is the highest.
	uint32_t attempts;    ///< Most backend servers tried; 0: unlimited.
	int64_t target_us;    ///< Response time that callers expect.
	bool weighted;	      ///< The rule gives weights for its targets.
	uint32_t target_count;
	uint32_t weight_sum;
	struct rule_target targets[RULES_MAX_TARGETS];
	uint32_t path_bytes;
	bool has_public;    ///< The rule says whether it is public.
	bool is_public;	    ///< Requests need no key of a workspace.
	bool prefix;	    ///< The path ended in "*".
	bool once;	    ///< At most one execution for each idempotency key.
	uint32_t service;   ///< Index into services, of the first target.
	uint32_t rank;	    ///< Index into ranks.
	int64_t timeout_us; ///< Deadline, from the arrival of a request.
	uint32_t line;
};

/// A workspace: callers that share keys, a rank and a quota.
struct rule_workspace {
	// Texts in the pool of the rules.
	const char *name;
	const char *owner;
	const char *keys; ///< Separated by commas; secret.
	uint32_t key_count;
	bool has_rank;	      ///< Its rank goes before those of the routes.
	uint32_t rank_number; ///< 0 is the highest.
	uint32_t rank;	      ///< Index into ranks.
	bool has_rate;	      ///< The rule gives a rate.
	bool has_burst;
	uint64_t rate_milli;  ///< Requests in 1,000 s; 0: no limit.
	uint64_t burst_milli; ///< Thousandths of a request.
	uint32_t line;
};

/// One version of the rules. Immutable once parsed; reference-counted.
struct rules {
	atomic_uint refs;
	uint64_t version;
	struct rule_file *file; ///< Holds one reference.
	struct rule_limits limits;
	struct rule_rank *ranks;
	uint32_t rank_count;
	struct rule_service *services;
	uint32_t service_count;
	struct rule_route *routes; ///< Most specific path first.
	uint32_t route_count;
	struct rule_workspace *workspaces; ///< Sorted by name.
	uint32_t workspace_count;
	uint64_t
	    rate_mean_milli; ///< Of the limited workspaces; 0: there is none.
	struct key_table *keys;	  ///< Of the workspaces; NULL without any.
	struct text_pool texts;	  ///< Of the routes and workspaces.
	uint32_t match_count;	  ///< Number of match rules in routes.
	struct rule_index *index; ///< Of the match rules; NULL for none.
};

/// One problem found in a rule file.
struct rules_error {
	uint32_t line;
	uint32_t column;
	char text[RULES_ERROR_BYTES];
};

/// All problems found in a rule file, in order of appearance.
struct rules_errors {
	uint32_t count; ///< May exceed RULES_MAX_ERRORS; others are dropped.
	struct rules_error items[RULES_MAX_ERRORS];
};

/// Parses and validates a whole rule file.
///
/// @param text        file contents; need not end with NUL
/// @param text_bytes  its length
/// @param errors      receives every problem found
/// @return the rules with one reference, or NULL if there was any error
struct rules *rules_parse(
    const char *text, size_t text_bytes, struct rules_errors *errors);

/// Takes one more reference.
struct rules *rules_ref(struct rules *rules);

/// Drops a reference and frees the rules with the last one.
void rules_unref(struct rules *rules);

/// Finds the route of a request: the match rule of its host with the longest
/// prefix; if there is none, the route rule with the longest matching path. At
/// equal length an exact path precedes a prefix, and a named method "*".
///
/// @param host  value of the Host header; NULL or "" for none
/// @return the route, or NULL if none matches
const struct rule_route *rules_match(const struct rules *rules,
    const char *method, const char *host, const char *path);

/// Selects a target of a route at random, in proportion to the weights.
///
/// @param draw  a random number
/// @return index of the service
uint32_t rules_draw_target(const struct rule_route *route, uint64_t draw);

/// Returns the name of a kind as in the rule file.
const char *rules_kind_name(enum rule_kind kind);

/// Returns whether requests of a kind may run more than once, whatever their
/// method.
bool rules_kind_is_safe(enum rule_kind kind);

/// Builds the index of the match rules. The routes must be sorted before.
void rules_index_build(struct rules *rules);

/// Finds a rank by name.
///
/// @return its index, or -1
int rules_find_rank(const struct rules *rules, const char *name);

/// Finds a workspace by name.
///
/// @return its index, or -1
int rules_find_workspace(
    const struct rules *rules, const char *name, size_t name_bytes);

/// Finds a service by name.
///
/// @return its index, or -1
int rules_find_service(const struct rules *rules, const char *name);

#endif
