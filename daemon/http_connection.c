/*
 * A connection of the HTTP server.
 *
 * Pipelined requests are passed to the handler as they arrive, and their
 * responses are sent in the order of the requests.  The connection is still read
 * while requests are in progress, so that a disconnect of the caller is detected.
 */
#include "http_connection.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "counters.h"
#include "headers.h"
#include "log.h"
#include "socket_address.h"

enum {
	READ_BUFFER_BYTES = 16384,
	MAX_PIPELINED = 16,   /* requests in progress per connection; further ones stay in the socket */
	IDLE_MARGIN_MS = 500, /* beyond the idle timeout: callers may reuse a connection until it expires */
	LINGER_MS = 1000, /* time for a caller to read the last response before the connection is closed */
	STATUS_BAD_REQUEST = 400,
	STATUS_REQUEST_TIMEOUT = 408,
	STATUS_CONTENT_TOO_LARGE = 413,
	STATUS_HEADERS_TOO_LARGE = 431,
	STATUS_UNAVAILABLE = 503,
	SMALL_BODY_BYTES = 65536, /* a request with a shorter body is never refused for lack of memory */
	MIN_RETRY_AFTER_MS = 200, /* for one that is: long requests in progress end within such a time */
	MAX_RETRY_AFTER_MS = 600,
	MS_PER_S = 1000
};

/* Returns the request of an exchange. */
const http_message_t *http_exchange_request(const http_exchange_t *exchange)
{
	return exchange->request;
}

/* Takes the body out of a request. */
uint8_t *http_exchange_take_body(http_exchange_t *exchange, size_t *length)
{
	GByteArray *body = exchange->request->body;

	*length = body->len;
	exchange->request->body = g_byte_array_new();
	return g_byte_array_free(body, FALSE);
}

/* Attaches the handler's data to an exchange. */
void http_exchange_set_data(http_exchange_t *exchange, void *data)
{
	exchange->data = data;
}

/* Returns the handler's data of an exchange. */
void *http_exchange_data(const http_exchange_t *exchange)
{
	return exchange->data;
}

/* Frees an exchange. */
static void exchange_free(http_exchange_t *exchange)
{
	http_message_free(exchange->request);
	if (exchange->response)
		g_byte_array_unref(exchange->response);
	memory_share_set(&exchange->share, 0);
	g_free(exchange);
}

/* Frees a closed connection. */
static void connection_free(void *data)
{
	http_connection_t *connection = data;

	http_reader_clear(&connection->reader);
	g_byte_array_unref(connection->pending_input);
	send_buffer_free(&connection->output);
	g_free(connection);
}

/* Closes a connection; calls the disconnected handler for each request without a response. */
void http_connection_close(http_connection_t *connection)
{
	http_server_t *server = connection->server;
	http_exchange_t *exchange;

	if (connection->fd < 0)
		return;
	poller_remove(server->poller, connection->fd);
	close(connection->fd);
	connection->fd = -1;
	/* At once, as the account of waiting bytes decides whether further connections are closed. */
	send_buffer_reset(&connection->output);
	while ((exchange = g_queue_pop_head(&connection->exchanges))) {
		if (!exchange->response) {
			server->in_flight--;
			server->handlers.disconnected(server->handlers.data, exchange);
		}
		exchange_free(exchange);
	}
	g_queue_unlink(&server->connections, &connection->link);
	poller_free_later(server->poller, connection_free, connection);
}

/* Updates the events that the poller watches a connection for. */
static void update_events(http_connection_t *connection)
{
	bool full = g_queue_get_length(&connection->exchanges) >= MAX_PIPELINED;
	uint32_t events = EPOLLRDHUP | (full ? 0 : EPOLLIN);

	if (send_buffer_pending(&connection->output))
		events |= EPOLLOUT;
	if (events == connection->events)
		return;
	connection->events = events;
	poller_change(connection->server->poller, connection->fd, events, &connection->watch);
}

/*
 * Shuts down the sending direction and waits for the caller to close.  Closing the
 * socket at once would reset the connection if bytes of the caller were unread, and
 * the caller could lose the last response.
 */
