/* Read-only subcommands: changes, show, inforce, status, counters, accounts. */
#ifndef QUERIES_H
#define QUERIES_H

#include "arguments.h"
#include "session.h"

/* Each prints the reply to one query; the status is the exit code of the program. */
cw_status_t query_changes(session_t *session, const arguments_t *arguments);
cw_status_t query_show(session_t *session, const arguments_t *arguments);
cw_status_t query_in_force(session_t *session, const arguments_t *arguments);
cw_status_t query_status(session_t *session, const arguments_t *arguments);
cw_status_t query_counters(session_t *session, const arguments_t *arguments);
cw_status_t query_accounts(session_t *session, const arguments_t *arguments);

/* Fetch a reply without printing it; *reply is freed with cw_message_free(). */
cw_status_t query_fetch_change(session_t *session, uint64_t number, Caraway__OperatorReply **reply);
cw_status_t query_fetch_in_force(session_t *session, const char *selector, const char *service,
				 Caraway__OperatorReply **reply);

#endif
