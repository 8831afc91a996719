/* ZeroMQ sockets with CURVE, for encrypted connections. */
#include <errno.h>
#include <string.h>

#include "counters.h"
#include "link_internal.h"

#define ZAP_DOMAIN "caraway"

enum {
	MAX_QUEUED_MESSAGES = 10000, /* per connection and direction */
	MAX_MESSAGE_BYTES = 64 << 20,
	HANDSHAKE_TIMEOUT_MS = 2000,
	HEARTBEAT_INTERVAL_MS = 1000,
	HEARTBEAT_TIMEOUT_MS = 3000,
	CONNECT_TIMEOUT_MS = 700,     /* a VM that is powered off does not answer a SYN: retry soon */
	RETRANSMIT_TIMEOUT_MS = 3000, /* data unacknowledged for this long closes the connection */
	RECONNECT_INTERVAL_MS = 50,
	MAX_RECONNECT_INTERVAL_MS = 1000,
	LINGER_MS = 0, /* closing a socket drops its queued messages */
	MAX_ENDPOINT_BYTES = 256
};

/* Sets an integer option; the options used here cannot fail on an open socket. */
static void set_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

/* Opens a socket with the options common to servers and clients; NULL when ZeroMQ fails to create it. */
static void *open_socket(const link_context_t *context, int type)
{
	void *socket = zmq_socket(context->zmq, type);
	int64_t max_bytes = MAX_MESSAGE_BYTES;

	if (!socket)
		return NULL;
	set_option(socket, ZMQ_LINGER, LINGER_MS);
	set_option(socket, ZMQ_SNDHWM, MAX_QUEUED_MESSAGES);
	set_option(socket, ZMQ_RCVHWM, MAX_QUEUED_MESSAGES);
	set_option(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	set_option(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_option(socket, ZMQ_TCP_MAXRT, RETRANSMIT_TIMEOUT_MS);
	set_option(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
	set_option(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
	return socket;
}

/* Sets a string option, such as a key. */
static void set_text_option(void *socket, int option, const char *text)
{
	zmq_setsockopt(socket, option, text, strlen(text) + 1);
}

/* Enables CURVE on a server socket: only peers with a known key can connect. */
static void enable_server_encryption(const link_context_t *context, void *socket)
{
	if (!context->keys)
		return;
	set_option(socket, ZMQ_CURVE_SERVER, 1);
	set_text_option(socket, ZMQ_CURVE_SECRETKEY, context->keys->secret_key);
	zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN, strlen(ZAP_DOMAIN));
}

/* Returns whether an address is that of a control replica. */
static bool is_control_address(const link_context_t *context, const char *address)
{
	for (guint i = 0; i < context->control_addresses->len; i++)
		if (!strcmp(g_ptr_array_index(context->control_addresses, i), address))
			return true;
	return false;
}

/* Enables CURVE on a client socket: the peer must hold the key expected at its address. */
static void enable_client_encryption(const link_context_t *context, void *socket, const char *address)
{
	const keys_t *keys = context->keys;

	if (!keys)
		return;
	set_text_option(socket, ZMQ_CURVE_SERVERKEY,
			is_control_address(context, address) ? keys->control_public : keys->proxy_public);
	set_text_option(socket, ZMQ_CURVE_PUBLICKEY, keys->public_key);
	set_text_option(socket, ZMQ_CURVE_SECRETKEY, keys->secret_key);
}

/* Receives one frame without blocking; false when there is none. */
bool link_socket_receive(void *socket, zmq_msg_t *frame)
{
	zmq_msg_init(frame);
	if (zmq_msg_recv(frame, socket, ZMQ_DONTWAIT) >= 0)
		return true;
	zmq_msg_close(frame);
	return false;
}

/* Receives and drops the remaining frames of a message; returns their number. */
static size_t drop_frames(void *socket, bool more)
{
	size_t dropped = 0;
	zmq_msg_t frame;

	while (more && link_socket_receive(socket, &frame)) {
		more = zmq_msg_more(&frame);
		zmq_msg_close(&frame);
		dropped++;
	}
	return dropped;
}

/* Decodes and closes a frame; NULL when decoding fails or more frames follow, which are dropped. */
Caraway__Message *link_socket_decode(void *socket, zmq_msg_t *frame)
{
	Caraway__Message *message = NULL;

	if (!drop_frames(socket, zmq_msg_more(frame)))
		message = caraway__message__unpack(NULL, zmq_msg_size(frame), zmq_msg_data(frame));
	if (message && message->body_case == CARAWAY__MESSAGE__BODY__NOT_SET) {
		cw_message_free(message);
		message = NULL;
	}
	if (!message)
		counter_add(COUNTER_MESSAGE_UNDECODABLE, 1);
	zmq_msg_close(frame);
	return message;
}

/* Queues a packed message as one frame without blocking. */
cw_status_t link_socket_send(void *socket, const Caraway__Message *message)
{
	GBytes *packed = cw_message_pack(&message->base);
	gsize length;
	const void *data = g_bytes_get_data(packed, &length);
	int sent = zmq_send(socket, data, length, ZMQ_DONTWAIT);

	g_bytes_unref(packed);
	if (sent >= 0)
		return CW_OK;
	counter_add(COUNTER_SEND_REFUSED, 1);
	return cw_fail(CW_ERR_IO, "the message was not queued: %s", zmq_strerror(errno));
}

/* Closes a socket; the destroy function of the table of client sockets. */
void link_socket_close(gpointer socket)
{
	zmq_close(socket);
}

/* Binds a ROUTER socket; ZMQ_ROUTER_MANDATORY makes a send to a disconnected peer fail. */
void *link_socket_bind(const link_context_t *context, const char *address, char **bound)
{
	char bound_endpoint[MAX_ENDPOINT_BYTES];
	size_t length = sizeof(bound_endpoint);
	void *socket = open_socket(context, ZMQ_ROUTER);
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", address);

	if (!socket) {
		cw_fail(CW_ERR_IO, "%s: cannot open a socket: %s", address, zmq_strerror(errno));
		return NULL;
	}
	set_option(socket, ZMQ_ROUTER_MANDATORY, 1);
	enable_server_encryption(context, socket);
	if (zmq_bind(socket, endpoint)) {
		cw_fail(CW_ERR_IO, "%s: cannot bind: %s", address, zmq_strerror(errno));
		zmq_close(socket);
		return NULL;
	}
	zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, bound_endpoint, &length);
	*bound = g_strdup(bound_endpoint + strlen("tcp://"));
	return socket;
}

/* Connects a DEALER socket; ZMQ_IMMEDIATE makes it queue messages only while connected. */
void *link_socket_connect(const link_context_t *context, const char *address)
{
	void *socket = open_socket(context, ZMQ_DEALER);
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", address);

	if (!socket)
		return NULL;
	enable_client_encryption(context, socket, address);
	set_option(socket, ZMQ_IMMEDIATE, 1);
	set_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_INTERVAL_MS);
	set_option(socket, ZMQ_RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS);
	if (!zmq_connect(socket, endpoint))
		return socket;
	zmq_close(socket);
	return NULL;
}
