/// @file
/// Connections from this ingress to egresses, one for each egress in use. A
/// link outlives its stream, and dials a new one as needed.
#ifndef MV_PROXY_INGRESS_LINK_H
#define MV_PROXY_INGRESS_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "core/membership/member.h"
#include "io/net/bulk.h"
#include "wire/messages.h"

struct link;
struct links;

/// Callbacks of the links.
struct links_ops {
	void (*on_response)(void *owner, struct link *link,
	    const struct message_response *response);
	void (*on_body)(
	    void *owner, struct link *link, const struct message_body *body);
	void (*on_window)(void *owner, struct link *link,
	    const struct message_window *window);
	void (*on_fence_answer)(void *owner, struct link *link,
	    const struct message_fence_answer *answer);
	/// An egress reported its load in a heartbeat.
	void (*on_load)(void *owner, struct link *link,
	    const struct message_heartbeat *load);
	/// The stream closed; the next message dials a new one.
	/// @param opened  whether it was ever established: else nothing that
	///                was sent on it can have arrived
	void (*on_stream_lost)(void *owner, struct link *link, bool opened);
};

/// The egress process at the other end of a link.
struct link_target {
	char name[MEMBER_NAME_BYTES];
	char host[MEMBER_HOST_BYTES];
	uint32_t port;
	uint64_t incarnation;
};

/// @param bulk  link of this VM, on which the streams count; NULL: not known
struct links *links_create(struct loop *loop, struct bulk_link *bulk,
    const struct links_ops *ops, void *owner, const char *name,
    uint64_t incarnation);

void links_destroy(struct links *links);

/// Changes the incarnation that later streams send in their hello.
void links_set_incarnation(struct links *links, uint64_t incarnation);

/// Tells all egresses in use, now and later, that this proxy leaves.
///
/// @param deadline_us  end of this process
void links_leave(struct links *links, int64_t deadline_us);

/// Link to an egress process, created if there is none.
struct link *links_get(struct links *links, const struct link_target *target);

const struct link_target *link_target(const struct link *link);

/// Sends a message, dialling first if there is no stream.
///
/// @return 0, or -1 if there is no stream and none can be dialled
int link_send(struct link *link, enum message_type type, const void *value);

/// Counts a request that awaits a response. Meanwhile the link is kept open and
/// checked for silence.
void link_hold(struct link *link);

/// Ends one link_hold.
void link_release(struct link *link);

#endif
