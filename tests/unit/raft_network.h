/* Messages between the replicas of a world, which its network loses, repeats and delays. */
#ifndef RAFT_NETWORK_H
#define RAFT_NETWORK_H

#include "raft_world.h"

/* Returns an empty list of messages under way, in order of delivery. */
GSequence *raft_network_new(void);
/* Sends a message, which the network may lose or repeat. */
void raft_network_send(world_t *sim, uint32_t from, const cw_raft_action_t *action);
/* Returns when the first message is delivered, in ms; INT64_MAX: none is under way. */
int64_t raft_network_next_delivery_ms(const world_t *sim);
/* Delivers the first message, or puts it off while its receiver is frozen. */
void raft_network_deliver(world_t *sim);

#endif
