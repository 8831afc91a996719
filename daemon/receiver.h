/* The receiving side of calls: admission control in front of this proxy's target. */
#ifndef RECEIVER_H
#define RECEIVER_H

#include "settings.h"
#include "target_pool.h"

typedef struct receiver receiver_t;

/* Sends a reply; takes ownership of message and peer.  peer NULL: the sender of the call is this proxy. */
typedef void (*receiver_send_t)(void *data, GBytes *peer, Caraway__Message *message);

receiver_t *receiver_new(const proxy_settings_t *settings, uint64_t incarnation, target_pool_t *pool,
			 receiver_send_t send, void *data);
/* Handles an announcement of the target; see cw_target_announce(). */
cw_target_verdict_t receiver_handle_announcement(receiver_t *receiver, const cw_announcement_t *announcement);
/* Sets the path of the target's health check; "" if unknown. */
void receiver_set_health_path(receiver_t *receiver, const char *path);
void receiver_free(receiver_t *receiver);
/* Handles a call_request or a revoke; takes ownership of message and peer. */
void receiver_handle_message(receiver_t *receiver, Caraway__Message *message, GBytes *peer);
/* Replies to finished calls, and starts or refuses queued ones. */
void receiver_run(receiver_t *receiver);
/* Returns by when receiver_run() must be called next. */
int64_t receiver_next_tick_ms(const receiver_t *receiver);
/* Refuses new calls from now on. */
void receiver_drain(receiver_t *receiver);
/* Returns the number of calls running at the target or queued. */
uint32_t receiver_in_flight(const receiver_t *receiver);
/* Returns the present load of the target for a call of a route and priority. */
cw_pick_load_t receiver_load(const receiver_t *receiver, uint64_t route, uint32_t priority);
/* Returns whether the target can be given calls: reachable, identified and, like this proxy, not draining. */
bool receiver_target_ready(const receiver_t *receiver);

#endif
