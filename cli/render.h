/* Answers as text for people. */
#ifndef RENDER_H
#define RENDER_H

#include "libcaraway.h"

/* What one process answered to a query of its own state; reply is NULL when it did not answer. */
typedef struct {
	const char *address;
	const Caraway__OperatorReply *reply;
} answer_t;

const char *render_state_word(Caraway__ChangeState state);
void render_changes(const Caraway__OperatorReply *reply, GString *out);
void render_change(const Caraway__Change *change, GString *out);
void render_in_force(const Caraway__OperatorReply *reply, GString *out);
void render_status(const answer_t *answers, size_t count, GString *out);
void render_counters(const answer_t *answers, size_t count, GString *out);

#endif
