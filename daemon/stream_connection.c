/*
 * A plain TCP connection that carries messages, without threads.
 *
 * A frame is a four-byte length, little-endian, followed by a packed message.
 * Length 0 without a message is a ping.  It is answered with a pong: the length
 * UINT32_MAX without a message, which a server also sends after accepting a
 * connection, as its handshake.
 */
#include "stream_connection.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "counters.h"
#include "log.h"

enum {
	FRAME_LENGTH_BYTES = 4,
	MAX_MESSAGE_BYTES = 64 << 20,
	MAX_UNSENT_BYTES = 16 << 20, /* of one connection; further messages are refused */
	READ_BUFFER_BYTES = 65536,
	LONG_INPUT_BYTES = 65536, /* a shorter part of a message is received also when the account is full */
	KEEP_INPUT_BYTES = 65536, /* an input buffer that has held more is freed when it is empty */
	UNACKNOWLEDGED_TIMEOUT_MS = 3000 /* data unacknowledged for this long closes the connection */
};

static const uint32_t pong_length = UINT32_MAX;

/* Frees a closed connection. */
static void connection_free(void *data)
{
	stream_connection_t *connection = data;

	g_byte_array_unref(connection->input);
	memory_share_set(&connection->input_share, 0);
	send_buffer_free(&connection->output);
	g_free(connection);
}

/* Returns whether messages may be sent on a connection. */
bool stream_connection_is_established(const stream_connection_t *connection)
{
	return connection && !connection->connecting && connection->handshake_done;
}

/* Closes a connection and calls on_closed(); its queued messages are dropped. */
void stream_connection_close(stream_connection_t *connection)
{
	if (connection->fd < 0)
		return;
	poller_remove(connection->group->poller, connection->fd);
	close(connection->fd);
	connection->fd = -1;
	g_ptr_array_remove_fast(connection->group->paused, connection);
	if (connection->group->long_reader == connection)
		connection->group->long_reader = NULL;
	connection->group->on_closed(connection);
	poller_free_later(connection->group->poller, connection_free, connection);
}

/* Sets what the poller watches a connection for. */
static void watch_connection(stream_connection_t *connection)
{
	uint32_t events = (connection->paused ? 0 : (uint32_t)EPOLLIN) |
			  (connection->watches_writable ? (uint32_t)EPOLLOUT : 0);

	poller_change(connection->group->poller, connection->fd, events, &connection->watch);
}

/* Watches a connection for EPOLLOUT while it is connecting or has unsent data. */
static void update_events(stream_connection_t *connection)
{
	bool watches_writable = connection->connecting || send_buffer_pending(&connection->output);

	if (watches_writable == connection->watches_writable)
		return;
	connection->watches_writable = watches_writable;
	watch_connection(connection);
}

/*
 * Returns whether more of a message may be received.  While the account of waiting bytes is full, each group
 * receives short messages and one long one, so that this one is handled and frees its memory.
 */
static bool may_receive(stream_connection_t *connection)
{
	stream_group_t *group = connection->group;

	if (group->long_reader && group->long_reader->input->len < LONG_INPUT_BYTES)
		group->long_reader = NULL;
	if (connection->input->len < LONG_INPUT_BYTES || !memory_account_is_full())
		return true;
	if (!group->long_reader)
		group->long_reader = connection;
	return group->long_reader == connection;
}

/* Stops to read from a connection, so that the peer waits. */
static void pause_connection(stream_connection_t *connection)
{
	connection->paused = true;
	g_ptr_array_add(connection->group->paused, connection);
	watch_connection(connection);
	counter_add(COUNTER_CONNECTION_PAUSED, 1);
	log_info("connection-paused", LOG_STR("address", connection->address),
		 LOG_UINT("input_bytes", connection->input->len),
		 LOG_UINT("waiting_bytes", memory_account_held()), LOG_END);
}

/* Reads on from the paused connections of a group that may receive again. */
static void resume_paused(stream_group_t *group)
{
	for (guint i = group->paused->len; i > 0; i--) {
		stream_connection_t *connection = g_ptr_array_index(group->paused, i - 1);

		if (!may_receive(connection))
			continue;
		connection->paused = false;
		g_ptr_array_remove_index_fast(group->paused, i - 1);
		connection->last_received_ms = clock_now_ms();
		watch_connection(connection);
	}
}

