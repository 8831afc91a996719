/*
 * Open-loop HTTP load generator: calls start at random times whether earlier
 * ones have been answered or not, and latency counts from the time at which a
 * call was due.  Prints one JSON line.  With --witness it queries the stand-in
 * targets for the executions of each request id, and counts calls that were
 * lost, executed more than once, or reported as not run although they ran.
 *
 * --retries gives the baseline of fixed retries: a failed call is sent again to
 * the next port, whatever the failure was.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <gsl/gsl_randist.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "load.h"

enum {
	US_PER_S = 1000000,
	US_PER_MS = 1000,
	MAX_EVENTS = 256,
	READ_BUFFER_BYTES = 16384,
	MAX_IDLE_PER_PORT = 64,
	ABANDON_DELAY_MS = 100 /* from the deadline of a call until it is abandoned */
};

/* Returns the monotonic time in microseconds. */
static int64_t now_us(void)
{
	return g_get_monotonic_time();
}

/* Closed connections: freed after each batch of epoll events, since a later one may refer to them. */
static GQueue closed_connections = G_QUEUE_INIT;

/* Closes a connection and queues it to be freed. */
static void close_connection(connection_t *connection)
{
	close(connection->fd);
	connection->fd = -1;
	g_queue_push_tail(&closed_connections, connection);
}

/* Frees a closed connection. */
static void free_connection(gpointer data)
{
	connection_t *connection = data;

	g_string_free(connection->received, TRUE);
	g_free(connection->request);
	g_free(connection);
}

/* Starts a non-blocking connect to a port; returns NULL if it fails at once. */
static connection_t *open_connection(load_t *load, int port_index)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)load->options.ports[port_index])};
	struct epoll_event event = {.events = EPOLLIN | EPOLLOUT | EPOLLET};
	connection_t *connection = g_new0(connection_t, 1);
	int one = 1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	connection->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	connection->port_index = port_index;
	connection->received = g_string_new(NULL);
	setsockopt(connection->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(connection->fd, (struct sockaddr *)&address, sizeof(address)) && errno != EINPROGRESS) {
		close_connection(connection);
		return NULL;
	}
	event.data.ptr = connection;
	epoll_ctl(load->epoll_fd, EPOLL_CTL_ADD, connection->fd, &event);
	return connection;
}

static void send_call(load_t *load, call_t *call);

/* Retries a failed call while it has retries and time left; otherwise records its result and frees it. */
static void finish_call(load_t *load, call_t *call, result_t result)
{
	double latency_ms = (double)(now_us() - call->due_us) / US_PER_MS;

	if (result == RESULT_OK && latency_ms > load->options.deadline_ms)
		result = RESULT_LATE;
	if (result != RESULT_OK && result != RESULT_LATE && call->retries_left > 0 &&
	    latency_ms < load->options.deadline_ms) {
		call->retries_left--;
		call->port_index = (call->port_index + 1) % load->options.port_count;
		send_call(load, call);
		return;
	}
	if (call->measured) {
		load->result_counts[result]++;
		if (result == RESULT_OK)
			g_array_append_val(load->latencies_ms, latency_ms);
		g_hash_table_insert(load->results, g_strdup(call->id), GINT_TO_POINTER((int)result + 1));
	}
	g_queue_delete_link(&load->open_calls, call->link);
	g_free(call->id);
	g_free(call);
}

/* Sends the rest of a request, as far as the socket takes it; returns false if the connection failed. */
static bool write_request(connection_t *connection)
{
	size_t length = connection->request ? strlen(connection->request) : 0;

	while (connection->sent_bytes < length) {
		ssize_t count = send(connection->fd, connection->request + connection->sent_bytes,
				     length - connection->sent_bytes, MSG_NOSIGNAL);

		if (count < 0)
			return errno == EAGAIN || errno == ENOTCONN;
		connection->sent_bytes += (size_t)count;
	}
	return true;
}

