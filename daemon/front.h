/* HTTP frontend of a proxy: turns callers' requests into calls and outcomes of calls into responses. */
#ifndef FRONT_H
#define FRONT_H

#include "forward.h"
#include "http_server.h"
#include "settings.h"

typedef struct front front_t;

/* Listens for callers. */
cw_status_t front_new(poller_t *poller, const proxy_settings_t *settings, front_t **front);
/* Sets what forwards the calls; required before the poller runs. */
void front_set_forward(front_t *front, forward_t *forward);
void front_free(front_t *front);
/* Returns the HTTP server that callers connect to. */
http_server_t *front_server(front_t *front);
/* Reports the outcome of a call; cookie is the one passed to forward_begin(). */
void front_done(front_t *front, void *cookie, const forward_outcome_t *outcome);
/* Refuses every request from now on, so that the process can exit once the requests in flight have ended. */
void front_refuse(front_t *front);
/* Applies the limits for callers of a configuration, from now on. */
void front_set_limits(front_t *front, const Caraway__CallerLimits *limits);

#endif