/* Sends pending output without blocking; false when the connection was closed. */
static bool flush_output(stream_connection_t *connection)
{
	switch (send_buffer_flush(&connection->output, connection->fd)) {
	case SEND_BUFFER_FAILED:
		stream_connection_close(connection);
		return false;
	case SEND_BUFFER_EMPTY:
		send_buffer_reset(&connection->output);
		break;
	case SEND_BUFFER_BLOCKED:
		break;
	}
	update_events(connection);
	return true;
}

/* Appends a frame length to the output. */
static void append_frame_length(stream_connection_t *connection, uint32_t length)
{
	uint32_t length_le = GUINT32_TO_LE(length);

	send_buffer_append(&connection->output, &length_le, FRAME_LENGTH_BYTES);
}

/* Queues a message on an established connection, and sends what the socket accepts at once. */
cw_status_t stream_connection_send(stream_connection_t *connection, const Caraway__Message *message)
{
	size_t length = caraway__message__get_packed_size(message);

	if (send_buffer_pending(&connection->output) + length > MAX_UNSENT_BYTES) {
		counter_add(COUNTER_SEND_REFUSED, 1);
		return cw_fail(CW_ERR_FULL, "the send queue of the connection is full: %u bytes are unsent",
			       send_buffer_pending(&connection->output));
	}
	append_frame_length(connection, (uint32_t)length);
	caraway__message__pack(message, send_buffer_extend(&connection->output, length));
	if (flush_output(connection))
		return CW_OK;
	counter_add(COUNTER_SEND_REFUSED, 1);
	/* At most a part of the frame was sent, which the peer discards: the message is not delivered. */
	return cw_fail(CW_ERR_IO, "the connection was lost while a message was being sent");
}

/* Sends a pong, which proves to the peer that this side implements the protocol. */
void stream_connection_send_pong(stream_connection_t *connection)
{
	append_frame_length(connection, pong_length);
	flush_output(connection);
}

/* Sends a ping, which the peer answers with a pong. */
void stream_connection_send_ping(stream_connection_t *connection)
{
	append_frame_length(connection, 0);
	flush_output(connection);
}

/* Decodes a message and appends it to the receive queue. */
static void queue_message(stream_connection_t *connection, const uint8_t *data, uint32_t length)
{
	Caraway__Message *message = caraway__message__unpack(NULL, length, data);
	stream_received_t *received;

	if (!message || message->body_case == CARAWAY__MESSAGE__BODY__NOT_SET) {
		counter_add(COUNTER_MESSAGE_UNDECODABLE, 1);
		cw_message_free(message);
		return;
	}
	received = g_new(stream_received_t, 1);
	*received =
		(stream_received_t){.message = message, .id = connection->id, .address = connection->address};
	received->share.kind = MEMORY_FROM_PROXIES;
	memory_share_set(&received->share, length);
	g_queue_push_tail(&connection->group->received, received);
}

/* Removes processed bytes from the start of the input; the memory of a long message is freed with its last byte. */
static void remove_input(stream_connection_t *connection, guint length)
{
	GByteArray *input = connection->input;

	if (length == input->len && length > KEEP_INPUT_BYTES) {
		g_byte_array_unref(input);
		connection->input = g_byte_array_new();
	} else {
		g_byte_array_remove_range(input, 0, length);
	}
	memory_share_set(&connection->input_share, connection->input->len);
}

/* Processes the complete frames of the input; false when the connection was closed. */
static bool process_frames(stream_connection_t *connection)
{
	GByteArray *input = connection->input;
	guint consumed = 0;
	uint32_t length;

	while (input->len - consumed >= FRAME_LENGTH_BYTES) {
		memcpy(&length, input->data + consumed, FRAME_LENGTH_BYTES);
		length = GUINT32_FROM_LE(length);
		if (!length)
			append_frame_length(connection, pong_length);
		if (length == pong_length) {
			connection->handshake_done = true;
			length = 0;
		}
		if (length > MAX_MESSAGE_BYTES || !connection->handshake_done) {
			counter_add(COUNTER_MESSAGE_UNDECODABLE, 1);
			stream_connection_close(connection);
			return false;
		}
		if (input->len - consumed < FRAME_LENGTH_BYTES + length)
			break;
		if (length)
			queue_message(connection, input->data + consumed + FRAME_LENGTH_BYTES, length);
		consumed += FRAME_LENGTH_BYTES + length;
	}
	remove_input(connection, consumed);
	return flush_output(connection);
}

