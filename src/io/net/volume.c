// Counters of bytes sent, by kind of message and distance.
#include <assert.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/net/volume.h"

#define DISTANCE_NAMES (DISTANCE_COUNT + 1)
#define LABELS_BYTES   64
#define BYTE_BITS      8

/// A backlog that a request notices takes at least this long to build up.
#define SAMPLE_INTERVAL_US (200 * US_PER_MS)

/// Kinds with less than one part in this many of the bytes are not logged.
#define LOGGED_PART 20

/// Slots of the table of VMs.
#define MAX_VMS 2048

/// Slots that an address may be in. If others hold all of them, a new address
/// takes the first one, and bytes to the earlier VM count as unknown.
#define PROBED_SLOTS 8

static const char *const distance_names[DISTANCE_NAMES] = {
    [DISTANCE_DC] = "dc",
    [DISTANCE_REGION] = "region",
    [DISTANCE_FAR] = "far",
    [DISTANCE_COUNT] = "unknown",
};

static struct counter counters[VOLUME_MAX_TYPES][DISTANCE_NAMES];

/// Hash table by IPv4 address. An entry is the address shifted by 8 bits and the
/// distance plus 1; 0 is a free slot.
static _Atomic uint64_t vms[MAX_VMS];

/// Registers a counter for each kind of message and distance.
__attribute__((constructor)) static void
volume_register(void)
{
	int type;
	int d;

	for (type = 0; type < VOLUME_MAX_TYPES; type++) {
		const struct codec_schema *schema = message_find_schema(type);

		if (schema == NULL)
			continue;
		for (d = 0; d < DISTANCE_NAMES; d++) {
			struct counter *c = &counters[type][d];
			char *labels = malloc(LABELS_BYTES);

			assert(labels != NULL);
			// Schemas are named after structs: "struct message_X".
			snprintf(labels, LABELS_BYTES,
			    "message=\"%.24s\",distance=\"%s\"",
			    strchr(schema->name, '_') + 1, distance_names[d]);
			c->name = "sent_bytes";
			c->help = "Bytes sent, with the heads of packets";
			c->labels = labels;
			counter_register(c);
		}
	}
}

/// Returns the slot of a VM, or the one that it would take.
static _Atomic uint64_t *
find_slot(const struct address *vm)
{
	uint32_t key = vm->in.sin_addr.s_addr;
	uint64_t first = XXH3_64bits(&key, sizeof(key));
	uint32_t i;

	for (i = 0; i < PROBED_SLOTS; i++) {
		_Atomic uint64_t *slot = &vms[(first + i) % MAX_VMS];
		uint64_t entry = atomic_load(slot);

		if (entry == 0 || entry >> 8 == key)
			return slot;
	}
	return &vms[first % MAX_VMS];
}

void
volume_set_distance(const struct address *vm, enum distance distance)
{
	atomic_store(find_slot(vm),
	    (uint64_t)vm->in.sin_addr.s_addr << 8 | ((uint64_t)distance + 1));
}

void
volume_count(
    enum message_type type, const struct address *to, size_t size_bytes)
{
	uint64_t entry = atomic_load(find_slot(to));
	uint32_t distance = entry != 0 && entry >> 8 == to->in.sin_addr.s_addr
	    ? (uint32_t)(entry & 0xff) - 1
	    : DISTANCE_COUNT;

	if ((uint32_t)type < VOLUME_MAX_TYPES && distance < DISTANCE_NAMES)
		counter_add(&counters[type][distance], (int64_t)size_bytes);
}

/// Bytes sent of a type of message, to all VMs.
static int64_t
count_sent_bytes(int type)
{
	int64_t sum_bytes = 0;
	int d;

	for (d = 0; d < DISTANCE_NAMES; d++)
		sum_bytes += atomic_load(&counters[type][d].value);
	return sum_bytes;
}

static void
log_backlog(const int64_t *sent_bytes, int64_t total_bytes, int64_t elapsed_us,
    int64_t link_us)
{
	struct log_line line;
	int type;

	log_begin(&line, LOG_INFO, "volume",
	    "Sent more than the link of this VM carries.");
	log_ms(&line, "interval_ms", elapsed_us);
	log_ms(&line, "link_ms", link_us);
	log_number(&line, "bytes", total_bytes);
	for (type = 0; type < VOLUME_MAX_TYPES; type++)
		if (sent_bytes[type] > total_bytes / LOGGED_PART)
			log_number(&line,
			    strchr(message_find_schema(type)->name, '_') + 1,
			    sent_bytes[type]);
	log_end(&line);
}

bool
volume_log_backlog(struct volume_sample *sample, int64_t now_us)
{
	int64_t sent_bytes[VOLUME_MAX_TYPES];
	int64_t elapsed_us = now_us - sample->taken_us;
	int64_t total_bytes = 0;
	int64_t link_us;
	int type;

	if (sample->link_mbps <= 0 || elapsed_us < SAMPLE_INTERVAL_US)
		return false;
	for (type = 0; type < VOLUME_MAX_TYPES; type++) {
		int64_t all_bytes = count_sent_bytes(type);

		sent_bytes[type] = all_bytes - sample->sent_bytes[type];
		sample->sent_bytes[type] = all_bytes;
		total_bytes += sent_bytes[type];
	}
	sample->taken_us = now_us;
	// Megabits a second are bits a microsecond.
	link_us =
	    (int64_t)((double)total_bytes * BYTE_BITS / sample->link_mbps);
	if (link_us <= elapsed_us)
		return false;
	log_backlog(sent_bytes, total_bytes, elapsed_us, link_us);
	return true;
}
