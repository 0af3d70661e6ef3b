// Report of a run and comparison with the runs at the backend servers.
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fetch/fetch.h"
#include "load/load.h"

/// Long enough for a fake backend server that a test paused shortly before.
#define RUNS_TIMEOUT_MS 5000L

static const char *const result_names[LOAD_RESULT_COUNT] = {
    "in_time", "late", "not_run", "refused", "unknown", "wrong", "error"};

static int
compare_keys(const void *a, const void *b)
{
	return strcmp(((const struct load_key *)a)->key,
	    ((const struct load_key *)b)->key);
}

static void
add_key_runs(struct load *load, const char *text)
{
	struct load_key wanted;
	struct load_key *found;
	unsigned int runs;
	const char *line;

	for (line = text; line != NULL && *line != '\0';) {
		if (sscanf(line, "key %47s %u", wanted.key, &runs) == 2) {
			found = bsearch(&wanted, load->keys, load->key_count,
			    sizeof(wanted), compare_keys);
			if (found != NULL)
				found->runs += runs;
		}
		line = strchr(line, '\n');
		if (line != NULL)
			line++;
	}
}

static int
fetch_runs(struct load *load, const char *backend, struct error *err)
{
	struct fetch_request request = {.address = backend,
	    .target = "/_fake/runs",
	    .timeout_ms = RUNS_TIMEOUT_MS};
	struct fetch_response response;

	if (fetch(&request, &response, err) != 0)
		return -1;
	add_key_runs(load, response.body);
	fetch_response_free(&response);
	return 0;
}

int
load_count_runs(struct load *load, struct error *err)
{
	uint32_t i;

	if (load->key_count > 0)
		qsort(load->keys, load->key_count, sizeof(*load->keys),
		    compare_keys);
	for (i = 0; i < load->backend_count; i++)
		if (fetch_runs(load, load->backends[i], err) != 0)
			return -1;
	return 0;
}

/// Violations of the guarantees of the mesh.
struct faults {
	uint64_t doubled;     ///< Ran more than once.
	uint64_t lost;	      ///< Answered, but never ran.
	uint64_t misreported; ///< Reported as not run, but ran.
	uint64_t wrong;	      ///< Got a wrong response.
};

static struct faults
find_faults(const struct load *load)
{
	struct faults f = {0};
	uint32_t i;

	for (i = 0; i < load->key_count && load->backend_count > 0; i++) {
		const struct load_key *k = &load->keys[i];

		f.doubled += k->runs > 1;
		f.lost += k->runs == 0 &&
		    (k->result == LOAD_IN_TIME || k->result == LOAD_LATE);
		f.misreported += k->runs > 0 && k->result == LOAD_NOT_RUN;
	}
	for (i = 0; i < load->class_count; i++)
		f.wrong += load->classes[i].results[LOAD_WRONG];
	return f;
}

static double
quantile_ms(const struct load_class *c, double q)
{
	if (c->latency_count == 0)
		return 0;
	return gsl_stats_quantile_from_sorted_data(
		   c->latencies_us, 1, c->latency_count, q) /
	    1000;
}

static void
print_class(const struct load *load, const struct load_class *c, FILE *out)
{
	uint32_t i;

	if (!load->json) {
		fprintf(out, "%-10s sent %-7" PRIu64, c->name, c->sent);
		for (i = 0; i < LOAD_RESULT_COUNT; i++)
			fprintf(out, " %s %-6" PRIu64, result_names[i],
			    c->results[i]);
		fprintf(out, " p50 %.3f p99 %.3f max %.3f ms\n",
		    quantile_ms(c, 0.5), quantile_ms(c, 0.99),
		    quantile_ms(c, 1));
		return;
	}
	fprintf(out, "{\"class\":\"%s\",\"sent\":%" PRIu64, c->name, c->sent);
	for (i = 0; i < LOAD_RESULT_COUNT; i++)
		fprintf(
		    out, ",\"%s\":%" PRIu64, result_names[i], c->results[i]);
	fprintf(out,
	    ",\"p50_ms\":%.3f,\"p90_ms\":%.3f,\"p99_ms\":%.3f,"
	    "\"max_ms\":%.3f,\"rate_per_s\":%.1f}",
	    quantile_ms(c, 0.5), quantile_ms(c, 0.9), quantile_ms(c, 0.99),
	    quantile_ms(c, 1),
	    (double)(c->results[LOAD_IN_TIME] + c->results[LOAD_LATE]) /
		load->duration_s);
}

bool
load_report(struct load *load, FILE *out)
{
	struct faults f = find_faults(load);
	uint32_t i;

	if (load->json)
		fprintf(out, "{\"classes\":[");
	for (i = 0; i < load->class_count; i++) {
		struct load_class *c = &load->classes[i];

		if (c->latency_count > 0)
			gsl_sort(c->latencies_us, 1, c->latency_count);
		if (load->json && i > 0)
			fprintf(out, ",");
		print_class(load, c, out);
	}
	if (load->json)
		fprintf(out,
		    "],\"doubled\":%" PRIu64 ",\"lost\":%" PRIu64
		    ",\"misreported\":%" PRIu64 ",\"wrong\":%" PRIu64
		    ",\"keys\":%u}\n",
		    f.doubled, f.lost, f.misreported, f.wrong, load->key_count);
	else
		fprintf(out,
		    "keys %u doubled %" PRIu64 " lost %" PRIu64
		    " misreported %" PRIu64 " wrong %" PRIu64 "\n",
		    load->key_count, f.doubled, f.lost, f.misreported, f.wrong);
	return f.doubled + f.lost + f.misreported + f.wrong == 0;
}
