/* Waits for messages, a poller's events and a descriptor at once. */
#include <errno.h>
#include <poll.h>

#include "link_internal.h"
#include "log.h"

enum { MAX_POLL_DESCRIPTORS = 8 /* more are waited for with zmq_poll() */ };

/* The items that link_wait() waits for. */
typedef struct {
	GArray *items;	      /* zmq_pollitem_t */
	GArray *pollers;      /* poller_t *; the first items are their descriptors */
	bool has_zmq_sockets; /* some items are ZeroMQ sockets */
} wait_set_t;

/* Adds a ZeroMQ socket or, when socket is NULL, a descriptor. */
static void add_item(wait_set_t *set, void *socket, int fd)
{
	const zmq_pollitem_t item = {.socket = socket, .fd = fd, .events = ZMQ_POLLIN};

	g_array_append_val(set->items, item);
	set->has_zmq_sockets = set->has_zmq_sockets || socket;
}

/* Adds a poller; pollers must be added before all other items. */
static void add_poller(wait_set_t *set, poller_t *poller)
{
	g_array_append_val(set->pollers, poller);
	add_item(set, NULL, poller_fd(poller));
}

/* Waits for the items; a single poll() call is enough when all are descriptors. */
static void wait_for_items(wait_set_t *set, int64_t timeout_ms)
{
	zmq_pollitem_t *items = (zmq_pollitem_t *)(void *)set->items->data;
	struct pollfd fds[MAX_POLL_DESCRIPTORS];
	int ready;

	if (set->has_zmq_sockets || set->items->len > MAX_POLL_DESCRIPTORS) {
		zmq_poll(items, (int)set->items->len, timeout_ms);
		return;
	}
	for (guint i = 0; i < set->items->len; i++)
		fds[i] = (struct pollfd){.fd = items[i].fd, .events = POLLIN};
	ready = poll(fds, set->items->len, (int)timeout_ms);
	/* A signal ends the wait like the timeout does; the caller then checks its own state. */
	if (ready < 0 && errno != EINTR)
		log_error("not-waited", LOG_STR("error", g_strerror(errno)), LOG_END);
	if (ready <= 0)
		return;
	for (guint i = 0; i < set->items->len; i++)
		items[i].revents = fds[i].revents ? ZMQ_POLLIN : 0;
}

/* Returns whether messages that were read already are queued: no descriptor becomes readable for them. */
static bool has_queued_messages(const link_server_t *server, const link_clients_t *clients)
{
	return (server && server->stream && stream_server_has_queued(server->stream)) ||
	       (clients && clients->stream && stream_clients_has_queued(clients->stream));
}

/* Waits for any of the items and records at each poller whether its descriptor is readable. */
bool link_wait(const link_server_t *server, const link_clients_t *clients, poller_t *poller, int fd,
	       int64_t timeout_ms)
{
	g_autoptr(GArray) items = g_array_new(FALSE, FALSE, sizeof(zmq_pollitem_t));
	g_autoptr(GArray) pollers = g_array_new(FALSE, FALSE, sizeof(poller_t *));
	wait_set_t set = {.items = items, .pollers = pollers};

	if (server && server->stream)
		add_poller(&set, stream_server_poller(server->stream));
	if (clients && clients->stream)
		add_poller(&set, stream_clients_poller(clients->stream));
	if (poller)
		add_poller(&set, poller);
	if (server && !server->stream)
		add_item(&set, server->socket, 0);
	for (guint i = 0; clients && i < clients->addresses->len; i++)
		add_item(&set,
			 g_hash_table_lookup(clients->sockets, g_ptr_array_index(clients->addresses, i)), 0);
	if (fd >= 0)
		add_item(&set, NULL, fd);
	wait_for_items(&set, has_queued_messages(server, clients) ? 0 : timeout_ms);
	for (guint i = 0; i < pollers->len; i++)
		poller_set_readable(g_array_index(pollers, poller_t *, i),
				    g_array_index(items, zmq_pollitem_t, i).revents != 0);
	return fd >= 0 && g_array_index(items, zmq_pollitem_t, items->len - 1).revents;
}
