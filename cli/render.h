/* Formatting of replies as human-readable text. */
#ifndef RENDER_H
#define RENDER_H

#include "libcaraway.h"

/* The reply of one process; reply is NULL when the process did not reply. */
typedef struct {
	const char *address;
	const Caraway__OperatorReply *reply;
} process_reply_t;

const char *render_state_name(Caraway__ChangeState state);
void render_changes(const Caraway__OperatorReply *reply, GString *out);
void render_change(const Caraway__Change *change, GString *out);
void render_in_force(const Caraway__OperatorReply *reply, GString *out);
void render_status(const process_reply_t *replies, size_t count, GString *out);
void render_counters(const process_reply_t *replies, size_t count, GString *out);
void render_accounts(const process_reply_t *replies, size_t count, GString *out);

#endif
