/* Plain TCP connections to many addresses, opened on first use and reopened when lost. */
#include <errno.h>
#include <unistd.h>

#include "clock.h"
#include "counters.h"
#include "log.h"
#include "socket_address.h"
#include "stream_connection.h"

enum {
	CHECK_INTERVAL_MS = 100,  /* between checks of the timeouts */
	CONNECT_TIMEOUT_MS = 700, /* for connect() and handshake; short, as a powered-off VM answers no SYN */
	RECONNECT_DELAY_MS = 50,  /* before a lost connection is reopened; doubled after each failure */
	MAX_RECONNECT_DOUBLINGS = 5,
	MAX_RECONNECT_DELAY_MS = 1000,
	PING_AFTER_MS = 1000,	   /* without input, until a connection in use is pinged */
	SILENCE_TIMEOUT_MS = 2500, /* without input, until a pinged connection is closed */
	IN_USE_MS = 5000	   /* after its last sent message, a connection counts as in use */
};

/* The connection to one address. */
typedef struct {
	stream_clients_t *clients;
	char *address;
	stream_connection_t *connection; /* NULL while waiting for retry_ms */
	int64_t connect_started_ms;	 /* when connect() was called */
	int64_t retry_ms;		 /* when to reconnect, while connection is NULL */
	int64_t last_sent_ms;
	int64_t last_ping_ms;
	uint32_t failures; /* connections lost or failed since one was last found established */
} client_t;

struct stream_clients {
	stream_group_t group;
	GHashTable *by_address; /* address -> client_t, owned */
	GPtrArray *addresses;	/* keys of by_address, in the order of first use */
	int64_t next_check_ms;
};

/* Schedules the reconnection of a client whose connection was closed. */
static void client_on_closed(stream_connection_t *connection)
{
	client_t *client = connection->owner;
	int64_t delay_ms = MIN((int64_t)RECONNECT_DELAY_MS << MIN(client->failures, MAX_RECONNECT_DOUBLINGS),
			       MAX_RECONNECT_DELAY_MS);

	client->connection = NULL;
	client->failures++;
	client->retry_ms = clock_now_ms() + delay_ms;
	client->clients->next_check_ms = MIN(client->clients->next_check_ms, client->retry_ms);
}

/* Closes the connection of a client and frees the client. */
static void client_free(void *data)
{
	client_t *client = data;

	if (client->connection)
		stream_connection_close(client->connection);
	g_free(client->address);
	g_free(client);
}

/* Starts to connect a client. */
static void client_connect(client_t *client)
{
	struct sockaddr_storage address;
	socklen_t length;
	int fd;

	client->retry_ms = clock_now_ms() + MAX_RECONNECT_DELAY_MS;
	if (socket_address_parse(client->address, &address, &length) != CW_OK)
		return;
	fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		log_error("no-socket", LOG_STR("error", g_strerror(errno)), LOG_END);
		return;
	}
	client->connect_started_ms = clock_now_ms();
	client->last_ping_ms = 0;
	client->connection = stream_connection_new(&client->clients->group, client, fd, 0, true);
	client->connection->address = client->address;
	if (connect(fd, (struct sockaddr *)&address, length) && errno != EINPROGRESS)
		stream_connection_close(client->connection);
}

/* Creates a set of client connections, with none open. */
stream_clients_t *stream_clients_new(void)
{
	stream_clients_t *clients = g_new0(stream_clients_t, 1);

	stream_group_init(&clients->group, client_on_closed);
	clients->by_address = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, client_free);
	clients->addresses = g_ptr_array_new();
	return clients;
}

/* Closes every connection and frees the clients. */
void stream_clients_free(stream_clients_t *clients)
{
	g_hash_table_destroy(clients->by_address);
	g_ptr_array_unref(clients->addresses);
	stream_group_clear(&clients->group);
	g_free(clients);
}

/* Returns the poller of the connections. */
poller_t *stream_clients_poller(const stream_clients_t *clients)
{
	return clients->group.poller;
}

/* Returns whether a message is in the receive queue. */
bool stream_clients_has_queued(const stream_clients_t *clients)
{
	return !g_queue_is_empty((GQueue *)&clients->group.received);
}

/* Returns the client of an address, created and connected if needed. */
static client_t *get_client(stream_clients_t *clients, const char *address)
{
	client_t *client = g_hash_table_lookup(clients->by_address, address);

	if (client)
		return client;
	client = g_new0(client_t, 1);
	client->clients = clients;
	client->address = g_strdup(address);
	g_hash_table_insert(clients->by_address, client->address, client);
	g_ptr_array_add(clients->addresses, client->address);
	client_connect(client);
	return client;
}

