/*
 * Account of the bytes that wait in this process: unsent answers and messages, answers and requests of which a
 * part has arrived, and frames that are incomplete.  Safe to update from any thread.
 */
#ifndef MEMORY_ACCOUNT_H
#define MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stddef.h>

/* What the bytes are, and for whom they wait. */
typedef enum {
	MEMORY_TO_CALLERS,   /* answers that callers have not read */
	MEMORY_TO_PROXIES,   /* messages that other processes have not read */
	MEMORY_TO_TARGET,    /* requests that the target has not read */
	MEMORY_FROM_PROXIES, /* messages of which a part has arrived, or that have not been handled */
	MEMORY_REQUESTS,     /* bodies of callers' requests, until the request has been answered */
	MEMORY_ANSWERS,	     /* bodies of the target's answers, until they are passed on */
	MEMORY_KINDS
} memory_kind_t;

/* The part of one holder, such as a buffer, in the account. */
typedef struct {
	memory_kind_t kind;
	size_t bytes;
} memory_share_t;

/* Sets the number of bytes from which on the account is full; 0: it is never full. */
void memory_account_set_limit(size_t bytes);
size_t memory_account_limit(void);
/* Records that a holder now has this many bytes. */
void memory_share_set(memory_share_t *share, size_t bytes);
/* Returns the bytes of one kind, or of all of them. */
size_t memory_account_held_by(memory_kind_t kind);
size_t memory_account_held(void);
bool memory_account_is_full(void);

#endif
