/// @file
/// Durable state of a replica: segments of checksummed records, a snapshot,
/// and the identity of the replica.
///
/// A record is: magic u32, payload size u32, sequence u64, sequence of the
/// first record that was not synced when it was written u64, kind u32, checksum
/// u64 (XXH3 of the rest), payload; little-endian. A crash may tear anything
/// that was written to the last segment since the last sync: such an end is
/// cut. Damage anywhere else stops the program.
#ifndef MV_IO_DISK_WAL_H
#define MV_IO_DISK_WAL_H

#include <msgpack/sbuffer.h>
#include <stdbool.h>

#include "core/replica/replica.h"
#include "io/disk/disk.h"

#define WAL_SEGMENT_BYTES (16u * 1024 * 1024)

/// Who this replica is, written once.
struct wal_identity {
	uint64_t cluster;
	uint64_t replica;
};

struct wal_segment {
	uint64_t number;
	uint64_t last_index; ///< Highest entry ever in it; 0 for none.
};

/// Storage of a replica on a disk.
struct wal {
	struct replica_storage storage;
	struct disk *disk;
	struct wal_segment *segments; ///< Oldest first; the last is written.
	uint32_t segment_count;
	uint32_t segment_capacity;
	uint64_t sequence; ///< Of the next record.
	uint64_t synced;   ///< Records before this sequence are synced.
	uint64_t term;
	uint64_t vote;
	size_t segment_bytes; ///< Written to the last segment.
	size_t max_segment_bytes;
	msgpack_sbuffer buffer; ///< Records not yet handed to the disk.
	uint64_t cut_bytes;	///< Torn bytes removed by wal_load.
};

/// Reads the identity; both numbers are 0 if there is none.
int wal_read_identity(
    struct disk *disk, struct wal_identity *identity, struct error *err);

int wal_write_identity(
    struct disk *disk, const struct wal_identity *identity, struct error *err);

/// Loads everything.
///
/// @param stored  receives what replica_init wants
/// @return 0, or -1 with err set if stored state is damaged
int wal_load(struct wal *wal, struct disk *disk,
    struct replica_stored_state *stored, struct error *err);

void wal_free(struct wal *wal);

#endif
