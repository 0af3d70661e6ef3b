// Compares policies on mixes of traffic: bench-model MIX...
#include <stdio.h>

#include "model/model.h"

#define SEEDS 3

struct range {
	double sum;
	double least;
	double most;
};

static void
add(struct range *r, uint32_t n, double value)
{
	r->sum += value;
	if (n == 0 || value < r->least)
		r->least = value;
	if (n == 0 || value > r->most)
		r->most = value;
}

static void
compare(const struct mix *mix, const struct model_policy *policy)
{
	struct range worth = {0};
	struct range worst = {0};
	struct model_result sum = {0};
	uint32_t seed;
	uint32_t i;

	for (seed = 0; seed < SEEDS; seed++) {
		struct model_result r;

		model_play(mix, policy, seed + 1, &r);
		add(&worth, seed, r.worth);
		add(&worst, seed, r.worst_worth);
		for (i = 0; i < mix->kind_count; i++)
			sum.kinds[i] += r.kinds[i] / SEEDS;
		sum.refused += r.refused / SEEDS;
		sum.failed += r.failed / SEEDS;
		sum.repeated += r.repeated / SEEDS;
	}
	printf("| %s | %.3f (%.3f to %.3f) | %.3f (%.3f to %.3f) | %.1f %% | "
	       "%.1f %% | %.1f %% |",
	    policy->name, worth.sum / SEEDS, worth.least, worth.most,
	    worst.sum / SEEDS, worst.least, worst.most, sum.refused * 100,
	    sum.failed * 100, sum.repeated * 100);
	for (i = 0; i < mix->kind_count; i++)
		if (mix->kinds[i].worth > 0)
			printf(" %.3f |", sum.kinds[i]);
	printf("\n");
}

static int
play(const char *path)
{
	static struct mix mix;
	struct error err;
	uint32_t i;

	if (mix_load(path, &mix, &err) != 0) {
		fprintf(stderr, "%s: %s: %s\n", err.step, err.peer, err.text);
		return -1;
	}
	printf("%s\n\n| policy | worth | worst tenth | refused | failed | "
	       "repeats |",
	    mix.name);
	for (i = 0; i < mix.kind_count; i++)
		if (mix.kinds[i].worth > 0)
			printf(" %s |", mix.kinds[i].name);
	printf("\n");
	for (i = 0; i < model_policy_count; i++)
		compare(&mix, &model_policies[i]);
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
		if (play(argv[i]) != 0)
			return 1;
	return 0;
}
