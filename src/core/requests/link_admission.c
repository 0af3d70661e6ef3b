// Admission by bytes.
#include "core/requests/link_admission.h"

/// An answer that will be late gets what those in time leave. It is accepted if all
/// that is there is carried in this part of the time until its deadline: more
/// answers in time will come.
#define LATE_PERMILLE 600
#define PERMILLE      1000

bool
link_admission_accepts(struct link_schedule *s, const struct link_request *q,
    int64_t now_us, int64_t *wait_us)
{
	struct link_flow flow = {.worth = q->worth,
	    .begun = q->begun,
	    .target_deadline_us = q->target_deadline_us,
	    .deadline_us = q->deadline_us,
	    .receiver_end_us = q->receiver_end_us,
	    .left_bytes = q->answer_bytes};
	int64_t left_us;
	int64_t way_us;

	*wait_us = 0;
	if (q->answer_bytes <= LINK_SHORT_BYTES || s->bytes_per_us <= 0)
		return true;
	if (s->queued_bytes + s->expected_bytes + q->answer_bytes >
	    LINK_MAX_QUEUED_BYTES) {
		*wait_us = link_schedule_transfer_us(s, q->answer_bytes);
		return false;
	}
	way_us = link_schedule_ahead_us(s, &flow, now_us);
	if (way_us < q->service_us)
		way_us = q->service_us;
	way_us += link_schedule_transfer_us(s, q->answer_bytes);
	if (!q->begun && now_us + way_us <= q->target_deadline_us &&
	    now_us + way_us <= q->deadline_us)
		return true;
	way_us = link_schedule_all_us(s, now_us);
	if (way_us < q->service_us)
		way_us = q->service_us;
	way_us += link_schedule_transfer_us(s, q->answer_bytes);
	left_us = (q->deadline_us - now_us) * LATE_PERMILLE / PERMILLE;
	*wait_us = way_us - left_us;
	return way_us <= left_us;
}
