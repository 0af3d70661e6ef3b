// Compares policies on traffic mixes: bench-model MIX...
#include <stdio.h>

#include "model/model.h"

#define SEED_COUNT 3

/// Sum, minimum and maximum of the results of all seeds.
struct range {
	double sum;
	double min;
	double max;
};

static void
range_add(struct range *r, uint32_t n, double value)
{
	r->sum += value;
	if (n == 0 || value < r->min)
		r->min = value;
	if (n == 0 || value > r->max)
		r->max = value;
}

static void
print_policy_row(const struct mix *mix, const struct model_policy *policy)
{
	struct range worth = {0};
	struct range worst = {0};
	struct model_result sum = {0};
	uint32_t seed;
	uint32_t i;

	for (seed = 0; seed < SEED_COUNT; seed++) {
		struct model_result r;

		model_run(mix, policy, seed + 1, &r);
		range_add(&worth, seed, r.worth);
		range_add(&worst, seed, r.worst_worth);
		for (i = 0; i < mix->kind_count; i++)
			sum.kinds[i] += r.kinds[i] / SEED_COUNT;
		sum.refused += r.refused / SEED_COUNT;
		sum.failed += r.failed / SEED_COUNT;
		sum.repeated_runs += r.repeated_runs / SEED_COUNT;
		if (r.limit_share > sum.limit_share)
			sum.limit_share = r.limit_share;
	}
	printf("| %s | %.3f (%.3f to %.3f) | %.3f (%.3f to %.3f) | %.1f %% | "
	       "%.1f %% | %.1f %% | %.0f %% |",
	    policy->name, worth.sum / SEED_COUNT, worth.min, worth.max,
	    worst.sum / SEED_COUNT, worst.min, worst.max, sum.refused * 100,
	    sum.failed * 100, sum.repeated_runs * 100, sum.limit_share * 100);
	for (i = 0; i < mix->kind_count; i++)
		if (mix->kinds[i].worth > 0)
			printf(" %.3f |", sum.kinds[i]);
	printf("\n");
}

static int
compare_policies(const char *path)
{
	static struct mix mix;
	struct error err;
	uint32_t i;

	if (mix_load(path, &mix, &err) != 0) {
		fprintf(stderr, "%s: %s: %s\n", err.step, err.peer, err.text);
		return -1;
	}
	printf("%s\n\n| policy | worth | worst tenth | refused | failed | "
	       "repeats | most of a limit |",
	    mix.name);
	for (i = 0; i < mix.kind_count; i++)
		if (mix.kinds[i].worth > 0)
			printf(" %s |", mix.kinds[i].name);
	printf("\n");
	for (i = 0; i < model_policy_count; i++)
		print_policy_row(&mix, &model_policies[i]);
	printf("\n");
	return 0;
}

int
main(int argc, char **argv)
{
	int i;

	if (argc < 2) {
		fprintf(stderr, "usage: bench-model MIX...\n");
		return 2;
	}
	for (i = 1; i < argc; i++)
		if (compare_policies(argv[i]) != 0)
			return 1;
	return 0;
}
