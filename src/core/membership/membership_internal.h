/// @file
/// Internal interface between the membership source files.
#ifndef MV_CORE_MEMBERSHIP_MEMBERSHIP_INTERNAL_H
#define MV_CORE_MEMBERSHIP_MEMBERSHIP_INTERNAL_H

#include "core/membership/membership.h"

#define DEADLINE_NONE INT64_MAX

/// Returns how often to send a change so that it reaches all members with high
/// probability.
uint32_t membership_transmit_limit(const struct membership *m);

/// Returns the lower bound of a name in the sorted peers.
uint32_t membership_peer_position(const struct membership *m, const char *name);

struct peer *membership_peer_find(const struct membership *m, const char *name);

struct peer *membership_peer_insert(struct membership *m, const char *name);

void membership_peer_remove(struct membership *m, uint32_t at);

/// Queues the record of a changed member and notifies the owner.
void membership_mark_changed(struct membership *m, struct peer *peer);

/// Increments the local revision, which overrides records held by others.
void membership_raise_revision(struct membership *m);

/// Sets the suspicion and removal deadlines for the status of a peer.
void membership_set_deadlines(
    struct membership *m, struct peer *peer, int64_t now_us);

bool membership_is_up(const struct member *member);

void membership_send_gossip(
    struct membership *m, const char *host, uint32_t port, struct gossip *g);

bool membership_has_pending_updates(const struct membership *m);

void membership_send_to_member(struct membership *m, const struct member *to,
    enum gossip_kind kind, uint64_t sequence);

/// Sends a notice with a record to a random member of each other data centre.
///
/// @param record  NULL: only the local record, which every message includes
void membership_push_to_dcs(struct membership *m, const struct member *record);

/// Draws at random whether this member is one of the few that send a change in
/// their data centre to the other data centres.
///
/// @param senders  their mean number
bool membership_draw_dc_push(struct membership *m, uint32_t senders);

#endif
