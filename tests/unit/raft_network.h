/* Simulated network between the replicas: loses, duplicates and delays messages. */
#ifndef RAFT_NETWORK_H
#define RAFT_NETWORK_H

#include "raft_sim.h"

/* Returns an empty queue of messages in flight, in order of delivery. */
GSequence *raft_network_new(void);
/* Sends a message, which the network may lose or duplicate. */
void raft_network_send(raft_sim_t *sim, uint32_t from, const cw_raft_action_t *action);
/* Returns the delivery time of the first message in flight; INT64_MAX: there is none. */
int64_t raft_network_next_delivery_ms(const raft_sim_t *sim);
/* Delivers the first message, or delays it until its receiver is no longer frozen. */
void raft_network_deliver(raft_sim_t *sim);

#endif
