/*
 * A stand-in for a link: relays TCP connections and fails on command.
 *
 *   standin_link LISTEN_PORT TO_PORT     on 127.0.0.1; port 0 takes a free one, which is printed
 *
 * Commands on standard input, one a line, each answered by "ok":
 *   hold          keep the bytes of both directions, silently
 *   hold-forward  keep those from the connecting side only
 *   hold-back     keep those to the connecting side only
 *   heal          deliver what was kept and relay again
 *   cut           close every connection and refuse new ones until healed
 *   reset         reset every connection; new ones work
 *   silence       leave every connection open and silent for good; new ones work
 *   delay MS      deliver bytes so much later
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

enum { MAX_PAIRS = 256, READ_BYTES = 65536, FIXED_ITEMS = 2, US_PER_MS = 1000, FOREVER_MS = 1000 };

/* Bytes on their way in one direction. */
typedef struct {
	int64_t due_ms;
	GBytes *bytes; /* NULL: the end of the stream */
} chunk_t;

/* One relayed connection; direction 0 leads from the connecting side. */
typedef struct {
	int fds[2]; /* read side of direction 0 and 1 */
	GQueue chunks[2];
	bool ended[2];
	bool silent; /* for good */
} pair_t;

static GPtrArray *pairs;
static bool held[2];
static bool cut;
static int delay_ms;
static int to_port;

/* Returns a monotonic time. */
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

/* Closes a connection on both sides. */
static void free_pair(gpointer data)
{
	pair_t *pair = data;

	for (int i = 0; i < 2; i++) {
		close(pair->fds[i]);
		g_queue_clear_full(&pair->chunks[i], free_chunk);
	}
	g_free(pair);
}

/* Opens a socket on 127.0.0.1 that listens or is connected; -1 when that fails. */
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
		failed = bind(fd, (struct sockaddr *)&address, sizeof(address)) || listen(fd, MAX_PAIRS);
	else
		failed = connect(fd, (struct sockaddr *)&address, sizeof(address));
	if (!failed)
		return fd;
	close(fd);
	return -1;
}

/* Takes a new connection. */
static void accept_pair(int listener)
{
	int from = accept(listener, NULL, NULL);
	int to = from >= 0 && !cut && pairs->len < MAX_PAIRS ? open_socket(to_port, false) : -1;
	pair_t *pair;

	if (to < 0) {
		if (from >= 0)
			close(from);
		return;
	}
	pair = g_new0(pair_t, 1);
	pair->fds[0] = from;
	pair->fds[1] = to;
	g_queue_init(&pair->chunks[0]);
	g_queue_init(&pair->chunks[1]);
	g_ptr_array_add(pairs, pair);
}

