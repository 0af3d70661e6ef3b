/// @file
/// Shared by the files of the membership.
#ifndef MV_CORE_MEMBERSHIP_MEMBERSHIP_INTERNAL_H
#define MV_CORE_MEMBERSHIP_MEMBERSHIP_INTERNAL_H

#include "core/membership/membership.h"

#define DEADLINE_NONE INT64_MAX

/// Times that a change is sent so that it reaches all with high probability.
uint32_t membership_transmit_limit(const struct membership *m);

/// Lower bound of a name's position among the sorted peers.
uint32_t membership_peer_position(const struct membership *m, const char *name);

struct peer *membership_peer_find(const struct membership *m, const char *name);

struct peer *membership_peer_insert(struct membership *m, const char *name);

void membership_peer_remove(struct membership *m, uint32_t at);

/// Tells others, and the owner, of a change of a member.
void membership_mark_changed(struct membership *m, struct peer *peer);

/// Raises the own revision, which overrides what others say of this member.
void membership_bump_self(struct membership *m);

/// Sets what follows from the state of a member.
void membership_set_deadlines(
    struct membership *m, struct peer *peer, int64_t now_us);

bool membership_is_up(const struct member *member);

void membership_send_gossip(
    struct membership *m, const char *host, uint32_t port, struct gossip *g);

bool membership_has_news(const struct membership *m);

void membership_send_simple(struct membership *m, const struct member *to,
    enum gossip_kind kind, uint64_t sequence);

/// Sends a notice with a record to one member of each other data centre.
///
/// @param record  NULL for the own record, which every message carries
void membership_push_across(struct membership *m, const struct member *record);

/// Tells whether this member is one of the few that carry a change of their
/// data centre across.
bool membership_draw_crossing(struct membership *m);

#endif
