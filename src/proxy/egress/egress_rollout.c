// Counts of what the backend server answers while a roll-out of its service runs.
#include <string.h>

#include "io/clock.h"
#include "proxy/egress/egress_request.h"

/// Time between counts that are sent.
#define COUNTS_PERIOD_US (250 * US_PER_MS)

/// The same if nothing changed: a new leader has to learn them.
#define REPEAT_PERIOD_US (1 * US_PER_S)

void
egress_follow_rollouts(struct egress *egress)
{
	struct egress_watch *w = &egress->watch;
	const struct egress_backend *b = &egress->backend;
	const struct rollout *running =
	    rollout_table_find_running(&egress->rollouts, b->service);
	uint64_t order = running == NULL ? 0 : running->order;

	rollout_table_get_filter(
	    &egress->rollouts, b->service, &egress->rollout_filter);
	if (w->sent.order == order && w->sent.process_start == b->process_start)
		return;
	memset(w, 0, sizeof(*w));
	w->sent.order = order;
	w->sent.process_start = b->process_start;
}

void
egress_set_rollouts(struct egress *egress, const struct rollout_table *rollouts)
{
	bool was_rolled_back = egress_is_rolled_back(egress);

	egress->rollouts = *rollouts;
	egress_follow_rollouts(egress);
	if (egress_is_rolled_back(egress) && !was_rolled_back)
		egress_refuse_waiting(egress, "its version was rolled back");
}

bool
egress_is_rolled_back(const struct egress *egress)
{
	return rollout_filter_side(&egress->rollout_filter,
		   egress->backend.version) == ROLLOUT_SIDE_BARRED;
}

/// Tells whether the server itself failed a call. A call that was cancelled, or
/// that its deadline ended, is no failure; if it took too long, its time
/// so far shows it.
static bool
is_failure(const struct egress_request *r, const struct error *err)
{
	if (err == NULL)
		return r->status >= 500;
	return err->code != ERR_TIMEOUT && !r->abort_marked;
}

void
egress_count_answer(struct egress_request *r, const struct error *err)
{
	struct egress *egress = r->egress;
	struct egress_watch *w = &egress->watch;
	int64_t now_us = loop_now_us(egress->loop);
	int64_t run_us = now_us - r->item.start_us;

	if (w->sent.order == 0 || r->shed ||
	    (err != NULL && !httpc_call_was_sent(&r->call)))
		return;
	if (egress->backend.slow_start_deadline_us > now_us ||
	    egress->backend.state == BACKEND_COLD)
		run_us = 0;
	rollout_counts_add(
	    &w->sent.counts, r->message->route, is_failure(r, err), run_us);
	w->changed = true;
}

bool
egress_take_counts(struct egress *egress, struct egress_counts *out)
{
	struct egress_watch *w = &egress->watch;
	int64_t now_us = loop_now_us(egress->loop);
	uint32_t running = egress->admission.running + egress->admission.queued;
	int64_t period_us = w->changed || w->sent.running != running
	    ? COUNTS_PERIOD_US
	    : REPEAT_PERIOD_US;

	if (w->sent.order == 0 || now_us - w->sent_us < period_us)
		return false;
	w->changed = false;
	w->sent_us = now_us;
	w->sent.running = running;
	*out = w->sent;
	return true;
}
