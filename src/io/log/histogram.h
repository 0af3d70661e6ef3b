/// @file
/// Latency histograms with labels, exported at GET /metrics.
///
/// One thread observes, any thread renders. The bounds are fixed, so that
/// histograms of several processes can be summed.
#ifndef MV_IO_LOG_HISTOGRAM_H
#define MV_IO_LOG_HISTOGRAM_H

#include <msgpack/sbuffer.h>
#include <stdatomic.h>
#include <stdint.h>

/// Bounds from 1 ms to 30 s, and one bucket without an upper bound.
#define HISTOGRAM_BUCKETS 15

#define HISTOGRAM_LABELS_BYTES 160

/// One series. It is never freed.
struct histogram {
	char labels[HISTOGRAM_LABELS_BYTES]; ///< `rank="log",route="r"`
	_Atomic uint64_t counts[HISTOGRAM_BUCKETS];
	_Atomic uint64_t sum_us;
	struct histogram *next;
};

/// All series of one metric. Define it with HISTOGRAM_FAMILY_DEFINE.
struct histogram_family {
	const char *name;
	const char *help;
	struct histogram *_Atomic first_series;
	uint32_t series_count;
	struct histogram_family *next;
};

#define HISTOGRAM_FAMILY_DEFINE(var_, name_, help_)                    \
	static struct histogram_family var_ = {                        \
	    .name = (name_), .help = (help_)};                         \
	__attribute__((constructor)) static void var_##_register(void) \
	{                                                              \
		histogram_family_register(&var_);                      \
	}                                                              \
	struct histogram_family

void histogram_family_register(struct histogram_family *family);

/// Finds or adds a series. Only the observing thread may call it.
///
/// @param labels  in exposition format, without braces; `other="1"` replaces
///                them if they are too long or the family has too many series
struct histogram *histogram_get(
    struct histogram_family *family, const char *labels);

/// Records a duration; a negative one counts as 0.
void histogram_observe(struct histogram *histogram, int64_t time_us);

/// Appends all families in the Prometheus text exposition format.
void histograms_render(msgpack_sbuffer *out);

#endif
