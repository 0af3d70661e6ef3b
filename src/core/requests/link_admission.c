// Admission by bytes.
#include "core/requests/link_admission.h"

/// An answer that will be late gets what those in time leave. It is accepted if all
/// that is there is carried in this part of the time until its deadline: more
/// answers in time will come.
#define LATE_PERMILLE 600
#define PERMILLE      1000

/// Part of the time of a planned stop in which all that is accepted has to leave. The
/// rest is for answers that are longer than usual.
#define STOP_PERMILLE 800

static int64_t
later_us(int64_t a_us, int64_t b_us)
{
	return a_us > b_us ? a_us : b_us;
}

/// Whether all that is there, with a further answer, leaves in the time of a stop that
/// begins now. What alone takes longer cannot, and does not count.
static bool
fits_stop(struct link_schedule *s, const struct link_request *q, int64_t now_us,
    int64_t *wait_us)
{
	int64_t stop_us = s->stop_time_us * STOP_PERMILLE / PERMILLE;
	int64_t all_us =
	    later_us(link_schedule_all_us(s, stop_us, now_us), q->service_us) +
	    link_schedule_transfer_us(s, q->answer_bytes);

	if (stop_us == 0 || all_us <= stop_us)
		return true;
	*wait_us = all_us - stop_us;
	return false;
}

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
	int64_t transfer_us = link_schedule_transfer_us(s, q->answer_bytes);
	bool idle = s->queued_bytes == 0 && s->expected_bytes == 0;
	// An idle link takes one by the deadline, whatever the server is expected to
	// need, since only its answers correct that, and however long it is: else it
	// would never be served.
	int64_t service_us = idle ? 0 : q->service_us;
	int64_t all_us;
	int64_t left_us;
	int64_t way_us;

	*wait_us = 0;
	if (q->answer_bytes <= LINK_SHORT_BYTES || s->bytes_per_us <= 0)
		return true;
	if (!idle &&
	    s->queued_bytes + s->expected_bytes + q->answer_bytes >
		LINK_MAX_QUEUED_BYTES) {
		*wait_us = transfer_us;
		return false;
	}
	if (!idle && !fits_stop(s, q, now_us, wait_us))
		return false;
	all_us = later_us(link_schedule_all_us(s, 0, now_us), service_us) +
	    transfer_us;
	if (q->receiver_end_us != 0 &&
	    !link_schedule_keeps_cuts(s, &flow, now_us)) {
		*wait_us = transfer_us;
		return false;
	}
	way_us =
	    later_us(link_schedule_ahead_us(s, &flow, now_us), service_us) +
	    transfer_us;
	if (!q->begun && now_us + way_us <= q->target_deadline_us &&
	    now_us + way_us <= q->deadline_us)
		return true;
	left_us = (q->deadline_us - now_us) * LATE_PERMILLE / PERMILLE;
	*wait_us = all_us - left_us;
	return all_us <= left_us;
}