/* Reads what one side sent. */
static void read_side(pair_t *pair, int side)
{
	char buffer[READ_BYTES];
	ssize_t length = recv(pair->fds[side], buffer, sizeof(buffer), MSG_DONTWAIT);
	chunk_t *chunk;

	if (length < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	chunk = g_new0(chunk_t, 1);
	chunk->due_ms = now_ms() + delay_ms;
	if (length > 0)
		chunk->bytes = g_bytes_new(buffer, (gsize)length);
	else
		pair->ended[side] = true;
	g_queue_push_tail(&pair->chunks[side], chunk);
}

/* Delivers what is due in one direction; false when the connection is over. */
static bool deliver(pair_t *pair, int side)
{
	chunk_t *chunk;

	if (pair->silent)
		return !pair->ended[0] || !pair->ended[1];
	while (!held[side] && (chunk = g_queue_peek_head(&pair->chunks[side])) && chunk->due_ms <= now_ms()) {
		gsize length = 0;
		const char *data = chunk->bytes ? g_bytes_get_data(chunk->bytes, &length) : NULL;
		bool sent = data && send(pair->fds[!side], data, length, MSG_NOSIGNAL) == (ssize_t)length;

		free_chunk(g_queue_pop_head(&pair->chunks[side]));
		if (!sent)
			return false;
	}
	return true;
}

/* Delivers what is due; returns the time until something else is, in milliseconds. */
static int deliver_all(void)
{
	int64_t next_ms = now_ms() + FOREVER_MS;

	for (guint i = pairs->len; i-- > 0;) {
		pair_t *pair = g_ptr_array_index(pairs, i);

		if (!deliver(pair, 0) || !deliver(pair, 1)) {
			g_ptr_array_remove_index_fast(pairs, i);
			continue;
		}
		for (int side = 0; side < 2; side++) {
			const chunk_t *chunk = g_queue_peek_head(&pair->chunks[side]);

			if (chunk && !held[side] && !pair->silent)
				next_ms = MIN(next_ms, chunk->due_ms);
		}
	}
	return (int)MAX(next_ms - now_ms(), 0);
}

/* Resets every connection on both sides. */
static void reset_pairs(void)
{
	const struct linger at_once = {.l_onoff = 1, .l_linger = 0};

	for (guint i = 0; i < pairs->len; i++) {
		const pair_t *pair = g_ptr_array_index(pairs, i);

		for (int side = 0; side < 2; side++)
			setsockopt(pair->fds[side], SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	}
	g_ptr_array_set_size(pairs, 0);
}

/* Makes every connection silent for good. */
static void silence_pairs(void)
{
	for (guint i = 0; i < pairs->len; i++)
		((pair_t *)g_ptr_array_index(pairs, i))->silent = true;
}

/* Carries out one command. */
static void run_command(const char *line)
{
	if (g_str_has_prefix(line, "hold")) {
		held[0] = !g_str_has_prefix(line, "hold-back");
		held[1] = !g_str_has_prefix(line, "hold-forward");
	} else if (g_str_has_prefix(line, "heal")) {
		held[0] = held[1] = cut = false;
	} else if (g_str_has_prefix(line, "cut")) {
		cut = true;
		g_ptr_array_set_size(pairs, 0);
	} else if (g_str_has_prefix(line, "reset")) {
		reset_pairs();
	} else if (g_str_has_prefix(line, "silence")) {
		silence_pairs();
	} else if (g_str_has_prefix(line, "delay ")) {
		delay_ms = atoi(line + strlen("delay "));
	}
	puts("ok");
	fflush(stdout);
}

/* Fills in what to wait for. */
static nfds_t fill_items(struct pollfd *items, int listener)
{
	nfds_t count = FIXED_ITEMS;

	items[0] = (struct pollfd){.fd = listener, .events = POLLIN};
	items[1] = (struct pollfd){.fd = STDIN_FILENO, .events = POLLIN};
	for (guint i = 0; i < pairs->len; i++) {
		const pair_t *pair = g_ptr_array_index(pairs, i);

		for (int side = 0; side < 2; side++)
			items[count++] = (struct pollfd){.fd = pair->ended[side] ? -1 : pair->fds[side],
							 .events = POLLIN};
	}
	return count;
}

/* Relays until standard input ends. */
static void relay(int listener)
{
	struct pollfd items[FIXED_ITEMS + 2 * MAX_PAIRS] = {0};
	char line[READ_BYTES];

	for (;;) {
		nfds_t count;
		int wait_ms = deliver_all();

		count = fill_items(items, listener);
		if (poll(items, count, wait_ms) < 0)
			continue;
		for (nfds_t i = FIXED_ITEMS; i < count; i++)
			if (items[i].revents)
				read_side(g_ptr_array_index(pairs, (i - FIXED_ITEMS) / 2),
					  (i - FIXED_ITEMS) % 2);
		if (items[1].revents) {
			ssize_t length = read(STDIN_FILENO, line, sizeof(line) - 1);

			if (length <= 0)
				return;
			line[length] = '\0';
			run_command(line);
		}
		if (items[0].revents)
			accept_pair(listener);
	}
}

int main(int argc, char **argv)
{
	struct sockaddr_in address = {0};
	socklen_t length = sizeof(address);
	int listener = argc == 3 ? open_socket(atoi(argv[1]), true) : -1;

	if (listener < 0) {
		fprintf(stderr, "usage: standin_link LISTEN_PORT TO_PORT\n");
		return EXIT_FAILURE;
	}
	to_port = atoi(argv[2]);
	signal(SIGPIPE, SIG_IGN);
	pairs = g_ptr_array_new_with_free_func(free_pair);
	getsockname(listener, (struct sockaddr *)&address, &length);
	printf("%u\n", (unsigned)ntohs(address.sin_port));
	fflush(stdout);
	relay(listener);
	return EXIT_SUCCESS;
}
