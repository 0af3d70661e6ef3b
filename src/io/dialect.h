/// @file
/// What a deployment calls things: names of headers, forms of announcements
/// and of rule files. The product has a dialect of its own; another one
/// registers itself and is chosen by the setting `dialect`.
///
/// A dialect translates and decides nothing.
#ifndef MV_IO_DIALECT_H
#define MV_IO_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"
#include "core/requests/backend.h"
#include "core/rules/rule_store.h"

#define DIALECT_RETRY_BYTES 24

/// Names of headers; NULL where a dialect has none.
struct dialect_headers {
	const char *internal_prefix; ///< Of those that callers may not set.
	const char *attempt;  ///< Names an attempt of a caller; is echoed.
	const char *deadline; ///< Milliseconds that are left.
	const char *rank;
	const char *key;	    ///< Idempotency key.
	const char *caller_service; ///< Service beside the first proxy.
	const char *expected;	    ///< Id of the server a request is for.
	const char *instance;	    ///< Id of the server that answers.
	const char *not_run; ///< On an answer: the server did not run it.
	const char *outcome; ///< On answers of a proxy.
	const char *load;    ///< "running,waiting,slots" of the server.
	/// On answers of a backend server; a success without it is not one.
	const char *signature;
};

/// Calls to the admin address of a proxy.
enum dialect_call {
	DIALECT_OTHER, ///< None of those below.
	DIALECT_ANNOUNCE,
	DIALECT_LEAVE,
	DIALECT_DRAIN, ///< The server beside takes no more, and stays.
	DIALECT_READY, ///< Whether the proxy takes requests.
	DIALECT_STATUS,
	DIALECT_COUNTERS,
	DIALECT_METRICS,
};

/// Calls of operators to a source.
enum dialect_operation {
	DIALECT_NO_OPERATION,
	DIALECT_SUBMIT,
	DIALECT_SHOW,
};

struct dialect {
	const char *name;
	struct dialect_headers headers;
	/// A request that comes without a name is given one.
	bool names_requests;
	/// Callers say themselves how long they wait.
	bool callers_set_deadline;
	/// A refusal of any proxy or server, told by its status alone, says that
	/// the request did not run: such a status is not passed on from a server
	/// that may have run it.
	bool refusals_prove_not_run;
	/// Internal headers of an answer are the server's, and are passed on.
	bool answers_are_whole;

	/// Writes the time after which to come back.
	void (*write_retry)(int64_t retry_us, char out[DIALECT_RETRY_BYTES]);

	/// Tells what a request to the admin address is.
	///
	/// @param id  receives the server's id, if the target names one
	enum dialect_call (*read_call)(
	    const char *method, const char *target, char id[BACKEND_ID_BYTES]);

	/// Reads the body of an announcement or of a leave.
	///
	/// @return 0, or -1 with err set: its step names the field
	int (*read_announcement)(enum dialect_call call, const char *id,
	    const char *body, size_t body_bytes, int64_t now_us,
	    int64_t lease_us, struct backend_announcement *out,
	    struct error *err);

	/// Tells what a request of an operator is. NULL: only the own ones.
	enum dialect_operation (*read_operation)(
	    const char *method, const char *target);

	/// Turns a submitted document into a rule file. NULL: it is one.
	///
	/// @param text  receives the file; release it with free()
	/// @return 0, or -1 with err set: its step names the place
	int (*read_rules)(const char *body, size_t body_bytes, char **text,
	    size_t *text_bytes, struct error *err);

	/// Turns a rule file into a document. Release it with free().
	char *(*render_rules)(const struct rules *rules);

	/// HTTP status of a verdict on a submitted file.
	uint32_t (*verdict_status)(int verdict);

	struct dialect *next;
};

/// The product's own.
extern struct dialect dialect_own;

/// Adds a dialect; called before main.
void dialect_register(struct dialect *dialect);

/// Finds a dialect by name; NULL if there is none.
const struct dialect *dialect_find(const char *name);

#endif
