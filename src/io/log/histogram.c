// Latency histograms with fixed buckets, updated without locks.
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/clock.h"
#include "io/log/histogram.h"

/// Limit on the series of a family: a few ranks, and the routes of a large rule
/// file.
#define MAX_FAMILY_SERIES 1024

#define OTHER_LABELS "other=\"1\""

#define METRIC_PREFIX "magnolia_"

/// Upper bounds; the last bucket has none.
static const int64_t bucket_bounds_us[HISTOGRAM_BUCKETS - 1] = {1000, 2000,
    5000, 10000, 20000, 50000, 100000, 200000, 500000, 1000000, 2000000,
    5000000, 10000000, 30000000};

static struct histogram_family *first_family;

void
histogram_family_register(struct histogram_family *family)
{
	family->next = first_family;
	first_family = family;
}

static struct histogram *
find_series(struct histogram_family *family, const char *labels)
{
	struct histogram *h = atomic_load(&family->first_series);

	while (h != NULL && strcmp(h->labels, labels) != 0)
		h = h->next;
	return h;
}

struct histogram *
histogram_get(struct histogram_family *family, const char *labels)
{
	struct histogram *h = find_series(family, labels);

	if (h != NULL)
		return h;
	if (family->series_count >= MAX_FAMILY_SERIES ||
	    strlen(labels) >= sizeof(h->labels)) {
		labels = OTHER_LABELS;
		h = find_series(family, labels);
		if (h != NULL)
			return h;
	}
	h = calloc(1, sizeof(*h));
	assert(h != NULL);
	strcpy(h->labels, labels);
	h->next = atomic_load(&family->first_series);
	family->series_count++;
	atomic_store(&family->first_series, h);
	return h;
}

void
histogram_observe(struct histogram *h, int64_t time_us)
{
	uint32_t i = 0;

	if (time_us < 0)
		time_us = 0;
	while (i < HISTOGRAM_BUCKETS - 1 && time_us > bucket_bounds_us[i])
		i++;
	atomic_fetch_add_explicit(&h->counts[i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(
	    &h->sum_us, (uint64_t)time_us, memory_order_relaxed);
}

static void
render_series(msgpack_sbuffer *out, const struct histogram_family *family,
    struct histogram *h)
{
	char line[HISTOGRAM_LABELS_BYTES + 160];
	const char *comma = h->labels[0] == '\0' ? "" : ",";
	uint64_t cumulative = 0;
	uint32_t i;
	int n;

	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		char bound[24] = "+Inf";

		cumulative += atomic_load(&h->counts[i]);
		if (i < HISTOGRAM_BUCKETS - 1)
			snprintf(bound, sizeof(bound), "%g",
			    (double)bucket_bounds_us[i] / (double)US_PER_S);
		n = snprintf(line, sizeof(line),
		    METRIC_PREFIX "%s_bucket{%s%sle=\"%s\"} %" PRIu64 "\n",
		    family->name, h->labels, comma, bound, cumulative);
		msgpack_sbuffer_write(out, line, (size_t)n);
	}
	n = snprintf(line, sizeof(line),
	    METRIC_PREFIX "%s_sum{%s} %.6f\n" METRIC_PREFIX
			  "%s_count{%s} %" PRIu64 "\n",
	    family->name, h->labels,
	    (double)atomic_load(&h->sum_us) / (double)US_PER_S, family->name,
	    h->labels, cumulative);
	msgpack_sbuffer_write(out, line, (size_t)n);
}

void
histograms_render(msgpack_sbuffer *out)
{
	const struct histogram_family *family;
	struct histogram *h;
	char line[200];
	int n;

	for (family = first_family; family != NULL; family = family->next) {
		n = snprintf(line, sizeof(line),
		    "# HELP " METRIC_PREFIX "%s %s\n# TYPE " METRIC_PREFIX
		    "%s histogram\n",
		    family->name, family->help, family->name);
		msgpack_sbuffer_write(out, line, (size_t)n);
		for (h = atomic_load(&family->first_series); h != NULL;
		     h = h->next)
			render_series(out, family, h);
	}
}
