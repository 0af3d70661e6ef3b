// mvctl report: prints the counters of a fleet and its latency histograms.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "fetch/fetch.h"

#define TIMEOUT_MS  2000L
#define MAX_RANKS   32
#define MAX_BUCKETS 32
#define RANK_BYTES  48
#define BAR_CHARS   50

/// Latency histogram of a rank over all processes; counts are per bucket, not
/// cumulative.
struct rank_histogram {
	char rank[RANK_BYTES];
	double bounds_s[MAX_BUCKETS]; ///< Upper bounds; the last is infinite.
	double counts[MAX_BUCKETS];
	uint32_t bucket_count;
};

struct report {
	struct rank_histogram ranks[MAX_RANKS];
	uint32_t rank_count;
};

/// Columns of the table: the name of a counter and its heading.
static const struct {
	const char *name;
	const char *heading;
} columns[] = {
    {"config_version", "rules"},
    {"members_alive", "members"},
    {"ingress_requests", "requests"},
    {"ingress_not_run", "not run"},
    {"ingress_unknown", "unknown"},
    {"ingress_retries", "retries"},
    {"egress_requests_run", "ran"},
    {"egress_running", "running"},
    {"egress_waiting", "waiting"},
    {"link_silent", "silent"},
};

#define COLUMNS (sizeof(columns) / sizeof(columns[0]))

static double
read_counter(const char *text, const char *name)
{
	char key[96];
	const char *at;
	int n = snprintf(key, sizeof(key), "\nmagnolia_%s ", name);

	at = strstr(text, key);
	return at == NULL ? -1 : strtod(at + n, NULL);
}

static struct rank_histogram *
find_rank(struct report *report, const char *rank)
{
	uint32_t i;

	for (i = 0; i < report->rank_count; i++)
		if (strcmp(report->ranks[i].rank, rank) == 0)
			return &report->ranks[i];
	if (report->rank_count == MAX_RANKS)
		return &report->ranks[MAX_RANKS - 1];
	snprintf(report->ranks[i].rank, RANK_BYTES, "%s", rank);
	report->rank_count++;
	return &report->ranks[i];
}

/// Copies the value of a label, `name="value"`; "" if the label is missing.
static void
read_label(const char *line, const char *name, char out[RANK_BYTES])
{
	const char *at = strstr(line, name);
	const char *end;

	out[0] = '\0';
	if (at == NULL)
		return;
	at += strlen(name) + 2;
	end = strchr(at, '"');
	if (end != NULL)
		snprintf(out, RANK_BYTES, "%.*s", (int)(end - at), at);
}

/// Adds the histograms of one process. Its bucket counts are cumulative.
static void
add_histograms(struct report *report, const char *text)
{
	static const char prefix[] = "magnolia_request_seconds_bucket{";
	const char *line = text;
	double previous = 0;
	uint32_t at = 0;

	while ((line = strstr(line, prefix)) != NULL) {
		struct rank_histogram *r;
		char rank[RANK_BYTES];
		char bound[RANK_BYTES];
		const char *value = strstr(line, "} ");
		double cumulative;

		if (value == NULL)
			return;
		read_label(line, "rank", rank);
		read_label(line, ",le", bound);
		cumulative = strtod(value + 2, NULL);
		r = find_rank(report, rank);
		if (at >= MAX_BUCKETS)
			at = MAX_BUCKETS - 1;
		r->bounds_s[at] = strtod(bound, NULL);
		r->counts[at] += cumulative - previous;
		previous = cumulative;
		at++;
		if (at > r->bucket_count)
			r->bucket_count = at;
		if (strcmp(bound, "+Inf") == 0) {
			at = 0;
			previous = 0;
		}
		line = value;
	}
}

static bool
add_process(struct report *report, const char *address)
{
	struct fetch_request request = {
	    .address = address, .target = "/metrics", .timeout_ms = TIMEOUT_MS};
	struct fetch_response response;
	struct error err;
	size_t i;

	if (fetch(&request, &response, &err) != 0) {
		printf("%-22s %s\n", address, err.text);
		return false;
	}
	printf("%-22s", address);
	for (i = 0; i < COLUMNS; i++) {
		double value = read_counter(response.body, columns[i].name);

		if (value < 0)
			printf(" %9s", "-");
		else
			printf(" %9.0f", value);
	}
	printf("\n");
	add_histograms(report, response.body);
	fetch_response_free(&response);
	return true;
}

static void
print_bound(const struct rank_histogram *r, uint32_t i)
{
	double bound_s = r->bounds_s[i];

	if (i + 1 == r->bucket_count)
		printf("  %12s", "longer");
	else if (bound_s < 1)
		printf("  up to %3.0f ms", bound_s * 1000);
	else
		printf("  up to %3.0f s ", bound_s);
}

static void
print_histogram(const struct rank_histogram *r)
{
	double max_count = 0;
	double total = 0;
	uint32_t i;

	for (i = 0; i < r->bucket_count; i++) {
		total += r->counts[i];
		if (r->counts[i] > max_count)
			max_count = r->counts[i];
	}
	printf("\nrank %s, %.0f requests\n", r->rank, total);
	for (i = 0; i < r->bucket_count && max_count > 0; i++) {
		int chars = (int)(r->counts[i] * BAR_CHARS / max_count + 0.5);

		if (r->counts[i] <= 0)
			continue;
		print_bound(r, i);
		printf(" %9.0f ", r->counts[i]);
		for (; chars > 0; chars--)
			putchar('#');
		putchar('\n');
	}
}

int
ctl_report(struct ctl *ctl)
{
	struct report *report = calloc(1, sizeof(*report));
	uint32_t reached_count = 0;
	size_t c;
	uint32_t i;

	if (report == NULL)
		abort();
	printf("%-22s", "process");
	for (c = 0; c < COLUMNS; c++)
		printf(" %9s", columns[c].heading);
	printf("\n");
	for (i = 0; i < ctl->arg_count; i++)
		reached_count += add_process(report, ctl->args[i]);
	for (i = 0; i < report->rank_count; i++)
		print_histogram(&report->ranks[i]);
	free(report);
	return reached_count == ctl->arg_count ? CTL_OK : CTL_UNAVAILABLE;
}
