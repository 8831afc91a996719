/* Who may connect to this process, and what each may send. */
#ifndef GUARD_H
#define GUARD_H

#include "keys.h"

typedef struct guard guard_t;

/*
 * Answers ZeroMQ's questions about connecting keys in a thread of its own.
 * keys are borrowed until guard_free(), which the context's end must precede.
 */
cw_status_t guard_new(void *zmq_context, const keys_t *keys, guard_t **guard);
void guard_free(guard_t *guard);
/*
 * Checks that the sender of a message, by the user id of its connection, may
 * send it.  The operator's name in a request becomes that of the key.
 * CW_ERR_DENIED.
 */
cw_status_t guard_check(const char *user, Caraway__Message *message);

#endif
