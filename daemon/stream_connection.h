/* A plain TCP connection that carries messages in frames, and the receive queue of a group of connections. */
#ifndef STREAM_CONNECTION_H
#define STREAM_CONNECTION_H

#include "send_buffer.h"
#include "stream.h"

typedef struct stream_connection stream_connection_t;

/* Connections that share a poller and a receive queue. */
typedef struct {
	poller_t *poller;
	GQueue received; /* stream_received_t * */
	/* The one connection that reads a long message while the account of waiting bytes is full; NULL: none. */
	stream_connection_t *long_reader;
	GPtrArray *paused; /* stream_connection_t * that are not read for now */
	/* Called for every connection that is closed. */
	void (*on_closed)(stream_connection_t *connection);
} stream_group_t;

struct stream_connection {
	stream_group_t *group;
	void *owner;	     /* the server or the client that the connection belongs to */
	const char *address; /* of the peer, owned by the client; NULL at a server */
	poller_watch_t watch;
	int fd;		     /* -1 once closed */
	uint64_t id;	     /* unique within a server; 0 for clients */
	bool connecting;     /* connect() has not completed */
	bool handshake_done; /* the peer's first pong was received; a server expects none from its clients */
	bool paused;	     /* not read, as the account of waiting bytes is full */
	bool watches_writable; /* the poller watches for EPOLLOUT */
	GByteArray *input;     /* received bytes of frames that are not complete */
	memory_share_t input_share;
	send_buffer_t output;
	int64_t last_received_ms; /* monotonic, as all times of a connection */
};

/* A message in the receive queue. */
typedef struct {
	Caraway__Message *message;
	uint64_t id;	      /* of the connection; used by servers */
	const char *address;  /* of the peer; used by clients */
	memory_share_t share; /* of its packed size; 0 once it has been taken from the queue */
} stream_received_t;

void stream_group_init(stream_group_t *group, void (*on_closed)(stream_connection_t *connection));
/* Frees the poller and the receive queue; the connections must have been closed. */
void stream_group_clear(stream_group_t *group);
/* Returns the next message, or NULL; an empty queue is first filled from the connections that are ready. */
stream_received_t *stream_group_receive(stream_group_t *group);
void stream_received_free(void *received);

/* Takes over a socket and adds it to the poller; connecting: connect() has not completed yet. */
stream_connection_t *stream_connection_new(stream_group_t *group, void *owner, int fd, uint64_t id,
					   bool connecting);
/* Closes a connection and calls on_closed(); its queued messages are dropped. */
void stream_connection_close(stream_connection_t *connection);
/* Returns whether messages may be sent on a connection; NULL is allowed. */
bool stream_connection_is_established(const stream_connection_t *connection);
/* Queues a message; CW_ERR_FULL or CW_ERR_IO when it was not sent. */
cw_status_t stream_connection_send(stream_connection_t *connection, const Caraway__Message *message);
/* Sends a pong without a ping, as a server's handshake after it accepted a connection. */
void stream_connection_send_pong(stream_connection_t *connection);
/* Sends a ping, which the peer answers with a pong. */
void stream_connection_send_ping(stream_connection_t *connection);

#endif
