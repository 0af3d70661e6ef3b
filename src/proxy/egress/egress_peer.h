/// @file
/// Streams from ingresses to this egress.
#ifndef MV_PROXY_EGRESS_EGRESS_PEER_H
#define MV_PROXY_EGRESS_EGRESS_PEER_H

#include "io/net/net.h"
#include "proxy/egress/egress.h"

struct egress_server;

/// Listens for streams from ingresses.
///
/// @param incarnation  of this process; requests for another are refused
/// @return the server, or NULL with err set
struct egress_server *egress_server_open(struct loop *loop,
    struct egress *egress, const struct address *at, uint64_t incarnation,
    struct address *bound, struct error *err);

void egress_server_set_incarnation(
    struct egress_server *server, uint64_t incarnation);

void egress_server_close(struct egress_server *server);

#endif