static void begin_lingering_close(http_connection_t *connection)
{
	if (connection->linger_until_ms)
		return;
	shutdown(connection->fd, SHUT_WR);
	connection->linger_until_ms = clock_now_ms() + LINGER_MS;
}

/* Sends queued output; returns false when the connection was closed. */
static bool flush_output(http_connection_t *connection)
{
	uint64_t sent_before = connection->output.sent;
	send_buffer_state_t state = send_buffer_flush(&connection->output, connection->fd);

	if (state == SEND_BUFFER_FAILED) {
		http_connection_close(connection);
		return false;
	}
	if (connection->output.sent != sent_before)
		connection->last_read_ms = connection->last_activity_ms = clock_now_ms();
	else if (state == SEND_BUFFER_BLOCKED && !connection->last_read_ms)
		connection->last_read_ms = clock_now_ms();
	if (state == SEND_BUFFER_EMPTY) {
		connection->last_read_ms = 0;
		send_buffer_reset(&connection->output);
		if (connection->closing && g_queue_is_empty(&connection->exchanges))
			begin_lingering_close(connection);
	}
	update_events(connection);
	return true;
}

/* Moves the responses that are next in order to the output. */
static void queue_responses(http_connection_t *connection)
{
	http_exchange_t *exchange;

	while ((exchange = g_queue_peek_head(&connection->exchanges)) && exchange->response) {
		memory_share_set(&exchange->share, 0);
		send_buffer_append_bytes(&connection->output, exchange->response);
		g_queue_pop_head(&connection->exchanges);
		exchange_free(exchange);
	}
}

/* Appends a string without its terminating null byte. */
static void append_text(GByteArray *bytes, const char *text)
{
	g_byte_array_append(bytes, (const guint8 *)text, (guint)strlen(text));
}

/* Serializes a response. */
static GByteArray *serialize_response(const http_response_t *response, bool with_body, bool closing)
{
	GByteArray *bytes = g_byte_array_sized_new((guint)response->body_length + 512);
	char line[128];

	g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", response->status,
		   http_status_str((enum http_status)response->status));
	append_text(bytes, line);
	for (size_t i = 0; i < response->header_count; i++) {
		append_text(bytes, response->headers[i]->name);
		append_text(bytes, ": ");
		append_text(bytes, response->headers[i]->value);
		append_text(bytes, "\r\n");
	}
	g_snprintf(line, sizeof(line), "Content-Length: %zu\r\n%s\r\n", response->body_length,
		   closing ? "Connection: close\r\n" : "");
	append_text(bytes, line);
	if (with_body)
		g_byte_array_append(bytes, response->body, (guint)response->body_length);
	return bytes;
}

static bool parse_pending_input(http_connection_t *connection);

/*
 * Returns whether the response to an exchange is the last of its connection: the
 * caller has asked for that, or the server drains and no later request has arrived
 * or begun.  A caller that reads "Connection: close" reads no further response.
 */
static bool is_last_response(const http_connection_t *connection, const http_exchange_t *exchange)
{
	if (!exchange->request->keep_alive)
		return true;
	return connection->server->draining && connection->exchanges.tail->data == exchange &&
	       !connection->request_start_ms && !connection->pending_input->len;
}

/* Ends an exchange with a response, which is sent after those to earlier requests. */
void http_exchange_respond(http_exchange_t *exchange, const http_response_t *response)
{
	http_connection_t *connection = exchange->connection;
	http_server_t *server = connection->server;
	bool closing = is_last_response(connection, exchange);
	bool with_body = g_strcmp0(exchange->request->method, "HEAD") != 0;

	exchange->response = serialize_response(response, with_body, closing);
	exchange->share.kind = MEMORY_TO_CALLERS;
	memory_share_set(&exchange->share, exchange->response->len);
	connection->closing |= closing;
	server->in_flight--;
	queue_responses(connection);
	if (flush_output(connection) && connection->pending_input->len)
		parse_pending_input(connection);
}

/* Adds the time after which there may be memory for a request: random, so that callers do not return together. */
static void add_retry_after(GPtrArray *headers)
{
	double seconds = g_random_double_range(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) / MS_PER_S;
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_ptr_array_add(headers,
			headers_new("Retry-After", g_ascii_formatd(text, sizeof(text), "%.3f", seconds)));
}

