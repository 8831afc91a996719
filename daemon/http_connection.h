/* A connection of the HTTP server: reads pipelined requests and sends the responses in the same order. */
#ifndef HTTP_CONNECTION_H
#define HTTP_CONNECTION_H

#include "http_server.h"
#include "send_buffer.h"

typedef struct http_connection http_connection_t;

struct http_exchange {
	http_connection_t *connection;
	http_message_t *request; /* NULL: rejected before it was complete */
	size_t body_bytes;	 /* of the request, also once the handler has taken its body */
	GByteArray *response;	 /* serialized; NULL until the handler responds */
	memory_share_t share;	 /* of the response, until it is moved to the output */
	void *data;		 /* of the handler */
};

struct http_connection {
	http_server_t *server;
	poller_watch_t watch;
	int fd;	    /* -1 once closed */
	GList link; /* in http_server_t.connections */
	http_reader_t reader;
	GByteArray *pending_input; /* bytes received beyond the limit of pipelined requests, not parsed yet */
	send_buffer_t output;
	GQueue exchanges;	  /* http_exchange_t *, in the order of the requests */
	int64_t request_start_ms; /* of the request being parsed; 0 between requests */
	int64_t last_activity_ms; /* time of the last byte in either direction */
	int64_t last_read_ms; /* when the caller last read bytes while some were unread; 0: none are unread */
	int64_t linger_until_ms; /* end of a lingering close; 0 before one has begun */
	uint32_t events;	 /* that the poller watches for */
	bool closing;		 /* no further request is accepted; closes once every response is sent */
};

struct http_server {
	poller_t *poller;
	poller_watch_t watch;
	int fd;	       /* of the listening socket; -1 once closed */
	char *address; /* HOST:PORT as bound */
	http_server_limits_t limits;
	http_handlers_t handlers;
	GQueue connections;   /* links embedded in http_connection_t */
	uint32_t in_flight;   /* complete requests without a response */
	int64_t next_tick_ms; /* when the connections' timeouts are checked next */
	bool draining;	      /* the last response of each connection says "Connection: close" */
};

/* Starts serving an accepted connection; takes ownership of fd. */
void http_connection_open(http_server_t *server, int fd);
/* Closes a connection; calls the disconnected handler for each request without a response. */
void http_connection_close(http_connection_t *connection);
/* Checks the timeouts of a connection: closes it when idle, answers 408 to slow headers. */
void http_connection_tick(http_connection_t *connection, int64_t now_ms);
/* Returns the bytes of the bodies of a connection's requests in progress, partly received ones included. */
size_t http_connection_buffered_bytes(const http_connection_t *connection);
/* Returns the bytes of responses that the caller has not read. */
size_t http_connection_unread_bytes(const http_connection_t *connection);
/* Closes the connection of a caller that does not read, and drops what the kernel holds for it. */
void http_connection_reset(http_connection_t *connection);
/* Returns whether a connection can be closed without losing a complete request or a response. */
bool http_connection_is_evictable(const http_connection_t *connection);

#endif
