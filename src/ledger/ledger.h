/// @file
/// mvledger: one replica of the ledger of idempotency keys.
#ifndef MV_LEDGER_LEDGER_H
#define MV_LEDGER_LEDGER_H

#include "core/requests/once.h"
#include "io/http/httpd.h"
#include "io/net/net.h"
#include "io/replica/replica_program.h"

#define LEDGER_PENDING_BUCKETS 4096

struct ledger_settings {
	struct replica_program_settings replica;
	char listen_control[SETTINGS_TEXT_BYTES];
	char listen_admin[SETTINGS_TEXT_BYTES];
	char bound_path[SETTINGS_TEXT_BYTES];
	int64_t retention_ms;
};

/// A proposed operation that is not applied yet, or a query (peek) that awaits
/// a linearizable read.
struct ledger_pending {
	struct ledger_pending *next;	 ///< In the bucket of the number.
	struct ledger_pending *key_next; ///< In the bucket of the key.
	uint64_t key_hash;
	uint64_t claim;
	uint64_t number; ///< Log index of the entry, or read context.
	uint64_t term;
	struct stream *stream; ///< NULL after the client disconnects.
	uint64_t sequence;     ///< Sequence number of the client's message.
	bool peek;
	char *op; ///< Encoded operation; only for a peek.
	uint32_t op_bytes;
};

/// Ledger clock at a log index. Compaction uses it to find expired entries.
struct ledger_log_sample {
	uint64_t index;
	int64_t clock_us;
};

struct ledger {
	struct ledger_settings settings;
	struct loop *loop;
	struct replica_host host;
	struct once once;
	struct listener listener;
	struct httpd *admin;
	struct address bound;
	struct address bound_admin;
	struct ledger_pending *pending[LEDGER_PENDING_BUCKETS];
	/// Proposed operations that are not applied yet, by key. No other claim
	/// of the key is decided meanwhile.
	struct ledger_pending *in_flight[LEDGER_PENDING_BUCKETS];
	uint32_t pending_count;
	uint64_t next_context;
	struct ledger_log_sample *samples; ///< Oldest first.
	uint32_t sample_count;
	uint32_t sample_capacity;
};

extern const struct replica_host_ops ledger_replica_ops;
extern const struct stream_ops ledger_stream_ops;
extern const struct httpd_ops ledger_admin_ops;

/// Samples the clock at regular log indexes and compacts expired entries.
void ledger_compact_expired(struct ledger *ledger, uint64_t index);

/// Frees all pending operations without replying to their clients.
void ledger_free_pending(struct ledger *ledger);

#endif
