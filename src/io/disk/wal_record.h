/// @file
/// Records of the write-ahead log, shared by its writer and its loader.
#ifndef MV_IO_DISK_WAL_RECORD_H
#define MV_IO_DISK_WAL_RECORD_H

#include <msgpack/sbuffer.h>
#include <stddef.h>
#include <stdint.h>

#include "io/disk/wal.h"

#define WAL_SNAPSHOT_NAME     "snapshot"
#define WAL_NAME_BYTES	      32
#define WAL_MAGIC	      0x3257564du
#define WAL_HEADER_BYTES      36
#define WAL_MAX_PAYLOAD_BYTES (64u * 1024 * 1024)

enum wal_record_kind {
	WAL_VOTE = 1,
	WAL_ENTRY = 2,
	WAL_TRUNCATE = 3,
	WAL_SNAPSHOT = 4,
	WAL_COMPACTED = 5, ///< A snapshot covers all entries up to an index.
};

struct wal_vote {
	uint64_t term;
	uint64_t vote;
};

struct wal_entry_head {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	uint32_t reserved; ///< Always 0.
};

struct wal_snapshot_head {
	uint64_t index;
	uint64_t term;
	uint32_t config_bytes;
	uint32_t data_bytes;
};

/// A decoded record; its payload points into the decoded bytes.
struct wal_record {
	uint64_t sequence;
	/// Sequence of the first record not synced when this one was written.
	uint64_t first_unsynced;
	uint32_t kind;
	const char *payload;
	uint32_t payload_bytes;
	size_t total_bytes;
};

/// Appends a record whose payload is `head` followed by `body`.
///
/// @param first_unsynced  sequence of the first record that is not synced yet
void wal_record_encode(msgpack_sbuffer *out, uint64_t sequence,
    uint64_t first_unsynced, uint32_t kind, const void *head,
    uint32_t head_bytes, const char *body, size_t body_bytes);

/// Decodes the record at the start of a buffer.
///
/// @return 0, or -1 if there is no complete and valid record
int wal_record_decode(
    const char *bytes, size_t size_bytes, struct wal_record *record);

/// Formats the file name of a segment.
void wal_segment_name(uint64_t number, char out[WAL_NAME_BYTES]);

/// Appends to the list of segments; the file need not exist.
void wal_add_segment(struct wal *wal, uint64_t number);

/// Loads all files of the disk into a newly initialized log.
///
/// @return 0, or -1 with err set if stored state is damaged
int wal_load_files(
    struct wal *wal, struct replica_stored_state *stored, struct error *err);

#endif
