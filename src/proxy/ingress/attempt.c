// Attempts of the ingress: their ids, and the messages sent for them.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/requests/link_admission.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "proxy/ingress/ingress_request.h"

/// Longer bodies are sent as the egress grants credit, so that they do not fill
/// the link before the egress can take them.
#define INLINE_BODY_MAX_BYTES (8u * 1024)

COUNTER_DEFINE(count_late, "ingress_late_answers", "Answers to no request");

static struct ingress_request **
bucket_of(struct ingress *ingress, uint64_t id)
{
	return &ingress->buckets[id % INGRESS_BUCKETS];
}

struct ingress_request *
ingress_find_attempt(
    struct ingress *ingress, const struct link *link, uint64_t id)
{
	struct ingress_request *r = *bucket_of(ingress, id);

	while (r != NULL && (r->attempt_id != id || r->link != link))
		r = r->next;
	if (r == NULL)
		counter_add(&count_late, 1);
	return r;
}

static void
attempt_register(struct ingress_request *r)
{
	struct ingress_request **bucket;

	r->attempt_id = ++r->ingress->next_id;
	bucket = bucket_of(r->ingress, r->attempt_id);
	r->next = *bucket;
	*bucket = r;
	if (r->link != NULL)
		link_hold(r->link);
}

void
ingress_attempt_end(struct ingress_request *r, bool failed)
{
	struct ingress_request **at = bucket_of(r->ingress, r->attempt_id);

	assert(r->state != ATTEMPT_NONE);
	while (*at != r)
		at = &(*at)->next;
	*at = r->next;
	if (r->link != NULL)
		link_release(r->link);
	if (r->state == ATTEMPT_STREAMING)
		balancer_end_answer(r->balancer, r->endpoint, failed,
		    loop_now_us(r->ingress->loop));
	else
		balancer_finish(r->balancer, r->endpoint, r->sent_us, failed,
		    loop_now_us(r->ingress->loop));
	r->state = ATTEMPT_NONE;
	r->link = NULL;
	r->endpoint = NULL;
}

static struct egress_request *
find_local(struct ingress_request *r)
{
	return egress_find_request(
	    r->ingress->egress, &r->ingress->local_sink, r->attempt_id);
}

void
ingress_send_cancel(struct ingress_request *r, bool queued_only)
{
	struct message_cancel cancel = {r->attempt_id, queued_only};
	struct egress_request *local;

	if (r->state == ATTEMPT_NONE) {
		if (r->exchange == NULL)
			ingress_request_free(r);
		return;
	}
	if (r->link != NULL) {
		link_send(r->link, MESSAGE_CANCEL, &cancel);
		return;
	}
	local = find_local(r);
	if (local != NULL)
		egress_request_cancel(local, queued_only);
}

void
ingress_send_body(struct ingress_request *r, const struct message_body *body)
{
	struct message_body m = *body;
	struct egress_request *local;

	if (r->state == ATTEMPT_NONE)
		return;
	m.id = r->attempt_id;
	if (r->link != NULL) {
		link_send(r->link, MESSAGE_BODY, &m);
		return;
	}
	local = find_local(r);
	if (local != NULL)
		egress_request_receive_body(local, &m);
}

void
ingress_send_window(struct ingress_request *r, uint32_t credit_bytes)
{
	struct message_window m = {r->attempt_id, credit_bytes};
	struct egress_request *local;

	if (r->state != ATTEMPT_STREAMING)
		return;
	if (r->link != NULL) {
		link_send(r->link, MESSAGE_WINDOW, &m);
		return;
	}
	local = find_local(r);
	if (local != NULL)
		egress_request_add_credit(local, credit_bytes);
}

static void
fill_request(struct ingress_request *r, struct message_request *m)
{
	const struct http_exchange *x = r->exchange;
	const char *length;

	memset(m, 0, sizeof(*m));
	m->id = r->attempt_id;
	m->egress_incarnation = r->endpoint->incarnation;
	m->deadline_left_us = r->deadline_us - clock_now_us();
	m->target_left_us = r->target_deadline_us - clock_now_us();
	m->repeatable = r->safe;
	m->begun = r->begun;
	m->repeat = r->parent_repeats || r->arrivals > 0;
	m->service_permille =
	    (uint32_t)ingress_get_route_stats(r)->service_ratio_permille;
	m->route = ingress_get_route_stats(r)->route_hash;
	m->answer_bytes =
	    answer_size_estimate(&ingress_get_route_stats(r)->answer_size);
	// A long answer has to leave the other VM so much earlier.
	if (m->answer_bytes > LINK_SHORT_BYTES)
		m->target_left_us -= r->endpoint->link.round_trip_us;
	if (r->endpoint->terms.limit_milli > 0 || r->endpoint->terms.leaving) {
		m->server = r->endpoint->terms.server;
		m->limit_milli = r->endpoint->terms.limit_milli;
		m->leaving = r->endpoint->terms.leaving;
	}
	m->rank = bytes_from_string(r->rank->name);
	m->service = bytes_from_string(r->balancer->service);
	m->method = bytes_from_string(x->method);
	m->target = bytes_from_string(x->target);
	m->key = bytes_from_string(r->key);
	m->workspace = bytes_from_string(r->workspace);
	m->once = r->route->once;
	m->more = x->more;
	m->total_bytes = -1;
	m->headers = header_list_view(&r->headers);
	r->body_windowed = r->link != NULL && !x->more &&
	    x->body_bytes > INLINE_BODY_MAX_BYTES;
	r->windowed_sent_bytes = 0;
	if (r->body_windowed) {
		m->more = 1;
		m->total_bytes = (int64_t)x->body_bytes;
		return;
	}
	m->body.data = x->body;
	m->body.size_bytes = (uint32_t)x->body_bytes;
	length = http_exchange_get_header(x, "Content-Length");
	if (x->more && length != NULL)
		m->total_bytes = strtoll(length, NULL, 10);
}

static bool
is_own_egress(const struct ingress_request *r)
{
	return r->endpoint->incarnation == r->ingress->settings.incarnation &&
	    strcmp(r->endpoint->name, r->ingress->settings.name) == 0;
}

int
ingress_attempt_send(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;
	struct message_request m;
	struct link_target target = {.port = r->endpoint->peer_port,
	    .incarnation = r->endpoint->incarnation};

	r->link = NULL;
	if (!is_own_egress(r)) {
		memcpy(target.name, r->endpoint->name, sizeof(target.name));
		memcpy(target.host, r->endpoint->host, sizeof(target.host));
		r->link = links_get(ingress->links, &target);
	}
	attempt_register(r);
	r->state = ATTEMPT_SENT;
	r->sent_us = loop_now_us(ingress->loop);
	fill_request(r, &m);
	if (r->link != NULL)
		return link_send(r->link, MESSAGE_REQUEST, &m);
	egress_submit(ingress->egress, &ingress->local_sink, &m);
	return 0;
}

bool
ingress_withdraw_attempt(struct ingress_request *r)
{
	if (r->state != ATTEMPT_SENT || !r->body_windowed ||
	    r->windowed_sent_bytes == r->exchange->body_bytes)
		return false;
	// An egress collects the whole of such a body before it runs the
	// request.
	ingress_send_cancel(r, false);
	ingress_attempt_end(r, false);
	return true;
}
