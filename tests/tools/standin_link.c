/*
 * TCP proxy that stands in for a network link between processes and injects faults on command.
 *
 *   standin_link LISTEN_PORT TO_PORT     on 127.0.0.1; port 0 picks a free one, which is printed
 *
 * Commands on standard input, one per line, each answered with "ok":
 *   hold          buffer the data of both directions without delivering it
 *   hold-forward  buffer only the data from the connecting side
 *   hold-back     buffer only the data to the connecting side
 *   heal          deliver the buffered data, relay and accept connections again
 *   cut           close every connection, and new ones at once, until "heal"
 *   reset         abort every connection with a TCP reset; new ones work
 *   silence       leave every connection open but never deliver its data; new ones work
 *   delay MS      delay the delivery of data by MS milliseconds
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { MAX_CONNECTIONS = 256, READ_BYTES = 65536, FIXED_POLL_FDS = 2, US_PER_MS = 1000, MAX_POLL_MS = 1000 };

/* Received data that is not yet delivered. */
typedef struct {
	int64_t due_ms; /* when to deliver it */
	GBytes *bytes;	/* NULL: end of stream */
} chunk_t;

/* One relayed connection; direction 0 is from the connecting side, direction 1 to it. */
typedef struct {
	int fds[2];	  /* socket that each direction reads from, and the other one writes to */
	GQueue chunks[2]; /* chunk_t * of each direction */
	bool ended[2];	  /* end of stream or an error was read */
	bool silent;	  /* its data is never delivered */
} connection_t;

static GPtrArray *connections;
static bool held[2]; /* directions whose data is buffered */
static bool cut;     /* new connections are closed at once */
static int delay_ms; /* from receiving data to delivering it */
static int to_port;  /* that connections are relayed to */

/* Returns the monotonic time. */
static int64_t now_ms(void)
{
	return g_get_monotonic_time() / US_PER_MS;
}

/* Frees a chunk. */
static void free_chunk(gpointer data)
{
	chunk_t *chunk = data;

	if (chunk->bytes)
		g_bytes_unref(chunk->bytes);
	g_free(chunk);
}

/* Closes both sockets of a connection and drops its buffered data. */
static void free_connection(gpointer data)
{
	connection_t *connection = data;

	for (int i = 0; i < 2; i++) {
		close(connection->fds[i]);
		g_queue_clear_full(&connection->chunks[i], free_chunk);
	}
	g_free(connection);
}

/* Opens a socket on 127.0.0.1 that listens on a port or is connected to it; returns -1 on failure. */
static int open_socket(int port, bool listening)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;
	int failed;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (listening)
		failed =
			bind(fd, (struct sockaddr *)&address, sizeof(address)) || listen(fd, MAX_CONNECTIONS);
	else
		failed = connect(fd, (struct sockaddr *)&address, sizeof(address));
	if (!failed)
		return fd;
	close(fd);
	return -1;
}

/* Accepts a connection and connects it to the other side; closes it when cut or when that fails. */
static void accept_connection(int listener)
{
	int client_fd = accept(listener, NULL, NULL);
	int server_fd = client_fd >= 0 && !cut && connections->len < MAX_CONNECTIONS
				? open_socket(to_port, false)
				: -1;
	connection_t *connection;

	if (server_fd < 0) {
		if (client_fd >= 0)
			close(client_fd);
		return;
	}
	connection = g_new0(connection_t, 1);
	connection->fds[0] = client_fd;
	connection->fds[1] = server_fd;
	g_queue_init(&connection->chunks[0]);
	g_queue_init(&connection->chunks[1]);
	g_ptr_array_add(connections, connection);
}

