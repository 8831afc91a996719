/* A conversation with the control replicas: finds the leader and repeats requests safely. */
#ifndef SESSION_H
#define SESSION_H

#include "keys.h"
#include "libcaraway.h"

typedef struct session session_t;

/*
 * addresses: char *, HOST:PORT of each control replica; the session keeps a
 * reference.  keys are borrowed until session_free().
 */
cw_status_t session_new(GPtrArray *addresses, const keys_t *keys, const char *operator_name,
			uint32_t timeout_ms, session_t **session);
void session_free(session_t *session);
const char *session_operator(const session_t *session);
const GPtrArray *session_addresses(const session_t *session);
/*
 * Asks the replicas in turn until one gives a final answer.  The status is
 * that of the answer; *reply is set whenever there is one, and is freed with
 * cw_message_free().
 */
cw_status_t session_ask(session_t *session, Caraway__OperatorRequest *request,
			Caraway__OperatorReply **reply);
/* Asks one process only. */
cw_status_t session_ask_at(session_t *session, const char *address, Caraway__OperatorRequest *request,
			   Caraway__OperatorReply **reply);

#endif
