/// @file
/// Memory that queues hold, as allocated. Served as `held_bytes{queue}` and, the
/// largest value since the start, `held_peak_bytes{queue}` with the other metrics.
#ifndef MV_IO_HELD_H
#define MV_IO_HELD_H

#include <stddef.h>
#include <stdint.h>

enum held_queue {
	HELD_STREAM_OUT,    ///< Messages to other processes.
	HELD_STREAM_IN,	    ///< Incomplete messages of other processes.
	HELD_CALLER_BODY,   ///< Request bodies at the ingress.
	HELD_CALLER_ANSWER, ///< Response bodies that callers have not taken.
	HELD_UPLOAD,	    ///< Request bodies at the egress.
	HELD_SERVER_ANSWER, ///< Response bodies that are not streamed.
	HELD_CALL,	    ///< Bytes to and from servers, between two reads.
	HELD_COUNT,
};

/// Counts a change of what one holder holds. Any thread.
///
/// @param counted_bytes  what was counted for it before; receives now_bytes
void held_update(
    enum held_queue queue, size_t *counted_bytes, size_t now_bytes);

/// Memory that a queue holds now, of all holders. Any thread.
int64_t held_get_bytes(enum held_queue queue);

#endif
