// Plan of a roll-out.
#include "core/rollout/rollout_plan.h"

#define PERMILLE 1000

/// Stages: small share, the exposure itself, then larger ones.
#define STAGES 5

/// Part of the time, in permille from the first share, at which all requests go
/// to the new version.
#define ALL_AT 720

/// Length of the second stage in permille of the time.
#define SECOND_LENGTH 150

/// Shares of the third and the fourth stage, and the parts of the exposure that
/// each may use, in permille.
#define THIRD_SHARE	300
#define THIRD_EXPOSURE	240
#define FOURTH_SHARE	600
#define FOURTH_EXPOSURE 300

/// Share of the first stage in permille of the exposure.
#define FIRST_OF_EXPOSURE 400

/// The plan does not use more exposure than this.
#define MAX_EXPOSURE 100
#define MIN_EXPOSURE 10

/// A stage lasts at least this part of its length when the plan is late, and
/// this time.
#define HASTE_DIVISOR 2
#define MIN_STAGE_MS  300

/// Answers of the new version that the first stage should bring, if its requests
/// are few, and the largest share for that. It is well within what is allowed
/// beyond the exposure.
#define FIRST_ANSWERS	20
#define MAX_FIRST_SHARE 200

/// A stage is twice as long while the new version has not answered this many.
#define FEW_ANSWERS	 10
#define FEW_ANSWERS_WAIT 2

/// Time for which doubts hold up a step to a large share: some more windows of
/// the judge.
#define DOUBT_MS 1000

/// No step up without counts of a new server in this time.
#define FRESH_MS 3000

/// The old servers' work may end for this long before the roll-out is complete.
#define LAST_PERMILLE 940

/// After all requests go to the new version, the time until every proxy knows.
#define SPREAD_MS 700

/// Time in which each old server at which requests run has told a new leader.
#define COUNTS_MS 1500

/// The new servers need this part of the old ones' slots for the same share.
#define SLOTS_PERMILLE 700

struct stage {
	uint32_t share_permille;
	int64_t from; ///< In permille of the time from the first share.
};

static void
build_stages(uint32_t exposure, struct stage stages[STAGES])
{
	int64_t fourth;
	int64_t third;

	if (exposure > MAX_EXPOSURE)
		exposure = MAX_EXPOSURE;
	if (exposure < MIN_EXPOSURE)
		exposure = MIN_EXPOSURE;
	fourth = ALL_AT - (int64_t)exposure * FOURTH_EXPOSURE / FOURTH_SHARE;
	third = fourth - (int64_t)exposure * THIRD_EXPOSURE / THIRD_SHARE;
	stages[0].share_permille = exposure * FIRST_OF_EXPOSURE / PERMILLE;
	stages[0].from = 0;
	stages[1].share_permille = exposure;
	stages[1].from = third - SECOND_LENGTH;
	stages[2].share_permille = THIRD_SHARE;
	stages[2].from = third;
	stages[3].share_permille = FOURTH_SHARE;
	stages[3].from = fourth;
	stages[4].share_permille = PERMILLE;
	stages[4].from = ALL_AT;
}

/// Returns the first share: larger if that would bring few answers only.
static uint32_t
first_share(const struct rollout_plan_state *s, const struct stage *stages)
{
	int64_t length_ms =
	    (s->within_ms - s->used_ms) * stages[1].from / PERMILLE;
	int64_t share = MAX_FIRST_SHARE;
	int64_t expected;

	if (s->used_ms <= 0 || s->all_answers < FEW_ANSWERS || length_ms <= 0)
		return stages[0].share_permille;
	expected = s->all_answers * length_ms / s->used_ms;
	if (expected > 0 && FIRST_ANSWERS * PERMILLE / expected < share)
		share = FIRST_ANSWERS * PERMILLE / expected;
	return share > stages[0].share_permille ? (uint32_t)share
						: stages[0].share_permille;
}

static struct rollout_plan_decision
decide(enum rollout_plan_action action, uint32_t share, const char *why)
{
	struct rollout_plan_decision d = {action, share, why};

	return d;
}

/// Tells whether the new servers have room for a share.
static bool
have_room(const struct rollout_plan_state *s, uint32_t share)
{
	uint64_t needed = (uint64_t)s->old_slots * share * SLOTS_PERMILLE;

	return s->new_slots > 0 &&
	    (uint64_t)s->new_slots * PERMILLE * PERMILLE >= needed;
}

static struct rollout_plan_decision
decide_completion(const struct rollout_plan_state *s)
{
	if (s->stage_ms < SPREAD_MS)
		return decide(ROLLOUT_PLAN_WAIT, 0, "proxies learn the share");
	if (s->leading_ms < COUNTS_MS)
		return decide(ROLLOUT_PLAN_WAIT, 0,
		    "what runs at old servers is unknown");
	if (s->old_running == 0)
		return decide(ROLLOUT_PLAN_COMPLETE, PERMILLE,
		    "all requests go to it, and nothing runs at old servers");
	if (s->used_ms * PERMILLE >= s->within_ms * LAST_PERMILLE)
		return decide(ROLLOUT_PLAN_COMPLETE, PERMILLE,
		    "all requests go to it, and the time is nearly up");
	return decide(ROLLOUT_PLAN_WAIT, 0, "requests run at old servers");
}

struct rollout_plan_decision
rollout_plan_decide(const struct rollout_plan_state *s)
{
	struct stage stages[STAGES];
	int64_t span_ms;
	int64_t length_ms;
	int64_t at;
	uint32_t now = 0;

	build_stages(s->exposure_permille, stages);
	if (s->begun_ms < 0 || s->share_permille == 0) {
		if (s->new_slots == 0)
			return decide(ROLLOUT_PLAN_WAIT, 0,
			    "no server of the version takes work");
		return decide(ROLLOUT_PLAN_STAGE, first_share(s, stages),
		    "servers of the version take work");
	}
	while (now < STAGES - 1 &&
	    s->share_permille >= stages[now + 1].share_permille)
		now++;
	if (now == STAGES - 1)
		return decide_completion(s);
	span_ms = s->within_ms - s->begun_ms;
	at = span_ms <= 0 ? PERMILLE
			  : (s->used_ms - s->begun_ms) * PERMILLE / span_ms;
	if (at < stages[now + 1].from)
		return decide(ROLLOUT_PLAN_WAIT, 0, "its stage lasts");
	length_ms =
	    (stages[now + 1].from - stages[now].from) * span_ms / PERMILLE;
	if (s->stage_ms < MIN_STAGE_MS ||
	    s->stage_ms < length_ms / HASTE_DIVISOR)
		return decide(ROLLOUT_PLAN_WAIT, 0, "its stage began late");
	if (s->doubted && stages[now + 1].share_permille >= THIRD_SHARE &&
	    s->stage_ms < length_ms + DOUBT_MS)
		return decide(ROLLOUT_PLAN_WAIT, 0, "its answers are doubtful");
	if (s->silent_ms > FRESH_MS)
		return decide(
		    ROLLOUT_PLAN_WAIT, 0, "no counts of its servers come");
	if (s->answers < FEW_ANSWERS &&
	    s->stage_ms < length_ms * FEW_ANSWERS_WAIT)
		return decide(
		    ROLLOUT_PLAN_WAIT, 0, "it has answered few requests");
	if (!have_room(s, stages[now + 1].share_permille))
		return decide(
		    ROLLOUT_PLAN_WAIT, 0, "its servers have too little room");
	return decide(ROLLOUT_PLAN_STAGE, stages[now + 1].share_permille,
	    "no fault was found in its stage");
}
