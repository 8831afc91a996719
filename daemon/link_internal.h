/* Declarations shared by the source files of link. */
#ifndef LINK_INTERNAL_H
#define LINK_INTERNAL_H

#include <zmq.h>

#include "auth.h"
#include "link.h"
#include "stream.h"

struct link_context {
	void *zmq;
	const keys_t *keys;		    /* NULL: connections are not encrypted */
	const GPtrArray *control_addresses; /* char *; set with keys */
	auth_t *auth;			    /* NULL: connections are not encrypted */
};

struct link_server {
	stream_server_t *stream; /* NULL when connections are encrypted: socket is used */
	void *socket;
	bool checks_permissions; /* of the sender of each message */
	char *address;
};

struct link_clients {
	link_context_t *context;
	stream_clients_t *stream; /* created on first use; NULL: sockets are used */
	GHashTable *sockets;	  /* address -> ZeroMQ socket */
	GPtrArray *addresses;	  /* keys of sockets, in the order of opening */
	size_t next_index;	  /* of the address to receive from first, modulo the count */
};

/* link_socket.c: ZeroMQ sockets, for encrypted connections */

/* Binds a ROUTER socket to HOST:PORT; *bound is the bound address, owned by the caller.  NULL on failure. */
void *link_socket_bind(const link_context_t *context, const char *address, char **bound);
/*
 * Opens a DEALER socket that reconnects automatically and queues messages only
 * while connected; NULL for an invalid address.
 */
void *link_socket_connect(const link_context_t *context, const char *address);
void link_socket_close(gpointer socket);
/* Receives one frame without blocking; false when there is none. */
bool link_socket_receive(void *socket, zmq_msg_t *frame);
/*
 * Decodes and closes a frame.  Returns NULL and increments a counter when
 * decoding fails or the frame is not the last of its message.
 */
Caraway__Message *link_socket_decode(void *socket, zmq_msg_t *frame);
/* Queues a message as one frame without blocking; CW_ERR_IO when it was not queued. */
cw_status_t link_socket_send(void *socket, const Caraway__Message *message);

#endif
