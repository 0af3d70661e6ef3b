/// @file
/// mvsource: one replica of the source of rules.
#ifndef MV_SOURCE_SOURCE_H
#define MV_SOURCE_SOURCE_H

#include "core/membership/report_table.h"
#include "core/rules/rule_store.h"
#include "io/dialect.h"
#include "io/http/httpd.h"
#include "io/net/net.h"
#include "io/replica/replica_program.h"

struct source_settings {
	struct replica_program_settings replica;
	char dialect_name[SETTINGS_TEXT_BYTES];
	char region[SETTINGS_TEXT_BYTES];
	char dc[SETTINGS_TEXT_BYTES];
	char host[SETTINGS_TEXT_BYTES];
	char listen_control[SETTINGS_TEXT_BYTES];
	char listen_operators[SETTINGS_TEXT_BYTES];
	char bound_path[SETTINGS_TEXT_BYTES];
	int64_t stale_ms;
	int64_t forget_ms;
	int64_t pulls_per_s;
	int64_t compact_every;
};

/// Answers an operator's request.
///
/// @param retry_us  time after which to try again; 0 for no hint
/// @param body      JSON or plain text
typedef void operator_reply_fn(
    void *arg, uint32_t status, int64_t retry_us, const char *body);

/// A request that waits for the replicated log.
struct pending {
	struct pending *next;
	struct source *source;
	enum {
		PENDING_STATUS,
		PENDING_SUBMIT,	  ///< To be checked once the read is done.
		PENDING_PROPOSED, ///< Awaits its entry.
		PENDING_SHOW,
		PENDING_CONFIRM, ///< Pull of a starting proxy.
	} kind;
	uint64_t context; ///< Of the read.
	uint64_t index;
	uint64_t term;
	struct rule_file *file; ///< That was submitted.
	operator_reply_fn *fn;
	void *arg;
	struct stream *stream; ///< PENDING_CONFIRM.
};

struct forward;

struct source {
	struct source_settings settings;
	const struct dialect *dialect;
	struct loop *loop;
	struct replica_host host;
	struct rule_store store;
	struct report_table reports;
	struct random random;
	struct datagram_socket udp;
	struct listener listener;
	struct httpd *httpd;
	struct address bound_control;
	struct address bound_operators;
	struct pending *pending;
	uint32_t pending_count;
	uint64_t next_context;
	uint32_t applied_since_snapshot;
	int64_t pull_tokens_milli;
	int64_t pull_tokens_us; ///< When the tokens were last counted.
	int64_t started_us;
	struct loop_timer expire_timer;
	struct forward *forwards; ///< On their way to the leader.
};

/// Handles an operator's request; the reply may come from inside.
///
/// @param forwarded  it came from another replica: not to be passed on again
void operator_handle(struct source *source, const char *method,
    const char *target, const char *body, size_t body_bytes, bool forwarded,
    operator_reply_fn *fn, void *arg);

/// Drops the requests that are on their way to the leader.
void operator_close(struct source *source);

/// State machine callbacks for the replica.
extern const struct replica_host_ops source_replica_ops;

/// Operators' HTTP requests.
extern const struct httpd_ops source_httpd_ops;

/// Control streams: replicas, pulls, forwarded requests.
extern const struct stream_ops source_stream_ops;

/// Reports of proxies.
void publish_on_datagram(
    void *owner, const struct address *from, struct message *message);

/// Tells some proxies of each data centre of the accepted version.
void publish_accepted(struct source *source);

/// Answers a pull, or puts it off if there are too many.
void publish_answer_pull(struct source *source, struct stream *stream,
    const struct message_pull *pull);

/// JSON text of the status. Release it with free().
char *status_render(const struct source *source, bool confirmed);

/// Adds a request that waits for a read, and begins the read.
struct pending *pending_read(struct source *source, int kind);

/// Ends the requests that wait for a read.
void pending_finish_read(struct source *source, uint64_t context, bool ok);

/// Ends a proposal whose entry was applied.
void pending_finish_entry(
    struct source *source, const struct replica_entry *entry, int verdict);

/// The leadership is lost: what was proposed may or may not be accepted.
void pending_fail_proposed(struct source *source);

/// Forgets a stream that closed.
void pending_drop_stream(struct source *source, const struct stream *stream);

/// Body of the answer to a submitted file. Release it with free().
///
/// @param status  receives the HTTP status that goes with it
char *verdict_render(const struct source *source, const struct rule_file *file,
    int verdict, uint32_t *status);

/// Body of the answer to a file that does not parse. Release it with free().
char *verdict_render_errors(const struct rules_errors *errors);

#endif
