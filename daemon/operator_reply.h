/* Answers to operators that every role gives. */
#ifndef OPERATOR_REPLY_H
#define OPERATOR_REPLY_H

#include "link.h"

/* Fills in every counter of this process. */
void operator_reply_counters(Caraway__OperatorReply *reply);
/* Sends an answer to the operator who asked; the reply stays the caller's. */
void operator_reply_send(link_server_t *server, GBytes *peer, Caraway__OperatorReply *reply);

#endif
