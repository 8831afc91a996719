/* Send buffer of a socket: bytes queued for sending and how many of them were sent. */
#include "outbox.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Initializes an empty buffer. */
void outbox_init(outbox_t *outbox)
{
	*outbox = (outbox_t){.bytes = g_byte_array_new()};
}

/* Frees the memory of a buffer. */
void outbox_clear(outbox_t *outbox)
{
	g_byte_array_unref(outbox->bytes);
}

/* Appends bytes. */
void outbox_append(outbox_t *outbox, const void *data, size_t length)
{
	g_byte_array_append(outbox->bytes, data, (guint)length);
}

/* Appends a string without its terminator. */
void outbox_append_text(outbox_t *outbox, const char *text)
{
	outbox_append(outbox, text, strlen(text));
}

/* Returns the number of bytes not sent yet. */
guint outbox_waiting(const outbox_t *outbox)
{
	return outbox->bytes->len - outbox->sent;
}

/* Sends as many bytes as a socket accepts without blocking. */
outbox_state_t outbox_flush(outbox_t *outbox, int fd)
{
	while (outbox_waiting(outbox)) {
		ssize_t length = send(fd, outbox->bytes->data + outbox->sent, outbox_waiting(outbox),
				      MSG_NOSIGNAL | MSG_DONTWAIT);

		if (length >= 0)
			outbox->sent += (guint)length;
		else if (errno == EAGAIN || errno == EWOULDBLOCK)
			return OUTBOX_WAITING;
		else if (errno != EINTR)
			return OUTBOX_FAILED;
	}
	return OUTBOX_EMPTY;
}

/* Removes all bytes, sent or not. */
void outbox_reset(outbox_t *outbox)
{
	g_byte_array_set_size(outbox->bytes, 0);
	outbox->sent = 0;
}
