/* Replies to operators, common to all roles. */
#ifndef OPERATOR_REPLY_H
#define OPERATOR_REPLY_H

#include "link.h"

/* Adds every counter of this process to the reply. */
void operator_reply_counters(Caraway__OperatorReply *reply);
/* Sends a reply to the operator; the caller keeps ownership of the reply. */
void operator_reply_send(link_server_t *server, GBytes *peer, Caraway__OperatorReply *reply);

#endif
