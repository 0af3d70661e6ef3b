/// @file
/// mvsource: a replica of the source, which stores and publishes the rules.
#ifndef MV_SOURCE_SOURCE_H
#define MV_SOURCE_SOURCE_H

#include <jansson.h>

#include "core/membership/report_table.h"
#include "core/rollout/rollout_store.h"
#include "core/rules/rule_store.h"
#include "core/workspace/quota_ledger.h"
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
	double exposure_share;
	double quota_window_s;
	double quota_overage;
	int64_t quota_slack;
};

/// Receives the reply to an operator's request.
///
/// @param retry_us  delay before a retry; 0 for none
/// @param body      JSON or plain text
typedef void operator_reply_fn(
    void *arg, uint32_t status, int64_t retry_us, const char *body);

/// A request that waits for a read or an entry of the replicated log.
struct pending_request {
	struct pending_request *next;
	struct source *source;
	enum {
		PENDING_STATUS,
		PENDING_SUBMIT,	  ///< Checked and proposed after the read.
		PENDING_PROPOSED, ///< Waits for its entry to be applied.
		PENDING_SHOW,
		PENDING_CONFIRM, ///< Pull of a starting proxy: version only.
		PENDING_ROLLOUT, ///< An order, proposed after the read.
		PENDING_ROLLOUT_SHOW,
	} kind;
	uint64_t context;	///< Identifies the read.
	uint64_t index;		///< Log index of the proposed entry.
	uint64_t term;		///< Term in which it was proposed.
	struct rule_file *file; ///< Submitted file, or NULL.
	/// Of a roll-out; its service is empty if all are to be shown.
	struct rollout_order order;
	operator_reply_fn *fn;
	void *arg;
	struct stream *stream; ///< PENDING_CONFIRM; NULL once closed.
};

struct forward;
struct rollout_run;

struct source {
	struct source_settings settings;
	const struct dialect *dialect;
	struct loop *loop;
	struct replica_host host;
	struct rule_store store;
	struct rollout_store rollouts;
	struct rollout_run *rollout_runs; ///< One for each that runs.
	uint64_t rollout_followed;	  ///< Revision that the runs have.
	struct loop_timer rollout_timer;
	int64_t rollout_leading_us; ///< Since when it leads; 0: it does not.
	struct report_table reports;
	struct quota_ledger quotas;  ///< Used while this replica leads.
	uint64_t quota_term;	     ///< Term that was seen last.
	int64_t quota_term_since_us; ///< It is at least as old as this.
	struct random random;
	struct datagram_socket udp;
	struct listener listener;
	struct httpd *httpd;
	struct address bound_control;
	struct address bound_operators;
	struct pending_request *pending;
	uint32_t pending_count;
	uint64_t next_context;
	uint32_t applied_since_snapshot;
	bool notice_deferred; ///< A version was accepted in this iteration.
	bool rollout_notice_deferred; ///< The same, of roll-outs.
	int64_t pull_tokens_milli;
	int64_t pull_refill_us; ///< Time of the last refill.
	int64_t started_us;
	struct loop_timer expire_timer;
	struct forward *forwards; ///< Requests being forwarded.
};

/// Target of the calls for roll-outs.
#define ROLLOUTS_TARGET "/rollouts"

/// Handles an operator's request. May call fn before it returns.
///
/// @param forwarded  whether another replica forwarded the request; it is not
///                   forwarded again
void operator_handle(struct source *source, const char *method,
    const char *target, const char *body, size_t body_bytes, bool forwarded,
    operator_reply_fn *fn, void *arg);

/// Frees the requests being forwarded to the leader, without a reply.
void operator_cancel_forwards(struct source *source);

/// State machine callbacks of the replica.
extern const struct replica_host_ops source_replica_ops;

/// Callbacks of the operators' HTTP server.
extern const struct httpd_ops source_httpd_ops;

/// Callbacks of control streams: replication, pulls, forwarded requests.
extern const struct stream_ops source_stream_ops;

/// Handles a datagram: records the report of a proxy and answers it.
void publish_receive_datagram(
    void *owner, const struct address *from, struct message *message);

/// This replica became the leader: another one may have granted tokens until
/// now.
void quota_begin(struct source *source);

/// Takes over the limits of the accepted version, and notes the term. Call it about
/// each second.
void quota_follow(struct source *source);

/// Renders the limited workspaces that use most, and the rest together. Only the leader knows their use.
json_t *quota_render(const struct source *source);

/// Answers an ask for tokens of quotas, or names the leader.
void quota_receive(struct source *source, const struct address *from,
    const struct message_quota_ask *ask);

/// Notifies some proxies of each data centre of the accepted version, if this
/// replica is the leader.
///
/// @param arg  the source
void publish_notify_accepted(void *arg);

/// Notifies the proxies that lack changes of roll-outs.
void publish_rollouts(struct source *source);

/// Answers a pull. Sends a retry time instead if there are too many, or if the
/// pull asks for a confirmed version and this replica is not the leader.
void publish_handle_pull(struct source *source, struct stream *stream,
    const struct message_pull *pull);

/// Renders the status as JSON. Release it with free().
///
/// @param confirmed  whether a quorum confirmed the state
char *status_render(const struct source *source, bool confirmed);

/// Adds a request that waits for a read. The caller starts the read with its
/// context.
///
/// @param kind  a PENDING_ value
struct pending_request *pending_add_read(struct source *source, int kind);

/// Completes the request that waits for a read.
///
/// @param ok  whether the read was confirmed by a quorum
void pending_complete_read(struct source *source, uint64_t context, bool ok);

/// Completes the proposal whose entry was applied.
///
/// @param verdict  an enum rule_store_verdict, or -1 for an invalid entry
void pending_complete_proposal(
    struct source *source, const struct replica_entry *entry, int verdict);

/// Replies to all proposals with an unknown result, after a loss of leadership:
/// their entries may or may not be committed.
void pending_fail_proposals(struct source *source);

/// Removes the references to a closed stream.
void pending_detach_stream(struct source *source, const struct stream *stream);

/// Renders the reply to a submitted file. Release it with free().
///
/// @param status  receives the HTTP status of the reply
char *verdict_render(const struct source *source, const struct rule_file *file,
    int verdict, uint32_t *status);

/// Parses an order of a roll-out.
///
/// @return 0, or -1 with err set; its step is the name of the field
int rollout_order_parse(const char *body, size_t body_bytes,
    struct rollout_order *out, struct error *err);

/// Checks that the accepted rules have the service of an order.
///
/// @return 0, or -1 with err set
int rollout_order_check_service(const struct source *source,
    const struct rollout_order *order, struct error *err);

/// Renders the replies to orders and questions. Release them with free().
char *rollout_order_render_error(const struct error *err);
char *rollout_order_render_verdict(const struct source *source,
    const struct rollout_order *order, int verdict, uint32_t *status);

/// @param service  "": all roll-outs
char *rollout_order_render_show(
    const struct source *source, const char *service, uint32_t *status);

/// Renders the reply to a file that does not parse. Release it with free().
char *verdict_render_errors(const struct rules_errors *errors);

#endif
