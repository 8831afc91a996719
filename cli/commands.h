/* What changes state: book, review, withdraw, label. */
#ifndef COMMANDS_H
#define COMMANDS_H

#include "arguments.h"
#include "session.h"

/* Each carries out one command and prints what it did; the status is the program's exit code. */
cw_status_t command_book(session_t *session, const arguments_t *arguments);
cw_status_t command_review(session_t *session, const arguments_t *arguments);
cw_status_t command_withdraw(session_t *session, const arguments_t *arguments);
cw_status_t command_label(session_t *session, const arguments_t *arguments);

#endif
