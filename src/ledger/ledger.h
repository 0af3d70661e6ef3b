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

/// An operation whose entry is not applied yet, or a peek that awaits a read.
struct ledger_pending {
	struct ledger_pending *next;	 ///< In the bucket by number.
	struct ledger_pending *key_next; ///< In the bucket by key.
	uint64_t key_hash;
	uint64_t claim;
	uint64_t number; ///< Index of the entry, or read context.
	uint64_t term;
	struct stream *stream; ///< NULL once it closed.
	uint64_t sequence;     ///< Of the client's message.
	bool peek;
	char *op; ///< Encoded operation of a peek.
	uint32_t op_bytes;
};

/// Time at an index of the log, to know what may be dropped.
struct ledger_mark {
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
	/// Operations in the log but not applied, by key: no other claim of
	/// the key is judged meanwhile.
	struct ledger_pending *in_flight[LEDGER_PENDING_BUCKETS];
	uint32_t pending_count;
	uint64_t next_context;
	struct ledger_mark *marks; ///< Oldest first.
	uint32_t mark_count;
	uint32_t mark_capacity;
};

extern const struct replica_host_ops ledger_replica_ops;
extern const struct stream_ops ledger_stream_ops;
extern const struct httpd_ops ledger_admin_ops;

/// Counts entries and drops those that no longer matter.
void ledger_note_entry(struct ledger *ledger, uint64_t index);

void ledger_free_pending(struct ledger *ledger);

#endif
