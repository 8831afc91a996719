/* Authentication of connections by key (ZeroMQ ZAP) and authorization of their messages. */
#ifndef AUTH_H
#define AUTH_H

#include "keys.h"

typedef struct guard auth_t;

/*
 * Starts a thread that handles the ZAP requests of a context, one for each
 * connecting key.  keys must stay valid until auth_free(), before which the
 * context must have been terminated.
 */
cw_status_t auth_new(void *zmq_context, const keys_t *keys, auth_t **guard);
/* Waits for the thread and frees the guard; NULL is allowed. */
void auth_free(auth_t *guard);
/*
 * Checks that the user id of a connection is authorized to send a message;
 * CW_ERR_DENIED if not.  In a request, the operator name is replaced by the
 * name that the key belongs to.
 */
cw_status_t auth_check_message(const char *user, Caraway__Message *message);

#endif
