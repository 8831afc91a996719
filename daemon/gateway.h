/*
 * Interface of a gateway, through which a platform's own protocol reaches the
 * daemon.  Called by proxies and control replicas, implemented outside this
 * folder.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include "poller.h"
#include "settings.h"

typedef struct traffic traffic_t;
typedef struct control control_t;

typedef struct {
	/* Opens the ports of a proxy; *state is passed to the next two functions. */
	cw_status_t (*open_proxy)(const proxy_settings_t *settings, poller_t *poller, traffic_t *traffic,
				  void **state);
	/* Runs on the traffic thread, on every pass of its event loop; now_ms is monotonic. */
	void (*tick_proxy)(void *state, int64_t now_ms);
	/* Runs after the traffic thread has stopped. */
	void (*close_proxy)(void *state);
	/*
	 * The same for a control replica, all on its only thread.  The tick does a part of the
	 * work in progress and returns whether it is to be called again at once for the rest.
	 */
	cw_status_t (*open_control)(const control_settings_t *settings, poller_t *poller, control_t *control,
				    void **state);
	bool (*tick_control)(void *state, int64_t now_ms);
	void (*close_control)(void *state);
} gateway_t;

#endif