/*
 * Pings a connection in use from which nothing is received; closes it when the
 * silence continues.  The peer is not silent when this process has only not read
 * what it sent.
 */
static void check_silence(client_t *client, int64_t now_ms)
{
	stream_connection_t *connection = client->connection;
	bool in_use = now_ms < client->last_sent_ms + IN_USE_MS;

	if (!in_use || now_ms < connection->last_received_ms + PING_AFTER_MS ||
	    now_ms < client->last_ping_ms + PING_AFTER_MS)
		return;
	if (client->last_ping_ms > connection->last_received_ms &&
	    now_ms >= connection->last_received_ms + SILENCE_TIMEOUT_MS) {
		if (socket_has_input(connection->fd))
			return;
		log_info("connection-silent", LOG_STR("address", client->address),
			 LOG_INT("silent_ms", now_ms - connection->last_received_ms), LOG_END);
		stream_connection_close(connection);
		return;
	}
	client->last_ping_ms = now_ms;
	stream_connection_send_ping(connection);
}

/* Reconnects, pings or closes the connection of a client when that is due. */
static void check_client(client_t *client, int64_t now_ms)
{
	if (!client->connection) {
		if (now_ms >= client->retry_ms)
			client_connect(client);
	} else if (!stream_connection_is_established(client->connection)) {
		if (now_ms >= client->connect_started_ms + CONNECT_TIMEOUT_MS)
			stream_connection_close(client->connection);
	} else {
		client->failures = 0;
		check_silence(client, now_ms);
	}
}

/* Checks every client, at most once per CHECK_INTERVAL_MS or when a reconnection is due. */
static void check_clients(stream_clients_t *clients)
{
	int64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer client;

	if (now_ms < clients->next_check_ms)
		return;
	clients->next_check_ms = now_ms + CHECK_INTERVAL_MS;
	g_hash_table_iter_init(&iter, clients->by_address);
	while (g_hash_table_iter_next(&iter, NULL, &client))
		check_client(client, now_ms);
}

/* Queues a message on the connection to an address, if it is established. */
cw_status_t stream_clients_send(stream_clients_t *clients, const char *address,
				const Caraway__Message *message)
{
	client_t *client = get_client(clients, address);

	/*
	 * The handshake may have completed since the last call.  Only sending and
	 * receiving handle events, and this caller may never receive.
	 */
	if (!stream_connection_is_established(client->connection)) {
		poller_run(clients->group.poller, 0);
		check_clients(clients);
	}
	if (!stream_connection_is_established(client->connection)) {
		counter_add(COUNTER_SEND_REFUSED, 1);
		return cw_fail(CW_ERR_IO, "%s: not connected", address);
	}
	client->last_sent_ms = clock_now_ms();
	return stream_connection_send(client->connection, message);
}

/* Opens the connection to an address before its first message. */
void stream_clients_connect(stream_clients_t *clients, const char *address)
{
	get_client(clients, address);
}

/* Closes the connection to an address; messages received from it or queued for it are dropped. */
void stream_clients_disconnect(stream_clients_t *clients, const char *address)
{
	client_t *client = g_hash_table_lookup(clients->by_address, address);
	GList *next;

	if (!client)
		return;
	for (GList *link = clients->group.received.head; link; link = next) {
		stream_received_t *received = link->data;

		next = link->next;
		if (received->address != client->address)
			continue;
		g_queue_delete_link(&clients->group.received, link);
		stream_received_free(received);
	}
	g_ptr_array_remove(clients->addresses, client->address);
	g_hash_table_remove(clients->by_address, address);
}

/* Returns the number of addresses, connected or not. */
size_t stream_clients_count(const stream_clients_t *clients)
{
	return clients->addresses->len;
}

/* Returns the addresses in the order of first use. */
const GPtrArray *stream_clients_addresses(const stream_clients_t *clients)
{
	return clients->addresses;
}

/* Returns the next message and the address it came from, or NULL. */
Caraway__Message *stream_clients_receive(stream_clients_t *clients, const char **address)
{
	stream_received_t *received;
	Caraway__Message *message;

	check_clients(clients);
	received = stream_group_receive(&clients->group);
	if (!received)
		return NULL;
	message = received->message;
	*address = received->address;
	g_free(received);
	return message;
}
