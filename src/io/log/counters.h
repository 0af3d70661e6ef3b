/// @file
/// Counters and gauges of a process, served at GET /counters and GET /metrics
/// on its admin address.
#ifndef MV_IO_LOG_COUNTERS_H
#define MV_IO_LOG_COUNTERS_H

#include <msgpack/sbuffer.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/// A counter or gauge. Define it with COUNTER_DEFINE or GAUGE_DEFINE; it is
/// never freed.
struct counter {
	const char *name;
	const char *help;
	/// `name="value",...` of one series of several; NULL: the only one. Such
	/// series are left out while they are 0.
	const char *labels;
	bool gauge; ///< The value can also decrease.
	_Atomic int64_t value;
	struct counter *next;
};

/// Defines a file-scope counter that is registered before main.
#define COUNTER_DEFINE(var_, name_, help_) \
	METRIC_DEFINE(var_, name_, help_, false)

/// Defines a gauge, whose value can also decrease.
#define GAUGE_DEFINE(var_, name_, help_) METRIC_DEFINE(var_, name_, help_, true)

#define METRIC_DEFINE(var_, name_, help_, gauge_)                      \
	static struct counter var_ = {                                 \
	    .name = (name_), .help = (help_), .gauge = (gauge_)};      \
	__attribute__((constructor)) static void var_##_register(void) \
	{                                                              \
		counter_register(&var_);                               \
	}                                                              \
	struct counter

void counter_register(struct counter *counter);

static inline void
counter_add(struct counter *counter, int64_t n)
{
	atomic_fetch_add_explicit(&counter->value, n, memory_order_relaxed);
}

static inline void
counter_set(struct counter *counter, int64_t n)
{
	atomic_store_explicit(&counter->value, n, memory_order_relaxed);
}

/// Appends a line "name value" for each counter, sorted by name.
void counters_render(msgpack_sbuffer *out);

/// Appends all counters in the Prometheus text exposition format.
void counters_render_metrics(msgpack_sbuffer *out);

#endif
