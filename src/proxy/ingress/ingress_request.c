// State of requests at the ingress, and what is known of their routes.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/rules/rules.h"
#include "io/dialect.h"
#include "proxy/ingress/ingress_request.h"

/// Requests over which the length of a route's requests is learned.
#define LENGTH_SAMPLES	32
#define LENGTH_PERMILLE 1000

struct ingress_request *
ingress_request_create(
    struct ingress_door *door, struct http_exchange *exchange)
{
	struct ingress_request *r = calloc(1, sizeof(*r));

	assert(r != NULL);
	r->ingress = door->ingress;
	r->exchange = exchange;
	r->all_next = door->ingress->all;
	if (r->all_next != NULL)
		r->all_next->all_prev = r;
	door->ingress->all = r;
	exchange->state = r;
	return r;
}

void
ingress_request_free(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;

	assert(r->state == ATTEMPT_NONE);
	if (r->all_prev != NULL)
		r->all_prev->all_next = r->all_next;
	else
		ingress->all = r->all_next;
	if (r->all_next != NULL)
		r->all_next->all_prev = r->all_prev;
	loop_timer_clear(ingress->loop, &r->timer);
	if (r->exchange != NULL)
		r->exchange->state = NULL;
	header_list_free(&r->headers);
	rules_unref(r->rules);
	free(r);
}

const char *
ingress_find_header(const struct ingress_request *r, const char *name)
{
	return name == NULL ? NULL : http_exchange_header(r->exchange, name);
}

enum outcome
ingress_not_run_outcome(const struct ingress_request *r)
{
	bool has_key = r->key[0] != '\0' ||
	    (r->exchange != NULL &&
		ingress_find_header(r, r->ingress->dialect->headers.key) !=
		    NULL);

	return has_key ? OUTCOME_REFUSED : OUTCOME_NOT_RUN;
}

struct route_length *
ingress_length_of(struct ingress_request *r)
{
	const char *name =
	    r->route->name[0] != '\0' ? r->route->name : r->route->path;
	uint64_t key = rule_file_hash(name, strlen(name));
	struct route_length *length =
	    &r->ingress->lengths[key % INGRESS_LENGTHS];

	if (length->key != key) {
		length->key = key;
		length->permille = 0;
		length->times = NULL;
	}
	return length;
}

void
ingress_note_length(struct ingress_request *r, const struct message_response *m)
{
	struct route_length *length = ingress_length_of(r);
	double sample = (double)m->run_us * LENGTH_PERMILLE / m->service_us;

	if (length->permille <= 0)
		length->permille = sample;
	else
		length->permille +=
		    (sample - length->permille) / LENGTH_SAMPLES;
}
