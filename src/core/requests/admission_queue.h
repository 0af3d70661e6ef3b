/// @file
/// Queues of the ranks, used by the admission only.
#ifndef MV_CORE_REQUESTS_ADMISSION_QUEUE_H
#define MV_CORE_REQUESTS_ADMISSION_QUEUE_H

#include "core/requests/admission.h"

/// Expected time of a request of a rank in a slot.
int64_t admission_rank_service_us(const struct admission_rank *r);

/// The same for an item, whose own time may be known.
int64_t admission_item_service_us(
    const struct admission_rank *r, const struct admission_item *item);

/// Returns the item behind which a new one that is not begun belongs; NULL if it
/// goes first. It passes none of its own workspace, and no begun one.
///
/// @param passed  receives the number of those that it goes ahead of
struct admission_item *admission_queue_find_place(
    const struct admission_rank *r, const struct admission_item *item,
    uint32_t *passed);

/// Whether the queues have room for another item.
bool admission_queue_has_room(
    const struct admission *a, const struct admission_item *item);

/// Returns the least tag of an item that starts and of those that are queued: the
/// time that has passed for all of them.
int64_t admission_queue_least_tag_us(
    const struct admission_rank *r, const struct admission_item *item);

void admission_queue_push(struct admission *a, struct admission_item *item);

void admission_queue_remove(struct admission *a, struct admission_item *item);

/// Slot time that an item is charged, by the weight of its workspace.
int64_t admission_fair_cost_us(
    const struct admission *a, const struct admission_item *item);

/// Charges an accepted item to its workspace.
void admission_charge_workspace(
    struct admission *a, struct admission_item *item);

/// Corrects that charge to the slot time that the item used.
void admission_settle_workspace(
    struct admission *a, struct admission_item *item, int64_t used_us);

#endif
