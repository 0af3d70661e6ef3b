/// @file
/// Durable state of a replica: segments of checksummed records, a snapshot,
/// and the identity of the replica.
///
/// A record consists of: magic u32, payload size u32, sequence u64, sequence of
/// the first record that was not synced when it was written u64, kind u32,
/// checksum u64 (XXH3 of the other fields and the payload), payload;
/// little-endian. A crash may leave torn writes after the last sync, in the
/// last segment only: loading truncates such a tail. Damage anywhere else
/// fails the load and stops the program.
#ifndef MV_IO_DISK_WAL_H
#define MV_IO_DISK_WAL_H

#include <msgpack/sbuffer.h>
#include <stdbool.h>

#include "core/replica/replica.h"
#include "io/disk/disk.h"

#define WAL_SEGMENT_BYTES (16u * 1024 * 1024)

/// Identity of this replica, written once.
struct wal_identity {
	uint64_t cluster;
	uint64_t replica;
};

struct wal_segment {
	uint64_t number;
	uint64_t last_index; ///< Highest index ever written to it; 0: none.
};

/// Storage of a replica on a disk.
struct wal {
	struct replica_storage storage;
	struct disk *disk;
	struct wal_segment *segments; ///< Oldest first; the last is open.
	uint32_t segment_count;
	uint32_t segment_capacity;
	uint64_t next_sequence;	 ///< Of the next record.
	uint64_t first_unsynced; ///< Sequence of the first record not synced.
	uint64_t term;
	uint64_t vote;
	size_t segment_bytes; ///< Size of the last segment.
	size_t max_segment_bytes;
	msgpack_sbuffer buffer;	  ///< Records not yet written.
	uint64_t truncated_bytes; ///< Torn bytes that wal_load truncated.
};

/// Reads the identity; both ids are 0 if there is none.
///
/// @return 0, or -1 with err set
int wal_read_identity(
    struct disk *disk, struct wal_identity *identity, struct error *err);

int wal_write_identity(
    struct disk *disk, const struct wal_identity *identity, struct error *err);

/// Loads the snapshot, the vote and the entries.
///
/// @param stored  receives the state to pass to replica_init
/// @return 0, or -1 with err set if stored state is damaged
int wal_load(struct wal *wal, struct disk *disk,
    struct replica_stored_state *stored, struct error *err);

void wal_free(struct wal *wal);

#endif
