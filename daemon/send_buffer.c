/* Send buffer of a socket: bytes queued for sending and how many of them were sent. */
#include "send_buffer.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* Initializes an empty buffer. */
void send_buffer_init(send_buffer_t *send_buffer)
{
	*send_buffer = (send_buffer_t){.bytes = g_byte_array_new()};
}

/* Frees the memory of a buffer. */
void send_buffer_free(send_buffer_t *send_buffer)
{
	g_byte_array_unref(send_buffer->bytes);
}

/* Appends bytes. */
void send_buffer_append(send_buffer_t *send_buffer, const void *data, size_t length)
{
	g_byte_array_append(send_buffer->bytes, data, (guint)length);
}

/* Appends a string without its terminator. */
void send_buffer_append_text(send_buffer_t *send_buffer, const char *text)
{
	send_buffer_append(send_buffer, text, strlen(text));
}

/* Returns the number of bytes not sent yet. */
guint send_buffer_pending(const send_buffer_t *send_buffer)
{
	return send_buffer->bytes->len - send_buffer->sent;
}

/* Sends as many bytes as a socket accepts without blocking. */
send_buffer_state_t send_buffer_flush(send_buffer_t *send_buffer, int fd)
{
	while (send_buffer_pending(send_buffer)) {
		ssize_t length = send(fd, send_buffer->bytes->data + send_buffer->sent,
				      send_buffer_pending(send_buffer), MSG_NOSIGNAL | MSG_DONTWAIT);

		if (length >= 0)
			send_buffer->sent += (guint)length;
		else if (errno == EAGAIN || errno == EWOULDBLOCK)
			return SEND_BUFFER_BLOCKED;
		else if (errno != EINTR)
			return SEND_BUFFER_FAILED;
	}
	return SEND_BUFFER_EMPTY;
}

/* Removes all bytes, sent or not. */
void send_buffer_reset(send_buffer_t *send_buffer)
{
	g_byte_array_set_size(send_buffer->bytes, 0);
	send_buffer->sent = 0;
}
