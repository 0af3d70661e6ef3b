/// @file
/// Accountant of the quotas of workspaces: one bucket of tokens for each limited
/// workspace. It runs in the leading source and keeps nothing on disk: a new
/// leader starts with empty buckets, which fill within about a second.
#ifndef MV_CORE_WORKSPACE_QUOTA_LEDGER_H
#define MV_CORE_WORKSPACE_QUOTA_LEDGER_H

#include <stdint.h>

#include "core/rules/rules.h"
#include "core/workspace/quota_bounds.h"

/// Bucket and statistics of one workspace.
struct quota_account {
	uint64_t workspace; ///< Hash of its name.
	char name[RULES_LABEL_BYTES];
	uint64_t rate_milli;
	uint64_t burst_milli;
	struct quota_plan plan;
	double level; ///< Tokens in the bucket.
	double unmet; ///< Tokens asked for and not granted lately.
	int64_t updated_us;
	double used_per_s;    ///< Moving average of the tokens granted.
	double refused_per_s; ///< Moving average of the requests refused.
	uint64_t granted_count;
	uint64_t refused_count;
};

struct quota_ledger {
	struct quota_bounds bounds;
	struct quota_account *accounts; ///< Sorted by workspace.
	uint32_t account_count;
	uint64_t version; ///< Of the rules with these limits; 0: none.
};

/// Tokens that a proxy asks for.
struct quota_ask {
	uint64_t workspace;
	uint32_t wanted;  ///< For requests that wait.
	uint32_t spare;	  ///< For requests that it expects.
	uint32_t refused; ///< Requests that it refused since its last ask.
};

struct quota_grant {
	uint32_t asked; ///< Tokens that the ask was for.
	uint32_t tokens;
	int64_t life_us; ///< From the time of the grant.
	/// If fewer tokens were granted than were wanted: time after which
	/// asking again may help; else 0.
	int64_t wait_us;
};

/// Use of a workspace, as its proxies reported it lately.
struct quota_use {
	double used_per_s;
	double refused_per_s;
	double left; ///< Tokens in the bucket.
};

/// Returns the use at a time that is not before the last grant.
struct quota_use quota_account_use(
    const struct quota_account *account, int64_t now_us);

/// Hash by which messages name a workspace.
uint64_t quota_workspace_hash(const char *name);

void quota_ledger_init(
    struct quota_ledger *ledger, const struct quota_bounds *bounds);

void quota_ledger_free(struct quota_ledger *ledger);

/// Empties all buckets, since another accountant may have granted until now.
///
/// @param reserve  whether the reserve may be used: no accountant did so within
///                 quota_reserve_period_us()
void quota_ledger_begin(
    struct quota_ledger *ledger, bool reserve, int64_t now_us);

/// Takes over the limits of a version of the rules. Buckets of workspaces that
/// stay keep their level; the others start empty.
void quota_ledger_set_limits(
    struct quota_ledger *ledger, const struct rules *rules, int64_t now_us);

/// Grants tokens. A workspace without a limit gets all that is asked for.
struct quota_grant quota_ledger_grant(
    struct quota_ledger *ledger, const struct quota_ask *ask, int64_t now_us);

#endif
