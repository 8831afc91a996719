/*
 * Messages over plain TCP connections, without threads: used by link.c when
 * connections are not encrypted.  A message is queued only on an established
 * connection, and a connection whose peer has stopped responding is closed.
 */
#ifndef STREAM_H
#define STREAM_H

#include "libcaraway.h"
#include "poller.h"

/* Receives messages from many peers and replies on the connection that a message came on. */
typedef struct stream_server stream_server_t;
/* Client connections to many addresses, opened on first use and reopened when lost. */
typedef struct stream_clients stream_clients_t;

/* Binds HOST:PORT; port 0 selects a free one.  CW_ERR_IO when that fails. */
cw_status_t stream_server_open(const char *address, stream_server_t **server);
void stream_server_close(stream_server_t *server);
const char *stream_server_address(const stream_server_t *server);
/* Returns the poller of the sockets; its descriptor is readable when it has events. */
poller_t *stream_server_poller(const stream_server_t *server);
/* Returns whether a message is in the receive queue. */
bool stream_server_has_queued(const stream_server_t *server);
/* Returns whether a part of a message has not been sent yet. */
bool stream_server_has_unsent(const stream_server_t *server);
/* Returns the next message and the identity of the connection it came on, or NULL. */
Caraway__Message *stream_server_receive(stream_server_t *server, GBytes **peer);
/* CW_ERR_IO when the connection is closed, CW_ERR_FULL when its queue is full: the message was not sent. */
cw_status_t stream_server_send(stream_server_t *server, GBytes *peer, const Caraway__Message *message);

stream_clients_t *stream_clients_new(void);
void stream_clients_free(stream_clients_t *clients);
poller_t *stream_clients_poller(const stream_clients_t *clients);
bool stream_clients_has_queued(const stream_clients_t *clients);
/* CW_ERR_IO when no connection is open, CW_ERR_FULL when its queue is full: the message was not sent. */
cw_status_t stream_clients_send(stream_clients_t *clients, const char *address,
				const Caraway__Message *message);
/* Opens the connection to an address before its first message. */
void stream_clients_connect(stream_clients_t *clients, const char *address);
/* Closes the connection to an address; messages received from it or queued for it are dropped. */
void stream_clients_disconnect(stream_clients_t *clients, const char *address);
size_t stream_clients_count(const stream_clients_t *clients);
/* Returns the addresses (borrowed char *) in the order of first use. */
const GPtrArray *stream_clients_addresses(const stream_clients_t *clients);
/* Returns the next message and the address it came from (borrowed), or NULL. */
Caraway__Message *stream_clients_receive(stream_clients_t *clients, const char **address);

#endif
