/* A listening port for messages over plain TCP connections. */
#include <unistd.h>

#include "counters.h"
#include "log.h"
#include "socket_address.h"
#include "stream_connection.h"

enum { LISTEN_BACKLOG = 512, MAX_ACCEPT_BATCH = 64 };

struct stream_server {
	stream_group_t group;
	poller_watch_t watch;
	int fd;
	char *address;		 /* HOST:PORT as bound */
	uint64_t last_id;	 /* of the connections accepted so far */
	GHashTable *connections; /* id -> stream_connection_t */
};

/* Removes a closed connection from the table of its server. */
static void server_on_closed(stream_connection_t *connection)
{
	stream_server_t *server = connection->owner;

	g_hash_table_remove(server->connections, &connection->id);
}

/* Accepts pending connections, at most MAX_ACCEPT_BATCH of them. */
static void accept_connections(void *data, uint32_t events)
{
	stream_server_t *server = data;

	(void)events;
	for (int i = 0; i < MAX_ACCEPT_BATCH; i++) {
		int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		stream_connection_t *connection;

		if (fd < 0)
			return;
		connection = stream_connection_new(&server->group, server, fd, ++server->last_id, false);
		g_hash_table_insert(server->connections, &connection->id, connection);
		/* Clients send nothing before it: a port that accepts may belong to a stuck or foreign program. */
		stream_connection_send_pong(connection);
	}
}

/* Opens a server on HOST:PORT. */
cw_status_t stream_server_open(const char *address, stream_server_t **out)
{
	int fd = socket_listen(address, LISTEN_BACKLOG);
	stream_server_t *server;

	if (fd < 0)
		return CW_ERR_IO;
	server = g_new0(stream_server_t, 1);
	stream_group_init(&server->group, server_on_closed);
	server->fd = fd;
	server->address = socket_bound_address(fd);
	server->watch = (poller_watch_t){accept_connections, server};
	server->connections = g_hash_table_new(g_int64_hash, g_int64_equal);
	poller_add(server->group.poller, fd, EPOLLIN, &server->watch);
	*out = server;
	return CW_OK;
}

/* Closes the port and every connection, and frees the server. */
void stream_server_close(stream_server_t *server)
{
	g_autoptr(GList) connections = g_hash_table_get_values(server->connections);

	for (GList *link = connections; link; link = link->next)
		stream_connection_close(link->data);
	poller_remove(server->group.poller, server->fd);
	close(server->fd);
	stream_group_clear(&server->group);
	g_hash_table_destroy(server->connections);
	g_free(server->address);
	g_free(server);
}

/* Returns the bound HOST:PORT. */
const char *stream_server_address(const stream_server_t *server)
{
	return server->address;
}

/* Returns the poller of the server's sockets. */
poller_t *stream_server_poller(const stream_server_t *server)
{
	return server->group.poller;
}

/* Returns whether a message is in the receive queue. */
bool stream_server_has_queued(const stream_server_t *server)
{
	return !g_queue_is_empty((GQueue *)&server->group.received);
}

/* Returns whether a part of a message has not been sent yet. */
bool stream_server_has_unsent(const stream_server_t *server)
{
	GHashTableIter iter;
	gpointer connection;

	g_hash_table_iter_init(&iter, server->connections);
	while (g_hash_table_iter_next(&iter, NULL, &connection))
		if (send_buffer_pending(&((const stream_connection_t *)connection)->output))
			return true;
	return false;
}

/* Returns the next message and the identity of its connection, or NULL. */
Caraway__Message *stream_server_receive(stream_server_t *server, GBytes **peer)
{
	stream_received_t *received = stream_group_receive(&server->group);
	Caraway__Message *message;

	if (!received)
		return NULL;
	message = received->message;
	*peer = g_bytes_new(&received->id, sizeof(received->id));
	g_free(received);
	return message;
}

/* Queues a message on the connection with the identity that stream_server_receive() returned. */
cw_status_t stream_server_send(stream_server_t *server, GBytes *peer, const Caraway__Message *message)
{
	gsize length;
	const uint64_t *id = g_bytes_get_data(peer, &length);
	stream_connection_t *connection = g_hash_table_lookup(server->connections, id);

	if (connection)
		return stream_connection_send(connection, message);
	counter_add(COUNTER_SEND_REFUSED, 1);
	return cw_fail(CW_ERR_IO, "the connection to the peer is closed");
}
