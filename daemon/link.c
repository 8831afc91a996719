/*
 * Connections that carry messages between processes: ZeroMQ sockets when
 * connections are encrypted (CURVE), else plain TCP connections (stream.h).
 */
#include "link_internal.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "counters.h"

enum { MAX_SOCKETS = 4096 /* limit of the ZeroMQ context, above the number of peers of a process */ };

/* Creates the context; aborts when ZeroMQ cannot create its own. */
link_context_t *link_context_new(void)
{
	link_context_t *context = g_new0(link_context_t, 1);

	context->zmq = zmq_ctx_new();
	if (!context->zmq)
		g_error("zmq_ctx_new: %s", zmq_strerror(errno));
	zmq_ctx_set(context->zmq, ZMQ_MAX_SOCKETS, MAX_SOCKETS);
	return context;
}

/* Frees the context; every socket must have been closed. */
void link_context_free(link_context_t *context)
{
	if (!context)
		return;
	zmq_ctx_term(context->zmq);
	auth_free(context->auth);
	g_free(context);
}

/* Enables encryption and authentication for connections opened from now on. */
cw_status_t link_context_enable_encryption(link_context_t *context, const keys_t *keys,
					   const GPtrArray *control_addresses)
{
	cw_status_t status;

	if (keys->insecure)
		return CW_OK;
	status = auth_new(context->zmq, keys, &context->auth);
	if (status != CW_OK)
		return status;
	context->keys = keys;
	context->control_addresses = control_addresses;
	return CW_OK;
}

/* Opens a server whose connections are encrypted. */
static cw_status_t open_socket_server(link_context_t *context, const char *address, link_server_t **server)
{
	char *bound;
	void *socket = link_socket_bind(context, address, &bound);

	if (!socket)
		return CW_ERR_IO;
	*server = g_new0(link_server_t, 1);
	(*server)->socket = socket;
	(*server)->checks_permissions = true;
	(*server)->address = bound;
	return CW_OK;
}

/* Binds HOST:PORT; port 0 selects a free one.  CW_ERR_IO when the address cannot be bound. */
cw_status_t link_server_open(link_context_t *context, const char *address, link_server_t **server)
{
	stream_server_t *stream;
	cw_status_t status;

	if (context->keys)
		return open_socket_server(context, address, server);
	status = stream_server_open(address, &stream);
	if (status != CW_OK)
		return status;
	*server = g_new0(link_server_t, 1);
	(*server)->stream = stream;
	(*server)->address = g_strdup(stream_server_address(stream));
	return CW_OK;
}

/* Closes a server immediately; queued messages are dropped.  NULL is allowed. */
void link_server_close(link_server_t *server)
{
	if (!server)
		return;
	if (server->stream)
		stream_server_close(server->stream);
	else
		zmq_close(server->socket);
	g_free(server->address);
	g_free(server);
}

/* Returns the bound HOST:PORT. */
const char *link_server_address(const link_server_t *server)
{
	return server->address;
}

/* Queues a message for a peer of a ZeroMQ socket. */
static cw_status_t send_to_socket_peer(link_server_t *server, GBytes *peer, const Caraway__Message *message)
{
	gsize length;
	const void *identity = g_bytes_get_data(peer, &length);

	if (zmq_send(server->socket, identity, length, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0) {
		counter_add(COUNTER_SEND_REFUSED, 1);
		return cw_fail(CW_ERR_IO, "the peer has disconnected or its queue is full: %s",
			       zmq_strerror(errno));
	}
	return link_socket_send(server->socket, message);
}

/* Queues a message for a peer; an error when the peer has disconnected or its queue is full. */
cw_status_t link_server_send(link_server_t *server, GBytes *peer, const Caraway__Message *message)
{
	if (server->stream)
		return stream_server_send(server->stream, peer, message);
	return send_to_socket_peer(server, peer, message);
}

/* Returns whether a message that was queued has not been sent yet; false where that is not known. */
bool link_server_has_unsent(const link_server_t *server)
{
	return server->stream && stream_server_has_unsent(server->stream);
}

/*
 * Rejects a message that its sender is not permitted to send: increments a
 * counter, replies to an operator request with CW_ERR_DENIED, frees the message.
 */
static void reject_message(link_server_t *server, GBytes *peer, Caraway__Message *message)
{
	Caraway__OperatorReply reply = CARAWAY__OPERATOR_REPLY__INIT;
	Caraway__Message envelope = CARAWAY__MESSAGE__INIT;

	counter_add(COUNTER_MESSAGE_DENIED, 1);
	if (message->body_case == CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST) {
		reply.request = message->operator_request->request;
		reply.status = CW_ERR_DENIED;
		reply.message = (char *)cw_last_error_message();
		envelope.body_case = CARAWAY__MESSAGE__BODY_OPERATOR_REPLY;
		envelope.operator_reply = &reply;
		link_server_send(server, peer, &envelope);
	}
	cw_message_free(message);
}

/* Receives the frame after an identity; NULL when it cannot be decoded or its sender may not send it. */
static Caraway__Message *receive_body(link_server_t *server, GBytes *peer)
{
	Caraway__Message *message;
	char *user_id = NULL;
	zmq_msg_t frame;

	if (!link_socket_receive(server->socket, &frame))
		return NULL;
	if (server->checks_permissions)
		user_id = g_strdup(zmq_msg_gets(&frame, "User-Id"));
	message = link_socket_decode(server->socket, &frame);
	if (message && server->checks_permissions && auth_check_message(user_id, message) != CW_OK) {
		reject_message(server, peer, message);
		message = NULL;
	}
	g_free(user_id);
	return message;
}

/* Returns the next message and its sender's identity, or NULL when there is none. */
Caraway__Message *link_server_receive(link_server_t *server, GBytes **peer)
{
	Caraway__Message *message = NULL;
	zmq_msg_t identity;

	if (server->stream)
		return stream_server_receive(server->stream, peer);
	while (!message && link_socket_receive(server->socket, &identity)) {
		*peer = g_bytes_new(zmq_msg_data(&identity), zmq_msg_size(&identity));
		if (zmq_msg_more(&identity))
			message = receive_body(server, *peer);
		else
			counter_add(COUNTER_MESSAGE_UNDECODABLE, 1);
		if (!message)
			g_bytes_unref(*peer);
		zmq_msg_close(&identity);
	}
	return message;
}

/* Creates a set of client connections, with none open. */
link_clients_t *link_clients_new(link_context_t *context)
{
	link_clients_t *clients = g_new0(link_clients_t, 1);

	clients->context = context;
	clients->sockets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, link_socket_close);
	clients->addresses = g_ptr_array_new();
	return clients;
}

