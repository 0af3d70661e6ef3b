// Gauges of the memory that queues hold.
#include "io/held.h"
#include "io/log/counters.h"

#define HELD_GAUGE(queue_, labels_)                            \
	[queue_] = {.name = "held_bytes",                      \
	    .help = "Memory that a queue holds, as allocated", \
	    .labels = "queue=\"" labels_ "\"",                 \
	    .gauge = true}

#define PEAK_GAUGE(queue_, labels_)                       \
	[queue_] = {.name = "held_peak_bytes",            \
	    .help = "Largest held_bytes since the start", \
	    .labels = "queue=\"" labels_ "\"",            \
	    .gauge = true}

static struct counter held[HELD_COUNT] = {
    HELD_GAUGE(HELD_STREAM_OUT, "stream_out"),
    HELD_GAUGE(HELD_STREAM_IN, "stream_in"),
    HELD_GAUGE(HELD_CALLER_BODY, "caller_body"),
    HELD_GAUGE(HELD_CALLER_ANSWER, "caller_answer"),
    HELD_GAUGE(HELD_UPLOAD, "upload"),
    HELD_GAUGE(HELD_SERVER_ANSWER, "server_answer"),
    HELD_GAUGE(HELD_CALL, "call"),
};

static struct counter peaks[HELD_COUNT] = {
    PEAK_GAUGE(HELD_STREAM_OUT, "stream_out"),
    PEAK_GAUGE(HELD_STREAM_IN, "stream_in"),
    PEAK_GAUGE(HELD_CALLER_BODY, "caller_body"),
    PEAK_GAUGE(HELD_CALLER_ANSWER, "caller_answer"),
    PEAK_GAUGE(HELD_UPLOAD, "upload"),
    PEAK_GAUGE(HELD_SERVER_ANSWER, "server_answer"),
    PEAK_GAUGE(HELD_CALL, "call"),
};

__attribute__((constructor)) static void
held_register(void)
{
	int queue;

	for (queue = 0; queue < HELD_COUNT; queue++) {
		counter_register(&held[queue]);
		counter_register(&peaks[queue]);
	}
}

void
held_update(enum held_queue queue, size_t *counted_bytes, size_t now_bytes)
{
	int64_t change_bytes = (int64_t)now_bytes - (int64_t)*counted_bytes;
	int64_t sum_bytes;
	int64_t peak_bytes;

	if (change_bytes == 0)
		return;
	*counted_bytes = now_bytes;
	sum_bytes = change_bytes +
	    atomic_fetch_add_explicit(
		&held[queue].value, change_bytes, memory_order_relaxed);
	peak_bytes = atomic_load(&peaks[queue].value);
	while (sum_bytes > peak_bytes &&
	    !atomic_compare_exchange_weak(
		&peaks[queue].value, &peak_bytes, sum_bytes)) {
	}
}

int64_t
held_get_bytes(enum held_queue queue)
{
	return atomic_load_explicit(&held[queue].value, memory_order_relaxed);
}