/* Sends an error status for a request that is not read to its end; no further one is accepted on the connection. */
static void reject(http_connection_t *connection, unsigned status)
{
	g_autoptr(GPtrArray) headers = g_ptr_array_new_with_free_func(cw_message_free);
	http_response_t response = {.status = status, .body = ""};
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);

	if (status == STATUS_UNAVAILABLE)
		add_retry_after(headers);
	response.headers = (Caraway__Header *const *)headers->pdata;
	response.header_count = headers->len;
	counter_add(status == STATUS_UNAVAILABLE ? COUNTER_REQUEST_NO_MEMORY : COUNTER_REQUEST_UNREADABLE, 1);
	http_reader_drop_message(&connection->reader);
	log_info("request-refused", LOG_UINT("status", status), LOG_END);
	connection->closing = true;
	exchange->connection = connection;
	exchange->response = serialize_response(&response, true, true);
	g_queue_push_tail(&connection->exchanges, exchange);
	queue_responses(connection);
	flush_output(connection);
}

/* Returns the HTTP status for an error of the reader. */
static unsigned read_error_status(http_read_result_t result)
{
	switch (result) {
	case HTTP_READ_HEADERS_TOO_LARGE:
		return STATUS_HEADERS_TOO_LARGE;
	case HTTP_READ_BODY_TOO_LARGE:
		return STATUS_CONTENT_TOO_LARGE;
	default:
		return STATUS_BAD_REQUEST;
	}
}

/* Returns the bytes of the bodies of a connection's requests in progress. */
size_t http_connection_buffered_bytes(const http_connection_t *connection)
{
	size_t bytes = connection->reader.message ? connection->reader.message->body->len : 0;

	for (const GList *link = connection->exchanges.head; link; link = link->next) {
		const http_exchange_t *exchange = link->data;

		if (!exchange->response)
			bytes += exchange->body_bytes;
	}
	return bytes;
}

/* Returns the bytes of responses that the caller has not read. */
size_t http_connection_unread_bytes(const http_connection_t *connection)
{
	size_t bytes = connection->output.share.bytes;

	for (const GList *link = connection->exchanges.head; link; link = link->next)
		bytes += ((const http_exchange_t *)link->data)->share.bytes;
	return bytes;
}

/* Closes the connection of a caller that does not read, and drops what the kernel holds for it. */
void http_connection_reset(http_connection_t *connection)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	if (connection->fd >= 0)
		setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	http_connection_close(connection);
}

/* Returns whether a partly received request has a long body for which there is no memory at present. */
static bool lacks_memory(const http_connection_t *connection)
{
	const http_message_t *message = connection->reader.message;

	return message && message->body->len >= SMALL_BODY_BYTES &&
	       connection->server->limits.max_buffered_bytes &&
	       http_server_buffered_bytes(connection->server) > connection->server->limits.max_buffered_bytes;
}

/* Passes a complete request to the handler. */
static void dispatch_request(http_connection_t *connection)
{
	http_server_t *server = connection->server;
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);

	exchange->connection = connection;
	exchange->request = http_reader_take_message(&connection->reader);
	exchange->body_bytes = exchange->request->body->len;
	connection->request_start_ms = 0;
	if (!exchange->request->keep_alive)
		connection->closing = true;
	g_queue_push_tail(&connection->exchanges, exchange);
	server->in_flight++;
	server->handlers.request(server->handlers.data, exchange);
}

/*
 * Parses received bytes; those beyond the limit of pipelined requests are kept for
 * later.  Returns false when the connection was closed.
 */
static bool parse_bytes(http_connection_t *connection, const char *data, size_t length)
{
	while (length && !connection->closing && g_queue_get_length(&connection->exchanges) < MAX_PIPELINED) {
		size_t used;
		http_read_result_t result = http_reader_feed(&connection->reader, data, length, &used);

		data += used;
		length -= used;
		switch (result) {
		case HTTP_READ_INCOMPLETE:
			if (!connection->request_start_ms)
				connection->request_start_ms = clock_now_ms();
			if (lacks_memory(connection)) {
				reject(connection, STATUS_UNAVAILABLE);
				return connection->fd >= 0;
			}
			break;
		case HTTP_READ_COMPLETE:
			dispatch_request(connection);
			break;
		default:
			reject(connection, read_error_status(result));
			return connection->fd >= 0;
		}
		if (connection->fd < 0)
			return false;
	}
	if (!connection->closing)
		g_byte_array_append(connection->pending_input, (const guint8 *)data, (guint)length);
	return true;
}

