/* Listening socket of the HTTP server: accepts connections, evicts idle ones and enforces timeouts. */
#include "http_connection.h"

#include <errno.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "counters.h"
#include "log.h"
#include "socket_address.h"

enum {
	BACKLOG = 512,
	ACCEPT_BATCH = 64, /* connections accepted before other descriptors are served */
	/* Connections that are not idle, in multiples of the limit: 3 times 1024 leave 800 of 3,900 descriptors to others. */
	MAX_EXCESS = 3,
	MIN_UNREAD_BYTES = 16384, /* a caller with fewer unread bytes is never closed as a slow reader */
	TICK_INTERVAL_MS = 200	  /* between checks of the connections' timeouts */
};

/* Closes the evictable connection that has been idle for longest, if any. */
static void evict_idle_connection(http_server_t *server)
{
	http_connection_t *oldest = NULL;

	for (GList *link = server->connections.head; link; link = link->next) {
		http_connection_t *connection = link->data;

		if (http_connection_is_evictable(connection) &&
		    (!oldest || connection->last_activity_ms < oldest->last_activity_ms))
			oldest = connection;
	}
	if (!oldest)
		return;
	counter_add(COUNTER_CONNECTION_EVICTED, 1);
	log_info("connection-evicted", LOG_INT("silent_ms", clock_now_ms() - oldest->last_activity_ms),
		 LOG_END);
	http_connection_close(oldest);
}

/* Closes an accepted connection before it is read, as there are too many that cannot be closed. */
static void refuse_connection(const http_server_t *server, int fd)
{
	close(fd);
	counter_add(COUNTER_CONNECTION_REFUSED, 1);
	log_warning("connection-refused", LOG_UINT("connections", http_server_connections(server)), LOG_END);
}

/*
 * Adds an accepted connection; evicts an idle one when the limit is reached.  Where none is idle it is exceeded, as
 * callers with a request in progress may come at once, but not without bound: callers that do not read are not idle.
 */
static void add_connection(http_server_t *server, int fd)
{
	if (http_server_connections(server) >= server->limits.max_connections)
		evict_idle_connection(server);
	if (http_server_connections(server) >= MAX_EXCESS * server->limits.max_connections)
		refuse_connection(server, fd);
	else
		http_connection_open(server, fd);
}

/* Accepts pending connections. */
static void on_listener_ready(void *data, uint32_t events)
{
	http_server_t *server = data;

	(void)events;
	for (int i = 0; i < ACCEPT_BATCH; i++) {
		int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd >= 0) {
			add_connection(server, fd);
			continue;
		}
		if (errno == EMFILE || errno == ENFILE)
			evict_idle_connection(server);
		return;
	}
}

/* Listens on HOST:PORT. */
cw_status_t http_server_new(poller_t *poller, const char *address, const http_server_limits_t *limits,
			    const http_handlers_t *handlers, http_server_t **out)
{
	int fd = socket_listen(address, BACKLOG);
	http_server_t *server;

	if (fd < 0)
		return CW_ERR_IO;
	server = g_new0(http_server_t, 1);
	server->poller = poller;
	server->fd = fd;
	server->address = socket_bound_address(fd);
	server->limits = *limits;
	server->handlers = *handlers;
	server->watch = (poller_watch_t){on_listener_ready, server};
	g_queue_init(&server->connections);
	poller_add(poller, fd, EPOLLIN, &server->watch);
	*out = server;
	return CW_OK;
}

/* Closes the port and every connection; NULL is allowed. */
void http_server_free(http_server_t *server)
{
	if (!server)
		return;
	while (server->connections.head)
		http_connection_close(server->connections.head->data);
	if (server->fd >= 0) {
		poller_remove(server->poller, server->fd);
		close(server->fd);
	}
	g_free(server->address);
	g_free(server);
}

/* Returns HOST:PORT, with the port bound. */
const char *http_server_address(const http_server_t *server)
{
	return server->address;
}

/* Replaces the limits, also for open connections. */
void http_server_set_limits(http_server_t *server, const http_server_limits_t *limits)
{
	server->limits = *limits;
	for (GList *link = server->connections.head; link; link = link->next) {
		http_connection_t *connection = link->data;

		connection->reader.limits.max_header_bytes = limits->max_header_bytes;
		connection->reader.limits.max_body_bytes = limits->max_body_bytes;
	}
}

/* Checks the timeouts of all connections. */
void http_server_tick(http_server_t *server, int64_t now_ms)
{
	GList *next;

	if (now_ms < server->next_tick_ms)
		return;
	server->next_tick_ms = now_ms + TICK_INTERVAL_MS;
	for (GList *link = server->connections.head; link; link = next) {
		next = link->next;
		http_connection_tick(link->data, now_ms);
	}
}

