// Slots of the backend server: queued requests, claims of keys, calls.
#include <inttypes.h>

#include "core/requests/outcome.h"
#include "io/clock.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "proxy/egress/egress_request.h"

COUNTER_DEFINE(count_queued, "egress_requests_queued", "Waited for a slot");
COUNTER_DEFINE(count_replayed, "egress_requests_replayed", "Answered again");

static const char key_in_use_text[] =
    "key is in use and its outcome is not known";

/// Sends the recorded response of the key again.
static void
replay_answer(struct egress_request *r, const struct message_response *answer)
{
	struct message_response replay = *answer;

	replay.id = r->message->id;
	replay.outcome = OUTCOME_ANSWERED;
	egress_fill_load(r->egress, &replay);
	counter_add(&count_replayed, 1);
	log_write(LOG_INFO, "once",
	    "Replayed the recorded response to request %" PRIx64 ".",
	    r->message->id);
	if (r->sink != NULL)
		r->sink->ops->respond(r->sink, replay.id, &replay);
}

/// Releases the slot and waits for the result of another attempt.
static void
await_result(struct egress_request *r)
{
	if (r->item.running)
		admission_finish(&r->egress->admission, &r->item,
		    loop_now_us(r->egress->loop));
	r->state = REQUEST_AWAITING_RESULT;
}

/// Handles the verdict of the ledger on the key of a request.
static void
on_claim_verdict(
    void *arg, enum once_verdict verdict, const struct message_response *answer)
{
	struct egress_request *r = arg;
	struct egress *egress = r->egress;

	r->key_was_free = verdict == ONCE_GRANTED || verdict == ONCE_FREE;
	if (verdict == ONCE_GRANTED) {
		// While it waited for another attempt it gave up its slot; the
		// key became free meanwhile.
		if (!r->item.running) {
			egress_end_not_run(
			    r, 503, 0, "the key's first attempt did not run");
			egress_run_queued(egress);
		} else if (egress->backend.address[0] == '\0')
			egress_end_not_run(r, 503, 0, "no backend server");
		else
			egress_start_call(r);
		return;
	}
	if (verdict == ONCE_IN_PROGRESS) {
		await_result(r);
		egress_run_queued(egress);
		return;
	}
	r->claim = NULL;
	if (verdict == ONCE_UNAVAILABLE)
		egress_end_not_run(
		    r, 503, US_PER_S, "ledger cannot be reached");
	else if (verdict == ONCE_FREE)
		egress_end_not_run(
		    r, 503, 0, "the key's first attempt did not run");
	else if (verdict == ONCE_MISMATCH)
		egress_end_not_run(
		    r, 422, 0, "key was used with another request");
	else {
		await_result(r);
		if (verdict == ONCE_DONE)
			replay_answer(r, answer);
		else
			egress_send_unknown(r, 409, key_in_use_text);
		egress_request_free(r);
	}
	egress_run_queued(egress);
}

/// Starts a request that got a slot. One that runs at most once claims its key
/// first.
static void
start_request(struct egress_request *r)
{
	const struct message_request *m = r->message;
	struct egress *egress = r->egress;

	if (!m->once || m->key.size_bytes == 0) {
		egress_start_call(r);
		return;
	}
	r->state = REQUEST_CLAIMING;
	egress_memory_update(r);
	if (egress->once == NULL) {
		egress_end_not_run(r, 503, US_PER_S, "no ledger is set");
		return;
	}
	r->claim = once_client_claim(
	    egress->once, m, r->item.deadline_us, on_claim_verdict, r);
}

void
egress_run_queued(struct egress *egress)
{
	int64_t now_us = loop_now_us(egress->loop);
	enum admission_verdict verdict;
	struct admission_item *item;

	while ((item = admission_next(&egress->admission, now_us, &verdict)) !=
	    NULL) {
		struct egress_request *r = (struct egress_request *)item;

		if (verdict == ADMISSION_RUN)
			start_request(r);
		else
			egress_end_not_run(r, 503,
			    admission_wait_us(
				&egress->admission, item->rank, now_us),
			    "it cannot meet its deadline any more");
	}
	if (egress->admission.queued > 0 &&
	    admission_limit_wait_us(&egress->admission, now_us) > 0)
		loop_timer_set(egress->loop, &egress->start_timer,
		    now_us +
			admission_limit_wait_us(&egress->admission, now_us));
}

void
egress_admit(struct egress_request *r)
{
	struct egress *egress = r->egress;
	int64_t retry_us;

	r->state = REQUEST_QUEUED;
	if (!r->answer_expected && !egress_link_accepts(r, &retry_us)) {
		egress_end_link_full(r, retry_us);
		return;
	}
	switch (admission_offer(&egress->admission, &r->item,
	    loop_now_us(egress->loop), &retry_us)) {
	case ADMISSION_RUN:
		start_request(r);
		break;
	case ADMISSION_QUEUED:
		counter_add(&count_queued, 1);
		break;
	case ADMISSION_REFUSED:
		egress_end_not_run(
		    r, 503, retry_us, "too much work of this rank");
		break;
	}
}

void
egress_stop_awaiting_result(struct egress_request *r)
{
	once_claim_release(r->claim);
	r->claim = NULL;
	egress_send_unknown(r, 409, key_in_use_text);
	egress_request_free(r);
}
