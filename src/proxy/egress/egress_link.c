// The link of this VM: room for the answers of requests, and their usual sizes.
#include <string.h>

#include "core/requests/link_admission.h"
#include "io/log/counters.h"
#include "io/net/bulk.h"
#include "proxy/egress/egress_request.h"

#define STATUS_OK      200
#define STATUS_OK_PAST 300

COUNTER_DEFINE(count_refused, "egress_refused_link",
    "Refused since the link has no room for the answer");
GAUGE_DEFINE(gauge_expected, "egress_expected_bytes",
    "Usual size of the answers of requests that wait or run");

void
egress_set_link(struct egress *egress, struct bulk_link *link)
{
	egress->link = bulk_link_schedule(link);
}

/// Usual size of the answer of a request: as seen here, else as its ingress says.
static int64_t
expected_bytes(struct egress *egress, const struct message_request *m)
{
	int64_t seen_bytes = m->route == 0
	    ? -1
	    : answer_size_estimate(
		  answer_size_find(&egress->answer_sizes, m->route));

	return seen_bytes >= 0 ? seen_bytes : m->answer_bytes;
}

bool
egress_link_accepts(struct egress_request *r, int64_t *wait_us)
{
	struct egress *egress = r->egress;
	int64_t now_us = loop_now_us(egress->loop);
	struct link_request q = {
	    .worth = egress->admission.ranks[r->item.rank].worth,
	    .begun = r->item.begun,
	    .target_deadline_us = r->item.target_deadline_us,
	    .deadline_us = r->item.deadline_us,
	    .receiver_end_us = r->answer.receiver_end_us,
	};

	*wait_us = 0;
	if (egress->link == NULL || r->sink == NULL || r->sink->local)
		return true;
	q.answer_bytes = expected_bytes(egress, r->message);
	if (q.answer_bytes <= LINK_SHORT_BYTES)
		return true;
	q.service_us = r->item.service_us +
	    admission_wait_us(&egress->admission, r->item.rank, now_us);
	if (!link_admission_accepts(egress->link, &q, now_us, wait_us)) {
		counter_add(&count_refused, 1);
		return false;
	}
	r->answer.worth = q.worth;
	r->answer.begun = q.begun;
	r->answer.target_deadline_us = q.target_deadline_us;
	r->answer.deadline_us = q.deadline_us;
	r->answer.left_bytes = q.answer_bytes;
	r->answer_expected = true;
	link_schedule_expect(egress->link, &r->answer);
	counter_set(&gauge_expected, egress->link->expected_bytes);
	return true;
}

void
egress_link_end_expected(struct egress_request *r)
{
	if (!r->answer_expected)
		return;
	r->answer_expected = false;
	link_schedule_unexpect(r->egress->link, &r->answer);
	counter_set(&gauge_expected, r->egress->link->expected_bytes);
}

void
egress_link_record_answer(struct egress_request *r)
{
	if (r->message->route == 0 || r->status < STATUS_OK ||
	    r->status >= STATUS_OK_PAST || strcmp(r->method, "HEAD") == 0)
		return;
	answer_size_record(
	    answer_size_find(&r->egress->answer_sizes, r->message->route),
	    r->answer_bytes);
}

void
egress_get_terms(const struct egress *egress, const struct egress_request *r,
    struct bulk_terms *terms)
{
	if (r == NULL)
		return;
	terms->worth = egress->admission.ranks[r->item.rank].worth;
	terms->begun = r->item.begun;
	terms->target_deadline_us = r->item.target_deadline_us;
	terms->deadline_us = link_schedule_answer_deadline_us(
	    r->deadline_us, loop_now_us(egress->loop));
	terms->receiver_end_us = r->answer.receiver_end_us;
}
