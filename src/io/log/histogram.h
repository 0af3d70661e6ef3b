/// @file
/// Histograms of times, by labels; rendered beside the counters.
///
/// One thread observes, any thread renders. The bounds are fixed, so that the
/// histograms of a fleet can be added up.
#ifndef MV_IO_LOG_HISTOGRAM_H
#define MV_IO_LOG_HISTOGRAM_H

#include <msgpack/sbuffer.h>
#include <stdatomic.h>
#include <stdint.h>

/// Upper bounds from 1 ms to 30 s, and one without.
#define HISTOGRAM_BUCKETS 15

#define HISTOGRAM_LABELS_BYTES 160

/// One series. It is never freed.
struct histogram {
	char labels[HISTOGRAM_LABELS_BYTES]; ///< `rank="log",route="r"`
	_Atomic uint64_t counts[HISTOGRAM_BUCKETS];
	_Atomic uint64_t sum_us;
	struct histogram *next;
};

/// Series of one name. Define it with HISTOGRAM_FAMILY_DEFINE.
struct histogram_family {
	const char *name;
	const char *help;
	struct histogram *_Atomic first;
	uint32_t count;
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

/// Finds or adds a series. Only the thread that observes may call it.
///
/// @param labels  in the form of the exposition, without braces; past the most
///                series that a family may have they become `other="1"`
struct histogram *histogram_get(
    struct histogram_family *family, const char *labels);

/// Counts a time; below 0 counts as 0.
void histogram_observe(struct histogram *histogram, int64_t time_us);

/// Appends all families in the text exposition format.
void histograms_render(msgpack_sbuffer *out);

#endif
