/// @file
/// Dialects: header names, admin calls, and formats of announcements and rule
/// files that a deployment uses. One dialect is built in; others register
/// themselves and are selected by the setting `dialect`.
///
/// A dialect only translates; it makes no decisions.
#ifndef MV_IO_DIALECT_H
#define MV_IO_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "core/requests/backend.h"
#include "core/requests/pace.h"
#include "core/rules/rule_store.h"

#define DIALECT_RETRY_AFTER_BYTES 24

/// Header names; NULL where a dialect has none.
struct dialect_headers {
	const char *internal_prefix; ///< Reserved; callers may not set these.
	const char *attempt;	     ///< Id of a caller's attempt; echoed.
	const char *deadline;	     ///< Remaining time in milliseconds.
	const char *rank;
	const char *key; ///< Idempotency key.
	/// Key of a workspace, which a caller states and nobody else gets.
	const char *workspace_key;
	const char *workspace;	    ///< Name of the request's workspace.
	const char *caller_service; ///< Service on the VM of the ingress.
	const char *expected;	    ///< Id of the server that must run it.
	const char *instance;	    ///< Id of the responding server.
	const char *not_run; ///< On a response: the server did not run it.
	const char *outcome; ///< On responses of a proxy.
	const char *load;    ///< Load of the server; see read_load.
	const char *limit;   ///< Limit that the server states; see read_limit.
	const char *leaving; ///< "1": the server leaves.
	/// On responses of a backend server; a successful response without it
	/// is invalid.
	const char *signature;
};

/// Requests to the admin address of a proxy.
enum dialect_call {
	DIALECT_OTHER, ///< None of the calls below.
	DIALECT_ANNOUNCE,
	DIALECT_DEREGISTER,
	DIALECT_DRAIN, ///< Drains the local server, which stays.
	DIALECT_READY, ///< Whether the proxy accepts requests.
	DIALECT_STATUS,
	DIALECT_COUNTERS,
	DIALECT_METRICS,
};

/// Requests of operators to a source.
enum dialect_operation {
	DIALECT_NO_OPERATION,
	DIALECT_SUBMIT,
	DIALECT_SHOW,
	DIALECT_ROLLOUT_START,
	DIALECT_ROLLOUT_SHOW,
};

struct dialect {
	const char *name;
	struct dialect_headers headers;
	/// The ingress assigns an id to a request that comes without one.
	bool assigns_request_ids;
	/// Callers set the deadline of a request.
	bool callers_set_deadline;
	/// The status of a refusal by a proxy or server proves that the request
	/// did not run: such a status from a server that may have run the
	/// request is not passed on.
	bool refusals_prove_not_run;
	/// Internal headers of a response are the server's and are passed on.
	bool passes_internal_headers;

	/// Formats the value of Retry-After.
	void (*format_retry_after)(
	    int64_t retry_us, char out[DIALECT_RETRY_AFTER_BYTES]);

	/// Classifies a request to the admin address.
	///
	/// @param id  receives the id of the server if the target names one
	enum dialect_call (*read_call)(
	    const char *method, const char *target, char id[BACKEND_ID_BYTES]);

	/// Parses the body of an announcement or of a deregistration.
	///
	/// @return 0, or -1 with err set; its step is the name of the field
	int (*read_announcement)(enum dialect_call call, const char *id,
	    const char *body, size_t body_bytes, int64_t now_us,
	    int64_t lease_us, struct backend_announcement *out,
	    struct error *err);

	/// Parses the value of the load header. NULL: servers state no load.
	///
	/// @return 0, or -1 with err set
	int (*read_load)(const char *value, size_t value_bytes,
	    struct server_load *out, struct error *err);

	/// Parses the value of the limit header: requests a second.
	///
	/// @param limit_milli  receives requests in 1,000 s, at least 1
	/// @return 0, or -1 with err set
	int (*read_limit)(const char *value, size_t value_bytes,
	    uint32_t *limit_milli, struct error *err);

	/// Returns the length of the id of the request that a request is a call
	/// of, as its own id states it; 0: it states none. NULL: ids state none.
	size_t (*parent_id_bytes)(const char *id);

	/// Classifies a request of an operator. NULL: the built-in paths only.
	///
	/// @param service  receives the service that the target names
	enum dialect_operation (*read_operation)(const char *method,
	    const char *target, char service[MEMBER_NAME_BYTES]);

	/// Converts a submitted document to a rule file. NULL: it is one.
	///
	/// @param text  receives the file; release it with free()
	/// @return 0, or -1 with err set; its step is the name of the field
	int (*read_rules)(const char *body, size_t body_bytes, char **text,
	    size_t *text_bytes, struct error *err);

	/// Converts rules to a document. Release it with free().
	char *(*render_rules)(const struct rules *rules);

	/// Converts an order of a roll-out to one of the own dialect.
	///
	/// @param order  receives it; release it with free()
	/// @return 0, or -1 with err set; its step is the name of the field
	int (*read_rollout)(const char *body, size_t body_bytes, char **order,
	    struct error *err);

	/// Converts the own answer about a roll-out. Release it with free().
	char *(*render_rollout)(const char *body);

	/// Returns the HTTP status for a verdict on a submitted file.
	uint32_t (*verdict_status)(int verdict);

	struct dialect *next;
};

/// The built-in dialect "own".
extern struct dialect dialect_own;

/// Parses a limit as a decimal number, such as "12" or "0.5".
int dialect_read_limit(const char *value, size_t value_bytes,
    uint32_t *limit_milli, struct error *err);

/// Registers a dialect; call it before main.
void dialect_register(struct dialect *dialect);

/// Finds a dialect by name; returns NULL if there is none.
const struct dialect *dialect_find(const char *name);

#endif