/* Receives data and processes its frames; failed: the connection has ended, which the poller reports until it is read. */
static void receive_input(stream_connection_t *connection, bool failed)
{
	char buffer[READ_BUFFER_BYTES];
	ssize_t length;

	if (!failed && !may_receive(connection)) {
		if (!connection->paused)
			pause_connection(connection);
		return;
	}
	length = recv(connection->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (length <= 0) {
		stream_connection_close(connection);
		return;
	}
	connection->last_received_ms = clock_now_ms();
	g_byte_array_append(connection->input, (const guint8 *)buffer, (guint)length);
	process_frames(connection);
}

/* Handles the result of connect(); false when it failed. */
static bool finish_connecting(stream_connection_t *connection)
{
	int error = 0;
	socklen_t length = sizeof(error);

	getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &length);
	if (error) {
		stream_connection_close(connection);
		return false;
	}
	connection->connecting = false;
	connection->last_received_ms = clock_now_ms();
	update_events(connection);
	return true;
}

/* Handles the poller's events of a connection. */
static void connection_on_ready(void *data, uint32_t events)
{
	stream_connection_t *connection = data;

	if (connection->fd < 0 || (connection->connecting && !finish_connecting(connection)))
		return;
	if ((events & EPOLLOUT) && !flush_output(connection))
		return;
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP))
		receive_input(connection, events & (EPOLLERR | EPOLLHUP));
}

/* Sets the socket options; keepalive detects a dead peer also on a connection without unacknowledged data. */
static void set_socket_options(int fd)
{
	int one = 1;
	int timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS;
	int keepalive_s = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_s, sizeof(keepalive_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_s, sizeof(keepalive_s));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
}

/* Creates a connection from a socket and adds it to the poller. */
stream_connection_t *stream_connection_new(stream_group_t *group, void *owner, int fd, uint64_t id,
					   bool connecting)
{
	stream_connection_t *connection = g_new0(stream_connection_t, 1);

	set_socket_options(fd);
	connection->group = group;
	connection->owner = owner;
	connection->fd = fd;
	connection->id = id;
	connection->connecting = connecting;
	connection->handshake_done = !connecting;
	connection->watches_writable = connecting;
	connection->input = g_byte_array_new();
	send_buffer_init(&connection->output, MEMORY_TO_PROXIES);
	connection->input_share.kind = MEMORY_FROM_PROXIES;
	connection->last_received_ms = clock_now_ms();
	connection->watch = (poller_watch_t){connection_on_ready, connection};
	poller_add(group->poller, fd, EPOLLIN | (connecting ? (uint32_t)EPOLLOUT : 0), &connection->watch);
	return connection;
}

/* Creates the poller and the receive queue. */
void stream_group_init(stream_group_t *group, void (*on_closed)(stream_connection_t *connection))
{
	group->poller = poller_new();
	group->on_closed = on_closed;
	g_queue_init(&group->received);
	group->long_reader = NULL;
	group->paused = g_ptr_array_new();
}

/* Frees an item of the receive queue with its message. */
void stream_received_free(void *data)
{
	stream_received_t *received = data;

	cw_message_free(received->message);
	memory_share_set(&received->share, 0);
	g_free(received);
}

/* Frees the poller and the receive queue; the connections must have been closed. */
void stream_group_clear(stream_group_t *group)
{
	g_queue_clear_full(&group->received, stream_received_free);
	g_ptr_array_unref(group->paused);
	poller_free(group->poller);
}

/* Returns the next message, or NULL; an empty queue is first filled from the connections that are ready. */
stream_received_t *stream_group_receive(stream_group_t *group)
{
	stream_received_t *received;

	if (group->paused->len)
		resume_paused(group);
	if (g_queue_is_empty(&group->received))
		poller_run_ready(group->poller);
	received = g_queue_pop_head(&group->received);
	if (received)
		memory_share_set(&received->share, 0);
	return received;
}
