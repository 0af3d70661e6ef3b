/// @file
/// mvctl: the command line tool for operators.
#ifndef MV_CTL_CTL_H
#define MV_CTL_CTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CTL_MAX_SOURCES 7
#define CTL_MAX_ARGS	512

/// Exit codes of mvctl.
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, ///< The file or the request was rejected.
	CTL_USAGE = 2,
	CTL_UNAVAILABLE = 3,  ///< No source reached a quorum; retry.
	CTL_CONFLICT = 4,     ///< Another file or version is accepted.
	CTL_NOT_IN_FORCE = 5, ///< --wait timed out.
};

struct ctl {
	char sources[CTL_MAX_SOURCES][64];
	uint32_t source_count;
	bool json;
	bool wait;
	int64_t wait_deadline_us;
	int64_t wait_s;
	const char *command;
	const char *args[CTL_MAX_ARGS];
	uint32_t arg_count;
	uint64_t remove_id;
	uint64_t add_id;
	char add_address[64];
	const char *within; ///< Time for a roll-out; "": not given.
};

/// Response of a source.
struct ctl_response {
	long status;
	char *body;
	size_t body_bytes;
	char source[64];
	char failure[256]; ///< First error, if no source answered.
};

/// Sends a request to one source after another until one answers with a status
/// other than 503. If none does, returns the last response of status 503.
///
/// @return whether any source answered; free the response in both cases
bool ctl_send_request(struct ctl *ctl, const char *method, const char *target,
    const char *body, size_t body_bytes, struct ctl_response *response);

void ctl_response_free(struct ctl_response *response);

/// Reads a whole file and appends a NUL. Release it with free().
///
/// @return its bytes, or NULL after a message on standard error
char *ctl_read_file(const char *path, size_t *size_bytes);

int ctl_check(struct ctl *ctl);
int ctl_apply(struct ctl *ctl);
int ctl_status(struct ctl *ctl);
int ctl_show(struct ctl *ctl);
int ctl_diff(struct ctl *ctl);
int ctl_forget(struct ctl *ctl);
int ctl_replace(struct ctl *ctl);
int ctl_trace(struct ctl *ctl);
int ctl_report(struct ctl *ctl);
int ctl_rollout(struct ctl *ctl);
int ctl_workspaces(struct ctl *ctl);

#endif
