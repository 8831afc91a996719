/* Connects a relay to the sockets of a process: delivers events and executes its actions. */
#ifndef RELAY_IO_H
#define RELAY_IO_H

#include "link.h"

/* Executes an action that depends on the role: CONFIGURATION, ENDPOINTS, ANNOUNCED, CONFIRM or PARENT. */
typedef void (*relay_io_callback_t)(void *data, const cw_relay_action_t *action);

typedef struct {
	GPtrArray *failed_sends; /* char *, addresses of parents to which a message could not be sent */
	cw_relay_t *relay;	 /* owned */
	link_server_t *server;	 /* connections of children */
	link_clients_t *clients; /* connections to parents */
	relay_io_callback_t on_action;
	void *data; /* argument of on_action */
} relay_io_t;

/* Takes ownership of the relay; borrows server and clients.  The caller then sets on_action and data. */
void relay_io_init(relay_io_t *io, cw_relay_t *relay, link_server_t *server, link_clients_t *clients);
void relay_io_clear(relay_io_t *io);
/* Passes an event to the relay and executes its actions. */
void relay_io_step(relay_io_t *io, const cw_relay_event_t *event);
/* Handles a pull from a child. */
void relay_io_handle_pull(relay_io_t *io, GBytes *peer, const Caraway__Pull *pull);
/* Handles a parent's answer to a pull; any other message is counted and dropped. */
void relay_io_handle_answer(relay_io_t *io, const char *address, const Caraway__Message *message);
/* Reports failed sends to the relay and runs its timers. */
void relay_io_tick(relay_io_t *io);

#endif
