// Write-ahead log: record encoding and segment names.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "io/disk/wal_record.h"

/// Fixed-size fields of a record, without the checksum.
struct record_header {
	uint32_t magic;
	uint32_t payload_bytes;
	uint64_t sequence;
	uint64_t first_unsynced;
	uint32_t kind;
};

static uint64_t
checksum(const struct record_header *h, const char *payload)
{
	struct {
		uint64_t sequence;
		uint64_t first_unsynced;
		uint32_t kind;
		uint32_t payload_bytes;
	} covered = {h->sequence, h->first_unsynced, h->kind, h->payload_bytes};
	uint64_t seed = XXH3_64bits(&covered, sizeof(covered));

	return XXH3_64bits_withSeed(payload, h->payload_bytes, seed);
}

void
wal_record_encode(msgpack_sbuffer *out, uint64_t sequence,
    uint64_t first_unsynced, uint32_t kind, const void *head,
    uint32_t head_bytes, const char *body, size_t body_bytes)
{
	struct record_header h = {WAL_MAGIC,
	    (uint32_t)(head_bytes + body_bytes), sequence, first_unsynced,
	    kind};
	size_t start = out->size;
	char fixed[WAL_HEADER_BYTES];
	uint64_t sum;

	memset(fixed, 0, sizeof(fixed));
	msgpack_sbuffer_write(out, fixed, sizeof(fixed));
	msgpack_sbuffer_write(out, head, head_bytes);
	if (body_bytes > 0)
		msgpack_sbuffer_write(out, body, body_bytes);
	sum = checksum(&h, out->data + start + WAL_HEADER_BYTES);
	memcpy(fixed, &h.magic, 4);
	memcpy(fixed + 4, &h.payload_bytes, 4);
	memcpy(fixed + 8, &h.sequence, 8);
	memcpy(fixed + 16, &h.first_unsynced, 8);
	memcpy(fixed + 24, &h.kind, 4);
	memcpy(fixed + 28, &sum, 8);
	memcpy(out->data + start, fixed, sizeof(fixed));
}

int
wal_record_decode(
    const char *bytes, size_t size_bytes, struct wal_record *record)
{
	struct record_header h;
	uint64_t sum;

	if (size_bytes < WAL_HEADER_BYTES)
		return -1;
	memcpy(&h.magic, bytes, 4);
	memcpy(&h.payload_bytes, bytes + 4, 4);
	memcpy(&h.sequence, bytes + 8, 8);
	memcpy(&h.first_unsynced, bytes + 16, 8);
	memcpy(&h.kind, bytes + 24, 4);
	memcpy(&sum, bytes + 28, 8);
	if (h.magic != WAL_MAGIC || h.payload_bytes > WAL_MAX_PAYLOAD_BYTES ||
	    h.payload_bytes > size_bytes - WAL_HEADER_BYTES)
		return -1;
	if (checksum(&h, bytes + WAL_HEADER_BYTES) != sum)
		return -1;
	record->sequence = h.sequence;
	record->first_unsynced = h.first_unsynced;
	record->kind = h.kind;
	record->payload = bytes + WAL_HEADER_BYTES;
	record->payload_bytes = h.payload_bytes;
	record->total_bytes = WAL_HEADER_BYTES + h.payload_bytes;
	return 0;
}

void
wal_segment_name(uint64_t number, char out[WAL_NAME_BYTES])
{
	snprintf(out, WAL_NAME_BYTES, "log-%010" PRIu64, number);
}

void
wal_add_segment(struct wal *wal, uint64_t number)
{
	if (wal->segment_count == wal->segment_capacity) {
		wal->segment_capacity =
		    wal->segment_capacity ? wal->segment_capacity * 2 : 8;
		wal->segments = realloc(wal->segments,
		    wal->segment_capacity * sizeof(*wal->segments));
		assert(wal->segments != NULL);
	}
	wal->segments[wal->segment_count].number = number;
	wal->segments[wal->segment_count++].last_index = 0;
}
