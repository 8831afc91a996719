/* Subcommands that change state: book, review, withdraw, label. */
#ifndef COMMANDS_H
#define COMMANDS_H

#include "arguments.h"
#include "session.h"

/* Each runs one command and prints its result; the status is the exit code of the program. */
cw_status_t command_book(session_t *session, const arguments_t *arguments);
cw_status_t command_review(session_t *session, const arguments_t *arguments);
cw_status_t command_withdraw(session_t *session, const arguments_t *arguments);
cw_status_t command_label(session_t *session, const arguments_t *arguments);

#endif
