/* Authentication of connections by key (ZeroMQ ZAP) and authorization of their messages. */
#ifndef AUTH_H
#define AUTH_H

#include "keys.h"

/* The thread that authenticates the connections of one ZeroMQ context. */
typedef struct auth auth_t;

/*
 * Starts a thread that handles the ZAP requests of a context: libzmq sends one
 * for each new connection, with its key.  The thread exits when the context is
 * terminated, which must precede auth_free().  keys must stay valid until then.
 */
cw_status_t auth_new(void *zmq_context, const keys_t *keys, auth_t **auth);
/* Waits for the thread to exit; NULL is allowed. */
void auth_free(auth_t *auth);
/*
 * Checks that the user id of a connection is authorized to send a message;
 * CW_ERR_DENIED if not.  The operator name in an operator's request is replaced
 * by the name of the operator that the key belongs to.
 */
cw_status_t auth_check_message(const char *user, Caraway__Message *message);

#endif
