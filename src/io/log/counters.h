/// @file
/// Counters of a process, read at GET /counters and GET /metrics on its admin
/// address.
#ifndef MV_IO_LOG_COUNTERS_H
#define MV_IO_LOG_COUNTERS_H

#include <msgpack/sbuffer.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/// A named value. Define it with COUNTER_DEFINE and never free it.
struct counter {
	const char *name;
	const char *help;
	bool gauge; ///< It goes down as well.
	_Atomic int64_t value;
	struct counter *next;
};

/// Defines a file-scope counter that registers itself at start-up.
#define COUNTER_DEFINE(var_, name_, help_) \
	METRIC_DEFINE(var_, name_, help_, false)

/// The same for a value that also goes down.
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

/// Appends all counters, sorted by name, a line "name value" each.
void counters_render(msgpack_sbuffer *out);

/// Appends all counters in the text exposition format.
void counters_render_metrics(msgpack_sbuffer *out);

#endif