/* Sends a call on an idle connection, or on a new one if none is idle. */
static void send_call(load_t *load, call_t *call)
{
	connection_t *connection = g_queue_pop_head(&load->idle_connections[call->port_index]);
	int64_t remaining_ms = load->options.deadline_ms - (now_us() - call->due_us) / US_PER_MS;

	load->attempt_count += call->measured;
	if (!connection)
		connection = open_connection(load, call->port_index);
	if (!connection) {
		finish_call(load, call, RESULT_ERROR);
		return;
	}
	call->connection = connection;
	connection->call = call;
	connection->sent_bytes = 0;
	g_string_truncate(connection->received, 0);
	g_free(connection->request);
	connection->request =
		g_strdup_printf("%s / HTTP/1.1\r\nHost: bench\r\nX-Request-Id: %s\r\n"
				"Caraway-Deadline-Ms: %" G_GINT64_FORMAT "\r\nContent-Length: 0\r\n\r\n",
				load->options.method, call->id, MAX(remaining_ms, 1));
	if (!write_request(connection)) {
		connection->call = NULL;
		close_connection(connection);
		finish_call(load, call, RESULT_ERROR);
	}
}

/* Parses a response into the result of its call; returns false while the response is incomplete. */
static bool parse_response(const GString *text, result_t *result, bool *must_close)
{
	const char *body = strstr(text->str, "\r\n\r\n");
	const char *length = strcasestr(text->str, "\r\nContent-Length:");
	int status = 0;

	if (!body || !length || sscanf(text->str, "HTTP/1.1 %d", &status) != 1)
		return false;
	body += strlen("\r\n\r\n");
	if (strlen(body) < strtoul(length + strlen("\r\nContent-Length:"), NULL, 10))
		return false;
	*must_close = strcasestr(text->str, "\r\nConnection: close") != NULL;
	if (status == 200)
		*result = RESULT_OK;
	else if (strstr(text->str, "Caraway-Outcome: not-run"))
		*result = RESULT_NOT_RUN;
	else if (strstr(text->str, "Caraway-Outcome: unknown"))
		*result = RESULT_UNKNOWN;
	else
		*result = RESULT_ERROR;
	return true;
}