/* Parses the bytes kept by parse_bytes(); returns false when the connection was closed. */
static bool parse_pending_input(http_connection_t *connection)
{
	GByteArray *bytes = connection->pending_input;
	bool is_open;

	connection->pending_input = g_byte_array_new();
	is_open = parse_bytes(connection, (const char *)bytes->data, bytes->len);
	g_byte_array_unref(bytes);
	if (is_open)
		update_events(connection);
	return is_open;
}

/* Receives and parses bytes; those that follow the last request accepted are dropped. */
static void read_connection(http_connection_t *connection)
{
	char buffer[READ_BUFFER_BYTES];
	ssize_t length = recv(connection->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (length <= 0) {
		http_connection_close(connection);
		return;
	}
	connection->last_activity_ms = clock_now_ms();
	if (connection->linger_until_ms || connection->closing)
		return;
	if (parse_bytes(connection, buffer, (size_t)length))
		update_events(connection);
}

/* Handles the events of a connection. */
static void on_connection_ready(void *data, uint32_t events)
{
	http_connection_t *connection = data;

	if (connection->fd < 0)
		return;
	if ((events & EPOLLOUT) && !flush_output(connection))
		return;
	if (events & EPOLLIN)
		read_connection(connection);
	else if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		http_connection_close(connection);
}

/* Returns whether a connection can be closed without losing a complete request or a response. */
bool http_connection_is_evictable(const http_connection_t *connection)
{
	return g_queue_is_empty((GQueue *)&connection->exchanges) &&
	       !send_buffer_pending(&connection->output);
}

/* Starts serving an accepted connection; takes ownership of fd. */
void http_connection_open(http_server_t *server, int fd)
{
	http_limits_t limits = {server->limits.max_header_bytes, server->limits.max_body_bytes};
	http_connection_t *connection = g_new0(http_connection_t, 1);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	connection->server = server;
	connection->fd = fd;
	connection->watch = (poller_watch_t){on_connection_ready, connection};
	connection->pending_input = g_byte_array_new();
	send_buffer_init(&connection->output, MEMORY_TO_CALLERS);
	connection->last_activity_ms = clock_now_ms();
	connection->events = EPOLLIN | EPOLLRDHUP;
	connection->link.data = connection;
	http_reader_init(&connection->reader, HTTP_REQUEST, &limits);
	g_queue_push_tail_link(&server->connections, &connection->link);
	poller_add(server->poller, fd, connection->events, &connection->watch);
}

/* Returns whether the headers of a request have not arrived within the header timeout, and no response says so yet. */
static bool headers_timed_out(const http_connection_t *connection, int64_t now_ms)
{
	return !connection->closing && connection->request_start_ms && !connection->reader.headers_done &&
	       now_ms >= connection->request_start_ms + connection->server->limits.header_timeout_ms;
}

/*
 * Checks the timeouts of a connection.  A caller is neither slow nor idle when this
 * process has only not read what it sent.
 */
void http_connection_tick(http_connection_t *connection, int64_t now_ms)
{
	int64_t idle_ms = now_ms - connection->last_activity_ms;
	bool idle = idle_ms >= (int64_t)connection->server->limits.idle_timeout_ms + IDLE_MARGIN_MS;
	bool has_output = send_buffer_pending(&connection->output) > 0;

	if (connection->linger_until_ms) {
		if (now_ms >= connection->linger_until_ms)
			http_connection_close(connection);
	} else if (headers_timed_out(connection, now_ms)) {
		if (socket_has_input(connection->fd))
			return;
		counter_add(COUNTER_REQUEST_SLOW, 1);
		reject(connection, STATUS_REQUEST_TIMEOUT);
	} else if (idle && (has_output || g_queue_is_empty(&connection->exchanges))) {
		if (!has_output && socket_has_input(connection->fd))
			return;
		http_connection_close(connection);
	}
}
