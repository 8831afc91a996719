/* Send buffer of a socket: bytes queued for sending and how many of them were sent. */
#ifndef SEND_BUFFER_H
#define SEND_BUFFER_H

#include <glib.h>
#include <stdint.h>

#include "memory_account.h"

typedef struct {
	GByteArray *bytes;    /* those to send, behind a prefix that was sent */
	guint sent_prefix;    /* length of that prefix */
	uint64_t sent;	      /* number of bytes sent since the last reset */
	guint longest;	      /* most bytes held since the memory was allocated */
	memory_share_t share; /* in the account of waiting bytes */
} send_buffer_t;

typedef enum {
	SEND_BUFFER_EMPTY,   /* every byte was sent */
	SEND_BUFFER_BLOCKED, /* the socket would block */
	SEND_BUFFER_FAILED   /* the connection is lost */
} send_buffer_state_t;

/* Initializes an empty buffer; kind says for whom its bytes wait. */
void send_buffer_init(send_buffer_t *send_buffer, memory_kind_t kind);
void send_buffer_free(send_buffer_t *send_buffer);
void send_buffer_append(send_buffer_t *send_buffer, const void *data, size_t length);
/* Appends an array, of which the buffer takes a reference instead of a copy when it is empty. */
void send_buffer_append_bytes(send_buffer_t *send_buffer, GByteArray *bytes);
/* Appends bytes that the caller writes; returns where, valid until the next change of the buffer. */
uint8_t *send_buffer_extend(send_buffer_t *send_buffer, size_t length);
void send_buffer_append_text(send_buffer_t *send_buffer, const char *text);
/* Returns the number of bytes not sent yet. */
guint send_buffer_pending(const send_buffer_t *send_buffer);
/* Sends as many bytes as a socket accepts without blocking; bytes that were sent take no memory for long. */
send_buffer_state_t send_buffer_flush(send_buffer_t *send_buffer, int fd);
/* Removes all bytes, sent or not; the memory of many is freed. */
void send_buffer_reset(send_buffer_t *send_buffer);

#endif
