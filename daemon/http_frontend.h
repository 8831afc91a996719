/* HTTP frontend of a proxy: turns callers' requests into calls and outcomes of calls into responses. */
#ifndef HTTP_FRONTEND_H
#define HTTP_FRONTEND_H

#include "forward.h"
#include "http_server.h"
#include "settings.h"

typedef struct http_frontend http_frontend_t;

/* Listens for callers. */
cw_status_t http_frontend_new(poller_t *poller, const proxy_settings_t *settings,
			      http_frontend_t **http_frontend);
/* Sets the sending side that calls are passed to; required before the poller runs. */
void http_frontend_set_forward(http_frontend_t *http_frontend, forward_t *forward);
void http_frontend_free(http_frontend_t *http_frontend);
/* Returns the HTTP server that callers connect to. */
http_server_t *http_frontend_server(http_frontend_t *http_frontend);
/* Reports the outcome of a call; cookie is the one passed to forward_start_call(). */
void http_frontend_respond(http_frontend_t *http_frontend, void *cookie, const forward_outcome_t *outcome);
/* Refuses every request from now on, so that the process can exit once the requests in flight have ended. */
void http_frontend_refuse_requests(http_frontend_t *http_frontend);
/* Applies the limits for callers of a configuration, from now on. */
void http_frontend_set_limits(http_frontend_t *http_frontend, const Caraway__CallerLimits *limits);

#endif