/* Receives all available bytes; returns false if the connection was closed or failed. */
static bool receive_response(connection_t *connection)
{
	char buffer[READ_BUFFER_BYTES];
	ssize_t length;

	while ((length = recv(connection->fd, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(connection->received, buffer, length);
	return length < 0 && errno == EAGAIN;
}

/* Handles an epoll event: sends, receives, and finishes the call if its response is complete. */
static void handle_connection_event(load_t *load, connection_t *connection)
{
	bool is_open = connection->fd >= 0 && write_request(connection) && receive_response(connection);
	call_t *call = connection->call;
	result_t result = RESULT_ERROR;
	bool must_close = false;

	if (connection->fd < 0)
		return;
	if (call && parse_response(connection->received, &result, &must_close)) {
		connection->call = NULL;
		if (is_open && !must_close &&
		    g_queue_get_length(&load->idle_connections[connection->port_index]) < MAX_IDLE_PER_PORT)
			g_queue_push_head(&load->idle_connections[connection->port_index], connection);
		else
			close_connection(connection);
		finish_call(load, call, result);
	} else if (!is_open) {
		g_queue_remove(&load->idle_connections[connection->port_index], connection);
		close_connection(connection);
		if (call)
			finish_call(load, call, RESULT_ERROR);
	}
}

/* Creates a call and sends its first attempt. */
static void start_call(load_t *load, unsigned number, int64_t due_us, bool measured)
{
	call_t *call = g_new0(call_t, 1);

	call->id = g_strdup_printf("%s-%d-%u", load->options.name, (int)getpid(), number);
	call->due_us = due_us;
	call->measured = measured;
	call->retries_left = load->options.max_retries;
	call->port_index = load->next_port_index++ % load->options.port_count;
	g_queue_push_tail(&load->open_calls, call);
	call->link = g_queue_peek_tail_link(&load->open_calls);
	send_call(load, call);
}

/* Abandons calls whose deadline passed ABANDON_DELAY_MS ago, as a real caller would. */
static void abandon_overdue_calls(load_t *load)
{
	int64_t overdue_us = now_us() - (int64_t)(load->options.deadline_ms + ABANDON_DELAY_MS) * US_PER_MS;
	call_t *call;

	while ((call = g_queue_peek_head(&load->open_calls)) && call->due_us < overdue_us) {
		call->connection->call = NULL;
		close_connection(call->connection);
		finish_call(load, call, RESULT_LATE);
	}
}

/*
 * Starts the calls of a run at exponentially distributed intervals and waits for
 * the last responses, for at most four times the deadline.
 */
static void run_load(load_t *load)
{
	gsl_rng *random = gsl_rng_alloc(gsl_rng_taus2);
	int64_t start_us = now_us();
	int64_t measure_from_us = start_us + (int64_t)(load->options.warmup_seconds * US_PER_S);
	int64_t end_us = measure_from_us + (int64_t)(load->options.seconds * US_PER_S);
	int64_t stop_us = end_us + 4 * (int64_t)load->options.deadline_ms * US_PER_MS;
	int64_t due_us = start_us;
	unsigned number = 0;

	gsl_rng_set(random, load->options.seed);
	while (now_us() < stop_us && (due_us < end_us || !g_queue_is_empty(&load->open_calls))) {
		struct epoll_event events[MAX_EVENTS];
		int64_t wait_us = due_us < end_us ? due_us - now_us() : US_PER_MS;
		int count = epoll_wait(load->epoll_fd, events, MAX_EVENTS, wait_us > US_PER_MS ? 1 : 0);

		for (int i = 0; i < count; i++)
			handle_connection_event(load, events[i].data.ptr);
		abandon_overdue_calls(load);
		g_queue_clear_full(&closed_connections, free_connection);
		while (due_us < end_us && due_us <= now_us()) {
			start_call(load, number++, due_us, due_us >= measure_from_us);
			due_us += (int64_t)(gsl_ran_exponential(random, 1 / load->options.rate) * US_PER_S);
		}
	}
	gsl_rng_free(random);
	for (int i = 0; i < load->options.port_count; i++)
		while (!g_queue_is_empty(&load->idle_connections[i]))
			close_connection(g_queue_pop_head(&load->idle_connections[i]));
}

/* Parses a comma-separated list of ports; returns their number. */
static int parse_ports(const char *text, int *ports)
{
	char **items = g_strsplit(text, ",", MAX_PORTS);
	int count = 0;

	for (; items[count] && count < MAX_PORTS; count++)
		ports[count] = atoi(items[count]);
	g_strfreev(items);
	return count;
}

static const struct argp_option option_list[] = {
	{"ports", 'p', "PORT,...", 0, "ports to call, round-robin", 0},
	{"witness", 'w', "PORT,...", 0, "ports of the stand-in targets whose executions are checked", 0},
	{"rate", 'r', "N", 0, "calls per second", 0},
	{"seconds", 's', "N", 0, "measured time", 0},
	{"warm-seconds", 'W', "N", 0, "warm-up time, left out of the results", 0},
	{"deadline-ms", 'd', "N", 0, "deadline of each call", 0},
	{"retries", 'R', "N", 0, "retries of a failed call, to the next port (baseline)", 0},
	{"method", 'm', "METHOD", 0, "GET or POST", 0},
	{"name", 'n', "NAME", 0, "name of this run in the report", 0},
	{"seed", 'S', "N", 0, "random seed of the arrival times", 0},
	{0},
};

/* Stores one command-line option, for argp. */
static error_t parse_option(int key, char *value, struct argp_state *state)
{
	load_options_t *options = state->input;

	switch (key) {
	case 'p':
		options->port_count = parse_ports(value, options->ports);
		return 0;
	case 'w':
		options->target_port_count = parse_ports(value, options->target_ports);
		return 0;
	case 'r':
		options->rate = atof(value);
		return 0;
	case 's':
		options->seconds = atof(value);
		return 0;
	case 'W':
		options->warmup_seconds = atof(value);
		return 0;
	case 'd':
		options->deadline_ms = atoi(value);
		return 0;
	case 'R':
		options->max_retries = atoi(value);
		return 0;
	case 'm':
		options->method = value;
		return 0;
	case 'n':
		options->name = value;
		return 0;
	case 'S':
		options->seed = strtoul(value, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	load_t load = {.options = {.rate = 100,
				   .seconds = 3,
				   .warmup_seconds = 1,
				   .deadline_ms = 1000,
				   .method = "GET",
				   .name = "load",
				   .seed = 1}};
	const struct argp argp = {
		.options = option_list,
		.parser = parse_option,
		.doc = "Generates open-loop HTTP load and prints a report as one JSON line."};

	argp_parse(&argp, argc, argv, 0, NULL, &load.options);
	if (!load.options.port_count) {
		fprintf(stderr, "load: --ports is required\n");
		return EXIT_FAILURE;
	}
	g_queue_init(&load.open_calls);
	load.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	for (int i = 0; i < MAX_PORTS; i++)
		g_queue_init(&load.idle_connections[i]);
	load.latencies_ms = g_array_new(FALSE, FALSE, sizeof(double));
	load.results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	run_load(&load);
	load_print_report(&load);
	return EXIT_SUCCESS;
}
