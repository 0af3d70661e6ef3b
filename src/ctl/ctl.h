/// @file
/// mvctl: the operators' command.
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
	CTL_REFUSED = 1, ///< The file or the request was refused.
	CTL_USAGE = 2,
	CTL_UNAVAILABLE = 3,  ///< No source could confirm; try again.
	CTL_CONFLICT = 4,     ///< Another file or version won.
	CTL_NOT_IN_FORCE = 5, ///< --wait ran out.
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
};

/// An answer of a source.
struct ctl_answer {
	long status;
	char *body;
	size_t body_bytes;
	char source[64];
	char failure[256]; ///< Set if no source answered.
};

/// Asks the sources in turn until one answers other than "unavailable".
///
/// @param retry  go on past an answer of status 503
/// @return whether any source answered; free the answer in both cases
bool ctl_request(struct ctl *ctl, const char *method, const char *target,
    const char *body, size_t body_bytes, struct ctl_answer *answer);

void ctl_answer_free(struct ctl_answer *answer);

/// Reads a whole file.
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

#endif
