// Creates, finds and frees the requests of the egress.
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/held.h"
#include "proxy/egress/egress_request.h"

#define PERMILLE 1000

/// A request has to be answered this long before the process of its sink ends.
#define ANSWER_MARGIN_US (500 * US_PER_MS)

/// Sets the workspace whose share of the slots the request uses.
static void
set_workspace(struct egress_request *r)
{
	const struct bytes *name = &r->message->workspace;
	const struct rules *rules = r->egress->rules;
	int at;

	if (name->size_bytes == 0)
		return;
	r->item.workspace = rule_file_hash(name->data, name->size_bytes);
	at = rules_find_workspace(rules, name->data, name->size_bytes);
	r->item.weight =
	    fair_queue_weight(at < 0 ? 0 : rules->workspaces[at].rate_milli,
		rules->rate_mean_milli);
}

void
egress_request_apply_end(struct egress_request *r)
{
	int64_t end_us = r->sink->end_us;

	if (end_us == 0)
		return;
	r->answer.receiver_end_us = end_us;
	if (r->item.deadline_us > end_us - ANSWER_MARGIN_US)
		r->item.deadline_us = end_us - ANSWER_MARGIN_US;
}

struct egress_request *
egress_request_create(struct egress *egress, struct egress_sink *sink,
    const struct message_request *message)
{
	struct egress_request *r = calloc(1, sizeof(*r));
	struct message_request head = *message;
	char rank[RULES_NAME_BYTES] = "";

	assert(r != NULL);
	r->egress = egress;
	r->sink = sink;
	// The start of a long body is kept once. The hash of a request that runs
	// at most once takes it from the message.
	if (message->more && !message->once)
		head.body.size_bytes = 0;
	r->message = message_request_copy(&head);
	r->next = egress->first;
	if (r->next != NULL)
		r->next->prev = r;
	egress->first = r;
	bytes_copy(message->rank, rank, sizeof(rank));
	if (egress->dialect->headers.attempt != NULL)
		header_list_find(&r->message->headers,
		    egress->dialect->headers.attempt, &r->caller_id);
	r->item.rank = admission_find_rank(&egress->admission, rank);
	r->item.size_bytes = message->body.size_bytes;
	r->item.begun = message->begun != 0;
	set_workspace(r);
	r->item.service_us = egress_get_service_us(egress) *
	    (int64_t)message->service_permille / PERMILLE;
	r->deadline_us = r->item.deadline_us =
	    loop_now_us(egress->loop) + message->deadline_left_us;
	egress_request_apply_end(r);
	r->item.target_deadline_us =
	    loop_now_us(egress->loop) + message->target_left_us;
	if (message->more) {
		r->upload = malloc(message->body.size_bytes);
		assert(r->upload != NULL);
		memcpy(r->upload, message->body.data, message->body.size_bytes);
		r->upload_bytes = message->body.size_bytes;
		held_update(
		    HELD_UPLOAD, &r->upload_held_bytes, r->upload_bytes);
	}
	egress_memory_add(r);
	return r;
}

void
egress_request_free(struct egress_request *r)
{
	struct egress *egress = r->egress;

	if (r->prev != NULL)
		r->prev->next = r->next;
	else
		egress->first = r->next;
	if (r->next != NULL)
		r->next->prev = r->prev;
	if (r->state == REQUEST_COLLECTING)
		egress_collect_end(r);
	egress_link_end_expected(r);
	memory_account_remove(&r->holder);
	header_list_free(&r->response_headers);
	header_list_free(&r->connection_options);
	free(r->headers);
	free(r->url);
	free(r->message);
	free(r->upload);
	free(r->body);
	held_update(HELD_UPLOAD, &r->upload_held_bytes, 0);
	held_update(HELD_SERVER_ANSWER, &r->body_held_bytes, 0);
	free(r);
}

struct egress_request *
egress_find_request(
    struct egress *egress, const struct egress_sink *sink, uint64_t id)
{
	struct egress_request *r;

	for (r = egress->first; r != NULL; r = r->next)
		if (r->sink == sink && r->message->id == id)
			return r;
	return NULL;
}

const struct message_request *
egress_find_running(
    const struct egress *egress, const char *request_id, size_t id_bytes)
{
	const struct egress_request *r;

	for (r = egress->first; r != NULL; r = r->next)
		if (r->state == REQUEST_RUNNING &&
		    r->caller_id.size_bytes == id_bytes &&
		    memcmp(r->caller_id.data, request_id, id_bytes) == 0)
			return r->message;
	return NULL;
}