/* Reads the available data of one direction and queues it for delivery. */
static void read_available(connection_t *connection, int direction)
{
	char buffer[READ_BYTES];
	ssize_t length = recv(connection->fds[direction], buffer, sizeof(buffer), MSG_DONTWAIT);
	chunk_t *chunk;

	if (length < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	chunk = g_new0(chunk_t, 1);
	chunk->due_ms = now_ms() + delay_ms;
	if (length > 0)
		chunk->bytes = g_bytes_new(buffer, (gsize)length);
	else
		connection->ended[direction] = true;
	g_queue_push_tail(&connection->chunks[direction], chunk);
}

/* Delivers the data of one direction that is due; returns false when the connection is to be closed. */
static bool deliver(connection_t *connection, int direction)
{
	chunk_t *chunk;

	if (connection->silent)
		return !connection->ended[0] || !connection->ended[1];
	while (!held[direction] && (chunk = g_queue_peek_head(&connection->chunks[direction])) &&
	       chunk->due_ms <= now_ms()) {
		gsize length = 0;
		const char *data = chunk->bytes ? g_bytes_get_data(chunk->bytes, &length) : NULL;
		bool sent = data &&
			    send(connection->fds[!direction], data, length, MSG_NOSIGNAL) == (ssize_t)length;

		free_chunk(g_queue_pop_head(&connection->chunks[direction]));
		if (!sent)
			return false;
	}
	return true;
}

/* Delivers all data that is due; returns the time until the next delivery, MAX_POLL_MS at most. */
static int deliver_all(void)
{
	int64_t next_ms = now_ms() + MAX_POLL_MS;

	for (guint i = connections->len; i-- > 0;) {
		connection_t *connection = g_ptr_array_index(connections, i);

		if (!deliver(connection, 0) || !deliver(connection, 1)) {
			g_ptr_array_remove_index_fast(connections, i);
			continue;
		}
		for (int direction = 0; direction < 2; direction++) {
			const chunk_t *chunk = g_queue_peek_head(&connection->chunks[direction]);

			if (chunk && !held[direction] && !connection->silent)
				next_ms = MIN(next_ms, chunk->due_ms);
		}
	}
	return (int)MAX(next_ms - now_ms(), 0);
}

/* Aborts every connection with a TCP reset to both sides. */
static void reset_connections(void)
{
	const struct linger no_linger = {.l_onoff = 1, .l_linger = 0};

	for (guint i = 0; i < connections->len; i++) {
		const connection_t *connection = g_ptr_array_index(connections, i);

		for (int direction = 0; direction < 2; direction++)
			setsockopt(connection->fds[direction], SOL_SOCKET, SO_LINGER, &no_linger,
				   sizeof(no_linger));
	}
	g_ptr_array_set_size(connections, 0);
}

/* Stops delivery on every open connection for the rest of its life. */
static void silence_connections(void)
{
	for (guint i = 0; i < connections->len; i++)
		((connection_t *)g_ptr_array_index(connections, i))->silent = true;
}

/* Executes one command and answers "ok". */
static void run_command(const char *line)
{
	if (g_str_has_prefix(line, "hold")) {
		held[0] = !g_str_has_prefix(line, "hold-back");
		held[1] = !g_str_has_prefix(line, "hold-forward");
	} else if (g_str_has_prefix(line, "heal")) {
		held[0] = held[1] = cut = false;
	} else if (g_str_has_prefix(line, "cut")) {
		cut = true;
		g_ptr_array_set_size(connections, 0);
	} else if (g_str_has_prefix(line, "reset")) {
		reset_connections();
	} else if (g_str_has_prefix(line, "silence")) {
		silence_connections();
	} else if (g_str_has_prefix(line, "delay ")) {
		delay_ms = atoi(line + strlen("delay "));
	}
	puts("ok");
	fflush(stdout);
}

/* Fills in the descriptors to poll and returns their number; sockets at end of stream are disabled. */
static nfds_t fill_poll_fds(struct pollfd *poll_fds, int listener)
{
	nfds_t count = FIXED_POLL_FDS;

	poll_fds[0] = (struct pollfd){.fd = listener, .events = POLLIN};
	poll_fds[1] = (struct pollfd){.fd = STDIN_FILENO, .events = POLLIN};
	for (guint i = 0; i < connections->len; i++) {
		const connection_t *connection = g_ptr_array_index(connections, i);

		for (int direction = 0; direction < 2; direction++)
			poll_fds[count++] = (struct pollfd){
				.fd = connection->ended[direction] ? -1 : connection->fds[direction],
				.events = POLLIN};
	}
	return count;
}

/* Relays until standard input ends. */
static void relay(int listener)
{
	struct pollfd poll_fds[FIXED_POLL_FDS + 2 * MAX_CONNECTIONS] = {0};
	char line[READ_BYTES];

	for (;;) {
		nfds_t count;
		int wait_ms = deliver_all();

		count = fill_poll_fds(poll_fds, listener);
		if (poll(poll_fds, count, wait_ms) < 0)
			continue;
		for (nfds_t i = FIXED_POLL_FDS; i < count; i++)
			if (poll_fds[i].revents)
				read_available(g_ptr_array_index(connections, (i - FIXED_POLL_FDS) / 2),
					       (i - FIXED_POLL_FDS) % 2);
		if (poll_fds[1].revents) {
			ssize_t length = read(STDIN_FILENO, line, sizeof(line) - 1);

			if (length <= 0)
				return;
			line[length] = '\0';
			run_command(line);
		}
		if (poll_fds[0].revents)
			accept_connection(listener);
	}
}

/* Listens on the first port and relays to the second one until standard input ends. */
int main(int argc, char **argv)
{
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);
	int listener = argc == 3 ? open_socket(atoi(argv[1]), true) : -1;

	if (listener < 0) {
		fprintf(stderr, "usage: standin_link LISTEN_PORT TO_PORT (LISTEN_PORT must be free)\n");
		return EXIT_FAILURE;
	}
	to_port = atoi(argv[2]);
	signal(SIGPIPE, SIG_IGN);
	connections = g_ptr_array_new_with_free_func(free_connection);
	getsockname(listener, (struct sockaddr *)&address, &length);
	printf("%u\n", (unsigned)ntohs(address.sin_port));
	fflush(stdout);
	relay(listener);
	return EXIT_SUCCESS;
}
