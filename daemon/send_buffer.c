/* Send buffer of a socket: bytes queued for sending and how many of them were sent. */
#include "send_buffer.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

enum {
	COMPACT_BYTES = 65536, /* fewer sent bytes stay until the buffer is empty */
	KEEP_BYTES = 65536     /* a buffer that has held more is freed when it is empty */
};

/* Updates the share of a buffer in the account of waiting bytes, which includes sent ones that still take memory. */
static void update_share(send_buffer_t *send_buffer)
{
	memory_share_set(&send_buffer->share, send_buffer->bytes->len);
}

/* Initializes an empty buffer. */
void send_buffer_init(send_buffer_t *send_buffer, memory_kind_t kind)
{
	*send_buffer = (send_buffer_t){.bytes = g_byte_array_new(), .share = {.kind = kind}};
}

/* Frees the memory of a buffer. */
void send_buffer_free(send_buffer_t *send_buffer)
{
	g_byte_array_unref(send_buffer->bytes);
	memory_share_set(&send_buffer->share, 0);
}

/* Appends bytes. */
void send_buffer_append(send_buffer_t *send_buffer, const void *data, size_t length)
{
	g_byte_array_append(send_buffer->bytes, data, (guint)length);
	update_share(send_buffer);
}

/* Appends bytes that the caller writes. */
uint8_t *send_buffer_extend(send_buffer_t *send_buffer, size_t length)
{
	guint start = send_buffer->bytes->len;

	g_byte_array_set_size(send_buffer->bytes, start + (guint)length);
	update_share(send_buffer);
	return send_buffer->bytes->data + start;
}

/* Appends an array; nothing else may change it from then on. */
void send_buffer_append_bytes(send_buffer_t *send_buffer, GByteArray *bytes)
{
	if (send_buffer->bytes->len) {
		send_buffer_append(send_buffer, bytes->data, bytes->len);
		return;
	}
	g_byte_array_unref(send_buffer->bytes);
	send_buffer->bytes = g_byte_array_ref(bytes);
	update_share(send_buffer);
}

/* Appends a string without its terminator. */
void send_buffer_append_text(send_buffer_t *send_buffer, const char *text)
{
	send_buffer_append(send_buffer, text, strlen(text));
}

/* Returns the number of bytes not sent yet. */
guint send_buffer_pending(const send_buffer_t *send_buffer)
{
	return send_buffer->bytes->len - send_buffer->sent_prefix;
}

/* Removes the sent bytes once they are as many as the others, so that a buffer that is never empty does not grow. */
static void compact(send_buffer_t *send_buffer)
{
	if (send_buffer->sent_prefix < COMPACT_BYTES ||
	    send_buffer->sent_prefix < send_buffer_pending(send_buffer))
		return;
	g_byte_array_remove_range(send_buffer->bytes, 0, send_buffer->sent_prefix);
	send_buffer->sent_prefix = 0;
	update_share(send_buffer);
}

/* Sends as many bytes as a socket accepts without blocking. */
send_buffer_state_t send_buffer_flush(send_buffer_t *send_buffer, int fd)
{
	send_buffer->longest = MAX(send_buffer->longest, send_buffer->bytes->len);
	while (send_buffer_pending(send_buffer)) {
		ssize_t length = send(fd, send_buffer->bytes->data + send_buffer->sent_prefix,
				      send_buffer_pending(send_buffer), MSG_NOSIGNAL | MSG_DONTWAIT);

		if (length >= 0) {
			send_buffer->sent_prefix += (guint)length;
			send_buffer->sent += (uint64_t)length;
			compact(send_buffer);
		} else if (errno == EAGAIN || errno == EWOULDBLOCK) {
			return SEND_BUFFER_BLOCKED;
		} else if (errno != EINTR) {
			return SEND_BUFFER_FAILED;
		}
	}
	return SEND_BUFFER_EMPTY;
}

/* Removes all bytes, sent or not. */
void send_buffer_reset(send_buffer_t *send_buffer)
{
	if (MAX(send_buffer->longest, send_buffer->bytes->len) > KEEP_BYTES) {
		send_buffer_free(send_buffer);
		send_buffer_init(send_buffer, send_buffer->share.kind);
		return;
	}
	g_byte_array_set_size(send_buffer->bytes, 0);
	update_share(send_buffer);
	send_buffer->sent_prefix = 0;
	send_buffer->sent = 0;
}
