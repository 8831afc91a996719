/* Connections that carry messages between processes, encrypted when the settings have keys. */
#ifndef LINK_H
#define LINK_H

#include "keys.h"
#include "libcaraway.h"
#include "poller.h"

/* State shared by the connections of a process: ZeroMQ context and keys. */
typedef struct link_context link_context_t;

link_context_t *link_context_new(void);
/*
 * Enables encryption and authentication for connections opened from now on.
 * Servers accept only known keys; clients expect the key of a control replica
 * at control_addresses (char *) and that of a proxy elsewhere.  keys and
 * control_addresses must outlive the context.  No effect if keys->insecure.
 */
cw_status_t link_context_enable_encryption(link_context_t *context, const keys_t *keys,
					   const GPtrArray *control_addresses);
void link_context_free(link_context_t *context);

/* A listening port: receives messages from many peers and replies to a peer by its identity. */
typedef struct link_server link_server_t;
/* Client connections to many addresses; each is opened by the first message to its address. */
typedef struct link_clients link_clients_t;

/* Binds HOST:PORT; port 0 selects a free one.  CW_ERR_IO when the address cannot be bound. */
cw_status_t link_server_open(link_context_t *context, const char *address, link_server_t **server);
void link_server_close(link_server_t *server);
const char *link_server_address(const link_server_t *server); /* HOST:PORT as bound */
/*
 * Returns the next message and its sender's identity, or NULL when the queue is
 * empty.  Messages that cannot be decoded or are not permitted are counted and
 * dropped.
 */
Caraway__Message *link_server_receive(link_server_t *server, GBytes **peer);
/* CW_ERR_IO or CW_ERR_FULL when the peer has disconnected or its queue is full: the message was not sent. */
cw_status_t link_server_send(link_server_t *server, GBytes *peer, const Caraway__Message *message);
/* Returns whether a message that was queued has not been sent yet; false where that is not known. */
bool link_server_has_unsent(const link_server_t *server);

link_clients_t *link_clients_new(link_context_t *context);
void link_clients_free(link_clients_t *clients);
/*
 * Queues a message for HOST:PORT.  CW_ERR_IO or CW_ERR_FULL when no connection
 * is open or its queue is full: the message was not sent.  CW_OK does not
 * guarantee delivery.
 */
cw_status_t link_clients_send(link_clients_t *clients, const char *address, const Caraway__Message *message);
/* Opens the connection to an address before its first message. */
void link_clients_connect(link_clients_t *clients, const char *address);
void link_clients_disconnect(link_clients_t *clients, const char *address);
/* Returns the number of connections, including those being opened or waiting to reconnect. */
size_t link_clients_count(const link_clients_t *clients);
/* Closes the connections to addresses for which keep() returns false; keep() must not use the clients. */
void link_clients_retain(link_clients_t *clients, bool (*keep)(const void *data, const char *address),
			 const void *data);
/* Returns the next message and the address it came from (borrowed), or NULL when the queue is empty. */
Caraway__Message *link_clients_receive(link_clients_t *clients, const char **address);
/*
 * Waits until the server or the clients may have a message to receive, the
 * poller has events or the descriptor is readable; at most timeout_ms.
 * Server, clients and poller may be NULL, the descriptor -1.  Returns whether
 * the descriptor is readable.
 */
bool link_wait(const link_server_t *server, const link_clients_t *clients, poller_t *poller, int fd,
	       int64_t timeout_ms);

#endif
