/// @file
/// Streams from ingresses to this egress.
#ifndef MV_PROXY_EGRESS_EGRESS_PEER_H
#define MV_PROXY_EGRESS_EGRESS_PEER_H

#include "io/net/bulk.h"
#include "io/net/net.h"
#include "proxy/egress/egress.h"

struct egress_server;

/// Listens for streams from ingresses.
///
/// @param link         of this VM, which paces bodies; NULL: not known
/// @param incarnation  of this process; requests for another are refused
/// @return the server, or NULL with err set
struct egress_server *egress_server_open(struct loop *loop,
    struct egress *egress, struct bulk_link *link, const struct address *at,
    uint64_t incarnation, struct address *bound, struct error *err);

void egress_server_set_incarnation(
    struct egress_server *server, uint64_t incarnation);

/// Ends the streams of all ingresses once they have taken what was sent. Call it when no
/// request is in progress.
///
/// @return the number of streams that are still open
uint32_t egress_server_finish(struct egress_server *server);

void egress_server_close(struct egress_server *server);

#endif
