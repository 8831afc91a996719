/*
 * Data plane of a proxy: carries calls of callers (HTTP) to other proxies, and
 * calls of other proxies (links) to this proxy's target.  Runs in a thread of
 * its own.
 */
#ifndef TRAFFIC_H
#define TRAFFIC_H

#include "gateway.h"
#include "link.h"
#include "settings.h"
#include "view.h"

/* Opens the ports and starts the thread; gateway may be NULL. */
cw_status_t traffic_start(link_context_t *context, const proxy_settings_t *settings, uint64_t incarnation,
			  published_view_t *published_view, const gateway_t *gateway, traffic_t **traffic);
/* Handles an announcement of the target; called by the gateway on the traffic thread. */
cw_target_verdict_t traffic_handle_announcement(traffic_t *traffic, const cw_announcement_t *announcement);
/* Returns the version that the target announced last, owned by the caller; "": none was announced. */
char *traffic_target_version(traffic_t *traffic);
/* Returns whether this proxy is ready for callers; called by the gateway on the traffic thread. */
bool traffic_is_ready(const traffic_t *traffic);
const char *traffic_http_address(const traffic_t *traffic); /* of the callers' port: HOST:PORT as bound */
const char *traffic_call_address(const traffic_t *traffic); /* of the port for other proxies */
/*
 * Tells callers to use another proxy: the last response of a connection says "Connection: close",
 * and traffic_is_ready() returns false.  Their calls are still accepted.
 */
void traffic_drain_callers(traffic_t *traffic);
/* Refuses new calls to the target from now on (reason "draining"); calls in flight continue. */
void traffic_drain_target(traffic_t *traffic);
/* Returns the number of calls in flight, of this proxy's callers and to its target. */
uint32_t traffic_in_flight(const traffic_t *traffic);
/* Returns whether the target can be given calls, as of the last pass of the traffic thread. */
bool traffic_target_ready(const traffic_t *traffic);
/*
 * Shuts down: accepts no new connections, accepts calls on the open ones until
 * accept_until_ms, finishes calls in flight until deadline_ms, then stops the
 * thread and closes the ports.  A planned stop first calls traffic_drain_callers(), and
 * traffic_drain_target() once callers and other proxies had time to switch.
 */
void traffic_stop(traffic_t *traffic, int64_t accept_until_ms, int64_t deadline_ms);

#endif
