// Counters of bytes sent, by kind of message and distance.
#include <assert.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "io/log/counters.h"
#include "io/net/volume.h"

#define MAX_TYPES      64
#define DISTANCE_NAMES (DISTANCE_COUNT + 1)
#define LABELS_BYTES   64

/// Slots of the table of VMs; beyond them a VM counts as unknown.
#define MAX_VMS 2048

static const char *const distance_names[DISTANCE_NAMES] = {
    [DISTANCE_DC] = "dc",
    [DISTANCE_REGION] = "region",
    [DISTANCE_FAR] = "far",
    [DISTANCE_COUNT] = "unknown",
};

static struct counter counters[MAX_TYPES][DISTANCE_NAMES];

/// Hash table by IPv4 address. An entry is the address shifted by 8 bits and the
/// distance plus 1; 0 is a free slot. Entries are only added and changed.
static _Atomic uint64_t vms[MAX_VMS];

/// Registers a counter for each kind of message and distance.
__attribute__((constructor)) static void
volume_register(void)
{
	int type;
	int d;

	for (type = 0; type < MAX_TYPES; type++) {
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

/// Finds the slot of a VM, or a free one for it; NULL if the table is full.
static _Atomic uint64_t *
find_slot(const struct address *vm)
{
	uint32_t key = vm->in.sin_addr.s_addr;
	uint32_t i;

	for (i = 0; i < MAX_VMS; i++) {
		_Atomic uint64_t *slot =
		    &vms[(XXH3_64bits(&key, sizeof(key)) + i) % MAX_VMS];
		uint64_t entry = atomic_load(slot);

		if (entry == 0 || entry >> 8 == key)
			return slot;
	}
	return NULL;
}

void
volume_set_distance(const struct address *vm, enum distance distance)
{
	_Atomic uint64_t *slot = find_slot(vm);

	if (slot != NULL)
		atomic_store(slot,
		    (uint64_t)vm->in.sin_addr.s_addr << 8 |
			((uint64_t)distance + 1));
}

void
volume_count(
    enum message_type type, const struct address *to, size_t size_bytes)
{
	const _Atomic uint64_t *slot = find_slot(to);
	uint64_t entry = slot == NULL ? 0 : atomic_load(slot);
	uint32_t distance =
	    entry == 0 ? DISTANCE_COUNT : (uint32_t)(entry & 0xff) - 1;

	if ((uint32_t)type < MAX_TYPES && distance < DISTANCE_NAMES)
		counter_add(&counters[type][distance], (int64_t)size_bytes);
}
