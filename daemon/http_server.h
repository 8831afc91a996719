/* An HTTP/1.1 server driven by a poller: passes complete requests to a handler and sends its responses. */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "http_message.h"
#include "poller.h"

typedef struct http_server http_server_t;
/* A request that is answered by http_exchange_respond(). */
typedef struct http_exchange http_exchange_t;

typedef struct {
	/* Called with a complete request; http_exchange_respond() ends the exchange, now or later. */
	void (*request)(void *data, http_exchange_t *exchange);
	/* Called when the connection was closed before the response; the server then frees the exchange. */
	void (*disconnected)(void *data, http_exchange_t *exchange);
	void *data;
} http_handlers_t;

typedef struct {
	size_t max_header_bytes;
	size_t max_body_bytes;
	size_t max_buffered_bytes;  /* of the bodies of all requests in progress; 0: without limit */
	uint32_t header_timeout_ms; /* from the first byte of a request until its headers are complete */
	uint32_t idle_timeout_ms;   /* without a byte in either direction and without a request in progress */
	uint32_t max_connections;   /* maximum number of open connections */
	size_t max_unread_bytes;    /* of all responses that callers have not read; 0: without limit */
	uint32_t slow_reader_ms;    /* without a byte read; then closed while the account of bytes is full */
} http_server_limits_t;

/* A response to send; the server adds the headers Content-Length and Connection. */
typedef struct {
	unsigned status;
	Caraway__Header *const *headers;
	size_t header_count;
	const void *body;
	size_t body_length;
} http_response_t;

/* Listens on HOST:PORT; port 0 selects a free port.  Returns CW_ERR_IO when that fails. */
cw_status_t http_server_new(poller_t *poller, const char *address, const http_server_limits_t *limits,
			    const http_handlers_t *handlers, http_server_t **server);
/* Closes the port and every connection; calls the disconnected handler for each request in progress. */
void http_server_free(http_server_t *server);
const char *http_server_address(const http_server_t *server); /* HOST:PORT, with the port bound */
/* Replaces the limits, also for open connections. */
void http_server_set_limits(http_server_t *server, const http_server_limits_t *limits);
/* Checks the timeouts of all connections; to be called at http_server_next_tick_ms() at the latest. */
void http_server_tick(http_server_t *server, int64_t now_ms);
/*
 * Closes connections of callers that do not read their responses: while more than max_unread_bytes are unread, the
 * ones that hold the most and read the slowest; while the account of waiting bytes is full, those that have read
 * nothing for slow_reader_ms.  Must not be called from a handler.
 */
void http_server_close_slow_readers(http_server_t *server, int64_t now_ms);
int64_t http_server_next_tick_ms(const http_server_t *server);
/* Sends "Connection: close" with the last response of each connection from now on. */
void http_server_drain(http_server_t *server);
/* Accepts no new connections; established ones are still served. */
void http_server_stop_accepting(http_server_t *server);
uint32_t http_server_in_flight(const http_server_t *server); /* unanswered requests, also partly received */
size_t http_server_buffered_bytes(const http_server_t *server); /* of the bodies of requests in progress */
bool http_server_has_unsent(const http_server_t *server);	/* a part of a response is not sent yet */
uint32_t http_server_connections(const http_server_t *server);	/* open connections, idle ones included */

const http_message_t *http_exchange_request(const http_exchange_t *exchange);
/* Takes the body out of a request; the caller owns it, to be freed with free(). */
uint8_t *http_exchange_take_body(http_exchange_t *exchange, size_t *length);
/* Attaches data of the handler to an exchange. */
void http_exchange_set_data(http_exchange_t *exchange, void *data);
void *http_exchange_data(const http_exchange_t *exchange);
/* Ends an exchange with a response, which is sent after those to earlier requests of the connection. */
void http_exchange_respond(http_exchange_t *exchange, const http_response_t *response);

#endif
