// Conversion of roll-outs and their counts to messages and back.
#include <string.h>

#include "io/rollout_message.h"

void
rollout_message_fill(const struct rollout_table *table, uint64_t revision,
    struct message_rollout *items, uint32_t max, struct list *out)
{
	struct rollout records[ROLLOUT_MAX_RECORDS];
	uint32_t i;

	out->items = items;
	out->count = rollout_table_since(table, revision, records,
	    max < ROLLOUT_MAX_RECORDS ? max : ROLLOUT_MAX_RECORDS);
	for (i = 0; i < out->count; i++) {
		const struct rollout *r = rollout_table_find(
		    table, records[i].service, records[i].version);

		items[i].service = bytes_from_string(r->service);
		items[i].version = bytes_from_string(r->version);
		items[i].state = r->state;
		items[i].share_permille = r->share_permille;
		items[i].order = r->order;
		items[i].revision = r->revision;
	}
}

static int
read_record(
    const struct message_rollout *m, struct rollout *out, struct error *err)
{
	memset(out, 0, sizeof(*out));
	if (bytes_copy(m->service, out->service, sizeof(out->service)) != 0 ||
	    bytes_copy(m->version, out->version, sizeof(out->version)) != 0 ||
	    out->service[0] == '\0' || out->version[0] == '\0' ||
	    m->state > ROLLOUT_ROLLED_BACK ||
	    m->share_permille > ROLLOUT_PERMILLE || m->order > m->revision)
		return error_set(err, ERR_INVALID, "decode roll-out", "",
		    "a name, state or share is out of range");
	out->state = (enum rollout_state)m->state;
	out->share_permille = m->share_permille;
	out->order = m->order;
	out->revision = m->revision;
	return 0;
}

bool
rollout_message_merge(
    struct rollout_table *table, const struct list *records, struct error *err)
{
	const struct message_rollout *items = records->items;
	bool changed = false;
	struct rollout r;
	uint32_t i;

	err->code = ERR_NONE;
	for (i = 0; i < records->count; i++)
		if (read_record(&items[i], &r, err) == 0)
			changed |= rollout_table_merge(table, &r);
	return changed;
}

void
rollout_message_pack_counts(msgpack_sbuffer *out,
    const struct message_rollout_counts *head,
    const struct rollout_counts *counts)
{
	struct message_rollout_bucket buckets[ROLLOUT_MAX_ROUTES]
					     [ROLLOUT_RUN_BUCKETS];
	struct message_rollout_route routes[ROLLOUT_MAX_ROUTES];
	struct message_rollout_counts m = *head;
	uint32_t i;
	uint32_t k;

	memset(routes, 0, sizeof(routes));
	for (i = 0; i < counts->count; i++) {
		const struct rollout_route_counts *c = &counts->routes[i];

		routes[i].route = c->route;
		routes[i].answers = c->answers;
		routes[i].failures = c->failures;
		routes[i].runs.items = buckets[i];
		for (k = 0; k < ROLLOUT_RUN_BUCKETS; k++)
			if (c->runs[k] > 0) {
				struct message_rollout_bucket *b =
				    &buckets[i][routes[i].runs.count++];

				b->bucket = k;
				b->count = c->runs[k];
			}
	}
	m.routes.items = routes;
	m.routes.count = counts->count;
	message_pack(out, MESSAGE_ROLLOUT_COUNTS, &m);
	while (out->size > DATAGRAM_MAX_BYTES && m.routes.count > 0) {
		m.routes.count--;
		msgpack_sbuffer_clear(out);
		message_pack(out, MESSAGE_ROLLOUT_COUNTS, &m);
	}
}

int
rollout_message_read_counts(const struct message_rollout_counts *m,
    struct rollout_counts *out, struct error *err)
{
	const struct message_rollout_route *routes = m->routes.items;
	uint32_t i;
	uint32_t k;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < m->routes.count; i++) {
		const struct message_rollout_bucket *b = routes[i].runs.items;
		struct rollout_route_counts *c =
		    rollout_counts_get(out, routes[i].route);

		if (c == NULL || routes[i].failures > routes[i].answers)
			return error_set(err, ERR_INVALID, "decode counts", "",
			    "too many routes, or more failures than answers");
		c->answers = routes[i].answers;
		c->failures = routes[i].failures;
		for (k = 0; k < routes[i].runs.count; k++) {
			if (b[k].bucket >= ROLLOUT_RUN_BUCKETS)
				return error_set(err, ERR_INVALID,
				    "decode counts", "",
				    "a run time is out of range");
			c->runs[b[k].bucket] = b[k].count;
		}
	}
	return 0;
}