/* Returns for how long a caller with unread responses has read nothing, in milliseconds. */
static int64_t stalled_ms(const http_connection_t *connection, int64_t now_ms)
{
	return connection->last_read_ms ? MAX(now_ms - connection->last_read_ms, 0) : 0;
}

/* Returns the connection with the most unread bytes, weighted by the time since its caller has read any; or NULL. */
static http_connection_t *slowest_reader(const http_server_t *server, int64_t now_ms)
{
	http_connection_t *slowest = NULL;
	uint64_t highest = 0;

	for (const GList *link = server->connections.head; link; link = link->next) {
		uint64_t bytes = http_connection_unread_bytes(link->data);
		uint64_t weight = bytes * ((uint64_t)stalled_ms(link->data, now_ms) + 1);

		if (bytes < MIN_UNREAD_BYTES || weight <= highest)
			continue;
		highest = weight;
		slowest = link->data;
	}
	return slowest;
}

/* Closes the connection of a caller that does not read. */
static void close_slow_reader(http_connection_t *connection, int64_t now_ms)
{
	counter_add(COUNTER_SLOW_READER_CLOSED, 1);
	log_warning("slow-reader-closed", LOG_UINT("unread_bytes", http_connection_unread_bytes(connection)),
		    LOG_INT("stalled_ms", stalled_ms(connection, now_ms)),
		    LOG_UINT("all_unread_bytes", memory_account_held_by(MEMORY_TO_CALLERS)),
		    LOG_UINT("waiting_bytes", memory_account_held()), LOG_END);
	http_connection_reset(connection);
}

/* Returns whether more than max_unread_bytes are unread. */
static bool has_too_many_unread(const http_server_t *server)
{
	return server->limits.max_unread_bytes &&
	       memory_account_held_by(MEMORY_TO_CALLERS) > server->limits.max_unread_bytes;
}

/* Closes connections of callers that do not read their responses while these fill the memory. */
void http_server_close_slow_readers(http_server_t *server, int64_t now_ms)
{
	http_connection_t *slowest;

	while (has_too_many_unread(server) && (slowest = slowest_reader(server, now_ms)))
		close_slow_reader(slowest, now_ms);
	while (memory_account_is_full() && (slowest = slowest_reader(server, now_ms)) &&
	       stalled_ms(slowest, now_ms) >= server->limits.slow_reader_ms)
		close_slow_reader(slowest, now_ms);
}

/* Returns when http_server_tick() is due. */
int64_t http_server_next_tick_ms(const http_server_t *server)
{
	return server->connections.head ? server->next_tick_ms : INT64_MAX;
}

/* Sends "Connection: close" with the last response of each connection from now on. */
void http_server_drain(http_server_t *server)
{
	server->draining = true;
}

/*
 * Accepts no new connections: a filter on the listening socket drops the segments
 * that open one (SYN without ACK).  Closing the socket at once would instead reset
 * connections that are established but not yet accepted, and lose their requests.
 * A caller whose SYN was dropped retransmits it after a second; once the socket is
 * closed it is refused then, before it has sent a request.  Where the system rejects
 * the filter, pending connections are accepted and the socket is closed.
 */
void http_server_stop_accepting(http_server_t *server)
{
	enum { TCP_FLAGS_OFFSET = 13, TCP_SYN = 0x02, TCP_ACK = 0x10, WHOLE_SEGMENT = 0x40000 };
	struct sock_filter drop_syn[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TCP_SYN | TCP_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, WHOLE_SEGMENT),
	};
	struct sock_fprog program = {.len = G_N_ELEMENTS(drop_syn), .filter = drop_syn};

	if (server->fd < 0 ||
	    !setsockopt(server->fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)))
		return;
	log_info("port-closed-without-filter", LOG_STR("error", g_strerror(errno)), LOG_END);
	on_listener_ready(server, EPOLLIN);
	poller_remove(server->poller, server->fd);
	close(server->fd);
	server->fd = -1;
}

/* Returns the number of unanswered requests, partly received ones included. */
uint32_t http_server_in_flight(const http_server_t *server)
{
	uint32_t count = server->in_flight;

	for (const GList *link = server->connections.head; link; link = link->next)
		count += ((const http_connection_t *)link->data)->request_start_ms != 0;
	return count;
}

/* Returns the bytes of the bodies of all requests in progress. */
size_t http_server_buffered_bytes(const http_server_t *server)
{
	size_t bytes = 0;

	for (const GList *link = server->connections.head; link; link = link->next)
		bytes += http_connection_buffered_bytes(link->data);
	return bytes;
}

/* Returns whether a part of a response has not been sent yet. */
bool http_server_has_unsent(const http_server_t *server)
{
	for (const GList *link = server->connections.head; link; link = link->next)
		if (send_buffer_pending(&((const http_connection_t *)link->data)->output))
			return true;
	return false;
}

/* Returns the number of open connections. */
uint32_t http_server_connections(const http_server_t *server)
{
	return g_queue_get_length((GQueue *)&server->connections);
}
