// Roll-outs as a proxy knows them, and the counts of its backend server.
#include "proxy/control/rollouts.h"
#include "io/log/counters.h"
#include "io/log/log.h"
#include "io/rollout_message.h"

COUNTER_DEFINE(
    count_sent, "rollout_counts_sent", "Counts sent to the leading source");

static void
log_changes(const struct control *control, uint64_t known, const char *from)
{
	struct rollout changed[ROLLOUT_MAX_RECORDS];
	struct log_line line;
	uint32_t count = rollout_table_since(
	    &control->rollouts, known, changed, ROLLOUT_MAX_RECORDS);
	uint32_t i;

	for (i = 0; i < count; i++) {
		log_begin(&line, LOG_INFO, "rollout", "Learned of a roll-out.");
		log_text(&line, "service", changed[i].service);
		log_text(&line, "version", changed[i].version);
		log_text(&line, "state", rollout_state_name(changed[i].state));
		log_number(&line, "share_permille", changed[i].share_permille);
		log_number(&line, "revision", (int64_t)changed[i].revision);
		log_text(&line, "from", from);
		log_end(&line);
	}
}

bool
rollouts_merge(
    struct control *control, const struct list *records, const char *from)
{
	uint64_t known = rollout_table_revision(&control->rollouts);
	struct error err;
	bool changed = rollout_message_merge(&control->rollouts, records, &err);

	if (err.code != ERR_NONE)
		log_error(LOG_WARN, "rollout", "Dropped a roll-out", &err);
	if (!changed)
		return false;
	log_changes(control, known, from);
	control_publish_view(control);
	return true;
}

bool
rollouts_concern_backend(const struct control *control)
{
	return rollout_table_find_running(
		   &control->rollouts, control->backend.latest.service) != NULL;
}

void
rollouts_note_stopped(void *arg, uint64_t order)
{
	struct control *control = arg;

	control->rollout_stopped = order;
	loop_timer_set(
	    control->loop, &control->report_timer, loop_now_us(control->loop));
}

void
rollouts_send_counts(void *arg, const struct egress_counts *counts)
{
	struct control *control = arg;
	const struct member *self = &control->membership.self;
	struct message_rollout_counts m = {.incarnation = self->incarnation,
	    .server = self->server,
	    .order = counts->order,
	    .running = counts->running};
	msgpack_sbuffer out;

	if (!control->has_leader ||
	    control->backend.latest.process_start != counts->process_start)
		return;
	m.name = bytes_from_string(self->name);
	m.service = bytes_from_string(self->service);
	m.version = bytes_from_string(self->server_version);
	msgpack_sbuffer_init(&out);
	rollout_message_pack_counts(&out, &m, &counts->counts);
	datagram_send(&control->udp, &control->leader, MESSAGE_ROLLOUT_COUNTS,
	    out.data, out.size);
	msgpack_sbuffer_destroy(&out);
	counter_add(&count_sent, 1);
}
