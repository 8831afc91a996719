/* Send buffer of a socket: bytes queued for sending and how many of them were sent. */
#ifndef OUTBOX_H
#define OUTBOX_H

#include <glib.h>

typedef struct {
	GByteArray *bytes;
	guint sent; /* number of bytes already sent */
} outbox_t;

typedef enum {
	OUTBOX_EMPTY,	/* every byte was sent */
	OUTBOX_WAITING, /* the socket would block */
	OUTBOX_FAILED	/* the connection is lost */
} outbox_state_t;

void outbox_init(outbox_t *outbox);
void outbox_clear(outbox_t *outbox);
void outbox_append(outbox_t *outbox, const void *data, size_t length);
void outbox_append_text(outbox_t *outbox, const char *text);
/* Returns the number of bytes not sent yet. */
guint outbox_waiting(const outbox_t *outbox);
/* Sends as many bytes as a socket accepts without blocking. */
outbox_state_t outbox_flush(outbox_t *outbox, int fd);
/* Removes all bytes, sent or not. */
void outbox_reset(outbox_t *outbox);

#endif
