/* The HTTP side of a proxy: takes whole requests of callers and gives whole answers. */
#ifndef FRONT_H
#define FRONT_H

#include "forward.h"
#include "settings.h"

typedef struct front front_t;

/* Binds the callers' port. */
cw_status_t front_new(const proxy_settings_t *settings, front_t **front);
/* Set before the first front_run(). */
void front_set_forward(front_t *front, forward_t *forward);
void front_free(front_t *front);
const char *front_address(const front_t *front); /* HOST:PORT as bound */
/* Readable when front_run() has something to do. */
int front_fd(const front_t *front);
/* Readable when a caller has gone whose call is in flight. */
int front_gone_fd(const front_t *front);
void front_run(front_t *front);
/* Cancels the calls of callers that have gone. */
void front_run_gone(front_t *front);
/* Milliseconds until front_run() is wanted, or -1. */
int64_t front_timeout_ms(front_t *front);
/* The outcome of the call whose cookie was handed to forward_begin(). */
void front_done(front_t *front, void *cookie, const forward_outcome_t *outcome);
/* Asks callers to close their connections from now on. */
void front_drain(front_t *front);
/* Lets no new connection begin; those that have begun are still taken. */
void front_close_port(front_t *front);
/* Requests that have begun to arrive and are not answered. */
uint32_t front_in_flight(const front_t *front);
/* Connections of callers, with a request or without. */
uint32_t front_connections(const front_t *front);

#endif
