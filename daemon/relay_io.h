/* Runs a relay over the sockets of a process: sends and counts what it decides. */
#ifndef RELAY_IO_H
#define RELAY_IO_H

#include "link.h"

/* Carries out an action that is the role's own: CONFIGURATION, ENDPOINTS, ANNOUNCED, CONFIRM or PARENT. */
typedef void (*relay_io_action_t)(void *data, const cw_relay_action_t *action);

typedef struct {
	GPtrArray *unsent; /* char *, addresses that a message could not be sent to */
	cw_relay_t *relay;
	link_server_t *server;
	link_clients_t *clients;
	relay_io_action_t action;
	void *data;
} relay_io_t;

void relay_io_init(relay_io_t *io, cw_relay_t *relay, link_server_t *server, link_clients_t *clients);
void relay_io_clear(relay_io_t *io);
/* Gives an event to the relay and carries out its actions. */
void relay_io_step(relay_io_t *io, const cw_relay_event_t *event);
/* Takes a child's pull. */
void relay_io_pull(relay_io_t *io, GBytes *peer, const Caraway__Pull *pull);
/* Takes a parent's answer; counts what is none. */
void relay_io_answer(relay_io_t *io, const char *address, const Caraway__Message *message);
/* Tells the relay of messages that nobody took and lets it do what its clock asks for. */
void relay_io_tick(relay_io_t *io);

#endif