/* Closes every client connection immediately.  NULL is allowed. */
void link_clients_free(link_clients_t *clients)
{
	if (!clients)
		return;
	if (clients->stream)
		stream_clients_free(clients->stream);
	g_ptr_array_free(clients->addresses, TRUE);
	g_hash_table_destroy(clients->sockets);
	g_free(clients);
}

/* Returns the plain TCP clients, created on first use; NULL when connections are encrypted. */
static stream_clients_t *get_stream_clients(link_clients_t *clients)
{
	if (!clients->stream && !clients->context->keys)
		clients->stream = stream_clients_new();
	return clients->stream;
}

/* Returns the ZeroMQ socket of an address, opened if needed; NULL when the address is invalid. */
static void *get_client_socket(link_clients_t *clients, const char *address)
{
	void *socket = g_hash_table_lookup(clients->sockets, address);
	char *key;

	if (socket)
		return socket;
	socket = link_socket_connect(clients->context, address);
	if (!socket)
		return NULL;
	key = g_strdup(address);
	g_hash_table_insert(clients->sockets, key, socket);
	g_ptr_array_add(clients->addresses, key);
	return socket;
}

/* Queues a message for HOST:PORT; on an error it was not sent.  CW_OK does not guarantee delivery. */
cw_status_t link_clients_send(link_clients_t *clients, const char *address, const Caraway__Message *message)
{
	void *socket;

	if (get_stream_clients(clients))
		return stream_clients_send(clients->stream, address, message);
	socket = get_client_socket(clients, address);
	if (socket)
		return link_socket_send(socket, message);
	counter_add(COUNTER_SEND_REFUSED, 1);
	return cw_fail(CW_ERR_IO, "%s: cannot open a connection to this address", address);
}

/* Opens the connection to an address before its first message. */
void link_clients_connect(link_clients_t *clients, const char *address)
{
	if (get_stream_clients(clients))
		stream_clients_connect(clients->stream, address);
	else
		get_client_socket(clients, address);
}

/* Closes the connection to an address; its queued messages are dropped. */
void link_clients_disconnect(link_clients_t *clients, const char *address)
{
	gpointer key;

	if (clients->stream) {
		stream_clients_disconnect(clients->stream, address);
		return;
	}
	if (!g_hash_table_lookup_extended(clients->sockets, address, &key, NULL))
		return;
	g_ptr_array_remove(clients->addresses, key);
	g_hash_table_remove(clients->sockets, address);
}

/* Returns the number of connections, including those being opened or waiting to reconnect. */
size_t link_clients_count(const link_clients_t *clients)
{
	return clients->stream ? stream_clients_count(clients->stream) : clients->addresses->len;
}

/* Closes the connections to addresses for which keep() returns false; their queued messages are dropped. */
void link_clients_retain(link_clients_t *clients, bool (*keep)(const void *data, const char *address),
			 const void *data)
{
	const GPtrArray *addresses =
		clients->stream ? stream_clients_addresses(clients->stream) : clients->addresses;

	for (guint i = addresses->len; i > 0; i--) {
		const char *address = g_ptr_array_index(addresses, i - 1);

		if (!keep(data, address))
			link_clients_disconnect(clients, address);
	}
}

/* Returns the next message and the address it came from, or NULL; polls the addresses round-robin. */
Caraway__Message *link_clients_receive(link_clients_t *clients, const char **address)
{
	size_t count = clients->addresses->len;

	if (clients->stream)
		return stream_clients_receive(clients->stream, address);
	for (size_t tried = 0; tried < count; tried++) {
		const char *from = g_ptr_array_index(clients->addresses, clients->next_index++ % count);
		void *socket = g_hash_table_lookup(clients->sockets, from);
		Caraway__Message *message;
		zmq_msg_t frame;

		if (!link_socket_receive(socket, &frame))
			continue;
		message = link_socket_decode(socket, &frame);
		if (!message)
			continue;
		*address = from;
		return message;
	}
	return NULL;
}
