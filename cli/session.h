/* Client of the control replicas: finds the leader and retries requests, which are idempotent. */
#ifndef SESSION_H
#define SESSION_H

#include "keys.h"
#include "libcaraway.h"

typedef struct session session_t;

/*
 * addresses: char *, HOST:PORT of each control replica; the session keeps a
 * reference.  keys must stay valid until session_free().
 */
cw_status_t session_new(GPtrArray *addresses, const keys_t *keys, const char *operator_name,
			uint32_t timeout_ms, session_t **session);
void session_free(session_t *session);
const char *session_operator_name(const session_t *session);
const GPtrArray *session_addresses(const session_t *session);
/*
 * Sends a request to the replicas in turn until one gives a final reply.
 * Returns the status of the reply.  *reply is NULL when there is none; the
 * caller frees it with cw_message_free().
 */
cw_status_t session_request(session_t *session, Caraway__OperatorRequest *request,
			    Caraway__OperatorReply **reply);
/* Sends a request to one process, without retries. */
cw_status_t session_request_at(session_t *session, const char *address, Caraway__OperatorRequest *request,
			       Caraway__OperatorReply **reply);

#endif
