/// @file
/// Typed errors with the step that failed and the peer involved.
#ifndef MV_CORE_ERROR_H
#define MV_CORE_ERROR_H

#define ERROR_STEP_BYTES 32
#define ERROR_PEER_BYTES 64
#define ERROR_TEXT_BYTES 224

/// Kind of a failure.
enum error_code {
	ERR_NONE = 0,
	ERR_SYNTAX,	 ///< Input that does not parse.
	ERR_INVALID,	 ///< Input that parses but breaks a constraint.
	ERR_IO,		 ///< A system call or a library failed.
	ERR_CORRUPT,	 ///< Stored or received bytes fail their checksum.
	ERR_CONFLICT,	 ///< Conflicts with the current value.
	ERR_UNAVAILABLE, ///< Fails now; a retry may succeed.
	ERR_TIMEOUT,	 ///< A deadline passed.
	ERR_TOO_LARGE,	 ///< Exceeds a documented bound.
};

/// A failure, with the step that failed and the peer involved.
struct error {
	enum error_code code;
	char step[ERROR_STEP_BYTES];
	char peer[ERROR_PEER_BYTES];
	char text[ERROR_TEXT_BYTES];
};

/// Fills an error.
///
/// @param err   the error to fill
/// @param code  its kind
/// @param step  name of the step that failed
/// @param peer  name or address of the peer, or "" for none
/// @param fmt   printf-style description
/// @return -1, so that callers can return it
int error_set(struct error *err, enum error_code code, const char *step,
    const char *peer, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

#endif
